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

// The benchmarks of this file give the sizes and costs of messages for docs/CAPACITY.md.

// messagesEach is how many messages are read in one iteration: as many as a collector sends at a time.
const messagesEach = 100

// Messages as the product's own sidecars and collectors write them, with names as long as a deployment's.
var inbound = []struct{ name, text string }{
	{"outcomes", "outcomes site zone-17 target stock-7c9d4f5b8-x2v9q count 118 fail 2 mean 47.318 over 500.112"},
	{"demand", "demand id 314159 lane checkout-read count 12 fail 0 over 1000.204"},
	{"ack", "ack id 314159 seq 4711 ms 0.142"},
}

// BenchmarkMessageReceived gives the bytes of one message and the time from its bytes to the inbox.
func BenchmarkMessageReceived(b *testing.B) {
	for _, m := range inbound {
		b.Run(m.name, func(b *testing.B) {
			pool := resp.NewPool(1 << 20)
			var raw bytes.Buffer
			for range messagesEach {
				if _, err := resp.Write(&raw, pool, strings.Fields(m.text)...); err != nil {
					b.Fatal(err)
				}
			}
			events := eventloop.New()
			for b.Loop() {
				r := resp.NewReader(bytes.NewReader(raw.Bytes()), pool)
				for range messagesEach {
					words, err := r.Next()
					if err != nil {
						b.Fatal(err)
					}
					f := newMessage(words)
					switch m.name {
					case "outcomes":
						events.Enqueue(decodeOutcomes(f))
					case "demand":
						events.Enqueue(decodeDemand(f))
					case "ack":
						events.Enqueue(decodeAck(f))
					}
					if f.err != nil {
						b.Fatal(f.err)
					}
				}
				r.Close()
				events.Drain()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/messagesEach, "ns/message")
			b.ReportMetric(float64(raw.Len())/messagesEach, "B/message")
		})
	}
}

// BenchmarkUpdateWrittenByEndpoints gives the bytes of an update and the time to write it.
func BenchmarkUpdateWrittenByEndpoints(b *testing.B) {
	for _, endpoints := range []int{1, 10, 51, 655} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			p := controller.Update{WantsAck: true, Nonce: 4711}
			for k := range endpoints {
				p.Endpoints = append(p.Endpoints, controller.WeightedEndpoint{Replica: fmt.Sprintf("stock-7c9d4f5b8-%05d", k), Weight: 0.25 + float64(k%97)/101})
			}
			pool, sent := resp.NewPool(1<<20), 0
			for b.Loop() {
				sent = 0
				for _, words := range EncodeUpdate(p) {
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

// BenchmarkMemoryByStreams gives the server's memory for each joined proxy: goroutines, buffers, send queues. What the client
// ends in this process use is measured first and subtracted.
func BenchmarkMemoryByStreams(b *testing.B) {
	for _, count := range []int{100, 480, 1920} {
		b.Run(fmt.Sprintf("streams=%d", count), func(b *testing.B) {
			var held float64
			for b.Loop() {
				plain := memoryOf(b, count, func(l net.Listener) func() { return acceptAndHold(l, count) })
				served := memoryOf(b, count, func(l net.Listener) func() { return serveProxies(b, l, count) })
				held = float64(served - plain)
			}
			b.ReportMetric(held, "memory-B")
			b.ReportMetric(held/float64(count), "B/stream")
		})
	}
}

// memoryOf returns what count joined clients add to heap and stacks, on both ends together.
func memoryOf(b *testing.B, count int, serve func(net.Listener) (stop func())) int64 {
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
		if err := sayHello(conns[k], k); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(200 * time.Millisecond) // all hellos are read
	held := memoryInUse() - before
	for _, conn := range conns {
		conn.Close()
	}
	stop()
	return held
}

// sayHello joins as a proxy without an ordered table.
func sayHello(conn net.Conn, proxy int) error {
	_, err := resp.Write(conn, helloPool, "hello", "id", strconv.Itoa(proxy), "site", "a", "rps", "1", "new", "1")
	return err
}

var helloPool = resp.NewPool(1 << 20)

// BenchmarkStreamOpened gives the time to open, join and close a stream, on both ends together.
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
		if err := sayHello(conn, 0); err != nil {
			b.Fatal(err)
		}
		if _, err := resp.Write(conn, helloPool, "probe"); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, len("*1\r\n$5\r\nalive\r\n"))); err != nil { // so it has joined
			b.Fatal(err)
		}
		conn.Close()
	}
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // what pools still hold after the first
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func acceptAndHold(l net.Listener, count int) (stop func()) {
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
			io.Copy(io.Discard, conn) // until its caller closes
			conn.Close()
		}
	}()
	return func() { l.Close(); <-done }
}

func serveProxies(b *testing.B, l net.Listener, count int) (stop func()) {
	p := control.Settings{Proxies: count, Classes: []control.TrafficClass{{Timeout: 3e9}}}
	topology := controller.NewTopology(settings.Names{Classes: []string{"read"}, Zones: []string{"a"}}, p)
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
