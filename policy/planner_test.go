package policy

import (
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/policy/binding"
	"lilacbend/policy/outlier"
	"lilacbend/policy/update"
)

// plannerOf returns the planner after it has received statuses. Each replica gets a queue of its own, in the order given.
func plannerOf(g *Policy, statuses ...replicaStatus) *planner {
	p := g.queues[placementComponent].component.(*planner)
	for _, status := range statuses {
		status.queue = len(g.queues)
		g.queues = append(g.queues, &queue{})
		p.handle(status)
	}
	return p
}

func statusOf(id uint32, zone int, state control.State) replicaStatus {
	return replicaStatus{
		ListedReplica: control.ListedReplica{Replica: id, Zone: zone, State: state, Weight: 1},
		weight:        1,
		capacity:      1,
		placementKey:  1 / float64(id),
	}
}

// Where most replicas have just been replaced, to give them less leaves all work to the few that are warmed up, which are
// overloaded for as long as it goes on. Those that warm up in one table do not count alone, however much of it they could carry:
// all proxies may be bound to another, which has them as spillover endpoints.
func TestLostRequestsCountUnlessWarmingReplicasCouldCarryAllAttempts(t *testing.T) {
	for _, c := range []struct {
		warming, others int // of ten each of two tables
		attempts        float64
		suffice         bool
	}{{1, 0, 10, false}, {4, 4, 10, false}, {6, 6, 10, true}, {9, 9, 10, true}, {6, 6, 15, false}, {9, 9, 15, true}, {9, 9, 40, false},
		{10, 1, 10, true}, {10, 0, 12, false}, {0, 10, 12, false}, {10, 2, 15, false}, {10, 6, 15, true}} {
		g := newPolicyAt(10 * second)
		g.OverloadMultiple = 4
		p := plannerOf(g)
		for id := uint32(1); id <= 20; id++ {
			status := statusOf(id, 0, control.Ready)
			status.warmingUp = int(id) <= c.warming || id > 10 && int(id) <= 10+c.others
			status.capacityFraction = 0.5
			status.window = outlier.Window{Attempts: c.attempts, Failures: c.attempts - 10} // ten succeed at each
			p.placer.RememberTable(id, int(id-1)/10)
			plannerOf(g, status)
		}
		plannerOf(g, statusOf(21, 0, control.Gone)) // carries nothing
		p.handle(demandSummary{FailedFraction: 0.8})
		p.evaluateFleet()
		for _, queue := range []int{fixedComponents, fixedComponents + 19} {
			if got, lost := queued[replicaEvaluation](g, queue)[0].lostFraction, map[bool]float64{false: 0.8}[c.suffice]; got != lost {
				t.Errorf("%+v: replica %d is told that %v is lost, want %v", c, queue-fixedComponents+1, got, lost)
			}
		}
	}
	g := newPolicyAt(100 * second)
	r := observed(g, 0, 0, 0)
	r.entry.Start = r.now - second
	r.handle(replicaEvaluation{weightGoal: 1, lostFraction: 0.6})
	wantEqual(t, "held back", queued[replicaStatus](g, placementComponent)[0].heldBack, true)
}

func TestLostRequestsTellWarmingReplicasOfACollapse(t *testing.T) {
	g := newPolicyAt(10 * second)
	status := statusOf(1, 0, control.Ready)
	status.window = outlier.Window{Attempts: 100, Failures: 10}
	p := plannerOf(g, status)
	p.handle(demandSummary{FailedFraction: 0.9}) // requests without a response
	p.evaluateFleet()
	n := queued[replicaEvaluation](g, fixedComponents)[0]
	wantEqual(t, "ejection goes by the mean, slow start by the worst", n.health.FailureRate < 0.11 && n.lostFraction == 0.9, true)
}

// What was attempted at a replica that has begun to drain is attempted at the others next.
func TestAttemptsAtDrainingReplicasCountForWarmingOnes(t *testing.T) {
	for state, lost := range map[control.State]float64{control.Ready: 0, control.Draining: 0.8} {
		g := newPolicyAt(10 * second)
		g.OverloadMultiple = 4
		p := plannerOf(g)
		for id := uint32(1); id <= 10; id++ {
			status := statusOf(id, 0, control.Ready)
			if status.window.Attempts = 10; id > 5 {
				status.warmingUp = true
				status.capacityFraction = 0.5
				status.window.Attempts = 0
			}
			plannerOf(g, status)
		}
		eleventh := statusOf(11, 0, state)
		eleventh.window.Attempts = 51
		if state == control.Ready { // one of those warmed up, which succeeds as often
			eleventh.window.Attempts = 10
		}
		plannerOf(g, eleventh)
		p.handle(demandSummary{FailedFraction: 0.8})
		p.evaluateFleet()
		wantEqual(t, "lost", queued[replicaEvaluation](g, fixedComponents+9)[0].lostFraction, lost)
	}
}

// Replicas that warm up have to be unejected together where much is lost and they can carry it: else they are not in, or the others
// carry their part.
func TestWarmingReplicasAreUnejectedTogetherWhereMuchIsLost(t *testing.T) {
	for lost, together := range map[float64]bool{0.2: false, 0.8: true} {
		g := newPolicyAt(10 * second)
		g.OverloadMultiple = 4
		p := plannerOf(g)
		for id := uint32(1); id <= 10; id++ {
			status := statusOf(id, 0, control.Ready)
			if status.window.Attempts = 10; id > 5 {
				status.warmingUp = true
				status.capacityFraction = 0.8
			}
			plannerOf(g, status)
		}
		p.handle(demandSummary{FailedFraction: lost})
		p.evaluateFleet()
		wantEqual(t, "together", p.warming().UnejectTogether, together)
		wantEqual(t, "those that warm up", len(p.warming().Replicas), 5)
		wantEqual(t, "lost, as they count it", queued[replicaEvaluation](g, fixedComponents+9)[0].lostFraction, 0.0)
	}
}

func TestAFewReplicasThatFailAreNoOverload(t *testing.T) {
	g := newPolicyAt(10 * second)
	for id := uint32(1); id <= 4; id++ {
		status := statusOf(id, 0, control.Ready)
		if status.window.Attempts = 10; id == 1 {
			status.window.Failures = 10
		}
		plannerOf(g, status)
	}
	plannerOf(g).evaluateFleet()
	f := queued[fleetLoad](g, admissionComponent)[0]
	wantEqual(t, "a quarter of all fails, of most nothing", f.FailureRate == 0.25 && f.TypicalFailureRate < 0.01, true)
}

func TestFleetLoadCountsReplicasInService(t *testing.T) {
	g := newPolicyAt(10 * second)
	for id, change := range []func(*replicaStatus){
		func(*replicaStatus) {},
		func(s *replicaStatus) { s.warmingUp = true },
		func(s *replicaStatus) { s.ejected = true },
		func(s *replicaStatus) { s.heldBack = true },
		func(s *replicaStatus) { s.onProbation = true },
		func(s *replicaStatus) { s.State = control.Draining },
	} {
		status := statusOf(uint32(id+1), 0, control.Ready)
		status.window = outlier.Window{Attempts: 40, Failures: 10, ResponseTime: 0.25}
		change(&status)
		plannerOf(g, status)
	}
	plannerOf(g).evaluateFleet()
	f := queued[fleetLoad](g, admissionComponent)[0]
	wantEqual(t, "in service", f.ServingReplicas, 2.0)
	wantEqual(t, "attempts a second", f.AttemptRate, 20.0)
	wantEqual(t, "failure rate", f.FailureRate, 0.25)
	wantEqual(t, "response time of the one that is healthy and warmed up", f.ResponseTime, 0.25)
}

func TestEjectionsGoBeforeTables(t *testing.T) {
	g := newPolicyAt(0)
	p := plannerOf(g, statusOf(1, 0, control.Ready), statusOf(2, 0, control.Draining))
	p.handle(placementDue{})
	sent := g.queues[pacingComponent].waiting
	wantEqual(t, "messages", len(sent), 2)
	wantEqual(t, "first", sent[0], message(replicaExcluded{2}))
	targets := queued[targetTables](g, updateComponent)[0]
	wantEqual(t, "excluded", targets.Ejected[2] && !targets.Ejected[1], true)
	wantEqual(t, "weight", targets.Weights[update.Endpoint{Table: 0, Replica: 1}], 1.0)
	wantEqual(t, "tables", len(queued[tablesAssigned](g, bindingComponent)[0].tables), 1)
}

func TestPlacementIsRepeatedOnlyAfterAChange(t *testing.T) {
	g := newPolicyAt(0)
	p := plannerOf(g, statusOf(1, 0, control.Ready))
	p.handle(placementDue{})
	p.handle(placementDue{})
	wantEqual(t, "plans without a change", len(queued[targetTables](g, updateComponent)), 1)
	p.handle(proxyBound{binding.Proxy{StreamOpened: control.StreamOpened{Proxy: 3, Rate: 5}}})
	p.handle(placementDue{})
	wantEqual(t, "plans after a change", len(queued[targetTables](g, updateComponent)), 2)
}

func TestProxiesAreInOrderOfTheirIDs(t *testing.T) {
	p := plannerOf(newPolicyAt(0))
	for _, id := range []int{5, 2, 9, 2} {
		p.handle(proxyBound{binding.Proxy{StreamOpened: control.StreamOpened{Proxy: id, Rate: float64(id)}, ConnectedAt: time.Duration(id), Table: 1}})
	}
	p.handle(streamClosed{control.StreamClosed{Proxy: 5}})
	p.handle(streamClosed{control.StreamClosed{Proxy: 7}})
	wantEqual(t, "proxies", len(p.proxies), 2)
	wantEqual(t, "first", p.proxies[0].ID, 2)
	wantEqual(t, "last", p.proxies[1].ID, 9)
	wantEqual(t, "its rate", p.proxies[1].Rate, 9.0)
}
