package controller

import (
	"testing"

	"lilacbend/control"
)

// A stream that has a part of its table hears of what is new of the part alone, and of all else with the rest of the table.
func TestAPartOfATableAndItsRest(t *testing.T) {
	steps := []struct {
		notes  []Input
		orders orders
		want   string
	}{
		{[]Input{list(true, "xr", "yr", "zr", "vr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a"}},
			orders{line(0, 1, 1), line(0, 2, 0.5), line(0, 3, 2), line(0, 4, 1),
				control.BindSubset{Proxy: 4, Replicas: []uint32{2, 1}, Unejected: 1}, control.RequestAck{Nonce: 1}}, "1: full y=0.5 x=1 +y #1"},
		{nil, orders{line(0, 3, 3), control.RequestAck{Nonce: 2}}, ""},
		{nil, orders{control.SetEjected{Replica: 3, Ejected: true}, control.RequestAck{Nonce: 3}}, ""},
		{nil, orders{line(0, 1, 0.7), control.RequestAck{Nonce: 4}}, "1: x=0.7 +x #4"}, // it may hold that x is ejected
		{nil, orders{control.SetEjected{Replica: 2, Ejected: true}, control.RequestAck{Nonce: 5}}, "1: -y #5"},
		{nil, orders{control.Bind{Proxy: 4}, control.RequestAck{Nonce: 6}}, "1: z=3 v=1 -z +v #6"},
		{nil, orders{line(0, 3, 1), control.RequestAck{Nonce: 7}}, "1: z=1 #7"},
		{nil, orders{control.BindSubset{Proxy: 4, Replicas: []uint32{2, 4}, Unejected: 1}, control.RequestAck{Nonce: 8}}, "1: full v=1 #8"}, // y is withdrawn
		{nil, orders{control.Bind{Proxy: 4, Table: 1}, line(1, 1, 1), control.RequestAck{Nonce: 9}}, "1: full x=1 #9"},
	}
	var turns [][]control.Command
	for _, s := range steps {
		turns = append(turns, s.orders)
	}
	c, _ := core(turns...)
	for k, s := range steps {
		if got := text(c.Turn(int64(k)*1e9, s.notes)); got != s.want {
			t.Errorf("step %d: %q, want %q", k, got, s.want)
		}
	}
}
