package policy

import (
	"lilacbend/control"
	"reflect"
	"testing"
)

func TestOddEventsNameNothingUnknown(t *testing.T) {
	odd := []control.Event{control.Outcomes{Replica: 77, Attempts: 9, Failures: 9}, control.Outcomes{Replica: 1},
		control.StreamClosed{Proxy: 88}, control.Demand{Class: 9, Proxy: 99}, control.Ack{Proxy: 99, Nonce: 4},
		control.Ack{Proxy: 1, Nonce: 60000}, control.HealthCheckFinished{Replica: 77}, control.ReplicasListed{Failed: true},
		control.ReplicasListed{Full: true}, control.ReplicasListed{}, control.StreamOpened{Proxy: 50, Zone: 200},
		control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 3, Zone: 99, HardwareClass: 9}}}}
	all := day(odd...)
	for _, o := range orders[control.SetEndpoint](all) {
		want(t, "known replica", o.Replica >= 1 && o.Replica <= 6, true)
	}
	want(t, "all bound", len(orders[control.Bind](all)), 7)
	want(t, "the same again", reflect.DeepEqual(all, day(odd...)), true)
}

func TestWhoIsLongGoneIsForgottenAndStaysWithdrawn(t *testing.T) {
	g := New(provision())
	g.Turn(0, []control.Event{control.ReplicasListed{Full: true, Entries: entries(3)}, control.StreamOpened{Proxy: 1}})
	g.Turn(second, []control.Event{control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 2, State: control.Gone}}}})
	all := g.Turn(2*second+forgetSpan, []control.Event{control.TimerFired{}})
	all = append(all, g.Turn(3*second+forgetSpan, []control.Event{control.TimerFired{}})...)
	for _, o := range orders[control.SetEjected](all) {
		want(t, "lifted", o.Ejected, true)
	}
	want(t, "known", len(g.replicas), 2)
	g.Turn(4*second+forgetSpan, []control.Event{control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 9}}}})
	want(t, "its queue serves another", len(g.queues), fixedComponents+3)
}
