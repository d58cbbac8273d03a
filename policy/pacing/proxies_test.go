package pacing

import (
	"reflect"
	"slices"
	"testing"

	"lilacbend/control"
)

func TestProxyIsBoundToOneTable(t *testing.T) {
	s := newProxyStates()
	for _, proxy := range []int{5, 1, 3} {
		s.connect(proxy, 2)
	}
	s.bind(3, 7)
	s.bind(1, 7)
	s.bind(3, 8)
	assertEqual(t, "bindings", reflect.DeepEqual(s.bindings, map[int]int{1: 7, 3: 8, 5: unbound}), true)
	for table, want := range map[int][]int{unbound: {5}, 7: {1}, 8: {3}} {
		if !slices.Equal(s.members[table], want) {
			t.Errorf("table %d: got members %v, want %v", table, s.members[table], want)
		}
	}
	s.disconnect(3)
	assertEqual(t, "connected", s.connected(3), false)
	assertEqual(t, "proxies with a complete table", s.completeTableCount(), 1)
}

func TestReconnectedProxyIsUnbound(t *testing.T) {
	s := newProxyStates()
	s.connect(1, 2)
	s.bindSubset(control.BindSubset{Proxy: 1, Table: 4, Replicas: []uint32{1}})
	s.connect(1, 0)
	assertEqual(t, "binding", s.bindings[1], unbound)
	assertEqual(t, "proxies with a subset", len(s.subsets), 0)
	assertEqual(t, "requests per second", s.requestRate(1), minRequestRate)
}

func TestSubsetLosesReplicas(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*proxyStates)
		left   float64
		holds  bool // the proxy holds replica 1
	}{
		{"no change", func(*proxyStates) {}, 1, true},
		{"weight changed", func(s *proxyStates) { s.setWeight(control.SetEndpoint{Table: 4, Replica: 1, Weight: 3}) }, 1, true},
		{"endpoint removed", func(s *proxyStates) { s.setWeight(control.SetEndpoint{Table: 4, Replica: 1}) }, 0.75, false},
		{"endpoint of another table removed", func(s *proxyStates) { s.setWeight(control.SetEndpoint{Table: 5, Replica: 1}) }, 1, true},
		{"replica ejected", func(s *proxyStates) { s.setEjected(control.SetEjected{Replica: 1, Ejected: true}) }, 0.75, false},
		{"replica ejected and unejected", func(s *proxyStates) {
			s.setEjected(control.SetEjected{Replica: 1, Ejected: true})
			s.setEjected(control.SetEjected{Replica: 1})
		}, 0.75, false},
		{"another replica ejected", func(s *proxyStates) { s.setEjected(control.SetEjected{Replica: 9, Ejected: true}) }, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newProxyStates()
			s.connect(1, 2)
			for _, replica := range []uint32{1, 2, 3, 4, 9} {
				s.setWeight(control.SetEndpoint{Table: 4, Replica: replica, Weight: 1})
			}
			s.bindSubset(control.BindSubset{Proxy: 1, Table: 4, Replicas: []uint32{1, 2, 3, 4}})
			c.change(s)
			assertEqual(t, "fraction left", s.subsets[1].remainingFraction(), c.left)
			assertEqual(t, "holds replica 1", slices.Contains(s.holders(4, 1), 1), c.holds)
		})
	}
}

func TestProxiesWithTheLeastOfTheirSubsetComeFirst(t *testing.T) {
	s := newProxyStates()
	for proxy, replicas := range [][]uint32{{1, 2}, {3, 4}, {1, 3}, {3, 4, 5}} {
		s.bindSubset(control.BindSubset{Proxy: proxy, Table: 4, Replicas: replicas})
	}
	for _, replica := range []uint32{3, 4} {
		s.removeFromSubsets(4, replica)
	}
	if got, want := s.proxiesWithSubset(), []int{1, 3, 2, 0}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	assertEqual(t, "needs renewal with half of its subset left", s.subsets[2].needsRenewal(), false)
	assertEqual(t, "needs renewal with a third of its subset left", s.subsets[3].needsRenewal(), true)
}

func TestForgottenReplicaIsNoLongerEjected(t *testing.T) {
	p := pacerWithTable(1, nil)
	p.Eject(5)
	p.Send(0)
	assertEqual(t, "ejected before RemoveReplica", p.proxies.ejected[5], true)
	p.RemoveReplica(5)
	assertEqual(t, "ejected after RemoveReplica", p.proxies.ejected[5], false)
}

func TestBindingsAreACopy(t *testing.T) {
	p := pacerWithTable(2, nil)
	p.Connected(7, 1)
	got := p.Bindings()
	assertEqual(t, "bindings", reflect.DeepEqual(got, map[int]int{0: 0, 1: 0, 7: unbound}), true)
	got[0] = 9
	assertEqual(t, "binding after the copy was changed", p.proxies.bindings[0], 0)
}
