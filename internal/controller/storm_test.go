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
	// deliveries is how many such updates to all proxies the channel has to be able to send within the platform's drain
	// grace.
	deliveries = 2
)

// storm simulates a release, the proxies that a controller has when it begins, and those that connect during the release.
type storm struct {
	*simulation
	draining        map[string]int64 // since when each draining replica has been draining
	withoutEndpoint map[int]int64    // since when each proxy without usable endpoints has had none
	nextReplica     int              // number of the next replica that replaces a draining one
	// longestHeld is the longest time for which a proxy held a draining replica, from the later of its connection and the
	// drain.
	longestHeld int64
}

// newStorm returns a storm whose drain grace is as short as the channel's rate allows, but at least 2 s.
func newStorm(seed int64, proxies, controllers, replicas, rate int) *storm {
	limit := (22 + int(seed%4)) * proxies
	w := newSimulation(seed, proxies, replicas, controllers, limit, rate, updateCost)
	w.writersNeverStall = true
	w.settings.Proxies, w.settings.MaxMessages = proxies, 30
	minGrace := deliveries * float64(proxies) * (float64(w.settings.MessageOverhead) + unavoidableCost) / float64(rate)
	w.settings.DrainGrace = max(2*second, int64(minGrace*float64(second)))
	w.settings.MaxTransit = second / 4
	c := &storm{simulation: w, draining: map[string]int64{}, withoutEndpoint: map[int]int64{}, nextReplica: replicas}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
	w.core = controller.New(func() controller.Module { return policy.New(w.settings) }, controller.NewTopology(names, w.settings))
	return c
}

// connectAndSettle connects the first proxies and waits until they are bound.
func (c *storm) connectAndSettle(proxies int) {
	for k := range proxies {
		c.connect(k)
	}
	for range 120 {
		c.advance(second / 4)
	}
}

// startWave drains some of the ready replicas and starts as many new ones.
func (c *storm) startWave(share float64) {
	var names []string
	for _, name := range c.replicaNames {
		if m := c.members[name]; m.State == control.Ready && c.Float64() < share {
			m.State = control.Draining
			c.members[name], c.draining[name] = m, c.now
			names = append(names, name)
		}
	}
	for range len(names) {
		m := controller.Member{ID: fmt.Sprintf("n-%04d", c.nextReplica), Zone: []string{"a", "b"}[c.nextReplica%2], HardwareClass: "m1", Weight: 1, UpSince: c.now}
		c.nextReplica++
		c.replicaNames, c.members[m.ID] = append(c.replicaNames, m.ID), m
		names = append(names, m.ID)
	}
	c.listReplicas(names, false)
}

// connectWithTable connects a proxy that holds a table from another controller, with some of the replicas and some of these
// ejected.
func (c *storm) connectWithTable(k, endpoints int) {
	p := c.proxies[k]
	for _, index := range c.Perm(len(c.replicaNames))[:min(endpoints, len(c.replicaNames))] {
		p.endpoints[c.replicaNames[index]] = 1
		if c.Intn(20) == 0 {
			p.ejected[c.replicaNames[index]] = true
		}
	}
	c.connect(k)
}

// checkProxies records how long proxies have been sending to draining replicas, and fails the simulation if a proxy has had
// no usable endpoint for longer than the grace.
func (c *storm) checkProxies() {
	for k, p := range c.proxies {
		if p.stream == 0 {
			continue
		}
		usable := 0
		for id := range p.endpoints {
			if p.ejected[id] {
				continue
			}
			usable++
			if since, drains := c.draining[id]; drains {
				c.longestHeld = max(c.longestHeld, c.now-max(since, p.connectedAt))
			}
		}
		if usable > 0 {
			delete(c.withoutEndpoint, k)
			continue
		}
		if _, since := c.withoutEndpoint[k]; !since {
			c.withoutEndpoint[k] = c.now
		}
		if c.now-max(c.withoutEndpoint[k], p.connectedAt) > c.settings.DrainGrace && c.violation == "" {
			c.violation = fmt.Sprintf("proxy %d has had no usable endpoint for longer than the grace", k)
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
		c := newStorm(seed, proxies, controllers, 20+draw.Intn(220), []int{600, 1200, 2400}[draw.Intn(3)])
		initial := proxies / controllers
		c.connectAndSettle(initial)
		waveSteps, share, lostControllers := 4+draw.Intn(8), 0.05+0.1*draw.Float64(), 1+draw.Intn(controllers-1)
		reconnectStep := draw.Intn(40)
		for step := range 160 { // a quarter of a second each
			if step < 60 && step%waveSteps == 0 {
				c.startWave(share)
			}
			for k := initial; k < initial*(1+lostControllers); k++ {
				if at := reconnectStep + draw.Intn(5); c.proxies[k].connectedAt == 0 && step >= at {
					c.connectWithTable(k, len(c.replicaNames)/3)
				}
			}
			c.advance(second / 4)
			c.checkProxies()
		}
		if limit := c.settings.DrainGrace - c.settings.MaxTransit; c.longestHeld > limit || c.violation != "" {
			t.Errorf("seed %d: %d of %d controllers lost, %d proxies, %d replicas, %v cost units per second, waves of %.2f every %d steps: a proxy held a draining replica for %.2f s, limit %.2f s; %s",
				seed, lostControllers, controllers, proxies, len(c.replicaNames), c.settings.ChannelRate, share, waveSteps, float64(c.longestHeld)/1e9, float64(limit)/1e9, c.violation)
		}
	}
}
