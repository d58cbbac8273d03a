package update

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"lilacbend/control"
)

type weights = map[Endpoint]float64

type replicas = map[uint32]bool

// sequenceWith returns a Sequence with the given current weights, target, and replicas that are ejected at the proxies.
func sequenceWith(current weights, target Target, ejected replicas) *Sequence {
	s := New()
	s.current = current
	s.ejected = ejected
	s.target = target
	return s
}

func assertCommands(t *testing.T, what string, got []control.Command, want ...control.Command) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func assertStep(t *testing.T, what string, s *Sequence, want Step) {
	t.Helper()
	if s.step != want {
		t.Errorf("%s: step %d is open, want %d", what, s.step, want)
	}
}

func TestStepHasOnlyItsKindOfCommandLargestChangeFirst(t *testing.T) {
	for _, c := range []struct {
		name string
		step Step
		want []control.Command
	}{
		{"add", Add, []control.Command{control.SetEndpoint{Replica: 4, Weight: 1}}},
		{"overwrite", Overwrite, []control.Command{
			control.SetEndpoint{Replica: 2, Weight: 0.1}, control.SetEndpoint{Replica: 1, Weight: 0.5}}},
		{"rebind", Rebind, []control.Command{control.Bind{Proxy: 5, Table: 1}}},
		{"remove", Remove, []control.Command{control.SetEndpoint{Replica: 3}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sequenceWith(weights{{0, 1}: 1, {0, 2}: 1, {0, 3}: 1},
				Target{Weights: weights{{0, 1}: 0.5, {0, 2}: 0.1, {0, 4}: 1}}, replicas{})
			s.Rebind(control.Bind{Proxy: 5, Table: 1})
			assertCommands(t, "commands", s.commands(c.step), c.want...)
		})
	}
}

func TestAdditionsAreDueInEveryStep(t *testing.T) {
	s := sequenceWith(weights{{0, 1}: 1, {0, 2}: 1, {0, 3}: 1},
		Target{Weights: weights{{0, 1}: 0.5, {0, 2}: 0.1, {0, 4}: 1}}, replicas{})
	s.Rebind(control.Bind{Proxy: 5, Table: 1})
	s.acks[1] = 0
	addition := control.SetEndpoint{Replica: 4, Weight: 1}
	s.step = Remove
	assertCommands(t, "removals wait for additions", s.Advance().Commands, addition)
	s.step = Overwrite
	pending := s.Advance()
	assertCommands(t, "additions precede overwrites", pending.Commands,
		addition, control.SetEndpoint{Replica: 2, Weight: 0.1}, control.SetEndpoint{Replica: 1, Weight: 0.5})
	if pending.Additions != 1 {
		t.Errorf("got %d additions, want 1", pending.Additions)
	}
}

// A proxy whose move is held back by its message cap keeps the endpoints of its old table until it was sent the new table.
func TestRemovalsWaitForRebinds(t *testing.T) {
	s := sequenceWith(weights{{0, 1}: 1, {1, 1}: 1}, Target{Weights: weights{{1, 1}: 1}}, replicas{})
	s.Rebind(control.Bind{Proxy: 5, Table: 1})
	s.step = Rebind
	s.stepHasSent = true // other proxies were moved and have acknowledged their moves
	for range 1 + stepCount {
		for _, command := range s.Advance().Commands {
			if c, ok := command.(control.SetEndpoint); ok && c.Weight == 0 {
				t.Fatalf("removal %v is due before the move", c)
			}
		}
	}
	s.Sent(0, 0, []control.Command{control.Bind{Proxy: 5, Table: 1}})
	var last Pending
	for range stepCount {
		last = s.Advance()
	}
	assertCommands(t, "after the move", last.Commands, control.SetEndpoint{Replica: 1})
}

func TestAcknowledgedStepEndsThoughMoreChangesAreDue(t *testing.T) {
	s := sequenceWith(weights{{0, 1}: 1, {0, 2}: 1}, Target{Weights: weights{{0, 1}: 0.5}}, replicas{})
	s.step = Overwrite
	s.stepHasSent = true
	s.Advance()
	assertStep(t, "with a further overwrite due", s, Remove)
}

func TestRemovalOfAReplicaThatReturnsIsDropped(t *testing.T) {
	s := sequenceWith(weights{{0, 1}: 1}, Target{Weights: weights{}, Ejected: replicas{1: true}}, replicas{1: true})
	assertCommands(t, "removal while the replica is ejected", s.commands(Remove), control.SetEndpoint{Replica: 1})
	s.SetTarget(Target{Weights: weights{{0, 1}: 1}, Ejected: replicas{}})
	assertCommands(t, "removal once the replica has returned", s.commands(Remove))
	assertCommands(t, "unejection once the replica has returned", s.commands(Add), control.SetEjected{Replica: 1})
}

func TestStepEndsWithItsLastAckOrTheTimeout(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   func(*Sequence)
		opens Step
	}{
		{"no ack yet", func(s *Sequence) { s.Expire(0) }, Overwrite},
		{"at the timeout", func(s *Sequence) { s.Expire(ackTimeout) }, Overwrite},
		{"after the timeout", func(s *Sequence) { s.Expire(ackTimeout + 1) }, Remove},
		{"acknowledged", func(s *Sequence) { s.Acknowledged(1) }, Remove},
		{"another nonce acknowledged", func(s *Sequence) { s.Acknowledged(2) }, Overwrite},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sequenceWith(weights{{0, 1}: 1}, Target{Weights: weights{}}, replicas{})
			s.step = Overwrite
			s.acks[1] = 0
			s.Advance()
			assertStep(t, "before the event", s, Overwrite)
			c.end(s)
			s.Advance()
			assertStep(t, "after the event", s, c.opens)
		})
	}
}

func TestUpdateRunsThroughAllSteps(t *testing.T) {
	s := New()
	s.SetTarget(Target{Weights: weights{{0, 1}: 1, {0, 2}: 1}})
	send := func(what string, nonce uint64, want ...control.Command) {
		t.Helper()
		pending := s.Advance()
		assertCommands(t, what, pending.Commands, want...)
		s.Sent(time.Duration(nonce), nonce, pending.Commands)
	}
	send("additions of new tables", 1, control.SetEndpoint{Replica: 1, Weight: 1}, control.SetEndpoint{Replica: 2, Weight: 1})
	s.SetTarget(Target{Weights: weights{{0, 1}: 2, {1, 3}: 1}})
	s.Rebind(control.Bind{Proxy: 7, Table: 1})
	send("addition while an ack is missing", 2, control.SetEndpoint{Table: 1, Replica: 3, Weight: 1})
	assertCommands(t, "no other command while an ack is missing", s.Advance().Commands)
	s.Acknowledged(1)
	s.Acknowledged(2)
	send("overwrite", 3, control.SetEndpoint{Replica: 1, Weight: 2})
	s.Acknowledged(3)
	send("rebind", 4, control.Bind{Proxy: 7, Table: 1})
	s.Acknowledged(4)
	send("remove", 5, control.SetEndpoint{Replica: 2})
	s.Acknowledged(5)
	assertCommands(t, "no command after the last step", s.Advance().Commands)
	if want := (weights{{0, 1}: 2, {1, 3}: 1}); !reflect.DeepEqual(s.Weights(), want) {
		t.Errorf("weights: got %v, want %v", s.Weights(), want)
	}
}

// Commands that reach no proxy are never acknowledged: a step that waited for their ack would not end.
func TestCommandsWithoutANonceAreNotWaitedFor(t *testing.T) {
	for _, c := range []struct {
		name     string
		nonce    uint64
		commands []control.Command
		waits    bool
	}{
		{"nonce and commands", 3, []control.Command{control.SetEndpoint{Replica: 1, Weight: 1}}, true},
		{"no nonce", 0, []control.Command{control.SetEndpoint{Replica: 1, Weight: 1}}, false},
		{"no commands of the step", 3, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.Sent(0, c.nonce, c.commands)
			if got := len(s.acks) > 0; got != c.waits {
				t.Errorf("step waits for an ack: got %v, want %v", got, c.waits)
			}
			if s.stepHasSent != c.waits {
				t.Errorf("stepHasSent: got %v, want %v", s.stepHasSent, c.waits)
			}
		})
	}
}

func TestCancelledRebindIsNotDue(t *testing.T) {
	s := New()
	s.Rebind(control.Bind{Proxy: 1, Table: 2})
	s.Rebind(control.Bind{Proxy: 1, Table: 3})
	assertCommands(t, "the later of two rebinds", s.commands(Rebind), control.Bind{Proxy: 1, Table: 3})
	s.CancelRebinds()
	assertCommands(t, "after CancelRebinds", s.commands(Rebind))
	if s.PendingRebinds() != 0 {
		t.Errorf("%d proxies wait to be moved, want 0", s.PendingRebinds())
	}
}
