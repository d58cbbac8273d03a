package policy

import (
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/update"
)

// lastStep is what the update has to send, as pacing was told last.
func lastStep(t *testing.T, g *Policy) updateStep {
	t.Helper()
	steps := queued[updateStep](g, pacingComponent)
	if len(steps) == 0 {
		t.Fatal("pacing was told of no step")
	}
	return steps[len(steps)-1]
}

func wantStep(t *testing.T, what string, g *Policy, additions int, commands ...control.Command) {
	t.Helper()
	got := lastStep(t, g)
	if got.Additions != additions || len(got.Commands) != len(commands) ||
		len(commands) > 0 && !reflect.DeepEqual(got.Commands, commands) {
		t.Errorf("%s: got %v, want %d additions, %v", what, got, additions, commands)
	}
}

func TestUpdaterReportsItsStepAfterEachChange(t *testing.T) {
	g := newPolicyAt(0)
	u := g.update
	addition := control.SetEndpoint{Table: 1, Replica: 2, Weight: 0.5}
	bind := control.Bind{Proxy: 3, Table: 1}
	u.handle(targetTables{Weights: map[update.Endpoint]float64{{Table: 1, Replica: 2}: 0.5}, Ejected: map[uint32]bool{9: true, 8: true}})
	wantStep(t, "target tables", g, 1, addition)
	u.handle(bindRequested{bind})
	wantStep(t, "additions come before rebinds", g, 1, addition)
	steps := len(queued[updateStep](g, pacingComponent))
	u.handle(messagesSent{nonce: 7, proxies: []int{3}, commands: []control.Command{addition}})
	wantEqual(t, "steps reported for what was sent", len(queued[updateStep](g, pacingComponent)), steps)
	u.handle(tickStarted{})
	wantStep(t, "waits for the ack", g, 0)
	u.handle(acknowledged{nonce: 7, complete: true})
	wantStep(t, "once acknowledged", g, 0, bind)
	u.handle(messagesSent{nonce: 8, proxies: []int{3}, commands: []control.Command{bind}})
	u.handle(replicaEvicted{9})
	u.handle(targetTables{Weights: map[update.Endpoint]float64{}, Ejected: map[uint32]bool{}})
	wantStep(t, "a forgotten replica stays ejected", g, 1, control.SetEjected{Replica: 8})
	u.handle(messagesSent{nonce: 9, proxies: []int{3}, commands: []control.Command{control.SetEjected{Replica: 8}}})
	wantStepAfter := func(what string, now int64, commands ...control.Command) {
		t.Helper()
		g.now = now
		u.handle(tickStarted{})
		wantStep(t, what, g, 0, commands...)
	}
	wantStepAfter("removals wait for acks", 2*second)
	wantStepAfter("and for no longer than their timeout", 2*second+1, control.SetEndpoint{Table: 1, Replica: 2})
}

func TestUpdaterRefusesMessagesOfOthers(t *testing.T) {
	defer func() { wantEqual(t, "panics", recover() != nil, true) }()
	newPolicyAt(0).queues[updateComponent].component.handle(turnEnding{})
}
