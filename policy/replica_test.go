package policy

import (
	"slices"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/outlier"
)

// healthyFleet is the evaluation in a fleet whose replicas have 20 successes in the evaluation period and respond in time.
var healthyFleet = replicaEvaluation{health: outlier.Fleet{PeerSuccesses: 20, SlowResponseTime: 0.4}, weightGoal: 1}

// observedReplica returns a replica after one load report.
func observedReplica(policy *Policy, attempts, failures int, responseTime int64) *replica {
	r := newReplica(&policy.sharedState, fixedComponents, control.ListedReplica{Replica: 9, Weight: 1})
	r.handle(outcomesReported{control.OutcomeReport{Replica: 9, Attempts: attempts, Failures: failures, ResponseTime: responseTime}})
	return r
}

func TestReplicaLogsChangesOfItsHealth(t *testing.T) {
	policy := newPolicyAt(100 * second)
	r := observedReplica(policy, 10, 10, 0)
	r.handle(healthyFleet)
	r.now += 3 * second
	r.handle(healthyFleet)
	r.now += 2 * second
	r.handle(outcomesReported{control.OutcomeReport{Replica: 9, Attempts: 4}})
	r.handle(healthyFleet)
	r.handle(replicaRestored{control.ReplicaRestored{LearnedReplica: control.LearnedReplica{Speed: 1, Probation: true}, Confidence: 1}})
	var texts []string
	for _, line := range ofType[control.Log](policy.commands) {
		texts = append(texts, line.Text)
	}
	if wanted := []string{
		"replica 9 ejected: 10 of 10 attempts failed, fleet failure rate 0.00, for 3s",
		"replica 9 probation after ejection 1",
		"replica 9 healthy: 0 of 4 attempts failed",
		"replica 9 probation from learned state: 0.12 of its weight",
	}; !slices.Equal(texts, wanted) {
		t.Errorf("log lines: got %q, want %q", texts, wanted)
	}
}

func TestReplicaStatusReportsHealth(t *testing.T) {
	policy := newPolicyAt(100 * second)
	r := observedReplica(policy, 10, 10, 0)
	r.handle(healthyFleet)
	r.now += 3 * second
	r.handle(healthyFleet)
	statuses := queued[replicaStatus](policy, placementComponent)
	wantEqual(t, "ejected and not on probation", statuses[0].ejected && !statuses[0].onProbation, true)
	wantEqual(t, "on probation and no longer ejected", !statuses[1].ejected && statuses[1].onProbation, true)
	r.handle(replicaRestored{control.ReplicaRestored{LearnedReplica: control.LearnedReplica{Speed: 1, Probation: true}, Confidence: 1}})
	restored := queued[replicaStatus](policy, placementComponent)[2]
	wantEqual(t, "on probation by learned state: in service with a penalty", !restored.onProbation && restored.penalty > 0, true)
}

func TestWarmingReplicaGetsLessWeightWhileRequestsAreLost(t *testing.T) {
	policy := newPolicyAt(100 * second)
	r := observedReplica(policy, 0, 0, 0)
	r.entry.StartedAt = r.now - second
	normalWeight := r.status().weight
	lossyFleet := healthyFleet
	lossyFleet.lostFraction = 0.8
	r.handle(lossyFleet)
	if weight := r.status().weight; weight > normalWeight/2 {
		t.Errorf("weight %v while requests are lost, want at most half of %v", weight, normalWeight)
	}
}

func TestWarmingReplicaIsHeldBackUntilItsFirstEvaluation(t *testing.T) {
	policy := newPolicyAt(100 * second)
	r := newReplica(&policy.sharedState, fixedComponents, control.ListedReplica{})
	r.handle(replicaListed{control.ListedReplica{Replica: 9, Weight: 1, StartedAt: 99 * second}})
	wantEqual(t, "held back before the first evaluation", queued[replicaStatus](policy, placementComponent)[0].heldBack, true)
	r.handle(replicaEvaluation{weightGoal: 1})
	wantEqual(t, "held back after the first evaluation", queued[replicaStatus](policy, placementComponent)[1].heldBack, false)
}

func TestRestartedReplicaIsHealthyAndWarmingUp(t *testing.T) {
	r := observedReplica(newPolicyAt(100*second), 10, 10, 0)
	r.handle(healthyFleet)
	wantEqual(t, "ejected before the restart", r.detector.Ejected(), true)
	entry := r.entry
	entry.StartedAt = r.now - second
	r.handle(replicaListed{entry})
	wantEqual(t, "ejected after the restart", r.detector.Ejected(), false)
	wantEqual(t, "warming up after the restart", r.status().warmingUp, true)
}

func TestEjectedWarmingReplicaHasNoCapacity(t *testing.T) {
	r := observedReplica(newPolicyAt(100*second), 10, 10, 0)
	r.entry.StartedAt = r.now - second
	wantEqual(t, "healthy replica has capacity", r.status().capacityFraction > 0, true)
	r.handle(healthyFleet)
	wantEqual(t, "capacity fraction of the ejected replica", r.status().capacityFraction, 0.0)
}

func TestCapacityFollowsTheWeightGoalAtOnce(t *testing.T) {
	policy := newPolicyAt(100 * second)
	observedReplica(policy, 0, 0, 0).handle(replicaEvaluation{weightGoal: 0.5})
	wantEqual(t, "capacity", queued[replicaStatus](policy, placementComponent)[0].capacity, 0.5)
}
