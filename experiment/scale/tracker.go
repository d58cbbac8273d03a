package scale

import (
	"slices"
	"sync"
	"time"

	"lilacbend/experiment/scale/checks"
)

// tracker records the events of a run, and determines which controllers do not serve the newest revisions yet.
type tracker struct {
	start time.Time

	mu         sync.Mutex
	events     []checks.Event
	hostErrors []string
	newest     map[topic]checks.Marker // newest marker among the valid publications, by topic
	running    map[int]*controllerState
}

// topic identifies a sequence of publications.
type topic struct {
	service int
	subject checks.Subject
}

// controllerState has the revisions that a running controller serves.
type controllerState struct {
	service int
	serving map[checks.Subject]checks.Marker
}

func newTracker() *tracker {
	return &tracker{start: time.Now(), newest: map[topic]checks.Marker{}, running: map[int]*controllerState{}}
}

// elapsed returns the time since the start of the run.
func (t *tracker) elapsed() time.Duration { return time.Since(t.start) }

// recordReport records an event or an error of a host. Hosts run on this machine, so their events have times of its clock.
func (t *tracker) recordReport(r report) {
	if r.Error != "" {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.hostErrors = append(t.hostErrors, r.Error)
		return
	}
	if r.Event != nil {
		e := *r.Event
		e.At -= time.Duration(t.start.UnixNano())
		t.add(e)
	}
}

// recordNow records an event of the run itself at the current time.
func (t *tracker) recordNow(e checks.Event) {
	e.At = t.elapsed()
	t.add(e)
}

// add records an event.
func (t *tracker) add(e checks.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
	switch e.Kind {
	case checks.Published:
		if key := (topic{e.Service, e.Subject}); e.Valid {
			t.newest[key] = max(t.newest[key], e.Marker)
		}
	case checks.Started:
		t.running[e.Controller] = &controllerState{e.Service, map[checks.Subject]checks.Marker{}}
	case checks.Stopped:
		delete(t.running, e.Controller)
	case checks.Serving:
		if state := t.running[e.Controller]; state != nil && len(e.Markers) > 0 {
			state.serving[e.Subject] = slices.Max(e.Markers)
		}
	}
}

// countBehind returns the number of controllers that do not run or do not serve the newest valid revisions.
func (t *tracker) countBehind(controllers int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := controllers - len(t.running)
	for _, state := range t.running {
		for _, subject := range []checks.Subject{checks.Configuration, checks.ReplicaList} {
			if state.serving[subject] != t.newest[topic{state.service, subject}] {
				count++
				break
			}
		}
	}
	return count
}

// serviceSettled reports whether all running controllers of a service serve its newest valid configuration.
func (t *tracker) serviceSettled(service int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.running {
		if state.service == service && state.serving[checks.Configuration] != t.newest[topic{service, checks.Configuration}] {
			return false
		}
	}
	return true
}

// snapshot returns copies of the events and of the errors of hosts.
func (t *tracker) snapshot() ([]checks.Event, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.events), slices.Clone(t.hostErrors)
}
