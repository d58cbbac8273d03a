// Package slowstart decides how much weight a replica gets while it warms up, and when a replica that warms up gets no requests
// at all.
//
// A replica warms up from its start for Config.Duration. Its capacity is taken to rise evenly over that time from
// Config.InitialFraction of the usual one. Its weight fraction is the least of these:
//
//   - maxOverload of the load at which it fails at its capacity of now: the requests of a zone may double before a load
//     report shows it
//   - entryFraction for the first entryTime after it became known
//   - 1, a warmed-up replica's
//
// The first of them shrinks by the square of the fraction of requests that succeed, as each failed one is sent again. Beyond
// maxLostFraction, and until the fleet's state is known, the replica is held back: in a collapse all retries would go to it.
//
// The exception is the recovery of a fleet of which most has just been replaced. Where all replicas that warm up could carry
// all attempts together, they count no lost requests (Fleet.Recovery): to hold them back would overload the few others, and
// the requests lost by that would hold them back for ever. It is all of them or none, as one alone would be sent what is
// meant for all.
package slowstart

import (
	"math"
	"time"
)

const (
	// entryFraction is the weight fraction that a new replica gets at most.
	entryFraction = 0.5

	// entryTime is how long entryFraction holds.
	entryTime = 5 * time.Second

	// maxOverload is the fraction of the overload multiple that a replica's weight may use. The rest is for sudden increases.
	maxOverload = 1.0 / 3

	// maxLostFraction is the fraction of lost requests above which replicas that warm up are held back.
	maxLostFraction = 0.3

	// minSum keeps divisors above 0.
	minSum = 1e-9
)

// Config are the properties of the deployment that slow start depends on.
type Config struct {
	Duration         time.Duration // until a replica has its full capacity
	InitialFraction  float64       // least fraction of its capacity that a replica starts with
	OverloadMultiple float64       // of its capacity, at which a replica fails
}

// Replica is a replica that may be warming up. Times are durations since the epoch of the caller's clock.
type Replica struct {
	Start      time.Duration // of its process; 0: long ago
	KnownSince time.Duration // when the start became known
	Ejected    bool
}

// WarmingUp reports whether the replica is warming up.
func (c Config) WarmingUp(now time.Duration, r Replica) bool {
	return r.Start > 0 && now-r.Start < c.Duration
}

// CapacityFraction returns the fraction of its usual capacity that a replica that warms up surely has; none if it is ejected.
func (c Config) CapacityFraction(now time.Duration, r Replica) float64 {
	if r.Ejected {
		return 0
	}
	age := max(0, now-r.Start)
	return c.InitialFraction + (1-c.InitialFraction)*float64(age)/float64(max(1, c.Duration))
}

// WeightFraction returns the fraction of its usual weight that the replica gets while lostFraction of the requests is lost.
func (c Config) WeightFraction(now time.Duration, r Replica, lostFraction float64) float64 {
	if !c.WarmingUp(now, r) {
		return 1
	}
	safe := math.Min(1, c.CapacityFraction(now, r)*maxOverload*c.OverloadMultiple)
	fraction := safe * math.Pow(1-lostFraction, 2)
	if now-r.KnownSince < entryTime {
		fraction = math.Min(fraction, entryFraction)
	}
	return fraction
}

// HeldBack reports whether the replica gets no requests as it is warming up. The fleet's state is known from the first
// evaluation of the fleet on.
func (c Config) HeldBack(now time.Duration, r Replica, fleetKnown bool, lostFraction float64) bool {
	return c.WarmingUp(now, r) && (!fleetKnown || lostFraction > maxLostFraction)
}
