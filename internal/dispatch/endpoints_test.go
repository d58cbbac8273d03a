package dispatch

import (
	"testing"

	"lilacbend/control"
)

// An endpoint list comes between a controller's settings and its first table: the settings hold, as do the ejections.
func TestEndpointListBetweenSettingsAndTable(t *testing.T) {
	d, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(true, map[string]Endpoint{"a1": {Zone: "a", Address: "x"}, "a2": {Zone: "a", Address: "y"}})
	d.UseEqualWeights(1)
	if err := d.Apply(1, Update{Classes: []string{"read"}, Settings: []ClassSettings{{0, control.NoRetry}}, Eject: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(false, map[string]Endpoint{"a2": {State: control.Gone}, "b1": {Zone: "b", Address: "z"}})
	d.UseEqualWeights(2)
	if n := d.TableSizes(); n["read"] != 2 || d.HasTables() {
		t.Errorf("%v, has tables: %v", n, d.HasTables())
	}
	if _, step := d.Begin(2, 0, true); step.Reason != ErrLoadShed {
		t.Errorf("an admission of 0: %+v", step)
	}
	if _, step := d.Begin(2, 1, true); step.Replica != "b1" || step.Address != "z" {
		t.Errorf("another class: %+v", step)
	}
}

// A replica leaves the list, or its address changes, after it was picked: the request goes to the address of the pick.
func TestEndpointListBetweenPickAndSend(t *testing.T) {
	for _, now := range []Endpoint{{State: control.Gone}, {Zone: "a", Address: "elsewhere:80"}} {
		d := newDispatcher(t, nil, Update{Full: true, Weights: map[string]float64{"a1": 1}})
		request, step := d.Begin(0, 2, true)
		d.UpdateEndpoints(false, map[string]Endpoint{"a1": now})
		if step.Replica != "a1" || step.Address != "a1:80" {
			t.Errorf("%+v", step)
		}
		if step = d.AttemptEnded(1, request, Succeeded); !step.Succeeded || d.InFlight() != 0 {
			t.Errorf("%+v, %d in flight", step, d.InFlight())
		}
	}
}
