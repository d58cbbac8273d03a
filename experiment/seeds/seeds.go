// Package seeds plays scripts of faults drawn from seeds, in virtual time, with the rules checked after each step. The
// same seed is the same run, to the step, on any machine: one thing happens at a time, and nothing asks for the time
// of day. All of it is simulated.
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
	// Faults begin in this span, and have ended some ten seconds after it; then service has so long to come back.
	faultsFrom, faultsUntil, calmSpan = 8 * second, 24 * second, 40 * second
	lastSpan                          = 5 * second
	// Of the last flows so many are answered within their latency budget.
	goodLeast = 0.97
)

// Profile is a size, and what is drawn.
type Profile struct {
	Site  func() emulator.Site
	Kinds []string // empty: all
	// Crowds are those of many replicas at once, one in each script.
	Crowds []string
	// RulesOnly: more flows come than can be served, so service is not asked for.
	RulesOnly bool
	// Spoil takes guards out of the module, to show that the checks can fail; nil: it is as it is.
	Spoil func(controller.Module) controller.Module
}

// Profiles by name.
var Profiles = map[string]Profile{
	"smoke":    {Site: func() emulator.Site { return emulator.NewSite(8, 10, 0.3) }},
	"rules":    {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.4) }},
	"restart":  {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.4) }, Kinds: []string{"governor", "governor-kept", "restart", "silent", "stream"}},
	"zones":    {Site: func() emulator.Site { return emulator.NewSite(12, 24, 0.3) }, Kinds: []string{"cut", "restart", "governor", "stall"}},
	"overload": {Site: overload, Kinds: []string{"silent", "failing", "replace"}, Crowds: []string{"release"}, RulesOnly: true},
	"fleet":    {Site: fleet, Kinds: []string{"governor", "cut", "silent", "failing", "replace"}, Crowds: emulator.Crowds},
}

// fleet is five governors that hear nothing of each other, and of flows through an intake that is too narrow for all
// sums: they add up for seconds.
func fleet() emulator.Site {
	s := emulator.NewSite(60, 150, 0.5)
	s.Provision.Controllers, s.Provision.DrainGrace, s.Intake = 5, 2*second, 40
	return s
}

// overload is a fleet with as many flows as it can serve when all is well, full queues, proxies that avoid who fails them,
// clients that come again, and governors each of one zone's proxies alone.
func overload() emulator.Site {
	s := emulator.NewSite(60, 150, 1)
	s.Names.Zones, s.Provision.Zones = []string{"a", "b", "c"}, 3
	s.Provision.Controllers, s.Provision.DrainGrace, s.Intake = 5, 2*second, 60
	s.Provision.SlowStartTime, s.Provision.SlowStartFraction, s.Provision.OverloadMultiple = 18*second, 0.16, 2.5
	s.Overload = emulator.Overload{QueueLimit: 30, ClientTries: 2, AvoidAfter: 8, AvoidSpan: 5 * second, ZoneGovernor: true}
	return s
}

// Result is one run.
type Result struct {
	Seed     int64
	Script   []emulator.Fault
	Breaches []emulator.Breach
	Digest   uint64 // of every message, fault and breach, with their times
}

// Draw is the script of a seed.
func (p Profile) Draw(seed int64) []emulator.Fault {
	script := emulator.Draw(p.Site(), seed, faultsFrom, faultsUntil, emulator.Kinds)
	if len(p.Kinds) > 0 {
		script = slices.DeleteFunc(script, func(f emulator.Fault) bool { return !slices.Contains(p.Kinds, f.Kind) })
	}
	if len(p.Crowds) > 0 {
		script = append(script, emulator.Draw(p.Site(), seed, faultsFrom, faultsUntil, p.Crowds)[0])
	}
	return script
}

// Play plays a script; trace, if not nil, gets each step.
func (p Profile) Play(seed int64, script []emulator.Fault, trace func(text string)) Result {
	w := emulator.New(p.Site(), seed)
	w.Spoil = p.Spoil
	digest := xxhash.New()
	w.Trace = func(text string, args ...any) {
		line := fmt.Sprintf(text, args...)
		digest.WriteString(line)
		if trace != nil {
			trace(line)
		}
	}
	w.Up(nil)
	w.Run(faultsFrom / 2)
	w.Watch()
	w.Inflict(script)
	end := faultsUntil + calmSpan
	o := w.Count(end-lastSpan, end)
	w.Run(end + 4*second)
	if !p.RulesOnly && o.Came > 0 && 1-o.Bad() < goodLeast {
		w.Breaches = append(w.Breaches, emulator.Breach{At: w.Now(), What: fmt.Sprintf("service %.3f of the last flows: %s", 1-o.Bad(), o)})
	}
	for _, b := range w.Breaches {
		digest.WriteString(b.String())
	}
	digest.Write(binary.BigEndian.AppendUint64(nil, uint64(o.Good)))
	return Result{seed, script, w.Breaches, digest.Sum64()}
}

// Run plays seeds from first on, so many at a time, and tells of each in the order of the seeds.
func (p Profile) Run(first int64, count, workers int, tell func(Result)) {
	results := make([]chan Result, count)
	for k := range results {
		results[k] = make(chan Result, 1)
	}
	places, all := make(chan struct{}, workers), sync.WaitGroup{}
	all.Go(func() {
		for k := range count {
			places <- struct{}{}
			all.Go(func() {
				defer func() { <-places }()
				seed := first + int64(k)
				results[k] <- p.Play(seed, p.Draw(seed), nil)
			})
		}
	})
	for _, r := range results {
		tell(<-r)
	}
	all.Wait()
}

// Shrink takes faults out of a script, and time out of those that stay, for as long as the same rule is broken.
func (p Profile) Shrink(r Result) Result {
	if len(r.Breaches) == 0 {
		return r
	}
	rule := r.Breaches[0].Rule
	breaks := func(script []emulator.Fault) (Result, bool) {
		next := p.Play(r.Seed, script, nil)
		return next, slices.ContainsFunc(next.Breaches, func(b emulator.Breach) bool { return b.Rule == rule })
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
		for r.Script[k].Span > second/10 {
			script := slices.Clone(r.Script)
			script[k].Span /= 2
			next, still := breaks(script)
			if !still {
				break
			}
			r = next
		}
	}
	return r
}
