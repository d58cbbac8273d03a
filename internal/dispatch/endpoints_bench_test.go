package dispatch

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkListByReplicas measures the memory of a Dispatcher by the endpoints that are listed, and the time to take over a
// complete list.
func BenchmarkListByReplicas(b *testing.B) {
	for _, replicas := range []int{33, 655, 9500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			endpoints := map[string]Endpoint{}
			for k := range replicas {
				endpoints[fmt.Sprintf("stock-7c9d4f5b8-%05d", k)] = Endpoint{Zone: "zone-17", Cell: "3", Address: fmt.Sprintf("10.12.%d.%d:8080", k/250, k%250)}
			}
			var held uint64
			for b.Loop() {
				before := heapInUse()
				dispatcher, err := New(Config{MaxRequests: 1000, Classes: []Class{{Name: "read"}}})
				if err != nil {
					b.Fatal(err)
				}
				dispatcher.UpdateEndpoints(true, endpoints)
				dispatcher.UseEqualWeights(1)
				held = heapInUse() - before
				runtime.KeepAlive(dispatcher)
			}
			b.ReportMetric(float64(held), "heap-B")
			runtime.KeepAlive(endpoints)
		})
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
