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
	draining  map[string]int64 // since when each draining replica has been draining
	bare      map[int]int64    // since when each proxy without usable endpoints has had none
	successor int              // number of the next replica that replaces a draining one
	// worst is the longest time for which a proxy held a draining replica, from the later of its connection and the drain.
	worst int64
}

// newStorm returns a storm whose drain grace is as short as the channel's rate allows, but at least 2 s.
func newStorm(seed int64, proxies, controllers, replicas, rate int) *storm {
	limit := (22 + int(seed%4)) * proxies
	w := newSimulation(seed, proxies, replicas, controllers, limit, rate, updateCost)
	w.prompt = true
	w.settings.Proxies, w.settings.MaxMessages = proxies, 30
	must := deliveries * float64(proxies) * (float64(w.settings.MessageOverhead) + unavoidableCost) / float64(rate)
	w.settings.DrainGrace = max(2*second, int64(must*float64(second)))
	w.settings.MaxTransit = second / 4
	c := &storm{simulation: w, draining: map[string]int64{}, bare: map[int]int64{}, successor: replicas}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
	w.core = controller.New(func() controller.Module { return policy.New(w.settings) }, controller.NewTopology(names, w.settings))
	return c
}

// settled connects the first proxies and waits until they are bound.
func (c *storm) settled(proxies int) {
	for k := range proxies {
		c.join(k)
	}
	for range 120 {
		c.pass(second / 4)
	}
}

// wave drains some of the ready replicas and starts as many new ones.
func (c *storm) wave(share float64) {
	var names []string
	for _, name := range c.names {
		if m := c.states[name]; m.State == control.Ready && c.Float64() < share {
			m.State = control.Draining
			c.states[name], c.draining[name] = m, c.now
			names = append(names, name)
		}
	}
	for range len(names) {
		m := controller.Member{ID: fmt.Sprintf("n-%04d", c.successor), Zone: []string{"a", "b"}[c.successor%2], HardwareClass: "m1", Weight: 1, UpSince: c.now}
		c.successor++
		c.names, c.states[m.ID] = append(c.names, m.ID), m
		names = append(names, m.ID)
	}
	c.list(names, false)
}

// bring connects a proxy that holds a table from another controller, with some of the replicas and some of these ejected.
func (c *storm) bring(k, endpoints int) {
	p := c.proxies[k]
	for _, at := range c.Perm(len(c.names))[:min(endpoints, len(c.names))] {
		p.endpoints[c.names[at]] = 1
		if c.Intn(20) == 0 {
			p.ejected[c.names[at]] = true
		}
	}
	c.join(k)
}

// look records how long proxies have been sending to draining replicas, and fails the simulation if a proxy has had no
// usable endpoint for longer than the grace.
func (c *storm) look() {
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
				c.worst = max(c.worst, c.now-max(since, p.connected))
			}
		}
		if usable > 0 {
			delete(c.bare, k)
			continue
		}
		if _, since := c.bare[k]; !since {
			c.bare[k] = c.now
		}
		if c.now-max(c.bare[k], p.connected) > c.settings.DrainGrace && c.broken == "" {
			c.broken = fmt.Sprintf("proxy %d has had no usable endpoint for longer than the grace", k)
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
		here := proxies / controllers
		c.settled(here)
		every, share, lost := 4+draw.Intn(8), 0.05+0.1*draw.Float64(), 1+draw.Intn(controllers-1)
		comes := draw.Intn(40)
		for step := range 160 { // a quarter of a second each
			if step < 60 && step%every == 0 {
				c.wave(share)
			}
			for k := here; k < here*(1+lost); k++ {
				if at := comes + draw.Intn(5); c.proxies[k].connected == 0 && step >= at {
					c.bring(k, len(c.names)/3)
				}
			}
			c.pass(second / 4)
			c.look()
		}
		if most := c.settings.DrainGrace - c.settings.MaxTransit; c.worst > most || c.broken != "" {
			t.Errorf("seed %d: %d of %d controllers lost, %d proxies, %d replicas, %v cost units per second, waves of %.2f every %d steps: a proxy held a draining replica for %.2f s, limit %.2f s; %s",
				seed, lost, controllers, proxies, len(c.names), c.settings.ChannelRate, share, every, float64(c.worst)/1e9, float64(most)/1e9, c.broken)
		}
	}
}
