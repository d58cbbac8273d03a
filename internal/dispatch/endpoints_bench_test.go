package dispatch

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkListByReplicas measures the memory of a Dispatcher and the time to apply a complete endpoint list, by the number
// of endpoints in the list.
func BenchmarkListByReplicas(b *testing.B) {
	for _, replicas := range []int{33, 655, 9500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			endpoints := map[string]Endpoint{}
			for k := range replicas {
				endpoints[fmt.Sprintf("stock-7c9d4f5b8-%05d", k)] = Endpoint{Zone: "zone-17", Cell: "3", Address: fmt.Sprintf("10.12.%d.%d:8080", k/250, k%250)}
			}
			var heapBytes uint64
			for b.Loop() {
				before := heapInUse()
				dispatcher, err := New(Config{MaxRequests: 1000, Classes: []Class{{Name: "read"}}})
				if err != nil {
					b.Fatal(err)
				}
				dispatcher.UpdateEndpoints(true, endpoints)
				dispatcher.UseEqualWeights(1)
				heapBytes = heapInUse() - before
				runtime.KeepAlive(dispatcher)
			}
			b.ReportMetric(float64(heapBytes), "heap-B")
			runtime.KeepAlive(endpoints)
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
