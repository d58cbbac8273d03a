package sample

import (
	"slices"
	"testing"
)

func TestNewestKeepsTheLast(t *testing.T) {
	samples := []int{1, 2, 3}
	for limit, want := range map[int][]int{0: {}, 2: {2, 3}, 3: {1, 2, 3}, 9: {1, 2, 3}} {
		if got := Newest(limit, samples); !slices.Equal(got, want) {
			t.Errorf("at most %d: got %v, want %v", limit, got, want)
		}
	}
}

func TestMean(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []float64
		want   float64
	}{{"no values", nil, 0}, {"one value", []float64{3}, 3}, {"several values", []float64{1, 2, 6}, 3}} {
		t.Run(c.name, func(t *testing.T) {
			if got := Mean(c.values); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
