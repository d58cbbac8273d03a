package controller

import (
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// agedState returns learned state of an age, loaded at a time.
func agedState(at, age int64, replicas ...learnedstate.Replica) *learnedstate.AgedState {
	state := learnedstate.State{TableCount: 2, AdmissionThreshold: 0.5, Replicas: replicas, BaselineResponseTimes: []learnedstate.ResponseTimes{{HardwareClass: "m2", Times: []float64{0.1}}, {Times: []float64{0.2}}, {HardwareClass: "m9", Times: []float64{9}}},
		RequestRates: []learnedstate.RequestRate{{Proxy: 4, Class: "order", Rate: 3}}, Bindings: []control.Binding{{Proxy: 4, Table: 1}}}
	return learnedstate.NewAgedState(state, at, age, defaultHalfLife)
}

// learnedSnapshot returns a module's command with a snapshot. It contains a replica, a baseline and a request rate with
// unknown numbers.
func learnedSnapshot(speed float64) commands {
	return commands{control.Snapshot{Replicas: []control.LearnedReplica{{Replica: 1, Speed: speed, SampleCount: 3}, {Replica: 99, Speed: 1}},
		LearnedFleet: control.LearnedFleet{BaselineResponseTimes: [][]float64{nil, {0.3}, {7}, {0.4}}, RequestRates: []control.ClassRate{{Proxy: 4, Class: 1, Rate: 2}, {Proxy: 4, Class: 7}}, AdmissionThreshold: 1}}}
}

// newRestoringCore returns a core whose settings have two hardware classes, and its scripted module.
func newRestoringCore(turns ...[]control.Command) (*Core, *scriptedModule) {
	c, module := newTestCore(turns...)
	c.hardwareClasses = 3 // two classes with names, and one for all other classes
	return c, module
}

func restoredEvents(events []control.Event) (replicas []control.ReplicaRestored, fleet []control.FleetRestored) {
	for _, e := range events {
		switch e := e.(type) {
		case control.ReplicaRestored:
			replicas = append(replicas, e)
		case control.FleetRestored:
			fleet = append(fleet, e)
		}
	}
	return replicas, fleet
}

func TestRestoredStateIsReportedOnceAReplicaIsListed(t *testing.T) {
	c, module := newRestoringCore()
	x := learnedstate.Replica{ID: "x", Zone: "b", HardwareClass: "m2", Speed: 0.5, SampleCount: 9, Table: 1}
	c.Turn(100e9, []Input{SnapshotRestored{agedState(100e9, defaultHalfLife, x)}, replicaList(true, "yr")})
	replicas, fleet := restoredEvents(module.events)
	if _, first := module.events[0].(control.FleetRestored); !first || len(replicas) != 0 || len(fleet) != 1 || fleet[0].Confidence != 0.5 ||
		!reflect.DeepEqual(fleet[0].BaselineResponseTimes, [][]float64{nil, {0.1}, nil, {0.2}}) || !reflect.DeepEqual(fleet[0].RequestRates, []control.ClassRate{{Proxy: 4, Class: 1, Rate: 3}}) {
		t.Errorf("events %+v", module.events)
	}
	c.Turn(100e9+defaultHalfLife, []Input{replicaList(false, "xr")}) // the state has aged by another half-life
	replicas, _ = restoredEvents(module.events)
	want := []control.ReplicaRestored{{LearnedReplica: control.LearnedReplica{Replica: 2, Speed: 0.5, SampleCount: 9, Table: 1}, Confidence: 0.25, Age: 2 * defaultHalfLife}}
	if !reflect.DeepEqual(replicas, want) {
		t.Errorf("events %+v", module.events)
	}
	again := replicaList(false, "xt")
	if c.Turn(100e9+defaultHalfLife, []Input{again}); len(module.events) != 1 {
		t.Errorf("learned state was reported again: %+v", module.events)
	}
	again.Members[0].StartedAt = 999e9 // the replica has restarted
	if c.Turn(100e9+defaultHalfLife, []Input{again}); len(module.events) != 1 || c.Counters.ReplicasRestored != 1 {
		t.Errorf("learned state of an earlier process was restored: %+v", module.events)
	}
}

func TestNewModuleStartsFromTheLastSnapshot(t *testing.T) {
	c, module := newRestoringCore(nil, nil, learnedSnapshot(0.25), panickingTurn)
	x := learnedstate.Replica{ID: "x", Zone: "b", HardwareClass: "m2", Speed: 0.5, SampleCount: 9}
	z := learnedstate.Replica{ID: "z", Zone: "b", HardwareClass: "m2", Speed: 4, SampleCount: 9}
	c.Turn(100e9, []Input{SnapshotRestored{agedState(100e9, 0, x, z)}, replicaList(true, "xr", "yr")})
	if result := c.Turn(100e9+defaultSnapshotInterval, nil); result.Snapshot != nil || c.FinalSnapshot(100e9+settleTime-1) != nil {
		t.Error("a snapshot was taken before the settle time, when it contains less than the restored one")
	}
	result := c.Turn(100e9+settleTime, nil)
	if result.Snapshot == nil || len(result.Snapshot.Replicas) != 2 || result.Snapshot.Replicas[0].Speed != 0.25 || result.Snapshot.Replicas[1].ID != "z" ||
		result.Snapshot.Replicas[1].SinceLastSample != settleTime || len(result.Snapshot.RequestRates) != 1 || len(result.Snapshot.BaselineResponseTimes) != 2 {
		t.Fatalf("snapshot %+v", result.Snapshot)
	}
	result = c.Turn(100e9+settleTime+defaultHalfLife, nil)
	replicas, fleet := restoredEvents(module.events)
	if result.PanicMessage == "" || len(replicas) != 1 || replicas[0].Speed != 0.25 || replicas[0].Confidence != 0.5 || len(fleet) != 1 {
		t.Errorf("events %+v after %.20q", module.events, result.PanicMessage)
	}
}

// The learned state may be the cause of a module's panics. It is discarded before the module is paused.
func TestModuleThatPanicsWithLearnedStateStartsWithoutIt(t *testing.T) {
	c, module := newRestoringCore(nil, panickingTurn, panickingTurn, nil)
	x := learnedstate.Replica{ID: "x", Zone: "b", HardwareClass: "m2", Speed: 0.5, SampleCount: 9}
	c.Turn(100e9, []Input{SnapshotRestored{agedState(100e9, 0, x)}, replicaList(true, "xr")})
	result := c.Turn(101e9, nil)
	if replicas, fleet := restoredEvents(module.events); len(replicas)+len(fleet) != 0 || len(module.events) != 1 || c.Counters.RestartsWithoutLearnedState != 1 || result.NextTurn != 0 {
		t.Errorf("events %+v, %d restarts without state, next turn due at %d", module.events, c.Counters.RestartsWithoutLearnedState, result.NextTurn)
	}
}

func TestListFromSnapshotNamesListedReplicas(t *testing.T) {
	state := learnedstate.State{Revision: 7, Replicas: []learnedstate.Replica{{ID: "x", Zone: "a", HardwareClass: "m1", StartedAt: 5, ListedWeight: 2, State: control.Draining}, {ID: "y", State: control.Gone}}}
	want := ReplicaList{Revision: 7, Complete: true, Members: []Member{{ID: "x", Zone: "a", HardwareClass: "m1", State: control.Draining, Weight: 2, StartedAt: 5}}}
	if got := ListFromSnapshot(state); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
