package snapshot

import (
	"fmt"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
)

// largeState is a state with 1,000 replicas and 10,000 proxies with three traffic classes.
func largeState() learnedstate.State {
	state := learnedstate.State{Controller: "n0", Classes: []string{"read", "order", "payout"}, TableCount: 40, AdmissionThreshold: 1}
	for k := range 1000 {
		state.Replicas = append(state.Replicas, learnedstate.Replica{ID: fmt.Sprintf("s-%08x", k*2654435761), Zone: "a", HardwareClass: "m1", StartedAt: 1_700_000_000e9 + int64(k),
			ListedWeight: 1, Speed: 0.7 + float64(k)/3e3, SampleCount: 16, PlacementKey: float64(k) / 1001, Table: k % 40, SinceLastSample: int64(k) * 1e6})
	}
	for k := range 10000 {
		for g, name := range state.Classes {
			state.RequestRates = append(state.RequestRates, learnedstate.RequestRate{Proxy: k, Class: name, Rate: float64(k%97)/8.1 + float64(g)})
		}
		state.Bindings = append(state.Bindings, control.Binding{Proxy: k, Table: k % 40})
	}
	return state
}

func BenchmarkEncode(b *testing.B) {
	state := largeState()
	b.ReportAllocs()
	for b.Loop() {
		raw, err := Encode(state, 1)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(raw)), "bytes")
	}
}

func BenchmarkDecode(b *testing.B) {
	raw, err := Encode(largeState(), 1)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWrite writes to a directory of the file system. The time includes the syncs, and reading and pruning the earlier
// generations.
func BenchmarkWrite(b *testing.B) {
	state, dir := largeState(), filewriter.Directory(b.TempDir())
	for b.Loop() {
		if _, err := Write(dir, state, 3); err != nil {
			b.Fatal(err)
		}
	}
}
