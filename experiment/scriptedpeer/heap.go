package scriptedpeer

import "runtime"

// LiveHeap returns the bytes of objects on the heap that are still in use.
func LiveHeap() int64 {
	runtime.GC()
	runtime.GC() // the first one moves the content of sync.Pool aside only
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
