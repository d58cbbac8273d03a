// Package seeds simulates scripts of random faults, generated from seeds, in virtual time, and checks the rules after each
// step. The same seed gives the same run, step by step, on any machine, as events are processed one at a time and the wall
// clock is not read. All results are simulated.
package seeds

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"lilacbend/experiment/emulator"
	"lilacbend/internal/controller"
)

const (
	second = int64(1e9)
	// Faults start between faultsFrom and faultsUntil, and end at most about ten seconds after they start. The service
	// must have recovered recoveryTime after faultsUntil.
	faultsFrom   = 8 * second
	faultsUntil  = 24 * second
	recoveryTime = 40 * second
	// finalWindow is the last part of the recovery time. Of the requests in it, minGoodFraction must be answered within
	// their latency budget.
	finalWindow     = 5 * second
	minGoodFraction = 0.97
	// settleTime is the time after finalWindow in which its last requests can finish.
	settleTime = 4 * second
)

// Profile is the installation that is simulated, and the kinds of faults that affect it.
type Profile struct {
	Site  func() emulator.Site
	Kinds []string // kinds of random faults; empty: all kinds
	// CorrelatedKinds are kinds of faults that affect many replicas at once. Each random script has one of them; empty: none.
	CorrelatedKinds []string
	// RulesOnly is set if more requests arrive than can be served, so that the service need not recover.
	RulesOnly bool
	// WrapModule replaces the decision module in tests that show that the checks can fail; nil: unchanged.
	WrapModule func(controller.Module) controller.Module
}

// Profiles are the profiles by name.
var Profiles = map[string]Profile{
	"smoke":    {Site: func() emulator.Site { return emulator.NewSite(8, 10, 0.3) }},
	"rules":    {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.4) }},
	"restart":  {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.4) }, Kinds: []string{"governor", "governor-kept", "restart", "silent", "stream"}},
	"zones":    {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.3) }, Kinds: []string{"cut", "restart", "governor", "stall"}},
	"overload": {Site: overload, Kinds: []string{"silent", "failing", "replace"}, CorrelatedKinds: []string{"release"}, RulesOnly: true},
	"fleet":    {Site: fleet, Kinds: []string{"governor", "cut", "silent", "failing", "replace"}, CorrelatedKinds: emulator.CorrelatedFaultKinds},
}

// fleet returns an installation with five independent controllers, whose limit of reports is so low that reports queue up
// for seconds.
func fleet() emulator.Site {
	s := emulator.NewSite(60, 150, 0.5)
	s.Settings.Controllers = 5
	s.Settings.DrainGrace = 2 * second
	s.ReportRateLimit = 40
	return s
}

// overload returns an installation with as many requests as it can serve without faults, limited queues, proxies that avoid
// failing replicas, clients that retry failed requests, and controllers that each serve the proxies of one zone.
func overload() emulator.Site {
	s := emulator.NewSite(60, 150, 1)
	s.Names.Zones = []string{"a", "b", "c"}
	s.Settings.Zones = 3
	s.Settings.Controllers = 5
	s.Settings.DrainGrace = 2 * second
	s.ReportRateLimit = 60
	s.Settings.SlowStartTime = 18 * second
	s.Settings.SlowStartFraction = 0.16
	s.Settings.OverloadMultiple = 2.5
	s.Overload = emulator.Overload{QueueLimit: 30, ClientRetries: 2, AvoidAfterFailures: 8, AvoidDuration: 5 * second, ZonalControllers: true}
	return s
}

// Result is the result of one run.
type Result struct {
	Seed       int64
	Script     []emulator.Fault
	Violations []emulator.Violation
	Digest     uint64 // of all messages and violations, with their times
}

// RandomFaults returns the random script of a seed.
func (p Profile) RandomFaults(seed int64) []emulator.Fault {
	script := emulator.RandomFaults(p.Site(), seed, faultsFrom, faultsUntil, emulator.FaultKinds)
	if len(p.Kinds) > 0 {
		script = slices.DeleteFunc(script, func(f emulator.Fault) bool { return !slices.Contains(p.Kinds, f.Kind) })
	}
	if len(p.CorrelatedKinds) > 0 {
		script = append(script, emulator.RandomFaults(p.Site(), seed, faultsFrom, faultsUntil, p.CorrelatedKinds)[0])
	}
	return script
}

// Play simulates a script. If trace is not nil, it is called with a description of each step.
func (p Profile) Play(seed int64, script []emulator.Fault, trace func(text string)) Result {
	simulation := emulator.New(p.Site(), seed)
	simulation.WrapModule = p.WrapModule
	digest := xxhash.New()
	simulation.Trace = func(text string, args ...any) {
		line := fmt.Sprintf(text, args...)
		digest.WriteString(line)
		if trace != nil {
			trace(line)
		}
	}
	simulation.Start(nil)
	simulation.Run(faultsFrom / 2)
	simulation.CheckRules()
	simulation.Inject(script)
	end := faultsUntil + recoveryTime
	outcome := simulation.CountOutcomes(end-finalWindow, end)
	simulation.Run(end + settleTime)
	goodFraction := 1 - outcome.BadFraction()
	if !p.RulesOnly && outcome.Arrived > 0 && goodFraction < minGoodFraction {
		description := fmt.Sprintf("good fraction %.3f of the last requests: %s", goodFraction, outcome)
		simulation.Violations = append(simulation.Violations, emulator.Violation{Time: simulation.Now(), Description: description})
	}
	for _, violation := range simulation.Violations {
		digest.WriteString(violation.String())
	}
	digest.Write(binary.BigEndian.AppendUint64(nil, uint64(outcome.Good)))
	return Result{Seed: seed, Script: script, Violations: simulation.Violations, Digest: digest.Sum64()}
}

// Run simulates count consecutive seeds starting at first, at most workers of them at the same time. It calls handle with
// the results in seed order.
func (p Profile) Run(first int64, count, workers int, handle func(Result)) {
	results := make([]chan Result, count)
	for k := range results {
		results[k] = make(chan Result, 1)
	}
	slots := make(chan struct{}, workers)
	var runs sync.WaitGroup
	runs.Go(func() {
		for k := range count {
			slots <- struct{}{}
			runs.Go(func() {
				defer func() { <-slots }()
				seed := first + int64(k)
				results[k] <- p.Play(seed, p.RandomFaults(seed), nil)
			})
		}
	})
	for _, r := range results {
		handle(<-r)
	}
	runs.Wait()
}

// Shrink removes faults from the script of a result, and shortens the others, as long as the script still violates the
// same rule.
func (p Profile) Shrink(r Result) Result {
	if len(r.Violations) == 0 {
		return r
	}
	rule := r.Violations[0].Rule
	breaksRule := func(script []emulator.Fault) (Result, bool) {
		next := p.Play(r.Seed, script, nil)
		return next, slices.ContainsFunc(next.Violations, func(violation emulator.Violation) bool { return violation.Rule == rule })
	}
	for removed := true; removed; {
		removed = false
		for k := range r.Script {
			if next, broken := breaksRule(slices.Delete(slices.Clone(r.Script), k, k+1)); broken {
				r, removed = next, true
				break
			}
		}
	}
	for k := range r.Script {
		for r.Script[k].Duration > second/10 {
			script := slices.Clone(r.Script)
			script[k].Duration /= 2
			next, broken := breaksRule(script)
			if !broken {
				break
			}
			r = next
		}
	}
	return r
}
