package pacing

import (
	"slices"
	"testing"

	"lilacbend/control"
)

func TestCostOfACommand(t *testing.T) {
	const overhead = 4 + 1 // cost units of a message's overhead and its nonce
	for _, c := range []struct {
		name       string
		command    control.Command
		recipients []int
		units      float64
	}{
		{"bind: the binding, two units for each endpoint, an admission rate for each class", control.Bind{Proxy: 9, Table: 0},
			[]int{9}, overhead + 1 + 2*20 + 2},
		{"bind to an empty table", control.Bind{Proxy: 9, Table: 7}, []int{9}, overhead + 1 + 2},
		{"subset", control.BindSubset{Proxy: 9, Replicas: []uint32{1, 2, 3, 4}, UnejectedCount: 3}, []int{9}, overhead + 1 + 4 + 3 + 2},
		{"weight: all proxies of the table", control.SetEndpoint{Table: 0, Replica: 1, Weight: 1}, []int{0, 1}, 2 * (overhead + 1)},
		{"weight of an endpoint that is not in one proxy's subset", control.SetEndpoint{Table: 1, Replica: 8, Weight: 1}, []int{2},
			overhead + 1},
		{"weight in a table without proxies", control.SetEndpoint{Table: 7, Replica: 1, Weight: 1}, nil, 0},
		{"ejection: all proxies that hold an endpoint, in any table", control.SetEjected{Replica: 5, Ejected: true}, []int{0, 1, 2, 3},
			4 * (overhead + 1)},
		{"ejection of a replica that is not in one proxy's subset", control.SetEjected{Replica: 8, Ejected: true}, []int{0, 1, 2},
			3 * (overhead + 1)},
		{"ejection of a replica in no table", control.SetEjected{Replica: 99, Ejected: true}, nil, 0},
		{"admission rate: all proxies", control.SetAdmission{Class: 1}, []int{0, 1, 2, 3}, 4 * (overhead + 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := pacerWithTable(2, nil) // proxies 0 and 1 are bound to table 0
			p.proxies.tables[1] = map[uint32]float64{5: 1, 8: 1}
			p.proxies.bind(2, 1)
			p.proxies.bindSubset(control.BindSubset{Proxy: 3, Table: 1, Replicas: []uint32{5}})
			got := p.costOf(c.command, nil)
			if !slices.Equal(got.recipients, c.recipients) || got.units != c.units {
				t.Errorf("got cost %v, want %v", got, commandCost{c.recipients, c.units})
			}
		})
	}
}

func TestCostCountsOneOverheadForEachMessage(t *testing.T) {
	p := pacerWithTable(3, nil)
	p.beginTurn(0)
	p.turn.reached[0] = true
	messaged := map[int]bool{1: true}
	command := control.SetEndpoint{Replica: 1, Weight: 1}
	assertEqual(t, "units if one proxy gets no message yet", p.costOf(command, messaged).units, 3.0+5)
	assertEqual(t, "units if all proxies get a message", p.costOf(command, messaged).units, 3.0)
	assertEqual(t, "units if only the turn's messages count", p.costOf(command, nil).units, 3.0+2*5)
}
