package configserver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"lilacbend/internal/configapi"
)

// The benchmarks of this file give the costs of serving configuration for docs/CAPACITY.md. Processor time is that of the
// process, including the client's and its decoding of the answer.

// pollClient polls one server on one persistent connection, and counts the bytes of both directions.
type pollClient struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	bytes   int
}

func newPollClient(b *testing.B, address string) *pollClient {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	a := &pollClient{address: address, conn: conn}
	a.reader = bufio.NewReader(io.TeeReader(conn, a))
	return a
}

// Write counts what was read.
func (a *pollClient) Write(b []byte) (int, error) {
	a.bytes += len(b)
	return len(b), nil
}

func (a *pollClient) poll(b *testing.B, q configapi.Query) configapi.Answer {
	n, err := fmt.Fprintf(a.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", q.Encode(), a.address)
	a.bytes += n
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.ReadResponse(a.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatal(response.Status, err)
	}
	var answer configapi.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		b.Fatal(err)
	}
	return answer
}

func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// serving starts a writer whose folder has one service with so many traffic classes more than the example, and waits for it.
func serving(b *testing.B, classes int) (a *pollClient, q configapi.Query, size int) {
	folder := b.TempDir()
	settings := withClasses(b, classes)
	write(b, folder, "orders.json", settings)
	server := start(b, Options{Name: "s0", Region: "r0", Folder: folder, PollInterval: DefaultPollInterval})
	a = newPollClient(b, server.Address())
	q = configapi.Query{Service: "orders", Timeout: time.Millisecond, Instance: "stock-7c9d4f5b8-x2v9q", Zone: "zone-17", Region: "region-04"}
	return a, q, len(settings)
}

// withClasses are the example's settings with more classes like its first one.
func withClasses(b *testing.B, classes int) []byte {
	var tree map[string]any
	if err := json.Unmarshal(exampleSettings(b, "lookup"), &tree); err != nil {
		b.Fatal(err)
	}
	lanes := tree["lanes"].([]any)
	for k := len(lanes); k < classes; k++ {
		lane := map[string]any{}
		for name, value := range lanes[0].(map[string]any) {
			lane[name] = value
		}
		lane["name"] = fmt.Sprintf("lookup-%05d", k)
		lanes = append(lanes, lane)
	}
	tree["lanes"] = lanes
	tree["domain"].(map[string]any)["pending_max"] = 49200
	raw, err := json.Marshal(tree)
	if err != nil {
		b.Fatal(err)
	}
	return bytes.TrimSpace(raw)
}

// BenchmarkWatchWithoutChange gives the bytes of both directions with headers, and the processor time of both sides.
func BenchmarkWatchWithoutChange(b *testing.B) {
	a, q, _ := serving(b, 3)
	answer := a.poll(b, q)
	q.Since = answer.Version
	a.bytes = 0
	before := processTime()
	for b.Loop() {
		if answer := a.poll(b, q); len(answer.Services) != 0 {
			b.Fatal("a change")
		}
	}
	b.ReportMetric(float64(processTime()-before)/float64(b.N)/1e3, "cpu-us")
	b.ReportMetric(float64(a.bytes)/float64(b.N), "B/watch")
}

// BenchmarkCopyByBytes gives the cost of a complete copy of one service.
func BenchmarkCopyByBytes(b *testing.B) {
	for _, classes := range []int{3, 48, 240, 960} {
		_, _, size := serving(b, classes)
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			a, q, _ := serving(b, classes)
			a.poll(b, q)
			a.bytes = 0
			before := processTime()
			for b.Loop() {
				if answer := a.poll(b, q); len(answer.Services) != 1 {
					b.Fatal("no copy")
				}
			}
			b.ReportMetric(float64(processTime()-before)/float64(b.N)/1e3, "cpu-us")
			b.ReportMetric(float64(a.bytes)/float64(b.N), "B/copy")
		})
	}
}
