package policy

import (
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/policy/binding"
	"lilacbend/policy/outlier"
	"lilacbend/policy/update"
)

// plannerWith returns the planner after it has handled the statuses. Each replica gets a queue of its own, in the order of
// the statuses.
func plannerWith(policy *Policy, statuses ...replicaStatus) *planner {
	p := policy.queues[placementComponent].component.(*planner)
	for _, status := range statuses {
		status.queue = len(policy.queues)
		policy.queues = append(policy.queues, &queue{})
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

// If most replicas have just been replaced, reducing the weight of the warming ones because of lost requests would send all
// load to the few warmed-up replicas and keep them overloaded. The warming replicas of one table do not suffice, however
// much of its load they could carry: all proxies may be bound to the other table, which uses them as spillover endpoints.
func TestLostRequestsCountUnlessWarmingReplicasCouldCarryAllAttempts(t *testing.T) {
	for _, c := range []struct {
		warming, others int // replicas warming up in the first and in the second table, of ten each
		attempts        float64
		suffice         bool
	}{{1, 0, 10, false}, {4, 4, 10, false}, {6, 6, 10, true}, {9, 9, 10, true}, {6, 6, 15, false}, {9, 9, 15, true}, {9, 9, 40, false},
		{10, 1, 10, true}, {10, 0, 12, false}, {0, 10, 12, false}, {10, 2, 15, false}, {10, 6, 15, true}} {
		policy := newPolicyAt(10 * second)
		policy.OverloadMultiple = 4
		p := plannerWith(policy)
		for id := uint32(1); id <= 20; id++ {
			status := statusOf(id, 0, control.Ready)
			status.warmingUp = int(id) <= c.warming || id > 10 && int(id) <= 10+c.others
			status.capacityFraction = 0.5
			status.window = outlier.Window{Attempts: c.attempts, Failures: c.attempts - 10} // ten successes
			p.placer.RememberTable(id, int(id-1)/10)
			plannerWith(policy, status)
		}
		plannerWith(policy, statusOf(21, 0, control.Gone)) // a gone replica counts as no capacity
		p.handle(demandSummary{FailedFraction: 0.8})
		p.evaluateFleet()
		for _, queue := range []int{fixedComponents, fixedComponents + 19} {
			if got, lost := queued[replicaEvaluation](policy, queue)[0].lostFraction, map[bool]float64{false: 0.8}[c.suffice]; got != lost {
				t.Errorf("%+v: lost fraction sent to replica %d is %v, want %v", c, queue-fixedComponents+1, got, lost)
			}
		}
	}
	policy := newPolicyAt(100 * second)
	r := observedReplica(policy, 0, 0, 0)
	r.entry.StartedAt = r.now - second
	r.handle(replicaEvaluation{weightGoal: 1, lostFraction: 0.6})
	wantEqual(t, "held back at lost fraction 0.6", queued[replicaStatus](policy, placementComponent)[0].heldBack, true)
}

func TestLostFractionIsTheHigherFailureRateOfAttemptsAndRequests(t *testing.T) {
	policy := newPolicyAt(10 * second)
	status := statusOf(1, 0, control.Ready)
	status.window = outlier.Window{Attempts: 100, Failures: 10}
	p := plannerWith(policy, status)
	p.handle(demandSummary{FailedFraction: 0.9}) // nine tenths of the requests get no successful response
	p.evaluateFleet()
	evaluation := queued[replicaEvaluation](policy, fixedComponents)[0]
	wantEqual(t, "ejection uses the failure rate of attempts, slow start the higher failure rate, that of requests", evaluation.health.FailureRate < 0.11 && evaluation.lostFraction == 0.9, true)
}

// Attempts at a draining replica count as load that the other replicas will get next.
func TestAttemptsAtDrainingReplicasCountAsLoadOfWarmingReplicas(t *testing.T) {
	for state, lost := range map[control.State]float64{control.Ready: 0, control.Draining: 0.8} {
		policy := newPolicyAt(10 * second)
		policy.OverloadMultiple = 4
		p := plannerWith(policy)
		for id := uint32(1); id <= 10; id++ {
			status := statusOf(id, 0, control.Ready)
			if status.window.Attempts = 10; id > 5 {
				status.warmingUp = true
				status.capacityFraction = 0.5
				status.window.Attempts = 0
			}
			plannerWith(policy, status)
		}
		eleventh := statusOf(11, 0, state)
		eleventh.window.Attempts = 51
		if state == control.Ready { // a warmed-up replica with as many successes as the others
			eleventh.window.Attempts = 10
		}
		plannerWith(policy, eleventh)
		p.handle(demandSummary{FailedFraction: 0.8})
		p.evaluateFleet()
		wantEqual(t, "lost fraction", queued[replicaEvaluation](policy, fixedComponents+9)[0].lostFraction, lost)
	}
}

// Warming replicas must be unejected together if many requests are lost and the warming replicas can carry all attempts.
// Otherwise they are held back, or the other replicas carry their part of the load.
func TestWarmingReplicasAreUnejectedTogetherIfManyRequestsAreLost(t *testing.T) {
	for lost, together := range map[float64]bool{0.2: false, 0.8: true} {
		policy := newPolicyAt(10 * second)
		policy.OverloadMultiple = 4
		p := plannerWith(policy)
		for id := uint32(1); id <= 10; id++ {
			status := statusOf(id, 0, control.Ready)
			if status.window.Attempts = 10; id > 5 {
				status.warmingUp = true
				status.capacityFraction = 0.8
			}
			plannerWith(policy, status)
		}
		p.handle(demandSummary{FailedFraction: lost})
		p.evaluateFleet()
		wantEqual(t, "unejected together", p.warming().UnejectTogether, together)
		wantEqual(t, "number of warming replicas", len(p.warming().Replicas), 5)
		wantEqual(t, "lost fraction sent to a warming replica", queued[replicaEvaluation](policy, fixedComponents+9)[0].lostFraction, 0.0)
	}
}

func TestTypicalFailureRateIgnoresAFewFailingReplicas(t *testing.T) {
	policy := newPolicyAt(10 * second)
	for id := uint32(1); id <= 4; id++ {
		status := statusOf(id, 0, control.Ready)
		if status.window.Attempts = 10; id == 1 {
			status.window.Failures = 10
		}
		plannerWith(policy, status)
	}
	plannerWith(policy).evaluateFleet()
	load := queued[fleetLoad](policy, admissionComponent)[0]
	wantEqual(t, "failure rate of the fleet is 0.25, typical failure rate of replicas is near 0", load.FailureRate == 0.25 && load.TypicalFailureRate < 0.01, true)
}

func TestFleetLoadCountsReplicasInService(t *testing.T) {
	policy := newPolicyAt(10 * second)
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
		plannerWith(policy, status)
	}
	plannerWith(policy).evaluateFleet()
	load := queued[fleetLoad](policy, admissionComponent)[0]
	wantEqual(t, "replicas in service", load.ServingReplicas, 2.0)
	wantEqual(t, "attempt rate", load.AttemptRate, 20.0)
	wantEqual(t, "failure rate", load.FailureRate, 0.25)
	wantEqual(t, "response time of the healthy warmed-up replica", load.ResponseTime, 0.25)
}

func TestEjectionsAreEnqueuedBeforeTargetTables(t *testing.T) {
	policy := newPolicyAt(0)
	p := plannerWith(policy, statusOf(1, 0, control.Ready), statusOf(2, 0, control.Draining))
	p.handle(placementDue{})
	sent := policy.queues[pacingComponent].waiting
	wantEqual(t, "messages to pacing", len(sent), 2)
	wantEqual(t, "first message to pacing", sent[0], message(replicaExcluded{2}))
	targets := queued[targetTables](policy, updateComponent)[0]
	wantEqual(t, "only the draining replica is excluded", targets.Ejected[2] && !targets.Ejected[1], true)
	wantEqual(t, "weight of the ready replica", targets.Weights[update.Endpoint{Table: 0, Replica: 1}], 1.0)
	wantEqual(t, "number of tables", len(queued[tablesAssigned](policy, bindingComponent)[0].servingTables), 1)
}

func TestPlacementIsRepeatedOnlyAfterAChange(t *testing.T) {
	policy := newPolicyAt(0)
	p := plannerWith(policy, statusOf(1, 0, control.Ready))
	p.handle(placementDue{})
	p.handle(placementDue{})
	wantEqual(t, "plans before a change", len(queued[targetTables](policy, updateComponent)), 1)
	p.handle(proxyBound{binding.Proxy{StreamOpened: control.StreamOpened{Proxy: 3, ForecastRate: 5}}})
	p.handle(placementDue{})
	wantEqual(t, "plans after a change", len(queued[targetTables](policy, updateComponent)), 2)
}

func TestPlannerKeepsProxiesSortedByID(t *testing.T) {
	p := plannerWith(newPolicyAt(0))
	for _, id := range []int{5, 2, 9, 2} {
		p.handle(proxyBound{binding.Proxy{StreamOpened: control.StreamOpened{Proxy: id, ForecastRate: float64(id)}, ConnectedAt: time.Duration(id), Table: 1}})
	}
	p.handle(streamClosed{control.StreamClosed{Proxy: 5}})
	p.handle(streamClosed{control.StreamClosed{Proxy: 7}})
	wantEqual(t, "number of proxies", len(p.proxies), 2)
	wantEqual(t, "ID of the first proxy", p.proxies[0].ID, 2)
	wantEqual(t, "ID of the last proxy", p.proxies[1].ID, 9)
	wantEqual(t, "rate of the last proxy", p.proxies[1].Rate, 9.0)
}
