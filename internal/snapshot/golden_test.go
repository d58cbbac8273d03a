package snapshot

import (
	"bytes"
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/golden"
	"lilacbend/internal/learnedstate"
)

const (
	snapshotFile       = "snapshot.golden"
	snapshotGeneration = 12
)

// goldenSnapshot has a non-zero value in every field, and replicas in each state.
func goldenSnapshot() learnedstate.State {
	return learnedstate.State{
		Controller: "n7", TakenAt: learnedstate.Timestamp{Wall: 1_700_000_000_000_000_041, Boot: "5f0c", Uptime: 5_000_000_003}, Revision: 905,
		Classes: []string{"lookup", "order"}, TableCount: 3, AdmissionThreshold: 0.7, MaxSuccessRate: 40.25, RetriesStopped: true,
		Replicas: []learnedstate.Replica{
			{ID: "s-1", Zone: "a", HardwareClass: "m1", StartedAt: 1_699_999_000_000_000_000, State: control.Draining, ListedWeight: 1.5, Speed: 0.5, SampleCount: 12,
				PlacementKey: 0.3, Table: 1, RemainingEjection: 2_000_000_000, Probation: true, EjectionCount: 2, SinceLastSample: 1_000_000_000},
			{ID: "s-2", Zone: "b", HardwareClass: "m2", ListedWeight: 1, Speed: 2.125, SampleCount: 16, PlacementKey: 0.4},
			{ID: "s-3", Zone: "b", State: control.Gone, ListedWeight: 0.25, Speed: 1, SampleCount: 1, PlacementKey: 1, Table: 2},
		},
		BaselineResponseTimes: []learnedstate.ResponseTimes{{HardwareClass: "m1", Times: []float64{0.125, 0.25}}, {HardwareClass: "m2", Times: []float64{0.0625}}, {Times: []float64{0.15}}},
		RequestRates:          []learnedstate.RequestRate{{Proxy: 1, Class: "lookup", Rate: 20}, {Proxy: 1, Class: "order", Rate: 2.5}, {Proxy: 2, Class: "order", Rate: 0.5}},
		Bindings:              []control.Binding{{Proxy: 1, Table: 1}, {Proxy: 2, Table: 0}},
	}
}

func TestSnapshotIsEncodedAsInTheGoldenFile(t *testing.T) {
	output, err := Encode(goldenSnapshot(), snapshotGeneration)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, snapshotFile, output)
	golden.CheckDetectsChange(t, snapshotFile, output)
}

func TestSnapshotOfTheGoldenFileIsDecodedAndEncodedAgain(t *testing.T) {
	stored := golden.Read(t, snapshotFile)
	decoded, err := Decode(stored)
	if err != nil || decoded.Number != snapshotGeneration || decoded.Format != CurrentFormat {
		t.Fatalf("generation %d, format %d: %v", decoded.Number, decoded.Format, err)
	}
	if want := goldenSnapshot(); !reflect.DeepEqual(decoded.State, want) {
		t.Errorf("got  %+v\nwant %+v", decoded.State, want)
	}
	reencoded, err := Encode(decoded.State, decoded.Number)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, snapshotFile, reencoded)
	for offset := range stored {
		changed := bytes.Clone(stored)
		changed[offset] ^= 1
		if _, err := Decode(changed); err == nil {
			t.Errorf("byte %d changed: the snapshot was decoded, want an error", offset)
		}
	}
}
