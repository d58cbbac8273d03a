package controller

import (
	"maps"
	"slices"
	"testing"

	"lilacbend/control"
)

func TestRoutingStateRemovesReplicasWithoutWeight(t *testing.T) {
	r := newRoutingState()
	r.setWeight(0, 1, 2)
	r.setWeight(0, 2, 1)
	r.setWeight(1, 1, 1)
	r.setWeight(0, 2, 0)
	if !r.usable(0, 1) || r.usable(0, 2) || r.usable(2, 1) {
		t.Errorf("tables %v", r.tables)
	}
	r.setEjected(1, true)
	if r.usable(0, 1) {
		t.Error("ejected replica is usable")
	}
	r.setEjected(1, false)
	if !r.usable(0, 1) || len(r.ejected) != 0 {
		t.Errorf("unejected replica is not usable, or still in the ejected ones %v", r.ejected)
	}
}

func TestRoutingStateTablesWithAReplicaIncludeUnbound(t *testing.T) {
	r := newRoutingState()
	r.setWeight(0, 1, 2)
	r.setWeight(3, 1, 2)
	r.setWeight(4, 2, 2)
	tables := r.tablesWith(1)
	slices.Sort(tables)
	if !slices.Equal(tables, []int{unbound, 0, 3}) {
		t.Errorf("tables %v", tables)
	}
}

func TestRoutingStateAdmissionIsTheLowerFraction(t *testing.T) {
	own := control.SetAdmission{Table: 1, Class: 2, Fraction: 0.7, Retries: control.RetryTwice}
	lower := control.SetAdmission{Table: control.AllTables, Class: 2, Fraction: 0.5, Retries: control.RetryIfNotExecuted}
	higher := lower
	higher.Fraction = 0.9
	for _, c := range []struct {
		name     string
		set      []control.SetAdmission
		fraction float64
		retries  control.RetryPolicy
		isSet    bool
	}{
		{"none", nil, 0, 0, false},
		{"the table's own", []control.SetAdmission{own}, 0.7, control.RetryTwice, true},
		{"all tables'", []control.SetAdmission{lower}, 0.5, control.RetryIfNotExecuted, true},
		{"both, all tables' lower", []control.SetAdmission{own, lower}, 0.5, control.RetryTwice, true},
		{"both, the table's own lower", []control.SetAdmission{own, higher}, 0.7, control.RetryTwice, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoutingState()
			for _, admission := range c.set {
				r.admissions[tableClass{admission.Table, admission.Class}] = admission
			}
			got, isSet := r.admission(1, 2)
			if isSet != c.isSet || got.Fraction != c.fraction || got.Retries != c.retries {
				t.Errorf("got %+v, set %v; want fraction %v, retries %v, set %v", got, isSet, c.fraction, c.retries, c.isSet)
			}
		})
	}
}

func TestRoutingStateTableCostCountsEveryUnit(t *testing.T) {
	r := newRoutingState()
	r.setWeight(0, 1, 1)
	r.setWeight(0, 2, 1)
	r.setEjected(2, true)
	r.setEjected(3, true) // replica 3 is in no table
	r.admissions[tableClass{control.AllTables, 1}] = control.SetAdmission{Class: 1}
	if got := r.tableCost(0, 2); got != 1+2+1+1 {
		t.Errorf("%d units, want 5", got)
	}
	if got := r.tableCost(7, 2); got != 1+1 {
		t.Errorf("%d units of an empty table, want 2", got)
	}
}

func TestRoutingStateRenumbersClasses(t *testing.T) {
	r := newRoutingState()
	for class := range 3 {
		r.admissions[tableClass{0, class}] = control.SetAdmission{Class: class, Fraction: float64(class)}
	}
	r.renumberClasses([]int{1, -1, 0})
	want := map[tableClass]control.SetAdmission{
		{0, 1}: {Class: 1, Fraction: 0},
		{0, 0}: {Class: 0, Fraction: 2},
	}
	if !maps.Equal(r.admissions, want) {
		t.Errorf("got admissions %+v, want %+v", r.admissions, want)
	}
}

func TestTimerSetFiresAtTheEarlierTime(t *testing.T) {
	timers := timerSet{}
	if _, set := timers.next(); set {
		t.Error("an empty set has a next timer")
	}
	timers.set(5, 20)
	timers.set(5, 10)
	timers.set(5, 30)
	timers.set(2, 10)
	timers.set(1, 40)
	if due, set := timers.next(); due != 10 || !set {
		t.Errorf("next at %d %v", due, set)
	}
	if due := timers.takeDue(9); due != nil {
		t.Errorf("due before their time: %v", due)
	}
	if due := timers.takeDue(10); !slices.Equal(due, []uint64{2, 5}) {
		t.Errorf("due %v", due)
	}
	if due, _ := timers.next(); due != 40 {
		t.Errorf("next at %d", due)
	}
}

func TestPendingChangesKeepOnlyThoseOfTheirStream(t *testing.T) {
	changes := newTurnChanges()
	changes.markEndpoint(0, 1)
	changes.markEndpoint(1, 2)
	changes.ejections[1] = true
	changes.ejections[3] = true
	changes.wantsAck = true
	changes.nonce = 7
	p := newPendingChanges()
	p.add(changes, 0, func(replica uint32) bool { return replica != 3 })
	later := newTurnChanges()
	later.markEndpoint(0, 4)
	p.add(later, 0, func(uint32) bool { return true })
	one := p.forOneStream(0, later)
	if !maps.Equal(one.endpoints[0], map[uint32]bool{1: true, 4: true}) || len(one.endpoints) != 1 ||
		!maps.Equal(one.ejections, map[uint32]bool{1: true}) || !one.wantsAck || one.nonce != 7 {
		t.Errorf("changes of the stream %+v", one)
	}
}

func TestSubsetIntersectReturnsItsReplicas(t *testing.T) {
	s := newSubset(control.BindSubset{Replicas: []uint32{3, 1}, UnejectedCount: 1})
	if got := s.intersect(map[uint32]bool{1: true, 2: true}); !maps.Equal(got, map[uint32]bool{1: true}) {
		t.Errorf("changed %v", got)
	}
	if s.confirmedCount != 1 || !slices.Equal(s.ordered, []uint32{3, 1}) || s.restDue {
		t.Errorf("new subset %+v", s)
	}
}

func TestSnapshotStateIsDueAtEachInterval(t *testing.T) {
	s := newSnapshotState()
	s.interval = 5
	for _, step := range []struct {
		now  int64
		want bool
	}{{100, false}, {104, false}, {105, true}, {106, false}, {110, true}} {
		if got := s.due(step.now); got != step.want {
			t.Errorf("at %d: due %v, want %v", step.now, got, step.want)
		}
	}
}

func TestSnapshotStateKeepsTheRestoredSnapshotUntilSettled(t *testing.T) {
	s := newSnapshotState()
	s.interval = settleTime / 4
	s.restored = agedState(1, 0)
	requestedAt := int64(0)
	for now := int64(1); requestedAt == 0 && now < 3*settleTime; now += settleTime / 8 {
		if s.due(now) {
			requestedAt = now
		}
	}
	if requestedAt != 1+settleTime || s.settledAt != 1+settleTime {
		t.Errorf("first request at %d, settled at %d, want both at %d", requestedAt, s.settledAt, 1+settleTime)
	}
	if s.lastLearned() != s.restored {
		t.Error("a new module does not start from the restored snapshot")
	}
	s.last = agedState(2, 0)
	if s.lastLearned() != s.last {
		t.Error("a new module does not start from the last snapshot")
	}
	s.discard()
	if s.lastLearned() != nil {
		t.Error("discarded state is used")
	}
}

func TestConfigurationStateIsResetAtTheEndOfATurn(t *testing.T) {
	var s configurationState
	s.previous = &configuration{}
	s.record(Configure{}, nil)
	s.record(Configure{}, ErrNeedsRestart)
	results := s.endTurn()
	if len(results) != 2 || results[0].Err != nil || results[1].Err != ErrNeedsRestart {
		t.Errorf("results %+v", results)
	}
	if s.previous != nil || s.endTurn() != nil {
		t.Errorf("state after the end of the turn: %+v", s)
	}
}
