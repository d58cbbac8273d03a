package pacing

import (
	"math"
	"slices"
	"testing"
)

func TestPartitionHoldsEachReplicaOnceInSubsetsOfSimilarWeight(t *testing.T) {
	weights := map[uint32]float64{}
	ejected := map[uint32]bool{7: true, 31: true}
	heaviest, total := 0.0, 0.0
	for replica := range uint32(70) {
		weights[replica] = 0.1 + float64(replica%9)/8
		heaviest = math.Max(heaviest, weights[replica])
		total += weights[replica]
	}
	for size := 1; size <= 80; size += 3 {
		subsets := newPartition(weights, ejected, size).subsets
		assertEqual(t, "number of subsets", len(subsets), (68+size-1)/size)
		seen := map[uint32]bool{}
		least, most := math.Inf(1), 0.0
		for _, subset := range subsets {
			for _, replica := range subset {
				if seen[replica] || ejected[replica] {
					t.Errorf("size %d: replica %d is in two subsets, or in one though it is ejected", size, replica)
				}
				seen[replica] = true
			}
			assertEqual(t, "subset is not larger than size", len(subset) <= size, true)
			least = math.Min(least, totalWeight(weights, subset))
			most = math.Max(most, totalWeight(weights, subset))
		}
		assertEqual(t, "replicas in subsets", len(seen), 68)
		if full := 68%size == 0 || len(subsets) == 1; size > 3 && full && most-least > heaviest {
			t.Errorf("size %d: weights of subsets range from %v to %v, want a difference of at most %v", size, least, most, heaviest)
		}
	}
	subsets := newPartition(weights, nil, 10).subsets
	if len(subsets) != 7 || math.Abs(totalWeight(weights, subsets[0])-total/7) > heaviest/2 {
		t.Errorf("got %d subsets, the first with weight %v of %v, want 7 of similar weight", len(subsets), totalWeight(weights, subsets[0]), total)
	}
	assertEqual(t, "subsets of an empty table", len(newPartition(nil, nil, 3).subsets), 0)
}

func totalWeight(weights map[uint32]float64, subset []uint32) float64 {
	sum := 0.0
	for _, replica := range subset {
		sum += weights[replica]
	}
	return sum
}

func TestPartitionAssignsTheSubsetWithTheFewestRequests(t *testing.T) {
	p := newPartition(equalWeights(6), nil, 2) // the subsets are {0, 3}, {1, 4} and {2, 5}
	p.addRequests(map[uint32]bool{0: true, 3: true}, 10)
	p.addRequests(map[uint32]bool{1: true, 2: true, 99: true}, 6) // replica 99 is not in any subset
	for k, want := range [][]uint32{{1, 4}, {2, 5}, {1, 4}, {1, 4}} {
		if got := p.assign(float64(2 + 2*(k%2))); !slices.Equal(got, want) {
			t.Errorf("proxy %d: got subset %v, want %v", k, got, want)
		}
	}
}
