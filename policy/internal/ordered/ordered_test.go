package ordered

import (
	"slices"
	"testing"
)

func TestKeysAreAscending(t *testing.T) {
	if got := Keys(map[int]string{3: "c", -1: "a", 2: "b"}); !slices.Equal(got, []int{-1, 2, 3}) {
		t.Errorf("got %v, want [-1 2 3]", got)
	}
	if got := Keys(map[string]int(nil)); len(got) != 0 {
		t.Errorf("keys of a nil map: got %v, want none", got)
	}
}

func TestSumAddsInTheOrderOfTheKeys(t *testing.T) {
	values := map[int]float64{1: 1e16, 2: 1, 3: -1e16} // the 1 is lost to rounding only if the values are added in this order
	for range 50 {
		if got := Sum(values); got != 0 {
			t.Fatalf("got %v, want 0", got)
		}
	}
}
