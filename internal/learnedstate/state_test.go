package learnedstate

import (
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/control"
)

const second, minute = int64(1e9), int64(60 * 1e9)

func TestTimestampAgeIsNeverLessThanAClockSays(t *testing.T) {
	for _, c := range []struct {
		what      string
		then, now Timestamp
		want      int64
	}{
		{"the wall clock alone", Timestamp{Wall: 100 * minute}, Timestamp{Wall: 101 * minute}, minute},
		{"it stepped back by an hour", Timestamp{Wall: 100 * minute}, Timestamp{Wall: 41 * minute}, 59 * minute},
		{"a little, and the other clock tells", Timestamp{100 * minute, "b", minute}, Timestamp{99 * minute, "b", 11 * minute}, 10 * minute},
		{"it stepped on", Timestamp{100 * minute, "b", minute}, Timestamp{200 * minute, "b", 2 * minute}, 100 * minute},
		{"the machine started anew", Timestamp{100 * minute, "b", 50 * minute}, Timestamp{101 * minute, "c", 51 * minute}, minute},
		{"a machine put back to an earlier time", Timestamp{100 * minute, "b", 50 * minute}, Timestamp{130 * minute, "b", 10 * minute}, 30 * minute},
		{"of the far future", Timestamp{Wall: math.MaxInt64}, Timestamp{Wall: 0}, math.MaxInt64},
		{"of the far past", Timestamp{Wall: math.MinInt64 / 2}, Timestamp{Wall: 0}, -(math.MinInt64 / 2)},
	} {
		if got := c.then.Age(c.now); got != c.want {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
	// Whatever the wall clock was set to meanwhile, an entry weighs no more than by the true time.
	rapid.Check(t, func(t *rapid.T) {
		wall, up := rapid.Int64Range(0, 1<<60).Draw(t, "wall"), rapid.Int64Range(0, 1<<50).Draw(t, "up")
		passed, step := rapid.Int64Range(0, 1<<50).Draw(t, "passed"), rapid.Int64Range(-1<<52, 1<<52).Draw(t, "step")
		age := Timestamp{wall, "b", up}.Age(Timestamp{wall + passed + step, "b", up + passed})
		if age < passed || Weight(age, minute) > Weight(passed, minute) {
			t.Fatalf("%d has passed, the age is %d", passed, age)
		}
	})
}

func TestWeightHalvesWithEachHalfLife(t *testing.T) {
	for age, want := range map[int64]float64{-minute: 1, 0: 1, minute: 0.5, 2 * minute: 0.25, 6 * minute: MinWeight, 7 * minute: 0, math.MaxInt64: 0} {
		if got := Weight(age, minute); math.Abs(got-want) > 1e-12 {
			t.Errorf("%d: %v, want %v", age, got, want)
		}
	}
}

func sample() State {
	return State{Controller: "n0", Taken: Timestamp{Wall: 100 * minute}, Revision: 9, Classes: []string{"read", "order"},
		Replicas: []Replica{{ID: "x", Zone: "a", HardwareClass: "m1", UpSince: 5, Weight: 1, Speed: 0.5, SampleCount: 12, PlacementKey: 0.3, Table: 1, EjectedFor: 2 * second, Ejections: 2, SinceLastSample: second},
			{ID: "y", Zone: "b", HardwareClass: "m2", Weight: 1, Speed: 2, SampleCount: 16, PlacementKey: 0.4}},
		BaselineResponseTimes: []ResponseTimes{{"m1", []float64{0.1, 0.2}}, {"", []float64{0.15}}},
		RequestRates:          []RequestRate{{1, "read", 20}, {2, "order", 0.5}}, Bindings: []control.Binding{{Proxy: 1, Table: 1}, {Proxy: 2}},
		Tables: 2, AdmissionThreshold: 0.7, MaxSuccessRate: 40, RetriesStopped: true}
}

var place = Installation{Classes: []string{"read", "order"}, HardwareClasses: []string{"m1", "m2"}, Proxies: 3}

func TestFitKeepsWhatFits(t *testing.T) {
	for _, c := range []struct {
		what    string
		change  func(*State, *Installation)
		age     int64
		kept    func(State) bool
		dropped Dropped
	}{
		{"all of it", func(*State, *Installation) {}, 0, func(m State) bool { return reflect.DeepEqual(m, sample()) }, Dropped{}},
		{"half of its weight", func(*State, *Installation) {}, minute, func(m State) bool { return reflect.DeepEqual(m, sample()) }, Dropped{}},
		{"a day old", func(*State, *Installation) {}, 1440 * minute, func(m State) bool {
			return len(m.Replicas)+len(m.RequestRates)+len(m.Bindings)+len(m.BaselineResponseTimes) == 0 && m.AdmissionThreshold == 1 && !m.RetriesStopped && m.MaxSuccessRate == 0
		}, Dropped{Expired: 2, RequestRates: 2}},
		{"one sample is too old", func(m *State, _ *Installation) { m.Replicas[0].SinceLastSample = 6 * minute }, minute, func(m State) bool { return len(m.Replicas) == 1 }, Dropped{Expired: 1}},
		{"a traffic class less", func(_ *State, p *Installation) { p.Classes = p.Classes[:1] }, 0, func(m State) bool { return m.AdmissionThreshold == 1 && !m.RetriesStopped && len(m.RequestRates) == 1 }, Dropped{RequestRates: 1, ClassesChanged: true}},
		{"traffic classes in another order", func(_ *State, p *Installation) { p.Classes = []string{"order", "read"} }, 0, func(m State) bool { return m.AdmissionThreshold == 1 && len(m.RequestRates) == 2 }, Dropped{ClassesChanged: true}},
		{"fewer proxies", func(_ *State, p *Installation) { p.Proxies = 2 }, 0, func(m State) bool { return len(m.Bindings) == 1 }, Dropped{RequestRates: 1}},
		{"a hardware class less", func(_ *State, p *Installation) { p.HardwareClasses = []string{"m2"} }, 0, func(m State) bool {
			return len(m.BaselineResponseTimes) == 1 && m.BaselineResponseTimes[0].HardwareClass == ""
		}, Dropped{}},
		{"not a number", func(m *State, _ *Installation) { m.Replicas[0].Speed = math.NaN() }, 0, func(m State) bool { return len(m.Replicas) == 1 }, Dropped{Replicas: 1}},
		{"an impossible speed", func(m *State, _ *Installation) { m.Replicas[1].Speed = 0 }, 0, func(m State) bool { return m.Replicas[0].ID == "x" }, Dropped{Replicas: 1}},
		{"an ejection without end", func(m *State, _ *Installation) { m.Replicas[0].EjectedFor = math.MaxInt64 }, 0, func(m State) bool { return len(m.Replicas) == 1 }, Dropped{Replicas: 1}},
		{"an impossible admission threshold", func(m *State, _ *Installation) { m.AdmissionThreshold = -3 }, 0, func(m State) bool { return m.AdmissionThreshold == 1 }, Dropped{}},
		{"an impossible number of tables", func(m *State, _ *Installation) { m.Tables = 1 << 30 }, 0, func(m State) bool { return m.Tables == 0 && m.Bindings == nil }, Dropped{}},
		{"impossible response times", func(m *State, _ *Installation) { m.BaselineResponseTimes[0].Times = []float64{-1, math.Inf(1), 0.2} }, 0, func(m State) bool { return len(m.BaselineResponseTimes[0].Times) == 1 }, Dropped{}},
	} {
		m, p := sample(), place
		c.change(&m, &p)
		if got, dropped := Fit(m, p, c.age, minute); !c.kept(got) || dropped != c.dropped {
			t.Errorf("%s: kept %+v, dropped %+v", c.what, got, dropped)
		}
	}
}

func TestMergeKeepsUnlistedReplicas(t *testing.T) {
	now := State{Replicas: []Replica{{ID: "y", Speed: 3}}}
	m := Merge(now, sample(), 4*second, minute)
	if len(m.Replicas) != 2 || m.Replicas[1].Speed != 3 {
		t.Fatalf("%+v", m.Replicas)
	}
	if x := m.Replicas[0]; x.ID != "x" || x.SinceLastSample != 5*second || x.EjectedFor != 0 || !x.Probation || x.State != control.Gone {
		t.Errorf("%+v", x)
	}
	if m = Merge(now, sample(), 10*minute, minute); len(m.Replicas) != 1 {
		t.Errorf("a replica of no weight is kept: %+v", m.Replicas)
	}
	if len(now.Replicas) != 1 || sample().Replicas[0].EjectedFor == 0 {
		t.Error("merging has changed its arguments")
	}
}

func TestAgedStateLooksUpTheSameReplica(t *testing.T) {
	p := NewAgedState(sample(), 1000*second, 10*second, minute)
	r, age, weight := p.Lookup("x", "a", "m1", 5, 1001*second)
	if age != 12*second || math.Abs(weight-math.Exp2(-0.2)) > 1e-9 || r.EjectedFor != 0 || !r.Probation || r.Speed != 0.5 {
		t.Errorf("%+v, age %d, weight %v", r, age, weight)
	}
	for _, who := range [][4]any{{"x", "a", "m1", int64(6)}, {"x", "b", "m1", int64(5)}, {"x", "a", "m2", int64(5)}, {"z", "a", "m1", int64(5)}} {
		if _, _, w := p.Lookup(who[0].(string), who[1].(string), who[2].(string), who[3].(int64), 1001*second); w != 0 {
			t.Errorf("%v is taken for the same replica", who)
		}
	}
	if _, _, w := p.Lookup("x", "a", "m1", 5, 2000*second); w != 0 {
		t.Errorf("weight %v after all that time", w)
	}
	var none *AgedState
	if _, _, w := none.Lookup("x", "a", "m1", 5, 0); w != 0 {
		t.Error("no state knows a replica")
	}
}

func TestHasNewerList(t *testing.T) {
	m := sample()
	if !m.HasNewerList(8, minute) || m.HasNewerList(9, minute) || m.HasNewerList(8, maxListAge+1) || (State{Revision: 9}).HasNewerList(8, 0) {
		t.Error("the wrong list is used")
	}
}
