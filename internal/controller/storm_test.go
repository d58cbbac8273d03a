package controller_test

import (
	"fmt"
	"math/rand"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/policy"
	"lilacbend/settings"
)

// This file simulates a release during which most controllers are lost, so that their proxies connect to a remaining one.
// Each proxy has to stop sending to a draining replica within the grace. The grace starts when the replica starts draining
// or when the proxy connects, whichever is later.

const (
	// unavoidableCost is the cost of an update that cannot be delayed, in units without the overhead: as many endpoints as a
	// proxy holds before it connects.
	unavoidableCost = 10.75
	// deliveries is how many updates of unavoidableCost to each proxy the channel has to be able to send within the
	// platform's drain grace.
	deliveries = 2
)

// storm simulates a release, the proxies that a controller has when the release begins, and those that connect during the
// release.
type storm struct {
	*simulation
	draining        map[string]int64 // since when each draining replica has been draining
	withoutEndpoint map[int]int64    // since when each proxy without usable endpoints has had none
	nextReplica     int              // number of the next replica that replaces a draining one
	// longestHeld is the longest time for which a proxy held a draining replica, counted from the connection of the proxy or
	// the start of the drain, whichever is later.
	longestHeld int64
}

// newStorm returns a storm whose drain grace is as short as the channel's rate allows, but at least 2 s.
func newStorm(seed int64, proxies, controllers, replicas, rate int) *storm {
	limit := (22 + int(seed%4)) * proxies
	sim := newSimulation(seed, proxies, replicas, controllers, limit, rate, updateCost)
	sim.writersNeverStall = true
	sim.settings.Proxies, sim.settings.MaxMessages = proxies, 30
	minGrace := deliveries * float64(proxies) * (float64(sim.settings.MessageOverhead) + unavoidableCost) / float64(rate)
	sim.settings.DrainGrace = max(2*second, int64(minGrace*float64(second)))
	sim.settings.MaxTransit = second / 4
	s := &storm{simulation: sim, draining: map[string]int64{}, withoutEndpoint: map[int]int64{}, nextReplica: replicas}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
	sim.core = controller.New(func() controller.Module { return policy.New(sim.settings) }, controller.NewTopology(names, sim.settings))
	return s
}

// connectAndSettle connects the first proxies and waits until they are bound.
func (s *storm) connectAndSettle(proxies int) {
	for k := range proxies {
		s.connect(k)
	}
	for range 120 {
		s.advance(second / 4)
	}
}

// startWave drains some of the ready replicas and starts as many new ones.
func (s *storm) startWave(fraction float64) {
	var names []string
	for _, name := range s.replicaNames {
		if m := s.members[name]; m.State == control.Ready && s.Float64() < fraction {
			m.State = control.Draining
			s.members[name], s.draining[name] = m, s.now
			names = append(names, name)
		}
	}
	for range len(names) {
		m := controller.Member{ID: fmt.Sprintf("n-%04d", s.nextReplica), Zone: []string{"a", "b"}[s.nextReplica%2], HardwareClass: "m1", Weight: 1, StartedAt: s.now}
		s.nextReplica++
		s.replicaNames, s.members[m.ID] = append(s.replicaNames, m.ID), m
		names = append(names, m.ID)
	}
	s.listReplicas(names, false)
}

// connectWithTable connects a proxy that holds a table from another controller, with some of the replicas and some of these
// ejected.
func (s *storm) connectWithTable(k, endpoints int) {
	p := s.proxies[k]
	for _, index := range s.Perm(len(s.replicaNames))[:min(endpoints, len(s.replicaNames))] {
		p.endpoints[s.replicaNames[index]] = 1
		if s.Intn(20) == 0 {
			p.ejected[s.replicaNames[index]] = true
		}
	}
	s.connect(k)
}

// checkProxies records how long proxies have been sending to draining replicas, and fails the simulation if a proxy has had
// no usable endpoint for longer than the grace.
func (s *storm) checkProxies() {
	for k, p := range s.proxies {
		if p.stream == 0 {
			continue
		}
		usable := 0
		for id := range p.endpoints {
			if p.ejected[id] {
				continue
			}
			usable++
			if since, drains := s.draining[id]; drains {
				s.longestHeld = max(s.longestHeld, s.now-max(since, p.connectedAt))
			}
		}
		if usable > 0 {
			delete(s.withoutEndpoint, k)
			continue
		}
		if _, since := s.withoutEndpoint[k]; !since {
			s.withoutEndpoint[k] = s.now
		}
		if s.now-max(s.withoutEndpoint[k], p.connectedAt) > s.settings.DrainGrace && s.violation == "" {
			s.violation = fmt.Sprintf("proxy %d has had no usable endpoint for longer than the grace", k)
		}
	}
}

// While a release is in progress and the proxies of lost controllers connect, no proxy holds a draining replica for longer
// than the drain grace, and none is without usable endpoints for that long.
func TestDrainGraceHoldsInAReconnectStorm(t *testing.T) {
	t.Parallel()
	for seed := range int64(24) {
		draw := rand.New(rand.NewSource(seed))
		controllers := 2 + draw.Intn(6)
		proxies := controllers * (4 + draw.Intn(60))
		s := newStorm(seed, proxies, controllers, 20+draw.Intn(220), []int{600, 1200, 2400}[draw.Intn(3)])
		initial := proxies / controllers
		s.connectAndSettle(initial)
		waveSteps, fraction, lostControllers := 4+draw.Intn(8), 0.05+0.1*draw.Float64(), 1+draw.Intn(controllers-1)
		reconnectStep := draw.Intn(40)
		for step := range 160 { // a quarter of a second each
			if step < 60 && step%waveSteps == 0 {
				s.startWave(fraction)
			}
			for k := initial; k < initial*(1+lostControllers); k++ {
				if at := reconnectStep + draw.Intn(5); s.proxies[k].connectedAt == 0 && step >= at {
					s.connectWithTable(k, len(s.replicaNames)/3)
				}
			}
			s.advance(second / 4)
			s.checkProxies()
		}
		if limit := s.settings.DrainGrace - s.settings.MaxTransit; s.longestHeld > limit || s.violation != "" {
			t.Errorf("seed %d: %d of %d controllers lost, %d proxies, %d replicas, %v cost units per second, waves of %.2f every %d steps: a proxy held a draining replica for %.2f s, limit %.2f s; %s",
				seed, lostControllers, controllers, proxies, len(s.replicaNames), s.settings.ChannelRate, fraction, waveSteps, float64(s.longestHeld)/1e9, float64(limit)/1e9, s.violation)
		}
	}
}
