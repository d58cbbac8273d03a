package dispatch

import (
	"testing"

	"lilacbend/control"
)

// An endpoint list that arrives between a controller's settings and its first table leaves settings and ejections in force.
func TestEndpointListBetweenSettingsAndTable(t *testing.T) {
	d, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(true, map[string]Endpoint{"a1": {Zone: "a", Address: "x"}, "a2": {Zone: "a", Address: "y"}})
	d.UseEqualWeights(1)
	if err := d.Apply(1, UpdatePart{Classes: []string{"read"}, Settings: []ClassSettings{{0, control.NoRetry}}, Eject: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(false, map[string]Endpoint{"a2": {State: control.Gone}, "b1": {Zone: "b", Address: "z"}})
	d.UseEqualWeights(2)
	if n := d.TableSizes(); n["read"] != 2 || d.HasTables() {
		t.Errorf("table sizes %v, has tables: %v; want 2 endpoints for class read, and no tables", n, d.HasTables())
	}
	if _, step := d.Begin(2, 0, true); step.Reason != ErrLoadShed {
		t.Errorf("class with admission 0: step %+v, want reason %q", step, ErrLoadShed)
	}
	if _, step := d.Begin(2, 1, true); step.Replica != "b1" || step.Address != "z" {
		t.Errorf("class without settings: step %+v, want replica b1 at address z", step)
	}
}

// If a replica leaves the endpoint list, or its address changes, after it was picked, the request goes to the address that
// it had when it was picked.
func TestEndpointListBetweenPickAndSend(t *testing.T) {
	for _, changed := range []Endpoint{{State: control.Gone}, {Zone: "a", Address: "elsewhere:80"}} {
		d := newDispatcher(t, nil, UpdatePart{Replace: true, Weights: map[string]float64{"a1": 1}})
		request, step := d.Begin(0, 2, true)
		d.UpdateEndpoints(false, map[string]Endpoint{"a1": changed})
		if step.Replica != "a1" || step.Address != "a1:80" {
			t.Errorf("step %+v, want replica a1 at its earlier address a1:80", step)
		}
		if step = d.AttemptEnded(1, request, Succeeded); !step.Succeeded || d.InFlight() != 0 {
			t.Errorf("after a successful attempt: step %+v, %d in flight, want success and 0 in flight", step, d.InFlight())
		}
	}
}
