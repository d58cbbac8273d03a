package slowstart

import "testing"

// fleet returns a fleet of warmed-up and warming replicas of equal listed weight. Each has 10 successes in the given number
// of attempts.
func fleet(warmedUp, warming int, attempts float64) *Fleet {
	f := NewFleet(config.OverloadMultiple)
	load := Load{ListedWeight: 1, CapacityFraction: 0.5, Attempts: attempts, Failures: attempts - 10, Ready: true}
	for range warmedUp {
		f.Add(load)
	}
	load.WarmingUp = true
	for range warming {
		f.Add(load)
	}
	return f
}

func TestLostRequestsDoNotCountIfWarmingReplicasSuffice(t *testing.T) {
	for _, c := range []struct {
		name              string
		warmedUp, warming int
		attempts          float64
		suffice           bool
	}{
		{"1 of 20 warms up", 19, 1, 10, false},
		{"8 of 20 warm up", 12, 8, 10, false},
		{"12 of 20 warm up", 8, 12, 10, true},
		{"18 of 20 warm up", 2, 18, 10, true},
		{"12 of 20 warm up, with retries", 8, 12, 15, false},
		{"18 of 20 warm up, with retries", 2, 18, 15, true},
		{"18 of 20 warm up, with the retries of a collapse", 2, 18, 40, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := fleet(c.warmedUp, c.warming, c.attempts)
			f.Add(Load{ListedWeight: 1}) // not ready: serves nothing
			want := Recovery{LostFraction: 0.8}
			if c.suffice {
				want = Recovery{UnejectTogether: true}
			}
			if got := f.Recovery(0.1, 0.8); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestRecoveryUsesHigherFailureRateOfAttemptsAndRequests(t *testing.T) {
	f := fleet(10, 0, 10)
	for _, c := range []struct{ attempts, requests, want float64 }{{0.1, 0.9, 0.9}, {0.7, 0.2, 0.7}, {0, 0, 0}} {
		if got := f.Recovery(c.attempts, c.requests); got != (Recovery{LostFraction: c.want}) {
			t.Errorf("failure rate of attempts %v, of requests %v: got %+v, want %v", c.attempts, c.requests, got, c.want)
		}
	}
}

func TestUnejectTogetherOnlyAboveMaxLostFraction(t *testing.T) {
	f := fleet(1, 9, 10)
	for lost, want := range map[float64]bool{0.2: false, maxLostFraction: false, 0.8: true} {
		if got := f.Recovery(0, lost); got != (Recovery{UnejectTogether: want}) {
			t.Errorf("lost fraction %v: got %+v, want UnejectTogether %v", lost, got, want)
		}
	}
}

func TestAttemptsAtDrainingReplicasCount(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra Load
		want  bool // UnejectTogether: the warming replicas suffice
	}{
		{"one more warmed-up replica", Load{ListedWeight: 1, Attempts: 10, Ready: true}, true},
		{"draining replica with many attempts", Load{ListedWeight: 1, Attempts: 51}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewFleet(config.OverloadMultiple)
			for range 5 {
				f.Add(Load{ListedWeight: 1, Attempts: 10, Ready: true})
				f.Add(Load{ListedWeight: 1, CapacityFraction: 0.5, Ready: true, WarmingUp: true})
			}
			f.Add(c.extra)
			if got := f.Recovery(0, 0.8).UnejectTogether; got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
