package dispatch

import (
	"testing"

	"lilacbend/control"
)

// A list comes between a governor's levels and its first table: the levels hold, as does who is shut out.
func TestAListBetweenLevelsAndATable(t *testing.T) {
	d, err := New(plan())
	if err != nil {
		t.Fatal(err)
	}
	d.List(true, map[string]Listed{"a1": {Zone: "a", Address: "x"}, "a2": {Zone: "a", Address: "y"}})
	d.Even(1)
	if err := d.Apply(1, Push{Groups: []string{"read"}, Levels: []Level{{0, control.NoRetry}}, Shut: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	d.List(false, map[string]Listed{"a2": {State: control.Gone}, "b1": {Zone: "b", Address: "z"}})
	d.Even(2)
	if n := d.Tables(); n["read"] != 2 || !d.Blank() {
		t.Errorf("%v, blank %v", n, d.Blank())
	}
	if _, s := d.Begin(2, 0, true); s.Reason != LevelClosed {
		t.Errorf("a closed level: %+v", s)
	}
	if _, s := d.Begin(2, 1, true); s.Try != "b1" || s.Address != "z" {
		t.Errorf("another group: %+v", s)
	}
}

// A replica leaves the list, or is listed elsewhere, after it was picked: the flow goes where it was picked for.
func TestAListBetweenPickAndSend(t *testing.T) {
	for _, now := range []Listed{{State: control.Gone}, {Zone: "a", Address: "elsewhere:80"}} {
		d := desk(t, nil, Push{Full: true, Lines: map[string]float64{"a1": 1}})
		f, s := d.Begin(0, 2, true)
		d.List(false, map[string]Listed{"a1": now})
		if s.Try != "a1" || s.Address != "a1:80" {
			t.Errorf("%+v", s)
		}
		if s = d.Ended(1, f, Good); !s.Good || d.InHand() != 0 {
			t.Errorf("%+v, %d in hand", s, d.InHand())
		}
	}
}
