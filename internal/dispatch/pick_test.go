package dispatch

import (
	"testing"

	"lilacbend/control"
)

func TestReplicasThatMayNotBePicked(t *testing.T) {
	for name, change := range map[string]func(*Dispatcher){
		"ejected":          func(d *Dispatcher) { d.Apply(0, UpdatePart{Eject: []string{"a1"}}) },
		"draining":         func(d *Dispatcher) { d.UpdateEndpoints(false, map[string]Endpoint{"a1": {State: control.Draining}}) },
		"gone":             func(d *Dispatcher) { d.UpdateEndpoints(false, map[string]Endpoint{"a1": {State: control.Gone}}) },
		"unlisted":         func(d *Dispatcher) { d.UpdateEndpoints(true, map[string]Endpoint{"b1": {Address: "x"}}) },
		"not in the table": func(d *Dispatcher) { d.Apply(0, UpdatePart{Weights: map[string]float64{"a1": 0}}) },
	} {
		d := newDispatcher(t, nil)
		d.Apply(0, UpdatePart{Replace: true, Weights: map[string]float64{"a1": 1}})
		request, step := d.Begin(0, 0, true)
		if step.Replica != "a1" {
			t.Fatalf("%s: step %+v before the change, want replica a1", name, step)
		}
		change(d)
		if _, step = d.Begin(0, 0, true); step.Reason != ErrNoReplica {
			t.Errorf("%s: step %+v after the change, want reason %q", name, step, ErrNoReplica)
		}
		// The first request was sent to a1 before the change, so that the change does not affect it.
		if step = d.AttemptEnded(1, request, Succeeded); !step.Succeeded {
			t.Errorf("%s: request in flight ended with step %+v, want success", name, step)
		}
	}
}

func TestPicksFollowWeights(t *testing.T) {
	for _, pick := range []control.PickPolicy{control.PickRandom, control.PickRoundRobin, control.PickPowerOfTwo} {
		d := newDispatcher(t, func(c *Config) { c.Pick, c.MaxRequests = pick, 1 }, UpdatePart{Weights: map[string]float64{"a1": 6, "a2": 3, "b1": 1, "b2": 0}})
		got := map[string]int{}
		for range 1000 {
			request, step := d.Begin(0, 0, true)
			got[step.Replica]++
			d.AttemptEnded(0, request, Succeeded)
		}
		if a, b, c := got["a1"], got["a2"], got["b1"]; a < 550 || a > 650 || b < 250 || b > 350 || c < 70 || c > 130 {
			t.Errorf("pick policy %d: requests by replica %v, want about 600, 300 and 100", pick, got)
		}
	}
}
