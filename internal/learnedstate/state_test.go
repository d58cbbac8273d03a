package learnedstate

import (
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/control"
)

const second, minute = int64(1e9), int64(60 * 1e9)

func TestTimestampAgeIsAtLeastThatOfEitherClock(t *testing.T) {
	for _, c := range []struct {
		name       string
		taken, now Timestamp
		want       int64
	}{
		{"wall clock only", Timestamp{Wall: 100 * minute}, Timestamp{Wall: 101 * minute}, minute},
		{"wall clock stepped back by an hour", Timestamp{Wall: 100 * minute}, Timestamp{Wall: 41 * minute}, 59 * minute},
		{"wall clock stepped back by 11 minutes, uptime known", Timestamp{100 * minute, "b", minute}, Timestamp{99 * minute, "b", 11 * minute}, 10 * minute},
		{"wall clock stepped forward", Timestamp{100 * minute, "b", minute}, Timestamp{200 * minute, "b", 2 * minute}, 100 * minute},
		{"machine rebooted", Timestamp{100 * minute, "b", 50 * minute}, Timestamp{101 * minute, "c", 51 * minute}, minute},
		{"uptime set back, as when a virtual machine is restored", Timestamp{100 * minute, "b", 50 * minute}, Timestamp{130 * minute, "b", 10 * minute}, 30 * minute},
		{"timestamp in the far future", Timestamp{Wall: math.MaxInt64}, Timestamp{Wall: 0}, math.MaxInt64},
		{"timestamp in the far past", Timestamp{Wall: math.MinInt64 / 2}, Timestamp{Wall: 0}, -(math.MinInt64 / 2)},
	} {
		if got := c.taken.Age(c.now); got != c.want {
			t.Errorf("%s: age %d, want %d", c.name, got, c.want)
		}
	}
	// A step of the wall clock between the two timestamps never gives an entry more weight than it has by the true elapsed
	// time.
	rapid.Check(t, func(t *rapid.T) {
		wall, up := rapid.Int64Range(0, 1<<60).Draw(t, "wall"), rapid.Int64Range(0, 1<<50).Draw(t, "up")
		elapsed, step := rapid.Int64Range(0, 1<<50).Draw(t, "elapsed"), rapid.Int64Range(-1<<52, 1<<52).Draw(t, "step")
		age := Timestamp{wall, "b", up}.Age(Timestamp{wall + elapsed + step, "b", up + elapsed})
		if age < elapsed || Weight(age, minute) > Weight(elapsed, minute) {
			t.Fatalf("elapsed time %d ns, age %d ns: want an age at least as high and a weight at most as high", elapsed, age)
		}
	})
}

func TestWeightHalvesWithEachHalfLife(t *testing.T) {
	for age, want := range map[int64]float64{-minute: 1, 0: 1, minute: 0.5, 2 * minute: 0.25, 6 * minute: minWeight, 7 * minute: 0, math.MaxInt64: 0} {
		if got := Weight(age, minute); math.Abs(got-want) > 1e-12 {
			t.Errorf("age %d: weight %v, want %v", age, got, want)
		}
	}
}

func sampleState() State {
	return State{Controller: "n0", TakenAt: Timestamp{Wall: 100 * minute}, Revision: 9, Classes: []string{"read", "order"},
		Replicas: []Replica{{ID: "x", Zone: "a", HardwareClass: "m1", StartedAt: 5, ListedWeight: 1, Speed: 0.5, SampleCount: 12, PlacementKey: 0.3, Table: 1, RemainingEjection: 2 * second, EjectionCount: 2, SinceLastSample: second},
			{ID: "y", Zone: "b", HardwareClass: "m2", ListedWeight: 1, Speed: 2, SampleCount: 16, PlacementKey: 0.4}},
		BaselineResponseTimes: []ResponseTimes{{"m1", []float64{0.1, 0.2}}, {"", []float64{0.15}}},
		RequestRates:          []RequestRate{{1, "read", 20}, {2, "order", 0.5}}, Bindings: []control.Binding{{Proxy: 1, Table: 1}, {Proxy: 2}},
		TableCount: 2, AdmissionThreshold: 0.7, MaxSuccessRate: 40, RetriesStopped: true}
}

var sampleInstallation = Installation{Classes: []string{"read", "order"}, HardwareClasses: []string{"m1", "m2"}, ProxyCount: 3}

func TestRestrictDropsInvalidAndOutdatedEntries(t *testing.T) {
	for _, c := range []struct {
		name        string
		change      func(*State, *Installation)
		age         int64
		wantKept    func(State) bool
		wantDropped Dropped
	}{
		{"age 0: everything kept", func(*State, *Installation) {}, 0, func(state State) bool { return reflect.DeepEqual(state, sampleState()) }, Dropped{}},
		{"age of one half-life: everything kept", func(*State, *Installation) {}, minute, func(state State) bool { return reflect.DeepEqual(state, sampleState()) }, Dropped{}},
		{"age of a day: everything dropped", func(*State, *Installation) {}, 1440 * minute, func(state State) bool {
			return len(state.Replicas)+len(state.RequestRates)+len(state.Bindings)+len(state.BaselineResponseTimes) == 0 && state.AdmissionThreshold == 1 && !state.RetriesStopped && state.MaxSuccessRate == 0
		}, Dropped{ExpiredReplicas: 2, RequestRates: 2}},
		{"one replica's sample too old", func(state *State, _ *Installation) { state.Replicas[0].SinceLastSample = 6 * minute }, minute, func(state State) bool { return len(state.Replicas) == 1 }, Dropped{ExpiredReplicas: 1}},
		{"a traffic class removed", func(_ *State, installation *Installation) { installation.Classes = installation.Classes[:1] }, 0, func(state State) bool {
			return state.AdmissionThreshold == 1 && !state.RetriesStopped && len(state.RequestRates) == 1
		}, Dropped{RequestRates: 1, ClassesChanged: true}},
		{"traffic classes in another order", func(_ *State, installation *Installation) { installation.Classes = []string{"order", "read"} }, 0, func(state State) bool { return state.AdmissionThreshold == 1 && len(state.RequestRates) == 2 }, Dropped{ClassesChanged: true}},
		{"fewer proxies", func(_ *State, installation *Installation) { installation.ProxyCount = 2 }, 0, func(state State) bool { return len(state.Bindings) == 1 }, Dropped{RequestRates: 1}},
		{"a hardware class removed", func(_ *State, installation *Installation) { installation.HardwareClasses = []string{"m2"} }, 0, func(state State) bool {
			return len(state.BaselineResponseTimes) == 1 && state.BaselineResponseTimes[0].HardwareClass == ""
		}, Dropped{}},
		{"speed not a number", func(state *State, _ *Installation) { state.Replicas[0].Speed = math.NaN() }, 0, func(state State) bool { return len(state.Replicas) == 1 }, Dropped{InvalidReplicas: 1}},
		{"speed out of bounds", func(state *State, _ *Installation) { state.Replicas[1].Speed = 0 }, 0, func(state State) bool { return state.Replicas[0].ID == "x" }, Dropped{InvalidReplicas: 1}},
		{"ejection time out of bounds", func(state *State, _ *Installation) { state.Replicas[0].RemainingEjection = math.MaxInt64 }, 0, func(state State) bool { return len(state.Replicas) == 1 }, Dropped{InvalidReplicas: 1}},
		{"admission threshold out of bounds", func(state *State, _ *Installation) { state.AdmissionThreshold = -3 }, 0, func(state State) bool { return state.AdmissionThreshold == 1 }, Dropped{}},
		{"number of tables out of bounds", func(state *State, _ *Installation) { state.TableCount = 1 << 30 }, 0, func(state State) bool { return state.TableCount == 0 && state.Bindings == nil }, Dropped{}},
		{"response times out of bounds", func(state *State, _ *Installation) {
			state.BaselineResponseTimes[0].Times = []float64{-1, math.Inf(1), 0.2}
		}, 0, func(state State) bool { return len(state.BaselineResponseTimes[0].Times) == 1 }, Dropped{}},
	} {
		state, installation := sampleState(), sampleInstallation
		c.change(&state, &installation)
		if restricted, dropped := Restrict(state, installation, c.age, minute); !c.wantKept(restricted) || dropped != c.wantDropped {
			t.Errorf("%s: kept %+v, dropped %+v", c.name, restricted, dropped)
		}
	}
}

func TestMergeKeepsUnlistedReplicas(t *testing.T) {
	current := State{Replicas: []Replica{{ID: "y", Speed: 3}}}
	merged := Merge(current, sampleState(), 4*second, minute)
	if len(merged.Replicas) != 2 || merged.Replicas[1].Speed != 3 {
		t.Fatalf("merged replicas %+v, want x and the current y", merged.Replicas)
	}
	if unlisted := merged.Replicas[0]; unlisted.ID != "x" || unlisted.SinceLastSample != 5*second || unlisted.RemainingEjection != 0 || !unlisted.Probation || unlisted.State != control.Gone {
		t.Errorf("unlisted replica %+v, want x gone, in probation, with its last sample 5 s old", unlisted)
	}
	if merged = Merge(current, sampleState(), 10*minute, minute); len(merged.Replicas) != 1 {
		t.Errorf("replica with weight 0 was kept: %+v", merged.Replicas)
	}
	if len(current.Replicas) != 1 || sampleState().Replicas[0].RemainingEjection == 0 {
		t.Error("Merge changed its arguments")
	}
}

func TestLookupMatchesOnlyTheSameReplicaProcess(t *testing.T) {
	aged := NewAgedState(sampleState(), 1000*second, 10*second, minute)
	replica, age, weight := aged.Lookup("x", "a", "m1", 5, 1001*second)
	if age != 12*second || math.Abs(weight-math.Exp2(-0.2)) > 1e-9 || replica.RemainingEjection != 0 || !replica.Probation || replica.Speed != 0.5 {
		t.Errorf("%+v, age %d, weight %v", replica, age, weight)
	}
	for _, identity := range [][4]any{{"x", "a", "m1", int64(6)}, {"x", "b", "m1", int64(5)}, {"x", "a", "m2", int64(5)}, {"z", "a", "m1", int64(5)}} {
		if _, _, w := aged.Lookup(identity[0].(string), identity[1].(string), identity[2].(string), identity[3].(int64), 1001*second); w != 0 {
			t.Errorf("%v is looked up as the same replica", identity)
		}
	}
	if _, _, w := aged.Lookup("x", "a", "m1", 5, 2000*second); w != 0 {
		t.Errorf("weight %v after 1010 s, want 0", w)
	}
	var noState *AgedState
	if _, _, w := noState.Lookup("x", "a", "m1", 5, 0); w != 0 {
		t.Error("lookup in a nil state found a replica")
	}
}

func TestHasNewerList(t *testing.T) {
	state := sampleState()
	if !state.HasNewerEndpointList(8, minute) || state.HasNewerEndpointList(9, minute) || state.HasNewerEndpointList(8, maxListAge+1) || (State{Revision: 9}).HasNewerEndpointList(8, 0) {
		t.Error("want the list used only if it is newer, at most maxListAge old and not empty")
	}
}
