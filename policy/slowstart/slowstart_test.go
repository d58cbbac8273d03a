package slowstart

import (
	"math"
	"testing"
	"time"
)

var config = Config{Duration: 10 * time.Second, InitialFraction: 0.2, OverloadMultiple: 4}

func TestWeightFractionStaysWithinMaxOverloadFraction(t *testing.T) {
	r := Replica{Start: 99 * time.Second, KnownSince: 100 * time.Second}
	now := r.KnownSince
	for ; now < r.Start+config.Duration; now += time.Second {
		capacity := config.InitialFraction + (1-config.InitialFraction)*float64(now-r.Start)/float64(config.Duration)
		fraction := config.WeightFraction(now, r, 0)
		if fraction > maxOverloadFraction*config.OverloadMultiple*capacity {
			t.Errorf("at age %v: weight fraction %v with %v of the capacity", now-r.Start, fraction, capacity)
		}
		if now-r.KnownSince < entryTime && fraction > entryFraction {
			t.Errorf("at age %v: weight fraction %v, want at most %v", now-r.Start, fraction, entryFraction)
		}
	}
	if got := config.WeightFraction(now, r, 0); got != 1 {
		t.Errorf("warmed up: weight fraction %v, want 1", got)
	}
}

func TestWeightFractionIsLimitedWhileAReplicaWarmsUp(t *testing.T) {
	start := 100 * time.Second
	for _, c := range []struct {
		name     string
		age      time.Duration
		known    time.Duration
		lost     float64
		ejected  bool
		min, max float64
	}{
		{"half of Duration: a third of the load at which the replica fails", 5 * time.Second, 0, 0, false, 0.7999, 0.8001},
		{"nearly warmed up: at most the weight of a warmed-up replica", 9 * time.Second, 0, 0, false, 1, 1},
		{"known for less than entryTime: at most entryFraction", 9 * time.Second, start + 4*time.Second + 1, 0, false, 0.5, 0.5},
		{"known for entryTime: limited by its age only", 9 * time.Second, start + 4*time.Second, 0, false, 1, 1},
		{"half of the requests are lost: a quarter", 9 * time.Second, 0, 0.5, false, 0.25, 0.25},
		{"ejected: 0", 9 * time.Second, 0, 0, true, 0, 0},
		{"ejected and warmed up: full weight, as ejection itself excludes it", 10 * time.Second, 0, 0, true, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Replica{Start: start, KnownSince: c.known, Ejected: c.ejected}
			if got := config.WeightFraction(start+c.age, r, c.lost); got < c.min || got > c.max {
				t.Errorf("got %v, want from %v to %v", got, c.min, c.max)
			}
		})
	}
}

func TestWeightFractionFallsWithLostRequests(t *testing.T) {
	r := Replica{Start: 99 * time.Second, KnownSince: 100 * time.Second}
	now := 100 * time.Second
	withoutLosses := config.WeightFraction(now, r, 0)
	if got := config.WeightFraction(now, r, 0.8); got > withoutLosses/2 {
		t.Errorf("weight fraction %v while 0.8 of the requests are lost, want at most half of %v", got, withoutLosses)
	}
}

func TestWarmingUp(t *testing.T) {
	now := 100 * time.Second
	for _, c := range []struct {
		name  string
		start time.Duration
		want  bool
	}{
		{"started long ago", 0, false},
		{"just started", now, true},
		{"at the end of the warm-up", now - config.Duration, false},
		{"shortly before the end of the warm-up", now - config.Duration + 1, true},
		{"start in the future, because of a clock that is ahead", now + time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := config.WarmingUp(now, Replica{Start: c.start}); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestReplicaWithoutStartIsNeverWarmingUp(t *testing.T) {
	if config.WarmingUp(config.Duration/2, Replica{}) {
		t.Error("replica without a start is warming up")
	}
}

func TestCapacityFraction(t *testing.T) {
	now := 100 * time.Second
	for _, c := range []struct {
		name    string
		start   time.Duration
		ejected bool
		want    float64
	}{
		{"just started", now, false, config.InitialFraction},
		{"start in the future, because of a clock that is ahead", now + time.Second, false, config.InitialFraction},
		{"half of Duration", now - config.Duration/2, false, 0.6},
		{"ejected", now - config.Duration/2, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := config.CapacityFraction(now, Replica{Start: c.start, Ejected: c.ejected}); math.Abs(got-c.want) > 1e-12 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestWarmingReplicaIsHeldBackUntilFleetIsKnownAndWhileLossesAreHigh(t *testing.T) {
	now := 100 * time.Second
	warming := Replica{Start: now - time.Second}
	for _, c := range []struct {
		name       string
		replica    Replica
		fleetKnown bool
		lost       float64
		want       bool
	}{
		{"state of the fleet is not known", warming, false, 0, true},
		{"no lost requests", warming, true, 0, false},
		{"lost fraction at the limit", warming, true, 0.3, false},
		{"lost fraction above the limit", warming, true, 0.31, true},
		{"warmed up", Replica{}, false, 2 * maxLostFraction, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := config.HeldBack(now, c.replica, c.fleetKnown, c.lost); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
