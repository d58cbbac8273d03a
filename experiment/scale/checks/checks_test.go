package checks

import (
	"slices"
	"testing"
	"time"
)

const second = time.Second

// quiet is a run without fault: two governors of one service, three publications of which the second is not valid.
func quiet() []Event {
	var events []Event
	for governor := range 2 {
		events = append(events, Event{Kind: Started, Governor: governor})
		for at := range 30 {
			e := Event{Kind: Serving, At: time.Duration(at)*second + second/2, Governor: governor, Parts: []Marker{1}}
			if at >= 12 {
				e.Parts = []Marker{3}
			}
			events = append(events, e)
		}
	}
	return append(events, Event{Kind: Published, Marker: 1, Valid: true}, Event{Kind: Published, At: 5 * second, Marker: 2},
		Event{Kind: Refused, At: 6 * second, Governor: 1, Marker: 2}, Event{Kind: Published, At: 10 * second, Marker: 3, Valid: true})
}

var bounds = Bounds{InForce: 5 * second, Silence: 3 * second}

// without drops what a governor says from one time to another.
func without(events []Event, governor int, from, to time.Duration) []Event {
	return slices.DeleteFunc(events, func(e Event) bool {
		return e.Kind == Serving && e.Governor == governor && e.At >= from && e.At < to
	})
}

func serving(governor int, at time.Duration, parts ...Marker) Event {
	return Event{Kind: Serving, At: at, Governor: governor, Parts: parts}
}

func TestEachRuleCanBeBroken(t *testing.T) {
	for name, c := range map[string]struct {
		change func(events []Event) []Event
		broken Rule // empty: none
	}{
		"quiet":          {func(e []Event) []Event { return e }, ""},
		"a mix":          {func(e []Event) []Event { return append(e, serving(1, 13*second, 1, 3)) }, NoMix},
		"no part of any": {func(e []Event) []Event { return append(e, serving(1, 13*second)) }, NoMix},
		"an older one":   {func(e []Event) []Event { return append(e, serving(1, 29*second+second/4, 1)) }, NoOlder},
		"an older one in a new life": {func(e []Event) []Event {
			return append(e, Event{Kind: Started, At: 29 * second, Governor: 1}, serving(1, 29*second+second/4, 1))
		}, ""},
		"an older one in a new life of one that keeps": {func(e []Event) []Event {
			return append(e, Event{Kind: Started, At: 29 * second, Governor: 1, Resumes: true}, serving(1, 29*second+second/4, 1))
		}, NoOlder},
		"the same one in a new life of one that keeps": {func(e []Event) []Event {
			return append(e, Event{Kind: Started, At: 29 * second, Governor: 1, Resumes: true}, serving(1, 29*second+second/4, 3))
		}, ""},
		"one that is not valid": {func(e []Event) []Event { return append(e, serving(0, 11*second+3*second/4, 2)) }, NoRefused},
		"one that it refused itself": {func(e []Event) []Event {
			return append(e, Event{Kind: Refused, At: 11 * second, Governor: 1, Marker: 3})
		}, NoRefused},
		"silence":            {func(e []Event) []Event { return without(e, 1, 20*second, 25*second) }, GoesOn},
		"silence to the end": {func(e []Event) []Event { return without(e, 1, 20*second, 31*second) }, GoesOn},
		"silence while it is down": {func(e []Event) []Event {
			e = append(e, Event{Kind: Stopped, At: 20 * second, Governor: 1}, Event{Kind: Started, At: 27 * second, Governor: 1})
			return without(e, 1, 20*second, 27*second)
		}, ""},
		"silence while it is cut off": {func(e []Event) []Event {
			e = append(e, Event{Kind: Cut, At: 20 * second, Governor: 1}, Event{Kind: Healed, At: 22*second + second/4, Governor: 1})
			return without(e, 1, 20*second, 22*second+second/4)
		}, GoesOn},
		"cut off": {func(e []Event) []Event {
			e = append(e, Event{Kind: Cut, At: 8 * second, Governor: 1}, Event{Kind: Healed, At: 24 * second, Governor: 1})
			for k := range e {
				if e[k].Kind == Serving && e[k].Governor == 1 && e[k].At < 26*second {
					e[k].Parts = []Marker{1}
				}
			}
			return e
		}, ""},
		"late": {func(e []Event) []Event {
			for k := range e {
				if e[k].Kind == Serving && e[k].Governor == 1 && e[k].At < 16*second {
					e[k].Parts = []Marker{1}
				}
			}
			return e
		}, InForceInTime},
		"never": {func(e []Event) []Event {
			for k := range e {
				if e[k].Kind == Serving && e[k].Governor == 1 {
					e[k].Parts = []Marker{1}
				}
			}
			return e
		}, NewestEverywhere},
	} {
		t.Run(name, func(t *testing.T) {
			v := Judge(c.change(quiet()), 30*second, bounds)
			for _, f := range v.Failures {
				if f.Rule != c.broken {
					t.Errorf("also broken: %v", f)
				}
			}
			if c.broken != "" && !slices.ContainsFunc(v.Failures, func(f Failure) bool { return f.Rule == c.broken }) {
				t.Errorf("not noticed: %s", c.broken)
			}
		})
	}
}

func TestDelaysCountFromWhenAGovernorCanBeReached(t *testing.T) {
	events := quiet()
	v := Judge(events, 30*second, bounds)
	if len(v.Changes) != 2 || v.Changes[1].AtAll() != 2*second+second/2 || len(v.Changes[1].Delays) != 2 {
		t.Errorf("quiet: %+v", v.Changes)
	}
	events = append(events, Event{Kind: Cut, At: 9 * second, Governor: 1}, Event{Kind: Healed, At: 11 * second, Governor: 1})
	v = Judge(events, 30*second, bounds)
	if got := v.Changes[1].Delays; !slices.Contains(got, second+second/2) || !slices.Contains(got, 2*second+second/2) {
		t.Errorf("cut off: %v", got)
	}
	events = append(quiet(), Event{Kind: Cut, At: 9 * second, Governor: 1})
	if got := Judge(events, 30*second, bounds).Changes[1].Delays; len(got) != 1 {
		t.Errorf("who is still cut off counts: %v", got)
	}
}
