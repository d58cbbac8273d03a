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

// intervals are the successive intervals of a Backoff that grows from initial to limit.
var intervals = []time.Duration{initial, 2 * initial, 4 * initial, 8 * initial, 16 * initial, limit, limit}

func TestNextDoublesUpToLimit(t *testing.T) {
	b := New(initial, limit)
	for round := range 2 {
		for k, want := range intervals {
			if got := b.Next(); got != want {
				t.Errorf("round %d: wait %d is %v, want %v", round, k, got, want)
			}
		}
		b.Reset()
	}
}

func TestJitterDrawsFromUpperHalfOfInterval(t *testing.T) {
	const (
		seeds     = 200
		tolerance = 0.1 // maximum distance of the extreme waits from the range's ends, as a fraction of the interval
	)
	shortest, longest := make([]time.Duration, len(intervals)), make([]time.Duration, len(intervals))
	for seed := range uint64(seeds) {
		b := NewJittered(initial, limit, seed)
		for k, interval := range intervals {
			got := b.Next()
			if got < interval/2 || got > interval {
				t.Fatalf("seed %d: wait %d is %v, want %v to %v", seed, k, got, interval/2, interval)
			}
			if shortest[k] == 0 || got < shortest[k] {
				shortest[k] = got
			}
			longest[k] = max(longest[k], got)
		}
	}
	for k, interval := range intervals {
		margin := time.Duration(tolerance * float64(interval))
		if shortest[k] > interval/2+margin || longest[k] < interval-margin {
			t.Errorf("wait %d: %d seeds give waits from %v to %v, want nearly all of %v to %v", k, seeds, shortest[k], longest[k], interval/2, interval)
		}
	}
}

// The same seed gives the same waits, and Reset restarts the interval but does not repeat the random numbers.
func TestSameSeedGivesSameWaits(t *testing.T) {
	a, b := NewJittered(initial, limit, 7), NewJittered(initial, limit, 7)
	first := a.Next()
	if got := b.Next(); got != first {
		t.Errorf("the same seed gives first waits of %v and %v, want equal ones", first, got)
	}
	a.Reset()
	afterReset := a.Next()
	if afterReset == first || afterReset > initial {
		t.Errorf("wait after Reset is %v, want at most %v and not the first wait %v", afterReset, initial, first)
	}
}

func TestSleepReturnsWhenItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		Sleep(t.Context(), time.Minute)
		if elapsed := time.Since(start); elapsed != time.Minute {
			t.Errorf("Sleep took %v, want %v", elapsed, time.Minute)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		Sleep(ctx, time.Minute)
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("Sleep took %v, want %v", elapsed, time.Second)
		}
	})
}
