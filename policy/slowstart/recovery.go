package slowstart

import "math"

// Load is the recent load of one replica.
type Load struct {
	ListedWeight     float64
	CapacityFraction float64 // if it is warming up
	Attempts         float64
	Failures         float64
	Ready            bool
	WarmingUp        bool
}

// Fleet sums the load of all replicas, to find whether those that warm up could carry all of it.
type Fleet struct {
	overloadMultiple float64
	warmingCapacity  float64 // before they fail, in units of listed weight
	attempts         float64
	warmedSuccesses  float64
	warmedWeight     float64
}

// Recovery is how replicas that warm up are treated.
type Recovery struct {
	// LostFraction is the fraction of lost requests that they count, by which their weight shrinks and they are held back: the
	// fraction of the attempts that fail or of the requests that fail, whichever is larger; 0 where the replicas that warm up
	// could carry all attempts together.
	LostFraction float64
	// UnejectTogether says that those that are ejected are unejected all at once, as they count no lost requests though many
	// are lost: a single one would get the load that is meant for all of them.
	UnejectTogether bool
}

// NewFleet returns the sum of no replicas.
func NewFleet(overloadMultiple float64) *Fleet {
	return &Fleet{overloadMultiple: overloadMultiple, attempts: minSum, warmedSuccesses: minSum, warmedWeight: minSum}
}

// Add adds a replica. The order of the replicas is part of the result, as sums of floating-point numbers depend on it.
func (f *Fleet) Add(l Load) {
	f.attempts += l.Attempts // those at draining replicas as well: the others get them next
	switch {
	case !l.Ready:
	case l.WarmingUp:
		f.warmingCapacity += l.ListedWeight * l.CapacityFraction * f.overloadMultiple
	default:
		f.warmedSuccesses = f.warmedSuccesses + l.Attempts - l.Failures
		f.warmedWeight += l.ListedWeight
	}
}

// Recovery returns how replicas that warm up are treated while a fraction of the attempts fails and a fraction of the requests is
// lost.
func (f *Fleet) Recovery(failureRate, lostFraction float64) Recovery {
	lost := math.Max(failureRate, lostFraction)
	if !f.warmingSuffices() {
		return Recovery{LostFraction: lost}
	}
	return Recovery{UnejectTogether: lost > maxLostFraction}
}

// warmingSuffices reports whether the replicas that warm up could carry all attempts. What one unit of listed weight can do
// is taken from the successes of the others. Those of one table do not count alone: all proxies may be bound to another.
func (f *Fleet) warmingSuffices() bool {
	return f.warmingCapacity >= f.attempts/f.warmedSuccesses*f.warmedWeight
}
