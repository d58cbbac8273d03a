package outlier

import (
	"math"
	"slices"

	"lilacbend/policy/internal/sample"
)

// typicalFraction is the fraction of the replicas, those with the lowest failure rates, that TypicalFailureRate averages: a
// few failing replicas are outliers, not an overload of the fleet.
const typicalFraction = 0.75

// FleetWindow sums the windows of the replicas in service. The zero value is a fleet without replicas.
type FleetWindow struct {
	Attempts     float64
	Failures     float64
	Replicas     float64
	failureRates []float64 // failure rate of each replica
}

// Add adds the window of a replica in service. Callers add the replicas in a fixed order, because floating-point sums depend
// on the order.
func (f *FleetWindow) Add(w Window) {
	f.Attempts += w.Attempts
	f.Failures += w.Failures
	f.Replicas++
	f.failureRates = append(f.failureRates, w.FailureRate())
}

// FailureRate returns the fraction of all attempts that failed.
func (f *FleetWindow) FailureRate() float64 { return f.Failures / math.Max(1, f.Attempts) }

// TypicalFailureRate returns the mean failure rate of typicalFraction of the replicas, those with the lowest failure rates.
func (f *FleetWindow) TypicalFailureRate() float64 {
	slices.Sort(f.failureRates)
	typical := int(math.Ceil(typicalFraction * float64(len(f.failureRates))))
	return sample.Mean(f.failureRates[:typical])
}
