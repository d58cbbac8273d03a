package configstore

import (
	"container/heap"
	"math/rand"
	"testing"
)

func TestCopyLimiterRejectsBeyondSlots(t *testing.T) {
	c := NewCopyLimiter(2)
	for k, want := range []bool{true, true, false, false} {
		ok, retryAfter := c.Acquire(1, 0)
		if ok != want || !ok && (retryAfter < minRetryAfter || retryAfter > maxRetryAfter) {
			t.Errorf("%d: %v, %d", k, ok, retryAfter)
		}
	}
	c.Release(1, initialCopyDuration)
	if ok, _ := c.Acquire(1, 0); !ok || c.Used() != 2 {
		t.Error("a free slot is not given")
	}
}

// A large copy takes slots by its size; one that needs more than there are is sent alone.
func TestLargeCopiesTakeMoreSlots(t *testing.T) {
	for bytes, want := range map[int]int{0: 1, 1: 1, MaxSettingsSize: 1, MaxSettingsSize + 1: 2, 10 * MaxSettingsSize: 10} {
		if got := Slots(bytes); got != want {
			t.Errorf("%d bytes take %d slots, want %d", bytes, got, want)
		}
	}
	c := NewCopyLimiter(4)
	for k, step := range []struct {
		slots int
		ok    bool
	}{{3, true}, {2, false}, {1, true}, {1, false}} {
		if ok, _ := c.Acquire(step.slots, 0); ok != step.ok {
			t.Errorf("%d: %v", k, ok)
		}
	}
	c.Release(3, 1)
	c.Release(1, 1)
	if ok, _ := c.Acquire(9, 0); !ok {
		t.Error("a copy that is larger than all slots never goes")
	}
	if ok, _ := c.Acquire(1, 0); ok {
		t.Error("another one goes beside it")
	}
}

// arrivals is a heap of times at which followers poll.
type arrivals []int64

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i] < a[j] }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(int64)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// Many followers that poll at once are served at the rate of copies, with few retries, and never more at once than there are
// slots.
func TestCopyLimiterSpreadsManyFollowers(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		draw := rand.New(rand.NewSource(seed))
		const followers, most, span = 1200, 16, int64(20 * 1e6)
		c, waiting, ends := NewCopyLimiter(most), &arrivals{}, &arrivals{}
		for range followers {
			heap.Push(waiting, draw.Int63n(1e8))
		}
		served, tries, last := 0, 0, int64(0)
		for waiting.Len() > 0 {
			now := heap.Pop(waiting).(int64)
			for ends.Len() > 0 && (*ends)[0] <= now {
				heap.Pop(ends)
				c.Release(1, span)
			}
			tries++
			ok, retryAfter := c.Acquire(1, now)
			if !ok {
				heap.Push(waiting, now+retryAfter+draw.Int63n(retryAfter/4))
				continue
			}
			if served, last = served+1, now; c.Used() > most {
				t.Fatalf("%d at once", c.Used())
			}
			heap.Push(ends, now+span)
		}
		ideal := int64(followers) * span / most
		if served != followers || last > 3*ideal+maxRetryAfter || tries > 4*followers {
			t.Errorf("seed %d: %d served with %d tries, the last after %d ms, %d at full pace", seed, served, tries, last/1e6, ideal/1e6)
		}
	}
}
