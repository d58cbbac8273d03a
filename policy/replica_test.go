package policy

import (
	"slices"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/outlier"
)

// calmBaseline is of a fleet in which replicas succeed 20 times in the evaluation period and answer in time.
var calmBaseline = replicaEvaluation{health: outlier.Fleet{PeerSuccesses: 20, SlowResponseTime: 0.4}, weightGoal: 1}

// observed is a replica with one load report.
func observed(g *Policy, attempts, failures int, responseTime int64) *replica {
	r := newReplica(&g.sharedState, fixedComponents, control.ListedReplica{Replica: 9, Weight: 1})
	r.handle(outcomesReported{control.Outcomes{Replica: 9, Attempts: attempts, Failures: failures, ResponseTime: responseTime}})
	return r
}

func TestReplicaLogsChangesOfItsHealth(t *testing.T) {
	g := newPolicyAt(100 * second)
	r := observed(g, 10, 10, 0)
	r.handle(calmBaseline)
	r.now += 3 * second
	r.handle(calmBaseline)
	r.now += 2 * second
	r.handle(outcomesReported{control.Outcomes{Replica: 9, Attempts: 4}})
	r.handle(calmBaseline)
	r.handle(replicaRestored{control.ReplicaRestored{LearnedReplica: control.LearnedReplica{Speed: 1, Probation: true}, Weight: 1}})
	var texts []string
	for _, line := range ofType[control.Log](g.commands) {
		texts = append(texts, line.Text)
	}
	if wanted := []string{
		"replica 9 ejected: 10 of 10 attempts failed, fleet failure rate 0.00, for 3s",
		"replica 9 probation after ejection 1",
		"replica 9 healthy: 0 of 4 attempts failed",
		"replica 9 probation by learned state: 0.12 of its weight",
	}; !slices.Equal(texts, wanted) {
		t.Errorf("got %q, want %q", texts, wanted)
	}
}

func TestReplicaStatusSaysHowItsHealthIs(t *testing.T) {
	g := newPolicyAt(100 * second)
	r := observed(g, 10, 10, 0)
	r.handle(calmBaseline)
	r.now += 3 * second
	r.handle(calmBaseline)
	statuses := queued[replicaStatus](g, placementComponent)
	wantEqual(t, "ejected", statuses[0].ejected && !statuses[0].onProbation, true)
	wantEqual(t, "then on probation", !statuses[1].ejected && statuses[1].onProbation, true)
	r.handle(replicaRestored{control.ReplicaRestored{LearnedReplica: control.LearnedReplica{Speed: 1, Probation: true}, Weight: 1}})
	restored := queued[replicaStatus](g, placementComponent)[2]
	wantEqual(t, "on probation by an earlier controller: in service with a penalty", !restored.onProbation && restored.penalty > 0, true)
}

func TestWarmingReplicaGetsLessInACollapse(t *testing.T) {
	g := newPolicyAt(100 * second)
	r := observed(g, 0, 0, 0)
	r.entry.Start = r.now - second
	calm := r.status().weight
	collapse := calmBaseline
	collapse.lostFraction = 0.8
	r.handle(collapse)
	if weight := r.status().weight; weight > calm/2 {
		t.Errorf("weight %v while requests are lost, %v otherwise", weight, calm)
	}
}

func TestWarmingReplicaIsHeldBackUntilTheFleetIsKnown(t *testing.T) {
	g := newPolicyAt(100 * second)
	r := newReplica(&g.sharedState, fixedComponents, control.ListedReplica{})
	r.handle(replicaListed{control.ListedReplica{Replica: 9, Weight: 1, Start: 99 * second}})
	wantEqual(t, "held back", queued[replicaStatus](g, placementComponent)[0].heldBack, true)
	r.handle(replicaEvaluation{weightGoal: 1})
	wantEqual(t, "held back afterwards", queued[replicaStatus](g, placementComponent)[1].heldBack, false)
}

func TestRestartedReplicaIsNew(t *testing.T) {
	r := observed(newPolicyAt(100*second), 10, 10, 0)
	r.handle(calmBaseline)
	wantEqual(t, "ejected before", r.detector.Ejected(), true)
	e := r.entry
	e.Start = r.now - second
	r.handle(replicaListed{e})
	wantEqual(t, "ejected", r.detector.Ejected(), false)
	wantEqual(t, "warming up", r.status().warmingUp, true)
}

func TestEjectedWarmingReplicaHasNoCapacity(t *testing.T) {
	r := observed(newPolicyAt(100*second), 10, 10, 0)
	r.entry.Start = r.now - second
	wantEqual(t, "healthy", r.status().capacityFraction > 0, true)
	r.handle(calmBaseline)
	wantEqual(t, "ejected", r.status().capacityFraction, 0.0)
}

func TestCapacityFollowsTheWeightGoalAtOnce(t *testing.T) {
	g := newPolicyAt(100 * second)
	observed(g, 0, 0, 0).handle(replicaEvaluation{weightGoal: 0.5})
	wantEqual(t, "capacity", queued[replicaStatus](g, placementComponent)[0].capacity, 0.5)
}
