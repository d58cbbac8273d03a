package policy

import (
	"lilacbend/control"
	"testing"
)

func met(g *Policy, tries, bad, answer float64) *replica {
	r := &replica{sharedState: &g.sharedState, box: fixedComponents, entry: control.ListedReplica{Replica: 9, Weight: 1}, speed: 1}
	r.fleet = fleetBaseline{late: 0.4, good: 20, goal: 1}
	r.met = []attemptSample{{g.now, tries, bad, answer}}
	return r
}

func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name                      string
		tries, bad, answer, fleet float64
		rests                     bool
	}{
		{"silent", 10, 10, 0, 0, true},
		{"quick failer", 20, 17, 0.1, 0, true},
		{"slow: answers late", 20, 17, 0.9, 0, false},
		{"half failing: worth more than nothing", 20, 12, 0.1, 0, false},
		{"busy: misses, but gives its share", 60, 40, 0.3, 0, false},
		{"trouble of the whole fleet", 9, 6, 0.2, 0.35, false},
		{"a fleet that is lost", 500, 500, 0, 0.9, false},
		{"too few tries", 4, 4, 0, 0, false},
	} {
		r := met(at(100*second), c.tries, c.bad, c.answer)
		r.fleet.bad = c.fleet
		r.judge()
		want(t, c.name, r.ejectedUntil > r.now, c.rests)
	}
}

func TestTrialEndsOrRelapses(t *testing.T) {
	r := met(at(100*second), 10, 10, 0)
	r.judge()
	first := r.ejectedUntil - r.now
	r.now = r.ejectedUntil
	r.judge()
	want(t, "on trial", r.trial, r.now+r.ReportInterval)
	r.now += 2 * second
	r.met = []attemptSample{{r.now, probationTries, probationTries, 0}}
	r.judge()
	want(t, "longer rest at a ejections", r.ejectedUntil-r.now, 2*first)
	r.now = r.ejectedUntil
	r.judge()
	r.now += 2 * second
	r.met = []attemptSample{{r.now, probationTries, 0, 0.2}}
	r.judge()
	want(t, "well again", r.trial == 0 && r.ejectedUntil == 0, true)
}

func TestOldSamplesAreNotJudged(t *testing.T) {
	r := met(at(100*second), 10, 10, 0)
	r.now += recent
	r.judge()
	want(t, "rests", r.ejectedUntil > 0, false)
}

func TestWarmthStaysInTheColdBudget(t *testing.T) {
	r := met(at(100*second), 0, 0, 0)
	r.entry.Start, r.heard = r.now-second, r.now
	for ; r.now < r.entry.Start+r.SlowStartTime; r.now += second {
		able := r.SlowStartFraction + (1-r.SlowStartFraction)*float64(r.now-r.entry.Start)/float64(r.SlowStartTime)
		if w := r.warmth(); w > coldSpare*r.OverloadMultiple*able || r.now-r.heard < entrySpan && w > entryShare {
			t.Errorf("at age %d: weight %v with %v able", r.now-r.entry.Start, w, able)
		}
	}
	want(t, "warm", r.warmth(), 1.0)
	r.now, r.heard = r.entry.Start+r.SlowStartTime/2, 0 // a zone's flows may double at any moment
	want(t, "half warm: a third of a fall's multiple", r.warmth() > 0.79 && r.warmth() < 0.81, true)
	r.now = r.entry.Start + r.SlowStartTime*9/10
	want(t, "nearly warm: no more than the warm", r.warmth(), 1.0)
}

func TestTheColdGetLessInACollapse(t *testing.T) {
	g := at(100 * second)
	r := met(g, 0, 0, 0)
	r.entry.Start = r.now - second
	calm := r.warmth()
	n := r.fleet
	n.lost = 0.8
	r.handle(n)
	if w := r.warmth(); w > calm/2 {
		t.Errorf("weight %v while the fleet misses, %v in calm", w, calm)
	}
}

func TestColdWaitsForTheFirstWordOfTheFleet(t *testing.T) {
	g := at(100 * second)
	r := &replica{sharedState: &g.sharedState, box: fixedComponents, speed: 1}
	r.handle(replicaListed{control.ListedReplica{Replica: 9, Weight: 1, Start: 99 * second}})
	want(t, "out", mail[replicaStatus](g, placementComponent)[0].sick, true)
	r.handle(fleetBaseline{goal: 1})
	want(t, "in", mail[replicaStatus](g, placementComponent)[1].sick, false)
}

func TestRestartIsANewReplica(t *testing.T) {
	r := met(at(100*second), 10, 10, 0)
	r.judge()
	e := r.entry
	e.Start = r.now - second
	r.handle(replicaListed{e})
	want(t, "rests", r.ejectedUntil, int64(0))
	want(t, "cold", r.cold(), true)
}

func TestWhatATableCanCarryGoesByOwnWorth(t *testing.T) {
	g := at(100 * second)
	met(g, 0, 0, 0).handle(fleetBaseline{goal: 0.5})
	want(t, "size", mail[replicaStatus](g, placementComponent)[0].size, 0.5)
}
