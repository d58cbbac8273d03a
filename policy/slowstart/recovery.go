package slowstart

import "math"

// Load is the recent load of one replica.
type Load struct {
	ListedWeight     float64
	CapacityFraction float64 // current fraction of its usual capacity; counts only if it is warming up
	Attempts         float64
	Failures         float64
	Ready            bool
	WarmingUp        bool
}

// Fleet sums the load of all replicas, to determine whether the replicas that warm up could serve all of it.
type Fleet struct {
	overloadMultiple  float64
	warmingCapacity   float64 // load at which the replicas that warm up fail, in units of listed weight
	attempts          float64 // attempts at all replicas, including draining ones
	warmedUpSuccesses float64 // successful attempts at the warmed-up replicas
	warmedUpWeight    float64 // listed weight of the warmed-up replicas
}

// Recovery holds what the load of the whole fleet determines for the replicas that warm up: the fraction of lost requests
// that counts for them, and how they are unejected.
type Recovery struct {
	// LostFraction is the fraction of lost requests that counts for replicas that warm up: it reduces their weight and
	// decides whether they are held back. It is the fraction of the attempts that fail or of the requests that fail,
	// whichever is larger; 0 if the replicas that warm up could serve all attempts together.
	LostFraction float64
	// UnejectTogether is whether ejected replicas that warm up are unejected all at once. They are if lost requests do not
	// count for them although the fraction of lost requests exceeds maxLostFraction: a single unejected replica would get
	// the load that is meant for all of them.
	UnejectTogether bool
}

// NewFleet returns a Fleet without replicas.
func NewFleet(overloadMultiple float64) *Fleet {
	return &Fleet{overloadMultiple: overloadMultiple, attempts: minSum, warmedUpSuccesses: minSum, warmedUpWeight: minSum}
}

// Add adds a replica. Callers add the replicas in a fixed order, because floating-point sums depend on the order.
func (f *Fleet) Add(l Load) {
	f.attempts += l.Attempts // also at draining replicas: the other replicas get their attempts next
	switch {
	case !l.Ready:
	case l.WarmingUp:
		f.warmingCapacity += l.ListedWeight * l.CapacityFraction * f.overloadMultiple
	default:
		f.warmedUpSuccesses = f.warmedUpSuccesses + l.Attempts - l.Failures
		f.warmedUpWeight += l.ListedWeight
	}
}

// Recovery returns the fraction of lost requests that counts for the replicas that warm up, and how they are unejected.
// failureRate is the fraction of the attempts that fail, and failedFraction the fraction of the requests that fail.
func (f *Fleet) Recovery(failureRate, failedFraction float64) Recovery {
	lost := math.Max(failureRate, failedFraction)
	if !f.warmingReplicasSuffice() {
		return Recovery{LostFraction: lost}
	}
	return Recovery{UnejectTogether: lost > maxLostFraction}
}

// warmingReplicasSuffice reports whether the replicas that warm up could serve all attempts. The load that one unit of
// listed weight can serve is taken from the successes of the warmed-up replicas. The replicas of a single table are not
// counted separately, because all proxies may be bound to another table.
func (f *Fleet) warmingReplicasSuffice() bool {
	return f.warmingCapacity >= f.attempts/f.warmedUpSuccesses*f.warmedUpWeight
}
