package controlclient

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/resp"
)

// The benchmarks of this file measure the costs of a collector and of a sidecar's control streams for docs/CAPACITY.md.
// internal/capacity/table/measurements.yaml refers to them by name.

// BenchmarkReportHeardByGovernors measures how a collector receives one report of a sidecar, by the number of controllers
// that the collector reports to.
func BenchmarkReportHeardByGovernors(b *testing.B) {
	for _, controllers := range []int{1, 6, 110, 400, 1600} {
		b.Run(fmt.Sprintf("governors=%d", controllers), func(b *testing.B) {
			c := &Collector{}
			for range controllers {
				c.pending = append(c.pending, newPendingOutcomes(time.Hour, 0))
			}
			var reports [][]string
			for k := range 33 {
				reports = append(reports, strings.Fields(fmt.Sprintf("met target stock-7c9d4f5b8-%05d count 12 fail 0 mean 47.318", k)))
			}
			source := c.newReportSource()
			k := 0
			for b.Loop() {
				if err := c.receive(reports[k%len(reports)], source); err != nil {
					b.Fatal(err)
				}
				k++
			}
		})
	}
}

// BenchmarkCollectorMemoryByReplicas measures the memory of the pending outcomes for one controller, by the number of
// replicas.
func BenchmarkCollectorMemoryByReplicas(b *testing.B) {
	for _, replicas := range []int{33, 655, 9500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			var heapBytes uint64
			for b.Loop() {
				pending := newPendingOutcomes(time.Hour, 0)
				before := heapInUse()
				for k := range replicas {
					pending.add(0, outcomeReport{"stock-7c9d4f5b8-" + strconv.Itoa(10000+k), 12, 0, 47.3})
				}
				heapBytes = heapInUse() - before
				runtime.KeepAlive(pending)
			}
			b.ReportMetric(float64(heapBytes), "heap-B")
		})
	}
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMessageSent measures the write of one message to a loopback socket whose other end reads immediately. Only the
// writer is timed; the reader runs at the same time and shares the wall-clock time.
func BenchmarkMessageSent(b *testing.B) {
	for _, m := range []struct{ name, text string }{
		{"outcomes", "outcomes site zone-17 target stock-7c9d4f5b8-x2v9q count 118 fail 2 mean 47.318 over 500.112"},
		{"met", "met target stock-7c9d4f5b8-x2v9q count 12 fail 0 mean 47.318"},
		{"demand", "demand id 314159 lane checkout-read count 12 fail 0 over 1000.204"},
		{"probe", "probe"},
	} {
		b.Run(m.name, func(b *testing.B) {
			conn := drainedConn(b)
			w := &messageWriter{conn: conn, pool: resp.NewPool(1 << 20)}
			words := strings.Fields(m.text)
			for b.Loop() {
				if err := w.send(words...); err != nil {
					b.Fatal(err)
				}
			}
			size, err := resp.Write(io.Discard, w.pool, words...)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// drainedConn returns a connection whose other end reads and discards everything.
func drainedConn(b *testing.B) net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		if conn, err := l.Accept(); err == nil {
			io.Copy(io.Discard, conn)
			conn.Close()
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn
}

// BenchmarkPushAppliedByEndpoints measures parsing and applying an update that replaces a sidecar's table, by the number of
// endpoints.
func BenchmarkPushAppliedByEndpoints(b *testing.B) {
	for _, endpoints := range []int{1, 10, 51, 655} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			var pairs []string
			for k := range endpoints {
				pairs = append(pairs, fmt.Sprintf("stock-7c9d4f5b8-%05d:0.%d", k, 100+k%800))
			}
			words := []string{"push", "full", "1", "endpoints", strings.Join(pairs, ","), "nonce_out", "4711"}
			dispatcher, err := dispatch.New(dispatch.Config{MaxRequests: 1, Classes: []dispatch.Class{{Name: "read"}}})
			if err != nil {
				b.Fatal(err)
			}
			now := int64(0)
			for b.Loop() {
				var message updateMessage
				if err := message.addPart(words); err != nil {
					b.Fatal(err)
				}
				now++
				if err := dispatcher.Apply(now, message.parts...); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
