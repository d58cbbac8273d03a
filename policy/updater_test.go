package policy

import (
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/update"
)

// lastStep returns the last step that the update has reported to pacing.
func lastStep(t *testing.T, policy *Policy) updateStep {
	t.Helper()
	steps := queued[updateStep](policy, pacingComponent)
	if len(steps) == 0 {
		t.Fatal("no step was reported to pacing")
	}
	return steps[len(steps)-1]
}

func wantStep(t *testing.T, what string, policy *Policy, additions int, commands ...control.Command) {
	t.Helper()
	got := lastStep(t, policy)
	if got.Additions != additions || len(got.Commands) != len(commands) ||
		len(commands) > 0 && !reflect.DeepEqual(got.Commands, commands) {
		t.Errorf("%s: got %v, want %d additions, %v", what, got, additions, commands)
	}
}

func TestUpdaterReportsItsStepAfterEachChange(t *testing.T) {
	policy := newPolicyAt(0)
	u := policy.update
	addition := control.SetEndpoint{Table: 1, Replica: 2, Weight: 0.5}
	bind := control.Bind{Proxy: 3, Table: 1}
	u.handle(targetTables{Weights: map[update.Endpoint]float64{{Table: 1, Replica: 2}: 0.5}, Ejected: map[uint32]bool{9: true, 8: true}})
	wantStep(t, "target tables", policy, 1, addition)
	u.handle(bindRequested{bind})
	wantStep(t, "additions come before rebinds", policy, 1, addition)
	steps := len(queued[updateStep](policy, pacingComponent))
	u.handle(messagesSent{nonce: 7, proxies: []int{3}, commands: []control.Command{addition}})
	wantEqual(t, "steps reported after messagesSent", len(queued[updateStep](policy, pacingComponent)), steps)
	u.handle(tickStarted{})
	wantStep(t, "while the ack of the additions is outstanding", policy, 0)
	u.handle(acknowledged{nonce: 7, complete: true})
	wantStep(t, "after the ack of the additions", policy, 0, bind)
	u.handle(messagesSent{nonce: 8, proxies: []int{3}, commands: []control.Command{bind}})
	u.handle(replicaEvicted{9})
	u.handle(targetTables{Weights: map[update.Endpoint]float64{}, Ejected: map[uint32]bool{}})
	wantStep(t, "an evicted replica stays ejected", policy, 1, control.SetEjected{Replica: 8})
	u.handle(messagesSent{nonce: 9, proxies: []int{3}, commands: []control.Command{control.SetEjected{Replica: 8}}})
	wantStepAfter := func(what string, now int64, commands ...control.Command) {
		t.Helper()
		policy.now = now
		u.handle(tickStarted{})
		wantStep(t, what, policy, 0, commands...)
	}
	wantStepAfter("removals before the ack timeout", 2*second)
	wantStepAfter("removals after the ack timeout", 2*second+1, control.SetEndpoint{Table: 1, Replica: 2})
}

func TestUpdaterPanicsOnMessagesOfOtherComponents(t *testing.T) {
	defer func() { wantEqual(t, "updater panics on a message that it does not handle", recover() != nil, true) }()
	newPolicyAt(0).queues[updateComponent].component.handle(turnEnding{})
}
