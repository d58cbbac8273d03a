package dispatch

import (
	"fmt"
	"runtime"
	"testing"
)

// The memory of a sidecar's core by the replicas that are listed to it, and the time to take a whole list in.
func BenchmarkListByReplicas(b *testing.B) {
	for _, replicas := range []int{33, 655, 9500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			members := map[string]Listed{}
			for k := range replicas {
				members[fmt.Sprintf("stock-7c9d4f5b8-%05d", k)] = Listed{Zone: "zone-17", Cell: "3", Address: fmt.Sprintf("10.12.%d.%d:8080", k/250, k%250)}
			}
			var held uint64
			for b.Loop() {
				before := heapInUse()
				core, err := New(Plan{Flows: 1000, Groups: []Group{{Name: "read"}}})
				if err != nil {
					b.Fatal(err)
				}
				core.List(true, members)
				core.Even(1)
				held = heapInUse() - before
				runtime.KeepAlive(core)
			}
			b.ReportMetric(float64(held), "heap-B")
			runtime.KeepAlive(members)
		})
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
