package update

import (
	"testing"

	"lilacbend/control"
	"lilacbend/policy/placement"
)

func TestWeightChangeIsDueInOneStepOnly(t *testing.T) {
	for _, c := range []struct {
		name            string
		current, target float64
		ejected         replicas // replicas that are ejected at the proxies
		targetEjected   replicas
		due             Step // step in which the change is due; stepCount: in no step
	}{
		{name: "endpoint is missing", target: 1, due: Add},
		{name: "endpoint is missing and its target weight is small", target: 0.001, due: Add},
		{name: "endpoint is not in the target", current: 1, due: Remove},
		{name: "endpoint is neither in the table nor in the target", due: stepCount},
		{name: "weight rises by more than minWeightChange", current: 0.8, target: 1, due: Overwrite},
		{name: "weight falls by more than minWeightChange", current: 1, target: 0.8, due: Overwrite},
		{name: "weight changes by less than minWeightChange", current: 1, target: 0.9, due: stepCount},
		{name: "weight does not change", current: 1, target: 1, due: stepCount},
		{name: "weight is kept", current: 1, target: placement.KeepCurrentWeight, due: stepCount},
		{name: "weight of a missing endpoint is kept", target: placement.KeepCurrentWeight, due: stepCount},
		{name: "ejected replica stays ejected", current: 1, target: 0.5, ejected: replicas{1: true},
			targetEjected: replicas{1: true}, due: Overwrite},
		{name: "ejected replica is gone", current: 1, ejected: replicas{1: true}, targetEjected: replicas{1: true}, due: Remove},
		{name: "replica is unejected, however small the change", current: 1, target: 0.99, ejected: replicas{1: true}, due: Add},
		{name: "replica is unejected and its endpoint is not in the target", current: 1, ejected: replicas{1: true}, due: Add},
	} {
		t.Run(c.name, func(t *testing.T) {
			current, target := weights{}, weights{}
			if c.current != 0 {
				current[Endpoint{2, 1}] = c.current
			}
			if c.target != 0 {
				target[Endpoint{2, 1}] = c.target
			}
			s := sequenceWith(current, Target{Weights: target, Ejected: c.targetEjected}, c.ejected)
			for step := range stepCount {
				changes := len(s.weightChanges(step))
				if due := changes == 1; changes > 1 || due != (step == c.due) {
					t.Errorf("step %d has %d changes, want one change in step %d only", step, changes, c.due)
				}
			}
		})
	}
}

func TestChangesAreSortedByTheLargestChangeOfTheirTable(t *testing.T) {
	s := sequenceWith(weights{{0, 1}: 1, {0, 2}: 1, {1, 1}: 1, {1, 2}: 1, {2, 1}: 1},
		Target{Weights: weights{{0, 1}: 0.5, {0, 2}: 0.7, {1, 1}: 0.8, {1, 2}: 0.1, {2, 1}: 0.5}}, replicas{})
	assertCommands(t, "overwrites", s.commands(Overwrite),
		control.SetEndpoint{Table: 1, Replica: 2, Weight: 0.1}, control.SetEndpoint{Table: 1, Replica: 1, Weight: 0.8},
		control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.5}, control.SetEndpoint{Table: 0, Replica: 2, Weight: 0.7},
		control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.5})
}

// An ejected replica still has endpoints, whose weights may date from a time when it was warmed up. Proxies pick it
// according to these weights as soon as it is unejected.
func TestAllWeightChangesOfAReplicaAreDueWithItsUnejection(t *testing.T) {
	s := sequenceWith(weights{{0, 1}: 1, {1, 1}: 1, {2, 1}: 0.21},
		Target{Weights: weights{{0, 1}: 0.2, {2, 1}: 0.2}}, replicas{1: true})
	assertCommands(t, "removals and small changes included", s.commands(Add),
		control.SetEndpoint{Table: 1, Replica: 1}, control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.2},
		control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.2}, control.SetEjected{Replica: 1})
}

// It is safe to uneject a replica while its weights are too low, so commands that raise weights follow the unejection.
func TestRaisedWeightsFollowTheUnejection(t *testing.T) {
	s := sequenceWith(weights{{0, 1}: 0.2, {1, 1}: 0.4},
		Target{Weights: weights{{0, 1}: 0.3, {1, 1}: 0.3, {2, 1}: 0.3}}, replicas{1: true})
	assertCommands(t, "additions", s.commands(Add),
		control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.3}, control.SetEndpoint{Table: 1, Replica: 1, Weight: 0.3},
		control.SetEjected{Replica: 1}, control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.3})
}

func TestForgottenReplicaIsNotUnejected(t *testing.T) {
	s := New()
	s.SetTarget(Target{Ejected: replicas{3: true, 1: true}})
	s.RemoveReplica(3)
	s.SetTarget(Target{})
	assertCommands(t, "unejections", s.commands(Add), control.SetEjected{Replica: 1})
}
