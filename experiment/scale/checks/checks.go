// Package checks verifies the rules of a scale run against the recorded events of the run: what was published and when,
// which controllers were running and reachable, and which revisions each of them served. It does no I/O and reads no
// clock.
package checks

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Marker is the number of a publication for one service and subject. Numbers start at 1 and have no gaps, as refused
// publications are counted too.
type Marker uint64

// Subject is the kind of data that is published to controllers.
type Subject int

// The subjects of a run.
const (
	Configuration Subject = iota
	ReplicaList
)

func (s Subject) String() string { return [...]string{"configuration", "replica list"}[s] }

// Kind is the kind of an event.
type Kind string

// The kinds of events, with the fields that each of them sets. The run itself records Published, Partitioned and Healed;
// controllers report the others.
const (
	Published   Kind = "published" // Service, Subject, Marker, Valid
	Partitioned Kind = "cut"       // Controller: no new configuration can reach it
	Healed      Kind = "healed"    // Controller
	Started     Kind = "started"   // Controller, Service, Resumes
	Stopped     Kind = "stopped"   // Controller
	Serving     Kind = "serving"   // Controller, Subject, Markers; also serves as a heartbeat
	Refused     Kind = "refused"   // Controller, Subject, Marker
)

// Event is one event of a run. At is the time since the start of the run.
type Event struct {
	Kind       Kind          `json:"kind"`
	At         time.Duration `json:"at"`
	Controller int           `json:"governor"`
	Service    int           `json:"service"`
	Subject    Subject       `json:"subject"`
	Marker     Marker        `json:"marker,omitempty"`
	Markers    []Marker      `json:"parts,omitempty"` // the distinct markers in the data that is in force
	Valid      bool          `json:"valid,omitempty"`
	Resumes    bool          `json:"resumes,omitempty"` // the controller keeps its configuration over a restart
}

// Rule is an invariant that every run must satisfy.
type Rule string

// The rules of a run.
const (
	NoMixedRevisions   Rule = "no controller serves a mix of two revisions"
	NoOlderRevision    Rule = "no controller serves an older revision after a newer one"
	NoRefusedRevision  Rule = "no controller serves a refused revision"
	KeepsServing       Rule = "a controller keeps serving its last revision, partitioned or not"
	NewestAfterFaults  Rule = "after the last fault all controllers serve the newest revision within the bound"
	InForceWithinBound Rule = "a change is in force at all reachable controllers within the bound"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule       Rule          `json:"rule"`
	At         time.Duration `json:"at"`
	Controller int           `json:"governor"`
	Detail     string        `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3f s, controller %d: %s: %s", v.At.Seconds(), v.Controller, v.Rule, v.Detail)
}

// Bounds are the time limits of the rules.
type Bounds struct {
	MaxPropagationDelay time.Duration // from publication, or from when the controller is reachable, until the revision is in force
	HeartbeatTimeout    time.Duration // longest time without a heartbeat
}

// Change is a valid publication and the delays until controllers put it in force.
type Change struct {
	Service   int
	Subject   Subject
	Marker    Marker
	Published time.Duration
	// Delays has one entry for each controller that put the change, or a newer one, in force while it was reachable: the
	// time since the publication, or since the controller was running and reachable if that was later.
	Delays []time.Duration
}

// MaxDelay returns the delay until the change was in force at all reachable controllers.
func (c Change) MaxDelay() time.Duration {
	if len(c.Delays) == 0 {
		return 0
	}
	return slices.Max(c.Delays)
}

// Result has the violations and the changes of a run.
type Result struct {
	Violations []Violation
	Changes    []Change
}

// Check checks the events of a run that ended at the given time. The events may be in any order.
func Check(events []Event, end time.Duration, bounds Bounds) Result {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	c := &checker{bounds: bounds, controllers: map[int]*controllerState{}, topics: map[topic][]publication{}}
	for _, e := range sorted {
		if e.Kind == Published { // recorded first, as a controller may serve a revision at the time of its publication
			c.recordPublication(e)
		}
	}
	for _, e := range sorted {
		c.apply(e)
	}
	c.finish(end)
	return c.result
}

// topic identifies a sequence of publications.
type topic struct {
	service int
	subject Subject
}

// publication is a Published event.
type publication struct {
	Event
	changeIndex int // index in Result.Changes; below 0: the publication is not valid
}

// subjectState has the revisions of one subject that one controller serves and has refused.
type subjectState struct {
	served  Marker
	refused map[Marker]bool
}

// controllerState is the state of one controller since its last start.
type controllerState struct {
	service       int
	running       bool
	partitioned   bool
	startedAt     time.Duration
	healedAt      time.Duration // 0: the controller was never partitioned
	lastHeartbeat time.Duration
	partitionedAt time.Duration
	subjects      map[Subject]*subjectState
}

// checker applies events in the order of their times and collects the violations.
type checker struct {
	bounds      Bounds
	controllers map[int]*controllerState
	topics      map[topic][]publication
	result      Result
}

func (c *checker) addViolation(rule Rule, e Event, format string, args ...any) {
	c.result.Violations = append(c.result.Violations,
		Violation{Rule: rule, At: e.At, Controller: e.Controller, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) recordPublication(e Event) {
	p := publication{Event: e, changeIndex: -1}
	if e.Valid {
		p.changeIndex = len(c.result.Changes)
		c.result.Changes = append(c.result.Changes,
			Change{Service: e.Service, Subject: e.Subject, Marker: e.Marker, Published: e.At})
	}
	key := topic{e.Service, e.Subject}
	c.topics[key] = append(c.topics[key], p)
}

func (c *checker) apply(e Event) {
	if e.Kind == Published {
		return
	}
	if e.Kind == Started {
		c.recordStart(e)
		return
	}
	controller := c.controllers[e.Controller]
	if controller == nil {
		return
	}
	switch e.Kind {
	case Stopped:
		c.checkHeartbeat(controller, e)
		controller.running = false
	case Partitioned:
		controller.partitioned = true
		controller.partitionedAt = e.At
	case Healed:
		if controller.running && controller.lastHeartbeat < controller.partitionedAt {
			c.addViolation(KeepsServing, e, "no heartbeat during a partition of %.1f s", (e.At - controller.partitionedAt).Seconds())
		}
		controller.partitioned = false
		controller.healedAt = e.At
	case Refused:
		controller.stateOf(e.Subject).refused[e.Marker] = true
	case Serving:
		c.recordServing(controller, e)
	}
}

// recordStart resets the state of a controller that has started. The delays of earlier publications count from the start.
// The controller may start with an old replica list, and with an old configuration unless it keeps its configuration over
// restarts.
func (c *checker) recordStart(e Event) {
	previous := c.controllers[e.Controller]
	controller := &controllerState{service: e.Service, running: true, startedAt: e.At, lastHeartbeat: e.At, subjects: map[Subject]*subjectState{}}
	if previous != nil {
		controller.partitioned = previous.partitioned
		controller.partitionedAt = previous.partitionedAt
		controller.healedAt = previous.healedAt
	}
	if previous != nil && e.Resumes {
		controller.stateOf(Configuration).served = previous.stateOf(Configuration).served
	}
	c.controllers[e.Controller] = controller
}

func (s *controllerState) stateOf(subject Subject) *subjectState {
	state := s.subjects[subject]
	if state == nil {
		state = &subjectState{refused: map[Marker]bool{}}
		s.subjects[subject] = state
	}
	return state
}

// checkHeartbeat adds a violation if the last heartbeat of a running controller is too old.
func (c *checker) checkHeartbeat(controller *controllerState, e Event) {
	if sinceHeartbeat := e.At - controller.lastHeartbeat; controller.running && sinceHeartbeat > c.bounds.HeartbeatTimeout {
		c.addViolation(KeepsServing, e, "no heartbeat for %.1f s", sinceHeartbeat.Seconds())
	}
}

func (c *checker) recordServing(controller *controllerState, e Event) {
	c.checkHeartbeat(controller, e)
	controller.lastHeartbeat = e.At
	state := controller.stateOf(e.Subject)
	if len(e.Markers) != 1 {
		c.addViolation(NoMixedRevisions, e, "%v has the markers %v, want exactly one", e.Subject, e.Markers)
		return
	}
	marker := e.Markers[0]
	if marker < state.served {
		c.addViolation(NoOlderRevision, e, "%v %d served after %d", e.Subject, marker, state.served)
	}
	if marker == state.served {
		return
	}
	if state.refused[marker] {
		c.addViolation(NoRefusedRevision, e, "%v %d served after the controller refused it", e.Subject, marker)
	}
	for _, p := range c.topics[topic{controller.service, e.Subject}] {
		if p.Marker == marker && !p.Valid {
			c.addViolation(NoRefusedRevision, e, "%v %d served, which is not valid", e.Subject, marker)
		}
		if p.Valid && p.Marker > state.served && p.Marker <= marker {
			c.recordInForce(controller, e, p)
		}
	}
	state.served = max(state.served, marker)
}

// reachableSince returns the time since which a controller could receive a subject. Partitions do not delay replica lists,
// as these come from the agent on the controller's own machine.
func (s *controllerState) reachableSince(subject Subject) time.Duration {
	if subject == Configuration {
		return max(s.startedAt, s.healedAt)
	}
	return s.startedAt
}

// recordInForce records the delay of a change at a controller. Configuration that comes into force during a partition is not
// counted, as a partitioned controller need not receive any.
func (c *checker) recordInForce(controller *controllerState, e Event, p publication) {
	if controller.partitioned && e.Subject == Configuration {
		return
	}
	delay := max(0, e.At-max(p.At, controller.reachableSince(e.Subject)))
	change := &c.result.Changes[p.changeIndex]
	change.Delays = append(change.Delays, delay)
	if delay > c.bounds.MaxPropagationDelay {
		c.addViolation(InForceWithinBound, e, "%v %d of service %d was in force after %.3f s", e.Subject, p.Marker, p.Service, delay.Seconds())
	}
}

func (c *checker) finish(end time.Duration) {
	var numbers []int
	for number := range c.controllers {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		controller := c.controllers[number]
		e := Event{At: end, Controller: number}
		if !controller.running {
			continue
		}
		c.checkHeartbeat(controller, e)
		for _, subject := range []Subject{Configuration, ReplicaList} {
			c.checkNewest(controller, e, subject)
		}
	}
}

// checkNewest checks that a controller serves the newest valid publication, if that was published, and the controller was
// reachable, at least MaxPropagationDelay before the end of the run.
func (c *checker) checkNewest(controller *controllerState, e Event, subject Subject) {
	if controller.partitioned && subject == Configuration {
		return
	}
	for _, p := range slices.Backward(c.topics[topic{controller.service, subject}]) {
		if !p.Valid {
			continue
		}
		served := controller.stateOf(subject).served
		if due := max(p.At, controller.reachableSince(subject)) + c.bounds.MaxPropagationDelay; served < p.Marker && e.At >= due {
			c.addViolation(NewestAfterFaults, e, "%v %d is in force, not %d", subject, served, p.Marker)
		}
		return
	}
}
