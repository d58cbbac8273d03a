package discovery

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lilacbend/internal/eventloop"
)

// BenchmarkParseByMembers measures the size of a complete list and the time to decode it, which docs/CAPACITY.md needs for
// the cost of discovery by number of replicas.
func BenchmarkParseByMembers(b *testing.B) {
	for _, members := range []int{1, 33, 655, 9500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			raw := completeList(b, members)
			for b.Loop() {
				list, err := Parse(raw)
				if err != nil || len(list.Members) != members {
					b.Fatal(len(list.Members), err)
				}
			}
			b.ReportMetric(float64(len(raw)), "B/list")
		})
	}
}

// completeList returns a complete list in discovery's format, with names of a length that is usual in deployments.
func completeList(b *testing.B, members int) []byte {
	revision, complete, size := int64(8461), true, 1.0
	allMembers := make([]memberMessage, members)
	for k := range allMembers {
		allMembers[k] = memberMessage{ID: fmt.Sprintf("stock-7c9d4f5b8-%05d", k), HostPort: fmt.Sprintf("10.12.%d.%d:8080", k/250, k%250),
			Cell: k % 16, Locality: fmt.Sprintf("zone-%02d", k%54), Flavor: "m1", Phase: "Ready", Size: &size, UpSince: 1_790_000_000_000 + float64(k)}
	}
	raw, err := json.Marshal(listMessage{&revision, &complete, &allMembers})
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWatchWithoutChanges measures the bytes of a watch in both directions, headers included, and its time without the
// wait for changes.
func BenchmarkWatchWithoutChanges(b *testing.B) {
	empty := `{"revision":8461,"complete":false,"members":[]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, empty)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	dialed, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	conn := &pacedConn{Conn: countingConn{dialed, &bytes}}
	defer conn.Close()
	c := New(address, 8461, eventloop.New(), slog.New(slog.DiscardHandler), func() int64 { return time.Now().UnixNano() }, 1)
	c.synced = true
	r := bufio.NewReader(conn)
	for b.Loop() {
		if got, err := c.call(conn, r); got.changed || !got.reusable || err != nil {
			b.Fatal(got, err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/watch")
}
