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

// Runs of fixed seeds must satisfy all rules, and give the same results when they are repeated.
func TestSeedsKeepRulesAndReplay(t *testing.T) {
	p := Profiles["smoke"]
	var results []Result
	p.Run(1, 24, runtime.GOMAXPROCS(0), func(r Result) {
		if results = append(results, r); len(r.Violations) > 0 {
			t.Errorf("seed %d: %v of %v", r.Seed, r.Violations, r.Script)
		}
	})
	for _, k := range []int{0, 7, 23} {
		if again := p.Play(results[k].Seed, p.RandomFaults(results[k].Seed), nil); !reflect.DeepEqual(again, results[k]) {
			t.Errorf("seed %d: digest %016x, then %016x", again.Seed, results[k].Digest, again.Digest)
		}
	}
}

// Five independent controllers, each with a part of the proxies and late reports: six in ten replicas are replaced at
// once, or a zone is lost with its proxies and warms up again, while controllers fail and their proxies connect to the
// others.
func TestIndependentControllersKeepRules(t *testing.T) {
	p := Profiles["fleet"]
	p.Run(1, 6, runtime.GOMAXPROCS(0), func(r Result) {
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %v of %v", r.Seed, r.Violations, r.Script)
		}
	})
}

// Two releases of six in ten replicas, one during the other's warm-up, in an overload: reports are late and proxies avoid
// warm replicas, but replicas that warm up must not be overloaded.
func TestWarmingReplicasAreNotOverloaded(t *testing.T) {
	p := Profiles["overload"]
	releases := []emulator.Fault{{Start: 10 * second, Kind: "release", Duration: 4 * second}, {Start: 18 * second, Kind: "release", Duration: 4 * second}}
	for _, seed := range []int64{4, 5, 10} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if r := p.Play(seed, releases, nil); len(r.Violations) > 0 {
				t.Error(r.Violations)
			}
		})
	}
}

// A release of six in ten replicas in an overload, one step every 0.15 s, needs more messages to each proxy than their
// limit allows in the time. Withdrawals must not be late: a replica that has just restarted would receive the requests of
// its predecessor.
func TestReleaseInOverloadKeepsRules(t *testing.T) {
	p := Profiles["overload"]
	for _, seed := range []int64{3, 31, 62, 103} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if r := p.Play(seed, p.RandomFaults(seed), nil); len(r.Violations) > 0 {
				t.Error(r.Violations)
			}
		})
	}
}

// warmingOverweighter multiplies the weights of replicas that are listed with a start time by 40.
type warmingOverweighter struct {
	controller.Module
	startTimes map[uint32]int64
}

func (w warmingOverweighter) Turn(now int64, events []control.Event) []control.Command {
	for _, event := range events {
		if list, is := event.(control.ReplicasListed); is {
			for _, entry := range list.Entries {
				w.startTimes[entry.Replica] = entry.StartedAt
			}
		}
	}
	commands := w.Module.Turn(now, events)
	for k, command := range commands {
		if endpoint, is := command.(control.SetEndpoint); is && w.startTimes[endpoint.Replica] > 0 {
			endpoint.Weight *= 40
			commands[k] = endpoint
		}
	}
	return commands
}

func TestOverloadOfWarmingReplicaIsDetected(t *testing.T) {
	p := Profiles["fleet"]
	p.WrapModule = func(m controller.Module) controller.Module { return warmingOverweighter{m, map[uint32]int64{}} }
	r := p.Play(1, []emulator.Fault{{Start: 10 * second, Kind: "replace", Target: 7, Duration: 2 * second}}, nil)
	if len(r.Violations) == 0 || r.Violations[0].Rule != 4 {
		t.Errorf("overload not detected: violations %v", r.Violations)
	}
}

// commandDropper drops some of a module's commands.
type commandDropper struct {
	controller.Module
	shouldDrop func(o control.Command) bool
}

func (d commandDropper) Turn(now int64, events []control.Event) (kept []control.Command) {
	for _, command := range d.Module.Turn(now, events) {
		if !d.shouldDrop(command) {
			kept = append(kept, command)
		}
	}
	return kept
}

// isWithdrawal reports whether a command withdraws a replica, either at once or as the last step of an update.
func isWithdrawal(command control.Command) bool {
	switch o := command.(type) {
	case control.SetEjected:
		return o.Ejected
	case control.SetEndpoint:
		return o.Weight == 0
	}
	return false
}

// The checks must be able to fail: without some of the module's commands a rule is violated within a few seeds.
func TestModuleWithoutCommandsBreaksRules(t *testing.T) {
	for name, c := range map[string]struct {
		rule       int
		shouldDrop func(o control.Command) bool
	}{
		"no withdrawals": {3, isWithdrawal},
		"no binds":       {1, func(o control.Command) bool { _, is := o.(control.Bind); return is }},
	} {
		detected := 0
		for seed := int64(1); seed <= 20 && detected == 0; seed++ {
			p := Profiles["smoke"]
			p.WrapModule = func(m controller.Module) controller.Module { return commandDropper{m, c.shouldDrop} }
			for _, violation := range p.Play(seed, []emulator.Fault{{Start: 10 * second, Kind: "drain", Target: int(seed) % 8, Duration: 6 * second}}, nil).Violations {
				if violation.Rule == c.rule {
					detected++
				}
			}
		}
		if detected == 0 {
			t.Errorf("%s: no seed violates rule %d", name, c.rule)
		}
	}
}

func TestShrinkKeepsRuleBroken(t *testing.T) {
	p := Profiles["smoke"]
	p.WrapModule = func(m controller.Module) controller.Module {
		return commandDropper{m, isWithdrawal}
	}
	script := []emulator.Fault{{Start: 9 * second, Kind: "slow", Target: 1, Duration: second}, {Start: 10 * second, Kind: "drain", Target: 2, Duration: 8 * second}, {Start: 12 * second, Kind: "stall", Target: 3, Duration: second}}
	r := p.Shrink(p.Play(3, script, nil))
	if len(r.Script) != 1 || r.Script[0].Kind != "drain" || r.Script[0].Duration >= 8*second || len(r.Violations) == 0 {
		t.Errorf("%v: %v", r.Script, r.Violations)
	}
}
