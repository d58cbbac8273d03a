// Package checks checks the rules of a scale run against the true state: what was published when, which controllers were
// running and reachable, and what each of them served. It has no I/O and no clock.
package checks

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Marker numbers what was published for one service and subject, from 1 and without gaps; refused publications count too.
type Marker uint64

// Subject is what is published.
type Subject int

// The subjects of a run.
const (
	Configuration Subject = iota
	ReplicaList
)

func (s Subject) String() string { return [...]string{"configuration", "replica list"}[s] }

// Kind is the kind of an event.
type Kind string

// The kinds of events. Published and Cut to Healed come from the run itself, the others from controllers.
const (
	Published Kind = "published" // Service, Subject, Marker, Valid
	Cut       Kind = "cut"       // Governor: nothing new can reach it
	Healed    Kind = "healed"    // Governor
	Started   Kind = "started"   // Governor, Service, Resumes
	Stopped   Kind = "stopped"   // Governor
	Serving   Kind = "serving"   // Governor, Subject, Parts; also a sign of life
	Refused   Kind = "refused"   // Governor, Subject, Marker
)

// Event is a part of the true state. At is the time since the start of the run.
type Event struct {
	Kind     Kind          `json:"kind"`
	At       time.Duration `json:"at"`
	Governor int           `json:"governor"`
	Service  int           `json:"service"`
	Subject  Subject       `json:"subject"`
	Marker   Marker        `json:"marker,omitempty"`
	Parts    []Marker      `json:"parts,omitempty"` // the different markers found in what is in force
	Valid    bool          `json:"valid,omitempty"`
	Resumes  bool          `json:"resumes,omitempty"` // it keeps its configuration over a restart
}

// Rule is what must hold.
type Rule string

// The rules of a run.
const (
	NoMix            Rule = "no governor serves a mix of two revisions"
	NoOlder          Rule = "no governor serves an older revision after a newer one"
	NoRefused        Rule = "no governor serves what was refused"
	GoesOn           Rule = "a governor goes on with what it has, cut off or not"
	NewestEverywhere Rule = "after the last fault all hold the newest within the bound"
	InForceInTime    Rule = "a change is in force at all that are reachable within the bound"
)

// Failure is one broken rule.
type Failure struct {
	Rule     Rule          `json:"rule"`
	At       time.Duration `json:"at"`
	Governor int           `json:"governor"`
	Detail   string        `json:"detail"`
}

func (f Failure) String() string {
	return fmt.Sprintf("%.3f s, governor %d: %s: %s", f.At.Seconds(), f.Governor, f.Rule, f.Detail)
}

// Bounds are the limits that the rules name.
type Bounds struct {
	InForce time.Duration // from a publication, or from being reachable again, until it is in force
	Silence time.Duration // the longest time without a sign of life
}

// Change is a valid publication and how long it took to the controllers.
type Change struct {
	Service   int
	Subject   Subject
	Marker    Marker
	Published time.Duration
	// Delays has one entry for each governor that put the change, or a newer one, in force while it was reachable: the
	// time since the publication, or since the governor was up and reachable if that was later.
	Delays []time.Duration
}

// AtAll returns the time until the change was active at all reachable controllers.
func (c Change) AtAll() time.Duration {
	if len(c.Delays) == 0 {
		return 0
	}
	return slices.Max(c.Delays)
}

// Verdict is the outcome of a run.
type Verdict struct {
	Failures []Failure
	Changes  []Change
}

// Judge checks the events of a run that ended at a time. They may be in any order.
func Judge(events []Event, end time.Duration, bounds Bounds) Verdict {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	j := &judge{bounds: bounds, governors: map[int]*governor{}, topics: map[topic][]publication{}}
	for _, e := range sorted {
		if e.Kind == Published { // all of them first: a governor may serve one in the instant in which it is published
			j.publish(e)
		}
	}
	for _, e := range sorted {
		j.take(e)
	}
	j.finish(end)
	return j.verdict
}

type topic struct {
	service int
	subject Subject
}

type publication struct {
	Event
	change int // index in the verdict; below 0: it was refused
}

// holding is what one controller serves of one subject.
type holding struct {
	served  Marker
	refused map[Marker]bool
}

type governor struct {
	service  int
	up       bool
	cut      bool
	started  time.Duration
	healed   time.Duration // 0: it was never cut off
	sign     time.Duration // of life, the last one
	cutSince time.Duration
	holdings map[Subject]*holding
}

type judge struct {
	bounds    Bounds
	governors map[int]*governor
	topics    map[topic][]publication
	verdict   Verdict
}

func (j *judge) fail(rule Rule, e Event, format string, args ...any) {
	j.verdict.Failures = append(j.verdict.Failures,
		Failure{Rule: rule, At: e.At, Governor: e.Governor, Detail: fmt.Sprintf(format, args...)})
}

func (j *judge) publish(e Event) {
	p := publication{Event: e, change: -1}
	if e.Valid {
		p.change = len(j.verdict.Changes)
		j.verdict.Changes = append(j.verdict.Changes,
			Change{Service: e.Service, Subject: e.Subject, Marker: e.Marker, Published: e.At})
	}
	at := topic{e.Service, e.Subject}
	j.topics[at] = append(j.topics[at], p)
}

func (j *judge) take(e Event) {
	if e.Kind == Published {
		return
	}
	if e.Kind == Started {
		j.start(e)
		return
	}
	g := j.governors[e.Governor]
	if g == nil {
		return
	}
	switch e.Kind {
	case Stopped:
		j.signDue(g, e)
		g.up = false
	case Cut:
		g.cut = true
		g.cutSince = e.At
	case Healed:
		if g.up && g.sign < g.cutSince {
			j.fail(GoesOn, e, "no sign of life in %.1f s of being cut off", (e.At - g.cutSince).Seconds())
		}
		g.cut = false
		g.healed = e.At
	case Refused:
		g.holding(e.Subject).refused[e.Marker] = true
	case Serving:
		j.serve(g, e)
	}
}

// start begins a new life of a governor, which is due what was published before. It may begin with an old revision, of its
// configuration only where it keeps none over a restart.
func (j *judge) start(e Event) {
	before := j.governors[e.Governor]
	g := &governor{service: e.Service, up: true, started: e.At, sign: e.At, holdings: map[Subject]*holding{}}
	if before != nil {
		g.cut = before.cut
		g.cutSince = before.cutSince
		g.healed = before.healed
	}
	if before != nil && e.Resumes {
		g.holding(Configuration).served = before.holding(Configuration).served
	}
	j.governors[e.Governor] = g
}

func (g *governor) holding(s Subject) *holding {
	h := g.holdings[s]
	if h == nil {
		h = &holding{refused: map[Marker]bool{}}
		g.holdings[s] = h
	}
	return h
}

// signDue reports whether the last sign of life is too old.
func (j *judge) signDue(g *governor, e Event) {
	if silent := e.At - g.sign; g.up && silent > j.bounds.Silence {
		j.fail(GoesOn, e, "no sign of life for %.1f s", silent.Seconds())
	}
}

func (j *judge) serve(g *governor, e Event) {
	j.signDue(g, e)
	g.sign = e.At
	h := g.holding(e.Subject)
	if len(e.Parts) != 1 {
		j.fail(NoMix, e, "%v holds parts of %v", e.Subject, e.Parts)
		return
	}
	marker := e.Parts[0]
	if marker < h.served {
		j.fail(NoOlder, e, "%v %d after %d", e.Subject, marker, h.served)
	}
	if marker == h.served {
		return
	}
	if h.refused[marker] {
		j.fail(NoRefused, e, "%v %d, which it refused", e.Subject, marker)
	}
	for _, p := range j.topics[topic{g.service, e.Subject}] {
		if p.Marker == marker && !p.Valid {
			j.fail(NoRefused, e, "%v %d is not valid", e.Subject, marker)
		}
		if p.Valid && p.Marker > h.served && p.Marker <= marker {
			j.inForce(g, e, p)
		}
	}
	h.served = max(h.served, marker)
}

// reachable is since when a governor could be told of a subject; lists of replicas come from its own machine's agent.
func (g *governor) reachable(s Subject) time.Duration {
	if s == Configuration {
		return max(g.started, g.healed)
	}
	return g.started
}

// inForce notes how long a change took to a governor. Who is cut off is due no configuration.
func (j *judge) inForce(g *governor, e Event, p publication) {
	if g.cut && e.Subject == Configuration {
		return
	}
	delay := max(0, e.At-max(p.At, g.reachable(e.Subject)))
	c := &j.verdict.Changes[p.change]
	c.Delays = append(c.Delays, delay)
	if delay > j.bounds.InForce {
		j.fail(InForceInTime, e, "%v %d of service %d took %.3f s", e.Subject, p.Marker, p.Service, delay.Seconds())
	}
}

func (j *judge) finish(end time.Duration) {
	var numbers []int
	for number := range j.governors {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		g := j.governors[number]
		e := Event{At: end, Governor: number}
		if !g.up {
			continue
		}
		j.signDue(g, e)
		for _, subject := range []Subject{Configuration, ReplicaList} {
			j.newest(g, e, subject)
		}
	}
}

// newest checks that a controller serves the newest valid publication, if it has had the time for it.
func (j *judge) newest(g *governor, e Event, subject Subject) {
	if g.cut && subject == Configuration {
		return
	}
	for _, p := range slices.Backward(j.topics[topic{g.service, subject}]) {
		if !p.Valid {
			continue
		}
		served := g.holding(subject).served
		if due := max(p.At, g.reachable(subject)) + j.bounds.InForce; served < p.Marker && e.At >= due {
			j.fail(NewestEverywhere, e, "it holds %v %d, not %d", subject, served, p.Marker)
		}
		return
	}
}
