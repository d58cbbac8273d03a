package configstore

import (
	"container/heap"
	"math/rand"
	"testing"
)

func TestCopyLimiterRejectsBeyondSlots(t *testing.T) {
	limiter := NewCopyLimiter(2)
	for k, want := range []bool{true, true, false, false} {
		ok, retryAfter := limiter.Acquire(1, 0)
		if ok != want || !ok && (retryAfter < minRetryAfter || retryAfter > maxRetryAfter) {
			t.Errorf("copy %d: acquired %v, retry after %d ns", k, ok, retryAfter)
		}
	}
	limiter.Release(1, initialCopyDuration)
	if ok, _ := limiter.Acquire(1, 0); !ok || limiter.Used() != 2 {
		t.Error("a released slot cannot be acquired")
	}
}

// The number of slots that a large copy takes depends on its size. One that needs more slots than there are is sent alone.
func TestLargeCopiesTakeMoreSlots(t *testing.T) {
	for bytes, want := range map[int]int{0: 1, 1: 1, MaxSettingsSize: 1, MaxSettingsSize + 1: 2, 10 * MaxSettingsSize: 10} {
		if got := Slots(bytes); got != want {
			t.Errorf("%d bytes take %d slots, want %d", bytes, got, want)
		}
	}
	limiter := NewCopyLimiter(4)
	for k, step := range []struct {
		slots int
		ok    bool
	}{{3, true}, {2, false}, {1, true}, {1, false}} {
		if ok, _ := limiter.Acquire(step.slots, 0); ok != step.ok {
			t.Errorf("step %d: acquired %v", k, ok)
		}
	}
	limiter.Release(3, 1)
	limiter.Release(1, 1)
	if ok, _ := limiter.Acquire(9, 0); !ok {
		t.Error("a copy that needs more slots than there are is rejected while no other is sent")
	}
	if ok, _ := limiter.Acquire(1, 0); ok {
		t.Error("a second copy is sent at the same time as one that needs all slots")
	}
}

// timeHeap is a heap of times: those at which followers poll, or at which copies end.
type timeHeap []int64

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(int64)) }
func (h *timeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Many followers that poll at the same time are served at the rate at which copies can be sent, with few retries, and never
// more of them at once than there are slots.
func TestCopyLimiterSpreadsManyFollowers(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		random := rand.New(rand.NewSource(seed))
		const followers, slots, copyDuration = 1200, 16, int64(20 * 1e6)
		limiter, waiting, copyEnds := NewCopyLimiter(slots), &timeHeap{}, &timeHeap{}
		for range followers {
			heap.Push(waiting, random.Int63n(1e8))
		}
		served, attempts, lastServed := 0, 0, int64(0)
		for waiting.Len() > 0 {
			now := heap.Pop(waiting).(int64)
			for copyEnds.Len() > 0 && (*copyEnds)[0] <= now {
				heap.Pop(copyEnds)
				limiter.Release(1, copyDuration)
			}
			attempts++
			ok, retryAfter := limiter.Acquire(1, now)
			if !ok {
				heap.Push(waiting, now+retryAfter+random.Int63n(retryAfter/4))
				continue
			}
			if served, lastServed = served+1, now; limiter.Used() > slots {
				t.Fatalf("%d copies at once, want at most %d", limiter.Used(), slots)
			}
			heap.Push(copyEnds, now+copyDuration)
		}
		shortest := int64(followers) * copyDuration / slots
		if served != followers || lastServed > 3*shortest+maxRetryAfter || attempts > 4*followers {
			t.Errorf("seed %d: %d followers served with %d attempts, the last one after %d ms; with all slots in use it takes %d ms", seed, served, attempts, lastServed/1e6, shortest/1e6)
		}
	}
}
