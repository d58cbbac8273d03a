package backoff

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

const (
	initial = 50 * time.Millisecond
	limit   = time.Second
)

// intervals are those that grow from initial to limit.
var intervals = []time.Duration{initial, 2 * initial, 4 * initial, 8 * initial, 16 * initial, limit, limit}

func TestNextDoublesUpToLimit(t *testing.T) {
	b := New(initial, limit)
	for round := range 2 {
		for k, want := range intervals {
			if got := b.Next(); got != want {
				t.Errorf("round %d, wait %d is %v, want %v", round, k, got, want)
			}
		}
		b.Reset()
	}
}

func TestJitterDrawsFromUpperHalfOfInterval(t *testing.T) {
	const (
		seeds = 200
		apart = 0.1 // of the interval
	)
	least, most := make([]time.Duration, len(intervals)), make([]time.Duration, len(intervals))
	for seed := range uint64(seeds) {
		b := NewJittered(initial, limit, seed)
		for k, interval := range intervals {
			got := b.Next()
			if got < interval/2 || got > interval {
				t.Fatalf("seed %d: wait %d is %v, want %v to %v", seed, k, got, interval/2, interval)
			}
			if least[k] == 0 || got < least[k] {
				least[k] = got
			}
			most[k] = max(most[k], got)
		}
	}
	for k, interval := range intervals {
		margin := time.Duration(apart * float64(interval))
		if least[k] > interval/2+margin || most[k] < interval-margin {
			t.Errorf("wait %d: all waits are from %v to %v of an interval of %v", k, least[k], most[k], interval)
		}
	}
}

// The same seed gives the same waits, and Reset restarts the interval but does not repeat the random numbers.
func TestSameSeedGivesSameWaits(t *testing.T) {
	a, b := NewJittered(initial, limit, 7), NewJittered(initial, limit, 7)
	first := a.Next()
	if got := b.Next(); got != first {
		t.Errorf("the same seed gives %v and %v", first, got)
	}
	a.Reset()
	again := a.Next()
	if again == first || again > initial {
		t.Errorf("after Reset the wait is %v, the first was %v", again, first)
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		Sleep(t.Context(), time.Minute)
		if took := time.Since(start); took != time.Minute {
			t.Errorf("it took %v, want %v", took, time.Minute)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		Sleep(ctx, time.Minute)
		if took := time.Since(start); took != time.Second {
			t.Errorf("it took %v, want %v", took, time.Second)
		}
	})
}
