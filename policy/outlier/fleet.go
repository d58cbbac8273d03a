package outlier

import (
	"math"
	"slices"

	"lilacbend/policy/internal/sample"
)

// typicalFraction is the fraction of the replicas, those that fail least, of which TypicalFailureRate is the mean: a few
// replicas that fail are outliers, not an overload of the fleet.
const typicalFraction = 0.75

// FleetWindow sums the windows of the replicas in service. The zero value is a fleet without replicas.
type FleetWindow struct {
	Attempts     float64
	Failures     float64
	Replicas     float64
	failureRates []float64 // of each
}

// Add adds a replica in service. The order of the replicas is part of the result, as sums of floating-point numbers depend on
// it.
func (f *FleetWindow) Add(w Window) {
	f.Attempts += w.Attempts
	f.Failures += w.Failures
	f.Replicas++
	f.failureRates = append(f.failureRates, w.FailureRate())
}

// FailureRate returns the fraction of all attempts that failed.
func (f *FleetWindow) FailureRate() float64 { return f.Failures / math.Max(1, f.Attempts) }

// TypicalFailureRate returns the mean failure rate of the replicas without those that fail most.
func (f *FleetWindow) TypicalFailureRate() float64 {
	slices.Sort(f.failureRates)
	typical := int(math.Ceil(typicalFraction * float64(len(f.failureRates))))
	return sample.Mean(f.failureRates[:typical])
}
