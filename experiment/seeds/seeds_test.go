package seeds

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"

	"lilacbend/control"
	"lilacbend/experiment/emulator"
	"lilacbend/internal/controller"
)

// Fixed seeds hold all rules, and are the same runs whatever else goes on.
func TestSeedsHoldAndReplay(t *testing.T) {
	p := Profiles["smoke"]
	var first []Result
	p.Run(1, 24, runtime.GOMAXPROCS(0), func(r Result) {
		if first = append(first, r); len(r.Breaches) > 0 {
			t.Errorf("seed %d: %v of %v", r.Seed, r.Breaches, r.Script)
		}
	})
	for _, k := range []int{0, 7, 23} {
		if again := p.Play(first[k].Seed, p.Draw(first[k].Seed), nil); !reflect.DeepEqual(again, first[k]) {
			t.Errorf("seed %d: %016x, then %016x", again.Seed, first[k].Digest, again.Digest)
		}
	}
}

// Five governors that hear nothing of each other, each of a part of the proxies, late: six in ten replicas are replaced at
// once, or a zone is lost with its proxies and returns cold, while governors die and all their proxies come to the others.
func TestGovernorsTogetherHoldAllRules(t *testing.T) {
	p := Profiles["fleet"]
	p.Run(1, 6, runtime.GOMAXPROCS(0), func(r Result) {
		if len(r.Breaches) > 0 {
			t.Errorf("seed %d: %v of %v", r.Seed, r.Breaches, r.Script)
		}
	})
}

// Two releases of six in ten replicas, one in the other's warm-up, in an overload: sums are late, proxies avoid the warm, and what
// comes to the cold that are in must stay what they can bear.
func TestNoColdReplicaIsPushedOverInAnOverload(t *testing.T) {
	p := Profiles["overload"]
	releases := []emulator.Fault{{At: 10 * second, Kind: "release", Span: 4 * second}, {At: 18 * second, Kind: "release", Span: 4 * second}}
	for _, seed := range []int64{4, 5, 10} { // before, each broke rule 4
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if r := p.Play(seed, releases, nil); len(r.Breaches) > 0 {
				t.Error(r.Breaches)
			}
		})
	}
}

// A release of six in ten replicas in an overload, one step each 0.15 s: more messages to each proxy than its cap allows in the time.
// Before messages were spaced, withdrawals came 5 s late, so that replicas which had just come back got what was sent to those
// before them.
func TestAReleaseInAnOverloadKeepsTheRules(t *testing.T) {
	p := Profiles["overload"]
	for _, seed := range []int64{3, 31, 62, 103} { // before, 62 broke rule 3, the others rule 4
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if r := p.Play(seed, p.Draw(seed), nil); len(r.Breaches) > 0 {
				t.Error(r.Breaches)
			}
		})
	}
}

// rash gives whoever has just started many times the weight that the module orders.
type rash struct {
	controller.Module
	starts map[uint32]int64
}

func (s rash) Turn(now int64, events []control.Event) []control.Command {
	for _, ev := range events {
		if l, is := ev.(control.ReplicasListed); is {
			for _, e := range l.Entries {
				s.starts[e.Replica] = e.Start
			}
		}
	}
	orders := s.Module.Turn(now, events)
	for k, o := range orders {
		if line, is := o.(control.SetEndpoint); is && s.starts[line.Replica] > 0 {
			line.Weight *= 40
			orders[k] = line
		}
	}
	return orders
}

func TestGovernorsThatPushTheColdOverAreCaught(t *testing.T) {
	p := Profiles["fleet"]
	p.WrapModule = func(m controller.Module) controller.Module { return rash{m, map[uint32]int64{}} }
	r := p.Play(1, []emulator.Fault{{At: 10 * second, Kind: "replace", Who: 7, Span: 2 * second}}, nil)
	if len(r.Breaches) == 0 || r.Breaches[0].Rule != 4 {
		t.Errorf("nobody was seen to be pushed over: %v", r.Breaches)
	}
}

// spoilt passes a module's orders on, but for some.
type spoilt struct {
	controller.Module
	drops func(o control.Command) bool
}

func (s spoilt) Turn(now int64, events []control.Event) (kept []control.Command) {
	for _, o := range s.Module.Turn(now, events) {
		if !s.drops(o) {
			kept = append(kept, o)
		}
	}
	return kept
}

// withdrawals are both ways in which a replica goes: at once, and as the last step of an update.
func withdrawals(o control.Command) bool {
	switch o := o.(type) {
	case control.SetEjected:
		return o.Ejected
	case control.SetEndpoint:
		return o.Weight == 0
	}
	return false
}

// The checks can fail: a module without one of its guards breaks that rule within a few seeds.
func TestAModuleWithoutAGuardIsCaught(t *testing.T) {
	for name, c := range map[string]struct {
		rule  int
		drops func(o control.Command) bool
	}{
		"no withdrawals": {3, withdrawals},
		"no binds":       {1, func(o control.Command) bool { _, is := o.(control.Bind); return is }},
	} {
		caught := 0
		for seed := int64(1); seed <= 20 && caught == 0; seed++ {
			p := Profiles["smoke"]
			p.WrapModule = func(m controller.Module) controller.Module { return spoilt{m, c.drops} }
			for _, b := range p.Play(seed, []emulator.Fault{{At: 10 * second, Kind: "drain", Who: int(seed) % 8, Span: 6 * second}}, nil).Breaches {
				if b.Rule == c.rule {
					caught++
				}
			}
		}
		if caught == 0 {
			t.Errorf("%s: no seed breaks rule %d", name, c.rule)
		}
	}
}

func TestShrinkingKeepsTheRuleBroken(t *testing.T) {
	p := Profiles["smoke"]
	p.WrapModule = func(m controller.Module) controller.Module {
		return spoilt{m, withdrawals}
	}
	script := []emulator.Fault{{At: 9 * second, Kind: "slow", Who: 1, Span: second}, {At: 10 * second, Kind: "drain", Who: 2, Span: 8 * second}, {At: 12 * second, Kind: "stall", Who: 3, Span: second}}
	r := p.Shrink(p.Play(3, script, nil))
	if len(r.Script) != 1 || r.Script[0].Kind != "drain" || r.Script[0].Span >= 8*second || len(r.Breaches) == 0 {
		t.Errorf("%v: %v", r.Script, r.Breaches)
	}
}
