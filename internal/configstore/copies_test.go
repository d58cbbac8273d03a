package configstore

import (
	"container/heap"
	"math/rand"
	"testing"
)

func TestCopiesAreBounded(t *testing.T) {
	c := NewCopies(2)
	for k, want := range []bool{true, true, false, false} {
		ok, retryAfter := c.Admit(1, 0)
		if ok != want || !ok && (retryAfter < retryLeast || retryAfter > retryMost) {
			t.Errorf("%d: %v, %d", k, ok, retryAfter)
		}
	}
	c.Done(1, copySpanFirst)
	if ok, _ := c.Admit(1, 0); !ok || c.Open() != 2 {
		t.Error("a place that is free again is not given")
	}
}

// Large copies take as many places as their size; one that is larger than all of them goes alone.
func TestLargeCopiesTakeMorePlaces(t *testing.T) {
	for bytes, want := range map[int]int{0: 1, 1: 1, SettingsMax: 1, SettingsMax + 1: 2, 10 * SettingsMax: 10} {
		if got := Places(bytes); got != want {
			t.Errorf("%d bytes take %d places, want %d", bytes, got, want)
		}
	}
	c := NewCopies(4)
	for k, step := range []struct {
		places int
		ok     bool
	}{{3, true}, {2, false}, {1, true}, {1, false}} {
		if ok, _ := c.Admit(step.places, 0); ok != step.ok {
			t.Errorf("%d: %v", k, ok)
		}
	}
	c.Done(3, 1)
	c.Done(1, 1)
	if ok, _ := c.Admit(9, 0); !ok {
		t.Error("a copy that is larger than all places never goes")
	}
	if ok, _ := c.Admit(1, 0); ok {
		t.Error("another one goes beside it")
	}
}

// arrivals are followers that come at a time.
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

// A herd that comes within a moment is served at the pace of the copies, with few more tries than followers, and never
// more at once than the bound.
func TestAHerdIsSpreadOut(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		draw := rand.New(rand.NewSource(seed))
		const herd, most, span = 1200, 16, int64(20 * 1e6)
		c, waiting, ends := NewCopies(most), &arrivals{}, &arrivals{}
		for range herd {
			heap.Push(waiting, draw.Int63n(1e8))
		}
		served, tries, last := 0, 0, int64(0)
		for waiting.Len() > 0 {
			now := heap.Pop(waiting).(int64)
			for ends.Len() > 0 && (*ends)[0] <= now {
				heap.Pop(ends)
				c.Done(1, span)
			}
			tries++
			ok, retryAfter := c.Admit(1, now)
			if !ok {
				heap.Push(waiting, now+retryAfter+draw.Int63n(retryAfter/4))
				continue
			}
			if served, last = served+1, now; c.Open() > most {
				t.Fatalf("%d at once", c.Open())
			}
			heap.Push(ends, now+span)
		}
		ideal := int64(herd) * span / most
		if served != herd || last > 3*ideal+retryMost || tries > 4*herd {
			t.Errorf("seed %d: %d served with %d tries, the last after %d ms, %d at full pace", seed, served, tries, last/1e6, ideal/1e6)
		}
	}
}
