// Package seeds simulates scripts of faults that are drawn from seeds, in virtual time, with the rules checked after each step.
// The same seed gives the same run, step by step, on any machine: one event happens at a time, and the wall clock is not read.
// All results are simulated.
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
	// Faults begin between faultsFrom and faultsUntil, and end some ten seconds later at most. Service has recoveryTime from
	// faultsUntil on to recover.
	faultsFrom   = 8 * second
	faultsUntil  = 24 * second
	recoveryTime = 40 * second
	// finalWindow is the end of the run, in which minGood of the requests must be answered within their latency budget.
	finalWindow = 5 * second
	minGood     = 0.97
	// settleTime is how long the last requests may take.
	settleTime = 4 * second
)

// Profile is the size of an installation, and which faults are drawn.
type Profile struct {
	Site  func() emulator.Site
	Kinds []string // empty: all
	// Crowds are kinds of faults of many replicas at once, one in each script.
	Crowds []string
	// RulesOnly is set if more requests arrive than can be served, so that service need not recover.
	RulesOnly bool
	// WrapModule replaces the decision module, to show that the checks can fail; nil: unchanged.
	WrapModule func(controller.Module) controller.Module
}

// Profiles by name.
var Profiles = map[string]Profile{
	"smoke":    {Site: func() emulator.Site { return emulator.NewSite(8, 10, 0.3) }},
	"rules":    {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.4) }},
	"restart":  {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.4) }, Kinds: []string{"governor", "governor-kept", "restart", "silent", "stream"}},
	"zones":    {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.3) }, Kinds: []string{"cut", "restart", "governor", "stall"}},
	"overload": {Site: overload, Kinds: []string{"silent", "failing", "replace"}, Crowds: []string{"release"}, RulesOnly: true},
	"fleet":    {Site: fleet, Kinds: []string{"governor", "cut", "silent", "failing", "replace"}, Crowds: emulator.CorrelatedFaultKinds},
}

// fleet is five independent controllers whose intake is too narrow for all reports, which add up for seconds.
func fleet() emulator.Site {
	s := emulator.NewSite(60, 150, 0.5)
	s.Settings.Controllers = 5
	s.Settings.DrainGrace = 2 * second
	s.ReportRateLimit = 40
	return s
}

// overload is a fleet with as many requests as it can serve without faults, limited queues, proxies that avoid failing replicas,
// clients that send failed requests again, and controllers with proxies of one zone each.
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
	Seed     int64
	Script   []emulator.Fault
	Breaches []emulator.Violation
	Digest   uint64 // of all messages and breaches, with their times
}

// Draw returns the script of a seed.
func (p Profile) Draw(seed int64) []emulator.Fault {
	script := emulator.RandomFaults(p.Site(), seed, faultsFrom, faultsUntil, emulator.FaultKinds)
	if len(p.Kinds) > 0 {
		script = slices.DeleteFunc(script, func(f emulator.Fault) bool { return !slices.Contains(p.Kinds, f.Kind) })
	}
	if len(p.Crowds) > 0 {
		script = append(script, emulator.RandomFaults(p.Site(), seed, faultsFrom, faultsUntil, p.Crowds)[0])
	}
	return script
}

// Play simulates a script. A trace that is not nil receives each step.
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
	good := 1 - outcome.BadFraction()
	if !p.RulesOnly && outcome.Arrived > 0 && good < minGood {
		what := fmt.Sprintf("service %.3f of the last flows: %s", good, outcome)
		simulation.Violations = append(simulation.Violations, emulator.Violation{Time: simulation.Now(), Description: what})
	}
	for _, b := range simulation.Violations {
		digest.WriteString(b.String())
	}
	digest.Write(binary.BigEndian.AppendUint64(nil, uint64(outcome.Good)))
	return Result{Seed: seed, Script: script, Breaches: simulation.Violations, Digest: digest.Sum64()}
}

// Run simulates count seeds from first on, workers at once, and passes the results to handle in the order of the seeds.
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
				results[k] <- p.Play(seed, p.Draw(seed), nil)
			})
		}
	})
	for _, r := range results {
		handle(<-r)
	}
	runs.Wait()
}

// Shrink removes faults from a script, and shortens the others, for as long as the same rule is broken.
func (p Profile) Shrink(r Result) Result {
	if len(r.Breaches) == 0 {
		return r
	}
	rule := r.Breaches[0].Rule
	breaks := func(script []emulator.Fault) (Result, bool) {
		next := p.Play(r.Seed, script, nil)
		return next, slices.ContainsFunc(next.Breaches, func(b emulator.Violation) bool { return b.Rule == rule })
	}
	for again := true; again; {
		again = false
		for k := range r.Script {
			if next, still := breaks(slices.Delete(slices.Clone(r.Script), k, k+1)); still {
				r, again = next, true
				break
			}
		}
	}
	for k := range r.Script {
		for r.Script[k].Duration > second/10 {
			script := slices.Clone(r.Script)
			script[k].Duration /= 2
			next, still := breaks(script)
			if !still {
				break
			}
			r = next
		}
	}
	return r
}
