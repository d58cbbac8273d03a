package checks

import (
	"slices"
	"testing"
	"time"
)

const second = time.Second

// faultFreeRun returns the events of a run of 30 s without a fault: two controllers of one service, and three publications
// of which the second is not valid.
func faultFreeRun() []Event {
	var events []Event
	for controller := range 2 {
		events = append(events, Event{Kind: Started, Controller: controller})
		for at := range 30 {
			e := Event{Kind: Serving, At: time.Duration(at)*second + second/2, Controller: controller, Markers: []Marker{1}}
			if at >= 12 {
				e.Markers = []Marker{3}
			}
			events = append(events, e)
		}
	}
	return append(events, Event{Kind: Published, Marker: 1, Valid: true}, Event{Kind: Published, At: 5 * second, Marker: 2},
		Event{Kind: Refused, At: 6 * second, Controller: 1, Marker: 2}, Event{Kind: Published, At: 10 * second, Marker: 3, Valid: true})
}

var bounds = Bounds{MaxPropagationDelay: 5 * second, HeartbeatTimeout: 3 * second}

// withoutServing removes the Serving events of a controller from one time until another.
func withoutServing(events []Event, controller int, from, to time.Duration) []Event {
	return slices.DeleteFunc(events, func(e Event) bool {
		return e.Kind == Serving && e.Controller == controller && e.At >= from && e.At < to
	})
}

func servingEvent(controller int, at time.Duration, markers ...Marker) Event {
	return Event{Kind: Serving, At: at, Controller: controller, Markers: markers}
}

func TestCheckReportsEachViolatedRule(t *testing.T) {
	for name, c := range map[string]struct {
		modify   func(events []Event) []Event
		violated Rule // empty: no rule is violated
	}{
		"no fault":       {func(e []Event) []Event { return e }, ""},
		"two markers":    {func(e []Event) []Event { return append(e, servingEvent(1, 13*second, 1, 3)) }, NoMixedRevisions},
		"no marker":      {func(e []Event) []Event { return append(e, servingEvent(1, 13*second)) }, NoMixedRevisions},
		"older revision": {func(e []Event) []Event { return append(e, servingEvent(1, 29*second+second/4, 1)) }, NoOlderRevision},
		"older revision after a restart": {func(e []Event) []Event {
			return append(e, Event{Kind: Started, At: 29 * second, Controller: 1}, servingEvent(1, 29*second+second/4, 1))
		}, ""},
		"older revision after a restart that keeps the configuration": {func(e []Event) []Event {
			return append(e, Event{Kind: Started, At: 29 * second, Controller: 1, Resumes: true}, servingEvent(1, 29*second+second/4, 1))
		}, NoOlderRevision},
		"same revision after a restart that keeps the configuration": {func(e []Event) []Event {
			return append(e, Event{Kind: Started, At: 29 * second, Controller: 1, Resumes: true}, servingEvent(1, 29*second+second/4, 3))
		}, ""},
		"invalid revision": {func(e []Event) []Event { return append(e, servingEvent(0, 11*second+3*second/4, 2)) }, NoRefusedRevision},
		"revision that the controller refused": {func(e []Event) []Event {
			return append(e, Event{Kind: Refused, At: 11 * second, Controller: 1, Marker: 3})
		}, NoRefusedRevision},
		"no heartbeats":               {func(e []Event) []Event { return withoutServing(e, 1, 20*second, 25*second) }, KeepsServing},
		"no heartbeats until the end": {func(e []Event) []Event { return withoutServing(e, 1, 20*second, 31*second) }, KeepsServing},
		"no heartbeats while stopped": {func(e []Event) []Event {
			e = append(e, Event{Kind: Stopped, At: 20 * second, Controller: 1}, Event{Kind: Started, At: 27 * second, Controller: 1})
			return withoutServing(e, 1, 20*second, 27*second)
		}, ""},
		"no heartbeats during a partition": {func(e []Event) []Event {
			e = append(e, Event{Kind: Partitioned, At: 20 * second, Controller: 1}, Event{Kind: Healed, At: 22*second + second/4, Controller: 1})
			return withoutServing(e, 1, 20*second, 22*second+second/4)
		}, KeepsServing},
		"older revision during a partition": {func(e []Event) []Event {
			e = append(e, Event{Kind: Partitioned, At: 8 * second, Controller: 1}, Event{Kind: Healed, At: 24 * second, Controller: 1})
			for k := range e {
				if e[k].Kind == Serving && e[k].Controller == 1 && e[k].At < 26*second {
					e[k].Markers = []Marker{1}
				}
			}
			return e
		}, ""},
		"change in force too late": {func(e []Event) []Event {
			for k := range e {
				if e[k].Kind == Serving && e[k].Controller == 1 && e[k].At < 16*second {
					e[k].Markers = []Marker{1}
				}
			}
			return e
		}, InForceWithinBound},
		"change never in force": {func(e []Event) []Event {
			for k := range e {
				if e[k].Kind == Serving && e[k].Controller == 1 {
					e[k].Markers = []Marker{1}
				}
			}
			return e
		}, NewestAfterFaults},
	} {
		t.Run(name, func(t *testing.T) {
			result := Check(c.modify(faultFreeRun()), 30*second, bounds)
			for _, violation := range result.Violations {
				if violation.Rule != c.violated {
					t.Errorf("unexpected violation: %v", violation)
				}
			}
			if c.violated != "" && !slices.ContainsFunc(result.Violations, func(violation Violation) bool { return violation.Rule == c.violated }) {
				t.Errorf("violation not reported: %s", c.violated)
			}
		})
	}
}

func TestDelaysCountFromWhenControllerIsReachable(t *testing.T) {
	events := faultFreeRun()
	result := Check(events, 30*second, bounds)
	if len(result.Changes) != 2 || result.Changes[1].MaxDelay() != 2*second+second/2 || len(result.Changes[1].Delays) != 2 {
		t.Errorf("no fault: changes %+v", result.Changes)
	}
	events = append(events, Event{Kind: Partitioned, At: 9 * second, Controller: 1}, Event{Kind: Healed, At: 11 * second, Controller: 1})
	result = Check(events, 30*second, bounds)
	if got := result.Changes[1].Delays; !slices.Contains(got, second+second/2) || !slices.Contains(got, 2*second+second/2) {
		t.Errorf("after a partition: delays %v", got)
	}
	events = append(faultFreeRun(), Event{Kind: Partitioned, At: 9 * second, Controller: 1})
	if got := Check(events, 30*second, bounds).Changes[1].Delays; len(got) != 1 {
		t.Errorf("during a partition: delays %v, want one", got)
	}
}
