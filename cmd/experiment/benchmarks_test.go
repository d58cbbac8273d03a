package main

import (
	"strings"
	"testing"
)

func TestReadBenchmarks(t *testing.T) {
	output := `goos: linux
BenchmarkTurn/replicas=33-8   	     100	    334160 ns/op	         0.2955 cpu-ms
BenchmarkTurn/replicas=33-8   	     100	    534160 ns/op	         0.1955 cpu-ms
BenchmarkTurn/replicas=33-8   	     100	    234160 ns/op	         0.9955 cpu-ms
BenchmarkOther-8   	     100	    7 ns/op
PASS
`
	results, err := readBenchmarks(strings.NewReader(output))
	if err != nil || len(results) != 3 {
		t.Fatalf("results %v, error %v, want 3 results", results, err)
	}
	for k, want := range []struct {
		name, unit string
		median     float64
	}{{"BenchmarkTurn/replicas=33", "ns/op", 334160}, {"BenchmarkTurn/replicas=33", "cpu-ms", 0.2955}, {"BenchmarkOther", "ns/op", 7}} {
		if got := results[k]; got.name != want.name || got.unit != want.unit || median(got.values) != want.median {
			t.Errorf("result %+v, want %+v", got, want)
		}
	}
	if _, err := readBenchmarks(strings.NewReader("BenchmarkBad-8 100 many ns/op")); err == nil {
		t.Error("non-numeric value accepted")
	}
}
