package controlserver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
	"lilacbend/settings"
)

// The benchmarks of this file measure the sizes and costs of messages for docs/CAPACITY.md.

// messagesPerIteration is how many messages are read in one iteration: as many as a collector sends at a time.
const messagesPerIteration = 100

// receivedMessages are messages as the sidecars and collectors of this project write them, with names of a length that is
// usual in deployments.
var receivedMessages = []struct{ name, text string }{
	{"outcomes", "outcomes site zone-17 target stock-7c9d4f5b8-x2v9q count 118 fail 2 mean 47.318 over 500.112"},
	{"demand", "demand id 314159 lane checkout-read count 12 fail 0 over 1000.204"},
	{"ack", "ack id 314159 seq 4711 ms 0.142"},
}

// BenchmarkMessageReceived measures the size of one message and the time to read, decode and enqueue it.
func BenchmarkMessageReceived(b *testing.B) {
	for _, m := range receivedMessages {
		b.Run(m.name, func(b *testing.B) {
			pool := resp.NewPool(1 << 20)
			var raw bytes.Buffer
			for range messagesPerIteration {
				if _, err := resp.Write(&raw, pool, strings.Fields(m.text)...); err != nil {
					b.Fatal(err)
				}
			}
			queues := eventloop.New()
			for b.Loop() {
				reader := resp.NewReader(bytes.NewReader(raw.Bytes()), pool)
				for range messagesPerIteration {
					words, err := reader.Next()
					if err != nil {
						b.Fatal(err)
					}
					decoded := newMessage(words)
					switch m.name {
					case "outcomes":
						queues.Enqueue(decodeOutcomes(decoded))
					case "demand":
						queues.Enqueue(decodeDemand(decoded))
					case "ack":
						queues.Enqueue(decodeAck(decoded))
					}
					if decoded.err != nil {
						b.Fatal(decoded.err)
					}
				}
				reader.Close()
				queues.Drain()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/messagesPerIteration, "ns/message")
			b.ReportMetric(float64(raw.Len())/messagesPerIteration, "B/message")
		})
	}
}

// BenchmarkUpdateWrittenByEndpoints measures the size of an update and the time to encode and write it.
func BenchmarkUpdateWrittenByEndpoints(b *testing.B) {
	for _, endpoints := range []int{1, 10, 51, 655} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			update := controller.Update{WantsAck: true, Nonce: 4711}
			for k := range endpoints {
				update.Endpoints = append(update.Endpoints, controller.WeightedEndpoint{Replica: fmt.Sprintf("stock-7c9d4f5b8-%05d", k), Weight: 0.25 + float64(k%97)/101})
			}
			pool, sent := resp.NewPool(1<<20), 0
			for b.Loop() {
				sent = 0
				for _, words := range EncodeUpdate(update) {
					n, err := resp.Write(io.Discard, pool, words...)
					if err != nil {
						b.Fatal(err)
					}
					sent += n
				}
			}
			b.ReportMetric(float64(sent), "B/message")
		})
	}
}

// BenchmarkMemoryByStreams measures the server's memory for each joined proxy: goroutines, buffers, send queues. The memory
// that the client ends use in this process is measured first, without a server, and subtracted.
func BenchmarkMemoryByStreams(b *testing.B) {
	for _, count := range []int{100, 480, 1920} {
		b.Run(fmt.Sprintf("streams=%d", count), func(b *testing.B) {
			var added float64
			for b.Loop() {
				clientMemory := memoryAdded(b, count, func(l net.Listener) func() { return acceptAndDiscard(l, count) })
				totalMemory := memoryAdded(b, count, func(l net.Listener) func() { return serveProxies(b, l, count) })
				added = float64(totalMemory - clientMemory)
			}
			b.ReportMetric(added, "memory-B")
			b.ReportMetric(added/float64(count), "B/stream")
		})
	}
}

// memoryAdded returns how much memory count joined clients add to heap and stacks, on both ends together.
func memoryAdded(b *testing.B, count int, serve func(net.Listener) (stop func())) int64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	before := memoryInUse()
	stop := serve(l)
	conns := make([]net.Conn, count)
	for k := range conns {
		if conns[k], err = net.Dial("tcp", l.Addr().String()); err != nil {
			b.Fatal(err)
		}
		if err := sendProxyJoin(conns[k], k); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(200 * time.Millisecond) // until the other end has read all joins
	added := memoryInUse() - before
	for _, conn := range conns {
		conn.Close()
	}
	stop()
	return added
}

// sendProxyJoin joins as a proxy that has no table yet.
func sendProxyJoin(conn net.Conn, proxy int) error {
	_, err := resp.Write(conn, clientPool, "hello", "id", strconv.Itoa(proxy), "site", "a", "rps", "1", "new", "1")
	return err
}

var clientPool = resp.NewPool(1 << 20)

// BenchmarkStreamOpened measures the time to open, join and close a stream, on both ends together.
func BenchmarkStreamOpened(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer serveProxies(b, l, 1)()
	for b.Loop() {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		if err := sendProxyJoin(conn, 0); err != nil {
			b.Fatal(err)
		}
		if _, err := resp.Write(conn, clientPool, "probe"); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, len("*1\r\n$5\r\nalive\r\n"))); err != nil { // the answer shows that the join was read
			b.Fatal(err)
		}
		conn.Close()
	}
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees the objects that a sync.Pool keeps through the first collection
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func acceptAndDiscard(l net.Listener, count int) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var conns []net.Conn
		for range count {
			conn, err := l.Accept()
			if err != nil {
				break
			}
			conns = append(conns, conn)
		}
		for _, conn := range conns {
			io.Copy(io.Discard, conn) // until the client closes it
			conn.Close()
		}
	}()
	return func() { l.Close(); <-done }
}

func serveProxies(b *testing.B, l net.Listener, count int) (stop func()) {
	controlSettings := control.Settings{Proxies: count, Classes: []control.TrafficClass{{Timeout: 3e9}}}
	topology := controller.NewTopology(settings.Names{Classes: []string{"read"}, Zones: []string{"a"}}, controlSettings)
	s := New(eventloop.New(), resp.NewPool(24<<20), slog.New(slog.DiscardHandler), 4*count+100, topology)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	}
}
