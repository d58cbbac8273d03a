// Package slowstart decides how much weight a replica gets while it warms up, and when a replica that warms up gets no
// requests at all.
//
// A replica warms up for Config.Duration from its start. Its capacity is assumed to rise linearly over that time, from
// Config.InitialFraction of its usual capacity to all of it. Its weight fraction is the lowest of these limits:
//
//   - maxOverloadFraction of the load at which the replica fails with its current capacity: the requests of a zone may
//     double before a load report shows it
//   - entryFraction, for the first entryTime after the replica became known
//   - 1, the weight fraction of a warmed-up replica
//
// The fraction of lost requests is the fraction of the attempts that fail or of the requests that fail, whichever is larger.
// The first of these limits, or 1 if that limit is above 1, is multiplied by the square of the fraction of requests that are
// not lost, because each failed request is sent again. If the fraction of lost requests exceeds maxLostFraction, and until
// the state of the fleet is known, the replica is held back and gets no requests: in a collapse all retries would go to it.
//
// The exception is the recovery of a fleet of which most replicas have just been replaced. If all replicas that warm up
// could serve all attempts together, lost requests do not count for them (Fleet.Recovery): holding them back would overload
// the few other replicas, and the requests lost to that overload would hold them back forever. This applies to all replicas
// that warm up or to none, because a single one would be sent the load that is meant for all of them.
package slowstart

import (
	"math"
	"time"
)

const (
	// entryFraction is the maximum weight fraction of a replica that has just become known.
	entryFraction = 0.5

	// entryTime is the time after a replica became known during which entryFraction applies.
	entryTime = 5 * time.Second

	// maxOverloadFraction limits the weight of a replica that warms up to this fraction of the load at which the replica
	// fails with its current capacity. The rest is headroom for sudden increases of requests.
	maxOverloadFraction = 1.0 / 3

	// maxLostFraction is the fraction of lost requests (Recovery.LostFraction) above which replicas that warm up are held
	// back and get no requests.
	maxLostFraction = 0.3

	// minSum is the initial value of sums, which keeps divisors above 0.
	minSum = 1e-9
)

// Config holds the properties of the deployment that slow start depends on.
type Config struct {
	Duration         time.Duration // time from the start of a replica until it has its full capacity
	InitialFraction  float64       // lowest fraction of its full capacity that a replica has at its start
	OverloadMultiple float64       // load at which a replica fails, as a multiple of its capacity
}

// Replica is a replica that may be warming up. Times are durations since the epoch of the caller's clock.
type Replica struct {
	Start      time.Duration // when its process started; 0: long ago
	KnownSince time.Duration // when that start became known
	Ejected    bool
}

// WarmingUp reports whether the replica is warming up.
func (c Config) WarmingUp(now time.Duration, r Replica) bool {
	return r.Start > 0 && now-r.Start < c.Duration
}

// CapacityFraction returns the fraction of its usual capacity that a replica that warms up has at least; 0 if it is ejected.
func (c Config) CapacityFraction(now time.Duration, r Replica) float64 {
	if r.Ejected {
		return 0
	}
	age := max(0, now-r.Start)
	return c.InitialFraction + (1-c.InitialFraction)*float64(age)/float64(max(1, c.Duration))
}

// WeightFraction returns the fraction of its usual weight that the replica gets. lostFraction is the fraction of lost
// requests (Recovery.LostFraction).
func (c Config) WeightFraction(now time.Duration, r Replica, lostFraction float64) float64 {
	if !c.WarmingUp(now, r) {
		return 1
	}
	safeFraction := math.Min(1, c.CapacityFraction(now, r)*maxOverloadFraction*c.OverloadMultiple)
	fraction := safeFraction * math.Pow(1-lostFraction, 2)
	if now-r.KnownSince < entryTime {
		fraction = math.Min(fraction, entryFraction)
	}
	return fraction
}

// HeldBack reports whether the replica gets no requests because it is warming up. The fleet's state is known once the fleet
// has been evaluated for the first time.
func (c Config) HeldBack(now time.Duration, r Replica, fleetKnown bool, lostFraction float64) bool {
	return c.WarmingUp(now, r) && (!fleetKnown || lostFraction > maxLostFraction)
}
