package pacing

import (
	"math"
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/renumber"
)

// unbound is the table number of a proxy that is connected but not bound yet: it may still hold any table of an earlier
// controller.
const unbound = -1

// minRequestRate, in requests per second, is assumed for a proxy whose forecast is 0, so that such proxies are divided among
// subsets as well.
const minRequestRate = 1e-6

// proxyStates is the state that the proxies have once they have received all messages that were sent.
type proxyStates struct {
	bindings       map[int]int                // by connected proxy: its table, or unbound
	members        map[int][]int              // by table, or unbound: its proxies, ascending
	tables         map[int]map[uint32]float64 // by table and replica: the weight; never 0
	ejected        map[uint32]bool
	subsets        map[int]*subset // by proxy, for those that hold only a subset of their table
	rates          map[int]float64 // by connected proxy: forecast, in requests per second
	limitedClasses map[int]bool    // traffic classes for which an admission rate was sent
}

func newProxyStates() *proxyStates {
	return &proxyStates{
		bindings:       map[int]int{},
		members:        map[int][]int{},
		tables:         map[int]map[uint32]float64{},
		ejected:        map[uint32]bool{},
		subsets:        map[int]*subset{},
		rates:          map[int]float64{},
		limitedClasses: map[int]bool{},
	}
}

func (s *proxyStates) connect(proxy int, rate float64) {
	s.bind(proxy, unbound)
	s.rates[proxy] = rate
}

func (s *proxyStates) disconnect(proxy int) {
	s.unbind(proxy)
	delete(s.rates, proxy)
}

func (s *proxyStates) connected(proxy int) bool {
	_, ok := s.bindings[proxy]
	return ok
}

// bind binds a proxy to a table, which it holds completely.
func (s *proxyStates) bind(proxy, table int) {
	s.unbind(proxy)
	s.bindings[proxy] = table
	k, _ := slices.BinarySearch(s.members[table], proxy)
	s.members[table] = slices.Insert(s.members[table], k, proxy)
}

// bindSubset binds a proxy to a table, of which it holds only a subset.
func (s *proxyStates) bindSubset(c control.BindSubset) {
	s.bind(c.Proxy, c.Table)
	s.subsets[c.Proxy] = newSubset(c.Replicas)
}

func (s *proxyStates) unbind(proxy int) {
	table, ok := s.bindings[proxy]
	if !ok {
		return
	}
	k, _ := slices.BinarySearch(s.members[table], proxy)
	s.members[table] = slices.Delete(s.members[table], k, k+1)
	delete(s.bindings, proxy)
	delete(s.subsets, proxy)
}

// setWeight sets the weight of an endpoint; 0 removes it.
func (s *proxyStates) setWeight(c control.SetEndpoint) {
	if s.tables[c.Table] == nil {
		s.tables[c.Table] = map[uint32]float64{}
	}
	if c.Weight == 0 {
		delete(s.tables[c.Table], c.Replica)
		s.removeFromSubsets(c.Table, c.Replica)
		return
	}
	s.tables[c.Table][c.Replica] = c.Weight
}

// setEjected records an ejection or an unejection. An ejected replica is also removed from the subsets that proxies hold.
func (s *proxyStates) setEjected(c control.SetEjected) {
	if !c.Ejected {
		delete(s.ejected, c.Replica)
		return
	}
	s.ejected[c.Replica] = true
	for table := range s.tables {
		s.removeFromSubsets(table, c.Replica)
	}
}

// removeFromSubsets removes a replica from the subsets that proxies hold of a table.
func (s *proxyStates) removeFromSubsets(table int, replica uint32) {
	for proxy, held := range s.subsets {
		if s.bindings[proxy] == table {
			delete(held.replicas, replica)
		}
	}
}

// holders returns the proxies bound to a table that hold the endpoint of a replica, or would hold it if it was in the table.
func (s *proxyStates) holders(table int, replica uint32) []int {
	if len(s.subsets) == 0 {
		return s.members[table]
	}
	var holders []int
	for _, proxy := range s.members[table] {
		held := s.subsets[proxy]
		if held == nil || held.replicas[replica] {
			holders = append(holders, proxy)
		}
	}
	return holders
}

// completeTableCount returns the number of proxies that are bound and hold their complete table.
func (s *proxyStates) completeTableCount() int {
	return len(s.bindings) - len(s.members[unbound]) - len(s.subsets)
}

// requestRate returns the forecast of a proxy in requests per second, or minRequestRate if the proxy gave no forecast.
func (s *proxyStates) requestRate(proxy int) float64 { return math.Max(s.rates[proxy], minRequestRate) }

// limitedClassCount returns the number of traffic classes for which an admission rate was sent.
func (s *proxyStates) limitedClassCount() int { return len(s.limitedClasses) }

// renumberClasses replaces the numbers of traffic classes that have an admission rate, and drops classes that no longer
// exist.
func (s *proxyStates) renumberClasses(newClasses []int) {
	limited := map[int]bool{}
	for class := range s.limitedClasses {
		if number, ok := renumber.Lookup(newClasses, class); ok {
			limited[number] = true
		}
	}
	s.limitedClasses = limited
}
