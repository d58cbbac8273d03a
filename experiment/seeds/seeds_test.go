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

// Runs of fixed seeds keep all rules, and are the same when they are repeated.
func TestSeedsKeepRulesAndReplay(t *testing.T) {
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

// Five independent controllers, each with a part of the proxies and late reports: six in ten replicas are replaced at once, or
// a zone is lost with its proxies and warms up again, while controllers fail and their proxies connect to the others.
func TestIndependentControllersKeepRules(t *testing.T) {
	p := Profiles["fleet"]
	p.Run(1, 6, runtime.GOMAXPROCS(0), func(r Result) {
		if len(r.Breaches) > 0 {
			t.Errorf("seed %d: %v of %v", r.Seed, r.Breaches, r.Script)
		}
	})
}

// Two releases of six in ten replicas, one during the other's warm-up, in an overload: reports are late and proxies avoid warm
// replicas, but those that warm up must not be overloaded.
func TestWarmingReplicasAreNotOverloaded(t *testing.T) {
	p := Profiles["overload"]
	releases := []emulator.Fault{{Start: 10 * second, Kind: "release", Duration: 4 * second}, {Start: 18 * second, Kind: "release", Duration: 4 * second}}
	for _, seed := range []int64{4, 5, 10} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if r := p.Play(seed, releases, nil); len(r.Breaches) > 0 {
				t.Error(r.Breaches)
			}
		})
	}
}

// A release of six in ten replicas in an overload, one step each 0.15 s, needs more messages to each proxy than their limit allows
// in the time. Withdrawals must not be late: a replica that has just restarted would receive the requests of the one before it.
func TestReleaseInOverloadKeepsRules(t *testing.T) {
	p := Profiles["overload"]
	for _, seed := range []int64{3, 31, 62, 103} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if r := p.Play(seed, p.Draw(seed), nil); len(r.Breaches) > 0 {
				t.Error(r.Breaches)
			}
		})
	}
}

// overweighting multiplies the weight of replicas that have just started.
type overweighting struct {
	controller.Module
	starts map[uint32]int64
}

func (s overweighting) Turn(now int64, events []control.Event) []control.Command {
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

func TestOverloadOfWarmingReplicaIsDetected(t *testing.T) {
	p := Profiles["fleet"]
	p.WrapModule = func(m controller.Module) controller.Module { return overweighting{m, map[uint32]int64{}} }
	r := p.Play(1, []emulator.Fault{{Start: 10 * second, Kind: "replace", Target: 7, Duration: 2 * second}}, nil)
	if len(r.Breaches) == 0 || r.Breaches[0].Rule != 4 {
		t.Errorf("no overload was detected: %v", r.Breaches)
	}
}

// dropping passes a module's commands on, except some.
type dropping struct {
	controller.Module
	drops func(o control.Command) bool
}

func (s dropping) Turn(now int64, events []control.Event) (kept []control.Command) {
	for _, o := range s.Module.Turn(now, events) {
		if !s.drops(o) {
			kept = append(kept, o)
		}
	}
	return kept
}

// withdrawals matches both ways to withdraw a replica: at once, and as the last step of an update.
func withdrawals(o control.Command) bool {
	switch o := o.(type) {
	case control.SetEjected:
		return o.Ejected
	case control.SetEndpoint:
		return o.Weight == 0
	}
	return false
}

// The checks can fail: a module without some commands breaks a rule within a few seeds.
func TestModuleWithoutCommandsBreaksRules(t *testing.T) {
	for name, c := range map[string]struct {
		rule  int
		drops func(o control.Command) bool
	}{
		"no withdrawals": {3, withdrawals},
		"no binds":       {1, func(o control.Command) bool { _, is := o.(control.Bind); return is }},
	} {
		detected := 0
		for seed := int64(1); seed <= 20 && detected == 0; seed++ {
			p := Profiles["smoke"]
			p.WrapModule = func(m controller.Module) controller.Module { return dropping{m, c.drops} }
			for _, b := range p.Play(seed, []emulator.Fault{{Start: 10 * second, Kind: "drain", Target: int(seed) % 8, Duration: 6 * second}}, nil).Breaches {
				if b.Rule == c.rule {
					detected++
				}
			}
		}
		if detected == 0 {
			t.Errorf("%s: no seed breaks rule %d", name, c.rule)
		}
	}
}

func TestShrinkKeepsRuleBroken(t *testing.T) {
	p := Profiles["smoke"]
	p.WrapModule = func(m controller.Module) controller.Module {
		return dropping{m, withdrawals}
	}
	script := []emulator.Fault{{Start: 9 * second, Kind: "slow", Target: 1, Duration: second}, {Start: 10 * second, Kind: "drain", Target: 2, Duration: 8 * second}, {Start: 12 * second, Kind: "stall", Target: 3, Duration: second}}
	r := p.Shrink(p.Play(3, script, nil))
	if len(r.Script) != 1 || r.Script[0].Kind != "drain" || r.Script[0].Duration >= 8*second || len(r.Breaches) == 0 {
		t.Errorf("%v: %v", r.Script, r.Breaches)
	}
}
