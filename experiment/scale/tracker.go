package scale

import (
	"slices"
	"sync"
	"time"

	"lilacbend/experiment/scale/checks"
)

// tracker records the events of a run, and which controllers do not serve the newest versions yet.
type tracker struct {
	start time.Time

	mu     sync.Mutex
	events []checks.Event
	faults []string
	newest map[topic]checks.Marker // valid ones
	alive  map[int]*controllerState
}

type topic struct {
	service int
	subject checks.Subject
}

// controllerState is what is known of a running controller.
type controllerState struct {
	service int
	serving map[checks.Subject]checks.Marker
}

func newTracker() *tracker {
	return &tracker{start: time.Now(), newest: map[topic]checks.Marker{}, alive: map[int]*controllerState{}}
}

// since returns the time since the start of the run.
func (t *tracker) since() time.Duration { return time.Since(t.start) }

// record records what a host reports; its clock is this machine's.
func (t *tracker) record(r report) {
	if r.Fault != "" {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.faults = append(t.faults, r.Fault)
		return
	}
	if r.Event != nil {
		e := *r.Event
		e.At -= time.Duration(t.start.UnixNano())
		t.add(e)
	}
}

// recordOwn records an event of the run itself at the current time.
func (t *tracker) recordOwn(e checks.Event) {
	e.At = t.since()
	t.add(e)
}

func (t *tracker) add(e checks.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
	switch e.Kind {
	case checks.Published:
		if at := (topic{e.Service, e.Subject}); e.Valid {
			t.newest[at] = max(t.newest[at], e.Marker)
		}
	case checks.Started:
		t.alive[e.Governor] = &controllerState{e.Service, map[checks.Subject]checks.Marker{}}
	case checks.Stopped:
		delete(t.alive, e.Governor)
	case checks.Serving:
		if s := t.alive[e.Governor]; s != nil && len(e.Parts) > 0 {
			s.serving[e.Subject] = slices.Max(e.Parts)
		}
	}
}

// countBehind counts the controllers that do not serve the newest versions, and those that do not run.
func (t *tracker) countBehind(governors int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := governors - len(t.alive)
	for _, s := range t.alive {
		for _, subject := range []checks.Subject{checks.Configuration, checks.ReplicaList} {
			if s.serving[subject] != t.newest[topic{s.service, subject}] {
				count++
				break
			}
		}
	}
	return count
}

// settled reports whether all running controllers of a service serve its newest configuration.
func (t *tracker) settled(service int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.alive {
		if s.service == service && s.serving[checks.Configuration] != t.newest[topic{service, checks.Configuration}] {
			return false
		}
	}
	return true
}

func (t *tracker) all() ([]checks.Event, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.events), slices.Clone(t.faults)
}
