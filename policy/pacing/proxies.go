package pacing

import (
	"math"
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/renumber"
)

// unbound is the table of a proxy that is connected and not bound yet: it may hold any table of an earlier controller.
const unbound = -1

// minRequestRate, in requests a second, is assumed for a proxy whose forecast is 0, so that such proxies are divided among subsets, too.
const minRequestRate = 1e-6

// proxyStates is what the proxies hold once they have got everything that was sent.
type proxyStates struct {
	bindings map[int]int                // table of each connected proxy, or unbound
	members  map[int][]int              // the same by table: its proxies, ascending
	tables   map[int]map[uint32]float64 // weight of each replica in each table; never 0
	ejected  map[uint32]bool
	subsets  map[int]*subset // of the proxies that hold only a subset of their table
	rates    map[int]float64 // forecast of each connected proxy, in requests a second
	limited  map[int]bool    // traffic classes for which an admission rate was sent
}

func newProxyStates() *proxyStates {
	return &proxyStates{
		bindings: map[int]int{},
		members:  map[int][]int{},
		tables:   map[int]map[uint32]float64{},
		ejected:  map[uint32]bool{},
		subsets:  map[int]*subset{},
		rates:    map[int]float64{},
		limited:  map[int]bool{},
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

// bind puts a proxy on a table, which it holds completely.
func (s *proxyStates) bind(proxy, table int) {
	s.unbind(proxy)
	s.bindings[proxy] = table
	k, _ := slices.BinarySearch(s.members[table], proxy)
	s.members[table] = slices.Insert(s.members[table], k, proxy)
}

// bindSubset puts a proxy on a table of which it holds a subset.
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
		s.loseFromSubsets(c.Table, c.Replica)
		return
	}
	s.tables[c.Table][c.Replica] = c.Weight
}

// setEjected notes an ejection, or its end.
func (s *proxyStates) setEjected(c control.SetEjected) {
	if !c.Ejected {
		delete(s.ejected, c.Replica)
		return
	}
	s.ejected[c.Replica] = true
	for table := range s.tables {
		s.loseFromSubsets(table, c.Replica)
	}
}

// loseFromSubsets drops a replica from the subsets of a table.
func (s *proxyStates) loseFromSubsets(table int, replica uint32) {
	for proxy, held := range s.subsets {
		if s.bindings[proxy] == table {
			delete(held.replicas, replica)
		}
	}
}

// holders returns the proxies on a table that hold the endpoint of a replica, or would if it was in the table.
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

// withCompleteTable is how many proxies are bound and hold their complete table.
func (s *proxyStates) withCompleteTable() int {
	return len(s.bindings) - len(s.members[unbound]) - len(s.subsets)
}

// requestRate is the forecast of a proxy, in requests a second. A stream may give none.
func (s *proxyStates) requestRate(proxy int) float64 { return math.Max(s.rates[proxy], minRequestRate) }

// limitedClasses is how many traffic classes have an admission rate.
func (s *proxyStates) limitedClasses() int { return len(s.limited) }

// renumberClasses gives the admission rates the new numbers of their traffic classes.
func (s *proxyStates) renumberClasses(newClasses []int) {
	limited := map[int]bool{}
	for class := range s.limited {
		if number, ok := renumber.Lookup(newClasses, class); ok {
			limited[number] = true
		}
	}
	s.limited = limited
}
