package weight

import (
	"math"
	"slices"
	"time"

	"lilacbend/policy/internal/sample"
)

const (
	// baselineInterval is the time between two samples of the baselines.
	baselineInterval = time.Second

	// minBaselineSuccesses is the number of successes of a hardware class below which there is no sample of it.
	minBaselineSuccesses = 5
)

// Baselines keep the last mean response times of each hardware class, in seconds, and of all of them together. The least of a
// class stands for that of an idle replica. A class without samples has no entry.
type Baselines struct {
	byClass   map[int][]float64
	sampledAt time.Duration
}

// NewBaselines returns baselines without samples.
func NewBaselines() *Baselines { return &Baselines{byClass: map[int][]float64{}} }

// Sample takes the mean response times of the hardware classes, once in baselineInterval.
func (b *Baselines) Sample(now time.Duration, e *Estimator) {
	if now-b.sampledAt < baselineInterval {
		return
	}
	b.sampledAt = now
	for class, totals := range e.classes {
		if totals.successes >= minBaselineSuccesses {
			samples := append(b.byClass[class], totals.responseTime/totals.successes)
			b.byClass[class] = sample.Newest(sample.Kept, samples)
		}
	}
}

// Restore takes over the baselines of a hardware class that an earlier controller had learned: of them the newest, the fewer the
// less confidence is left by their age (above 0 up to 1).
func (b *Baselines) Restore(class int, samples []float64, confidence float64) {
	left := int(math.Round(confidence * float64(len(samples))))
	if left > 0 {
		b.byClass[class] = slices.Clone(samples[len(samples)-left:])
	}
}

// Snapshot returns the baselines of the hardware classes from 0 to classes-1.
func (b *Baselines) Snapshot(classes int) [][]float64 {
	all := make([][]float64, classes)
	for class, samples := range b.byClass {
		if class >= 0 && class < classes {
			all[class] = slices.Clone(samples)
		}
	}
	return all
}

// Renumber gives the hardware classes their new numbers; below 0: the class no longer exists. The number that stands for all of
// them changes from allBefore to allAfter.
func (b *Baselines) Renumber(numbers []int, allBefore, allAfter int) {
	renumbered := map[int][]float64{}
	for class, samples := range b.byClass {
		switch {
		case class == allBefore:
			renumbered[allAfter] = samples
		case class < len(numbers) && numbers[class] >= 0:
			renumbered[numbers[class]] = samples
		}
	}
	b.byClass = renumbered
}

// least returns the least baseline of a hardware class.
func (b *Baselines) least(class int) (float64, bool) {
	samples := b.byClass[class]
	if len(samples) == 0 {
		return 0, false
	}
	return slices.Min(samples), true
}

// fastest returns the least baseline of all hardware classes; infinite: there is none.
func (b *Baselines) fastest() float64 {
	fastest := math.Inf(1)
	for _, samples := range b.byClass {
		fastest = min(fastest, slices.Min(samples))
	}
	return fastest
}
