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

// The benchmarks of this file measure the cost of serving configuration for docs/CAPACITY.md. Processor time is that of the
// whole process, which includes the client and its decoding of the answer.

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
	client := &pollClient{address: address, conn: conn}
	client.reader = bufio.NewReader(io.TeeReader(conn, client))
	return client
}

// Write counts the bytes that were read from the connection.
func (c *pollClient) Write(b []byte) (int, error) {
	c.bytes += len(b)
	return len(b), nil
}

// poll sends a query and returns the answer.
func (c *pollClient) poll(b *testing.B, query configapi.Query) configapi.Answer {
	n, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", query.Encode(), c.address)
	c.bytes += n
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("query answered with %s, body error %v", response.Status, err)
	}
	var answer configapi.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		b.Fatal(err)
	}
	return answer
}

// processTime returns the processor time of this process, user and system.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startWriterWithClasses starts a writer of one service whose settings are those of the example, extended to a number of
// traffic classes. It returns a client, the query of the service, and the size of the settings in bytes.
func startWriterWithClasses(b *testing.B, classes int) (client *pollClient, query configapi.Query, size int) {
	folder := b.TempDir()
	settings := settingsWithClasses(b, classes)
	writeFile(b, folder, "orders.json", settings)
	server := startServer(b, Options{Name: "s0", Region: "r0", Folder: folder, PollInterval: DefaultPollInterval})
	client = newPollClient(b, server.Address())
	query = configapi.Query{Service: "orders", Timeout: time.Millisecond, Instance: "stock-7c9d4f5b8-x2v9q", Zone: "zone-17", Region: "region-04"}
	return client, query, len(settings)
}

// settingsWithClasses returns the example's settings, extended to a number of traffic classes by copies of the first one.
func settingsWithClasses(b *testing.B, classes int) []byte {
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

// BenchmarkWatchWithoutChange measures one watch without a change: its bytes in both directions, headers included, and the
// processor time of server and client.
func BenchmarkWatchWithoutChange(b *testing.B) {
	client, query, _ := startWriterWithClasses(b, 3)
	answer := client.poll(b, query)
	query.Since = answer.Version
	client.bytes = 0
	before := processTime()
	for b.Loop() {
		if answer := client.poll(b, query); len(answer.Services) != 0 {
			b.Fatal("answer has a change, but no settings have changed")
		}
	}
	b.ReportMetric(float64(processTime()-before)/float64(b.N)/1e3, "cpu-us")
	b.ReportMetric(float64(client.bytes)/float64(b.N), "B/watch")
}

// BenchmarkCopyByBytes measures the cost of a complete copy of one service for several sizes of its settings.
func BenchmarkCopyByBytes(b *testing.B) {
	for _, classes := range []int{3, 48, 240, 960} {
		_, _, size := startWriterWithClasses(b, classes)
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			client, query, _ := startWriterWithClasses(b, classes)
			client.poll(b, query)
			client.bytes = 0
			before := processTime()
			for b.Loop() {
				if answer := client.poll(b, query); len(answer.Services) != 1 {
					b.Fatal("answer has no copy of the service")
				}
			}
			b.ReportMetric(float64(processTime()-before)/float64(b.N)/1e3, "cpu-us")
			b.ReportMetric(float64(client.bytes)/float64(b.N), "B/copy")
		})
	}
}
