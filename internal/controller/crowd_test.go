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

// This file plays a release under which most governors are lost, so that all their proxies join the one that is left: each
// proxy has to stop sending to a replica within the grace of its withdrawal, or of its own joining, whichever is later.

// mustGo are the lines of a message that cannot be put off: as many as a proxy holds before it joins, and a part of a head.
// A platform states a grace in which these reach all proxies twice.
const mustGo, timesOver = 10.75, 2

// crowd is a release, the proxies that a governor has when it begins, and those that join in the middle of it.
type crowd struct {
	*channelWorld
	told      map[string]int64 // when a replica was told to drain
	bare      map[int]int64    // since when a proxy has had no line
	successor int
	worst     int64 // the longest that a proxy held who drains, past the later of its joining and the word
}

func newCrowd(seed int64, proxies, governors, replicas, rate int) *crowd {
	limit := (22 + int(seed%4)) * proxies
	w := newChannelWorld(seed, proxies, replicas, governors, limit, rate, trueLines)
	w.prompt = true
	w.provision.Proxies, w.provision.MaxMessages = proxies, 30
	must := timesOver * float64(proxies) * (float64(w.provision.MessageOverhead) + mustGo) / float64(rate)
	w.provision.DrainGrace = max(2*second, int64(must*float64(second)))
	w.provision.MaxTransit = second / 4
	c := &crowd{channelWorld: w, told: map[string]int64{}, bare: map[int]int64{}, successor: replicas}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
	w.core = controller.New(func() controller.Module { return policy.New(w.provision) }, controller.NewTopology(names, w.provision))
	return c
}

// settled lets the first part of the proxies join and be bound.
func (c *crowd) settled(proxies int) {
	for k := range proxies {
		c.join(k)
	}
	for range 120 {
		c.pass(second / 4)
	}
}

// wave has some of the ready replicas drain, and as many successors start.
func (c *crowd) wave(share float64) {
	var names []string
	for _, name := range c.names {
		if m := c.states[name]; m.State == control.Ready && c.Float64() < share {
			m.State = control.Draining
			c.states[name], c.told[name] = m, c.now
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

// bring has a proxy join with a table of another governor: some of the replicas, of which it shuts some out.
func (c *crowd) bring(k, lines int) {
	p := c.proxies[k]
	for _, at := range c.Perm(len(c.names))[:min(lines, len(c.names))] {
		p.lines[c.names[at]] = 1
		if c.Intn(20) == 0 {
			p.shut[c.names[at]] = true
		}
	}
	c.join(k)
}

// look notes who still holds a line of a replica that drains.
func (c *crowd) look() {
	for k, p := range c.proxies {
		if p.stream == 0 {
			continue
		}
		usable := 0
		for id := range p.lines {
			if p.shut[id] {
				continue
			}
			usable++
			if since, drains := c.told[id]; drains {
				c.worst = max(c.worst, c.now-max(since, p.joined))
			}
		}
		if usable > 0 {
			delete(c.bare, k)
			continue
		}
		if _, since := c.bare[k]; !since {
			c.bare[k] = c.now
		}
		if c.now-max(c.bare[k], p.joined) > c.provision.DrainGrace && c.broken == "" {
			c.broken = fmt.Sprintf("proxy %d has had no line for longer than the grace", k)
		}
	}
}

func TestACrowdInTheMiddleOfAReleaseIsSafeWithinTheGrace(t *testing.T) {
	t.Parallel()
	for seed := range int64(24) {
		draw := rand.New(rand.NewSource(seed))
		governors := 2 + draw.Intn(6)
		proxies := governors * (4 + draw.Intn(60))
		c := newCrowd(seed, proxies, governors, 20+draw.Intn(220), []int{600, 1200, 2400}[draw.Intn(3)])
		here := proxies / governors
		c.settled(here)
		every, share, lost := 4+draw.Intn(8), 0.05+0.1*draw.Float64(), 1+draw.Intn(governors-1)
		comes := draw.Intn(40)
		for step := range 160 { // of a quarter of a second
			if step < 60 && step%every == 0 {
				c.wave(share)
			}
			for k := here; k < here*(1+lost); k++ {
				if at := comes + draw.Intn(5); c.proxies[k].joined == 0 && step >= at {
					c.bring(k, len(c.names)/3)
				}
			}
			c.pass(second / 4)
			c.look()
		}
		if most := c.provision.DrainGrace - c.provision.MaxTransit; c.worst > most || c.broken != "" {
			t.Errorf("seed %d: %d of %d governors lost, %d proxies, %d replicas, %v lines a second, waves of %.2f each %d: a proxy held who drains for %.2f of %.2f s; %s",
				seed, lost, governors, proxies, len(c.names), c.provision.ChannelRate, share, every, float64(c.worst)/1e9, float64(most)/1e9, c.broken)
		}
	}
}
