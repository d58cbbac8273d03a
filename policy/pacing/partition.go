package pacing

import (
	"cmp"
	"slices"

	"lilacbend/policy/internal/ordered"
)

// partition divides a table into subsets. Each replica is in exactly one subset, and all subsets have nearly the same total
// weight. Endpoints keep their weights, so a replica gets as many requests from all subsets together as it would get from
// complete tables.
type partition struct {
	subsets  [][]uint32
	requests []float64      // by subset: requests per second from the proxies that hold replicas of it
	subsetOf map[uint32]int // by replica: index of its subset
}

// newPartition divides the replicas of a table, except those that are ejected at the proxies, into the smallest number of
// subsets that have at most size replicas each. Replicas are added in descending order of weight, each to the lightest
// subset that has fewer than size replicas.
func newPartition(weights map[uint32]float64, ejected map[uint32]bool, size int) *partition {
	replicas := slices.DeleteFunc(ordered.Keys(weights), func(replica uint32) bool { return ejected[replica] })
	slices.SortStableFunc(replicas, func(a, b uint32) int { return cmp.Compare(weights[b], weights[a]) })
	count := (len(replicas) + size - 1) / size
	p := &partition{
		subsets:  make([][]uint32, count),
		requests: make([]float64, count),
		subsetOf: map[uint32]int{},
	}
	sums := make([]float64, count)
	for _, replica := range replicas {
		lightest := p.lightest(sums, size)
		p.subsets[lightest] = append(p.subsets[lightest], replica)
		p.subsetOf[replica] = lightest
		sums[lightest] += weights[replica]
	}
	return p
}

// lightest returns the subset with the least weight among those with fewer than size replicas.
func (p *partition) lightest(sums []float64, size int) int {
	lightest := -1
	for k := range p.subsets {
		if len(p.subsets[k]) < size && (lightest < 0 || sums[k] < sums[lightest]) {
			lightest = k
		}
	}
	return lightest
}

// addRequests adds the requests per second of a proxy that holds the given replicas, divided equally among these replicas.
func (p *partition) addRequests(held map[uint32]bool, rate float64) {
	for replica := range held {
		if k, ok := p.subsetOf[replica]; ok {
			p.requests[k] += rate / float64(len(held))
		}
	}
}

// assign returns the subset with the fewest requests per second, and adds the rate of the proxy that is to hold it.
func (p *partition) assign(rate float64) []uint32 {
	least := 0
	for k := range p.requests {
		if p.requests[k] < p.requests[least] {
			least = k
		}
	}
	p.requests[least] += rate
	return p.subsets[least]
}
