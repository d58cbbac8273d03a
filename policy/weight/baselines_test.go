package weight

import (
	"math"
	"testing"
	"time"
)

func TestSampleIsTakenOncePerInterval(t *testing.T) {
	b := NewBaselines()
	e := NewEstimator(b, 1, []Replica{healthy(10, 0, 0.2)})
	for now := time.Duration(0); now <= 3*baselineInterval; now += baselineInterval / 4 {
		b.Sample(now, e)
	}
	for class := range 2 {
		if got := len(b.byClass[class]); got != 3 {
			t.Errorf("class %d: %d samples, want 3", class, got)
		}
	}
}

func TestSampleRequiresMinimumSuccesses(t *testing.T) {
	for successes, want := range map[float64]int{4: 0, 5: 1} {
		b := NewBaselines()
		b.Sample(baselineInterval, NewEstimator(b, 1, []Replica{healthy(successes, 0, 0.2)}))
		if got := len(b.byClass[0]); got != want {
			t.Errorf("%v successes: %d samples, want %d", successes, got, want)
		}
	}
}

func TestRestoreKeepsTheNewestBaselines(t *testing.T) {
	for confidence, want := range map[float64]int{1: 4, 0.5: 2, 0.1: 0} {
		b := NewBaselines()
		b.Restore(0, []float64{0.1, 0.2, 0.3, 0.4}, confidence)
		if want == 0 && !math.IsInf(b.fastest(), 1) {
			t.Errorf("confidence %v: a class without samples has an entry", confidence)
		}
		got := b.Snapshot(1)[0]
		if len(got) != want || want > 0 && got[len(got)-1] != 0.4 {
			t.Errorf("confidence %v: got %v, want the newest %d samples", confidence, got, want)
		}
	}
}

func TestSnapshotHasEachClass(t *testing.T) {
	b := baselinesOf(map[int][]float64{1: {0.1}, 2: {0.2}, 3: {0.9}})
	got := b.Snapshot(3)
	if len(got) != 3 || got[0] != nil || got[1][0] != 0.1 || got[2][0] != 0.2 {
		t.Errorf("got %v", got)
	}
}

func TestRenumberDropsClassesThatHaveNoNewNumber(t *testing.T) {
	b := baselinesOf(map[int][]float64{0: {0.1}, 2: {0.3}})
	b.Renumber([]int{0, 1}, 9, 2)
	if got := b.Snapshot(3); len(b.byClass) != 1 || got[0][0] != 0.1 {
		t.Errorf("got %v", got)
	}
}

func TestRenumber(t *testing.T) {
	b := baselinesOf(map[int][]float64{0: {0.1}, 1: {0.2}, 2: {0.3}, 3: {0.4}})
	b.Renumber([]int{1, -1, 0}, 3, 2)
	got := b.Snapshot(4)
	if len(b.byClass) != 3 || got[1][0] != 0.1 || got[0][0] != 0.3 || got[2][0] != 0.4 {
		t.Errorf("got %v", got)
	}
}
