package snapshot

import (
	"fmt"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
)

// large is the state of 1,000 replicas and 10,000 proxies with three traffic classes.
func large() learnedstate.State {
	m := learnedstate.State{Controller: "n0", Classes: []string{"read", "order", "payout"}, Tables: 40, AdmissionThreshold: 1}
	for k := range 1000 {
		m.Replicas = append(m.Replicas, learnedstate.Replica{ID: fmt.Sprintf("s-%08x", k*2654435761), Zone: "a", HardwareClass: "m1", UpSince: 1_700_000_000e9 + int64(k),
			Weight: 1, Speed: 0.7 + float64(k)/3e3, SampleCount: 16, PlacementKey: float64(k) / 1001, Table: k % 40, SinceLastSample: int64(k) * 1e6})
	}
	for k := range 10000 {
		for g, name := range m.Classes {
			m.RequestRates = append(m.RequestRates, learnedstate.RequestRate{Proxy: k, Class: name, Rate: float64(k%97)/8.1 + float64(g)})
		}
		m.Bindings = append(m.Bindings, control.Binding{Proxy: k, Table: k % 40})
	}
	return m
}

func BenchmarkEncode(b *testing.B) {
	m := large()
	b.ReportAllocs()
	for b.Loop() {
		raw, err := Encode(m, 1)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(raw)), "bytes")
	}
}

func BenchmarkDecode(b *testing.B) {
	raw, err := Encode(large(), 1)
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

// BenchmarkWrite writes to a directory, synced, with the generations before it read and pruned.
func BenchmarkWrite(b *testing.B) {
	m, dir := large(), filewriter.Directory(b.TempDir())
	for b.Loop() {
		if _, err := Write(dir, m, 3); err != nil {
			b.Fatal(err)
		}
	}
}
