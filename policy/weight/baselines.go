package weight

import (
	"math"
	"slices"
	"time"

	"lilacbend/policy/internal/sample"
)

const (
	// baselineInterval is the minimum time between two samples of the baselines.
	baselineInterval = time.Second

	// minBaselineSuccesses is the number of successes of a hardware class below which it is not sampled.
	minBaselineSuccesses = 5
)

// Baselines keeps the newest mean response times of each hardware class, in seconds, and of all classes together. The lowest
// baseline of a class is taken as the response time of an idle replica. A class without samples has no entry.
type Baselines struct {
	byClass   map[int][]float64
	sampledAt time.Duration
}

// NewBaselines returns baselines without samples.
func NewBaselines() *Baselines { return &Baselines{byClass: map[int][]float64{}} }

// Sample adds the current mean response time of each hardware class, at most once in baselineInterval.
func (b *Baselines) Sample(now time.Duration, e *Estimator) {
	if now-b.sampledAt < baselineInterval {
		return
	}
	b.sampledAt = now
	for class, totals := range e.classes {
		if totals.successes >= minBaselineSuccesses {
			samples := append(b.byClass[class], totals.totalResponseTime/totals.successes)
			b.byClass[class] = sample.Newest(sample.MaxKept, samples)
		}
	}
}

// Restore takes over the baselines of a hardware class that an earlier controller had learned. It keeps the newest of them,
// a fraction equal to the confidence, which falls with their age (above 0, at most 1).
func (b *Baselines) Restore(class int, samples []float64, confidence float64) {
	kept := int(math.Round(confidence * float64(len(samples))))
	if kept > 0 {
		b.byClass[class] = slices.Clone(samples[len(samples)-kept:])
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

// Renumber changes the numbers of the hardware classes. newNumbers holds the new number of each class by its old number,
// negative for a class that no longer exists. The number that denotes all classes together changes from oldAllClasses to
// newAllClasses.
func (b *Baselines) Renumber(newNumbers []int, oldAllClasses, newAllClasses int) {
	renumbered := map[int][]float64{}
	for class, samples := range b.byClass {
		switch {
		case class == oldAllClasses:
			renumbered[newAllClasses] = samples
		case class < len(newNumbers) && newNumbers[class] >= 0:
			renumbered[newNumbers[class]] = samples
		}
	}
	b.byClass = renumbered
}

// lowest returns the lowest baseline of a hardware class; false: there is none.
func (b *Baselines) lowest(class int) (float64, bool) {
	samples := b.byClass[class]
	if len(samples) == 0 {
		return 0, false
	}
	return slices.Min(samples), true
}

// fastest returns the lowest baseline of all hardware classes; infinite: there is none.
func (b *Baselines) fastest() float64 {
	fastest := math.Inf(1)
	for _, samples := range b.byClass {
		fastest = min(fastest, slices.Min(samples))
	}
	return fastest
}
