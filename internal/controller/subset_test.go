package controller

import (
	"testing"

	"lilacbend/control"
)

// A stream that has a subset of its table gets only the changes of the subset. It gets all other changes with the rest of
// the table.
func TestSubsetOfATableIsFollowedByTheRest(t *testing.T) {
	steps := []struct {
		inputs   []Input
		commands commands
		want     string
	}{
		{[]Input{replicaList(true, "xr", "yr", "zr", "vr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a"}},
			commands{setEndpoint(0, 1, 1), setEndpoint(0, 2, 0.5), setEndpoint(0, 3, 2), setEndpoint(0, 4, 1),
				control.BindSubset{Proxy: 4, Replicas: []uint32{2, 1}, UnejectedCount: 1}, control.RequestAck{Nonce: 1}}, "1: full y=0.5 x=1 +y #1"},
		{nil, commands{setEndpoint(0, 3, 3), control.RequestAck{Nonce: 2}}, ""},
		{nil, commands{control.SetEjected{Replica: 3, Ejected: true}, control.RequestAck{Nonce: 3}}, ""},
		{nil, commands{setEndpoint(0, 1, 0.7), control.RequestAck{Nonce: 4}}, "1: x=0.7 +x #4"}, // the proxy may hold x as ejected
		{nil, commands{control.SetEjected{Replica: 2, Ejected: true}, control.RequestAck{Nonce: 5}}, "1: -y #5"},
		{nil, commands{control.Bind{Proxy: 4}, control.RequestAck{Nonce: 6}}, "1: z=3 v=1 -z +v #6"},
		{nil, commands{setEndpoint(0, 3, 1), control.RequestAck{Nonce: 7}}, "1: z=1 #7"},
		{nil, commands{control.BindSubset{Proxy: 4, Replicas: []uint32{2, 4}, UnejectedCount: 1}, control.RequestAck{Nonce: 8}}, "1: full v=1 #8"}, // y is ejected
		{nil, commands{control.Bind{Proxy: 4, Table: 1}, setEndpoint(1, 1, 1), control.RequestAck{Nonce: 9}}, "1: full x=1 #9"},
	}
	var turns [][]control.Command
	for _, s := range steps {
		turns = append(turns, s.commands)
	}
	c, _ := newTestCore(turns...)
	for k, s := range steps {
		if got := formatUpdates(c.Turn(int64(k)*1e9, s.inputs)); got != s.want {
			t.Errorf("step %d: got updates %q, want %q", k, got, s.want)
		}
	}
}
