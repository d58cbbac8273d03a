package pacing

import (
	"slices"
	"testing"
	"time"

	"lilacbend/control"
)

const second = int64(time.Second)

// pacerInReconnectStorm returns a Pacer in a reconnect storm: table 0 has the given number of replicas, the given number of
// proxies has just connected, and the channel sends 6000 cost units within the drain grace.
func pacerInReconnectStorm(replicas uint32, connected int, change func(*control.Settings)) *Pacer {
	p := newPacer(func(s *control.Settings) {
		s.ControllerQueues = true
		s.Proxies = 200
		s.ChannelRate = 1000
		s.ChannelLimit = 8000
		s.DrainGrace = 6*second + second/4
		s.MaxTransit = second / 4
		s.MaxMessages = 30
		if change != nil {
			change(s)
		}
	})
	p.proxies.tables[0] = equalWeights(replicas)
	for proxy := range connected {
		p.Connected(proxy, 1)
		p.Bind(control.Bind{Proxy: proxy})
	}
	return p
}

func TestSingleProxyGetsItsCompleteTable(t *testing.T) {
	sent := pacerInReconnectStorm(60, 1, nil).Send(0)
	assertEqual(t, "complete tables", len(commandsOfType[control.Bind](sent.Commands)), 1)
}

func TestReconnectStormGetsSubsets(t *testing.T) {
	p := pacerInReconnectStorm(60, 160, nil)
	subsets := commandsOfType[control.BindSubset](p.Send(0).Commands)
	assertEqual(t, "subsets", len(subsets), 160)
	assignments := map[uint32]int{}
	for _, c := range subsets {
		assertEqual(t, "unejected", c.UnejectedCount, minSubsetSize)
		for _, replica := range c.Replicas {
			assignments[replica]++
		}
	}
	for replica := range uint32(60) { // all replicas are in nearly the same number of subsets
		if assignments[replica] < 160*len(subsets[0].Replicas)/60-4 {
			t.Errorf("replica %d is in the subsets of %d proxies, want at least %d",
				replica, assignments[replica], 160*len(subsets[0].Replicas)/60-4)
		}
	}
	within := p.turn.units <= (reservedGraceFraction+sharedGraceFraction)*6000
	assertEqual(t, "first tables cost no more than their part of the grace", within, true)
}

// If the controller does not queue commands, the proxies of a reconnect storm get complete tables, no more of them at one
// time than the channel sends in half of the drain grace: an ejection need not wait for the acks of these tables.
func TestCompleteTablesOfAReconnectStormLeaveCapacityForAnEjection(t *testing.T) {
	p := pacerInReconnectStorm(40, 160, func(s *control.Settings) {
		s.ControllerQueues = false
		s.ChannelRate = 1500
		s.ChannelLimit = 3800
		s.DrainGrace = 38 * second / 10
		s.MaxTransit = second / 2
	})
	assertEqual(t, "some proxies are bound", len(commandsOfType[control.Bind](p.Send(0).Commands)) > 0, true)
	assertEqual(t, "no more waits than is sent in half of the grace", p.WaitingCostUnits(0) <= 1500*1.4, true)
	p.Eject(3)
	assertEqual(t, "ejections before the first ack", len(commandsOfType[control.SetEjected](p.Send(0).Commands)), 1)
	p.settings.DrainGrace = second // half of it is no longer than the transit
	p.channel = channelAccount{}
	assertEqual(t, "some proxies are bound with a short grace", len(commandsOfType[control.Bind](p.Send(0).Commands)) > 0, true)
}

// After the subsets of a reconnect storm are sent, the rest of the tables is sent as the channel has capacity; a subset of
// which more than half is lost is renewed at once.
func TestRestOfATableIsSentAndALostSubsetIsRenewed(t *testing.T) {
	p := pacerInReconnectStorm(60, 160, nil)
	p.Send(0)
	var lost []uint32
	for replica := range p.proxies.subsets[5].replicas {
		lost = append(lost, replica)
	}
	for _, replica := range lost[:len(lost)/2+1] {
		p.Eject(replica)
	}
	p.Send(0)
	sent := p.Send(0)
	renewed := commandsOfType[control.BindSubset](sent.Commands)
	includes := slices.ContainsFunc(renewed, func(c control.BindSubset) bool { return c.Proxy == 5 })
	assertEqual(t, "the subset of proxy 5 is renewed", includes, true)
	for _, c := range renewed {
		assertEqual(t, "an ejected replica is in a renewed subset", slices.Contains(c.Replicas, lost[0]), false)
	}
	assertEqual(t, "complete tables while the channel is full", len(commandsOfType[control.Bind](sent.Commands)), 0)
	p.channel = channelAccount{} // all messages are acknowledged
	complete := len(commandsOfType[control.Bind](p.Send(0).Commands))
	assertEqual(t, "some proxies get the rest of their table", complete > 0 && complete < 160, true)
	assertEqual(t, "the other proxies keep their subset", len(p.proxies.subsets), 160-complete)
}

func TestRestOfATableWaitsForUrgentCommands(t *testing.T) {
	p := pacerInReconnectStorm(60, 0, func(s *control.Settings) { s.ControllerQueues = true })
	p.proxies.bindSubset(control.BindSubset{Proxy: 1, Replicas: []uint32{1, 2, 3}})
	p.SetAdmission(control.SetAdmission{Class: 1})
	assertEqual(t, "complete tables while an urgent command waits", len(commandsOfType[control.Bind](p.Send(0).Commands)), 0)
	assertEqual(t, "complete tables once no urgent command waits", len(commandsOfType[control.Bind](p.Send(0).Commands)), 1)
	assertEqual(t, "proxies with a subset", len(p.proxies.subsets), 0)
}

// Subsets have no warming replicas while the warmed-up replicas have at least half of the table's weight: if replicas of a
// subset are ejected, or a proxy sends more requests than it forecast, a warming replica would get more load than from
// complete tables.
func TestSubsetsAreOfWarmedUpReplicasWhileTheyHaveHalfOfTheWeight(t *testing.T) {
	p := pacerInReconnectStorm(20, 0, nil)
	warming := map[uint32]bool{}
	for replica := range uint32(10) {
		warming[replica] = true
	}
	candidates := func() int { return len(p.proxies.subsetCandidates(0, warming)) }
	assertEqual(t, "candidates: the warmed-up replicas", candidates(), 10)
	p.proxies.ejected[15] = true
	assertEqual(t, "candidates: all replicas, as the warmed-up ones that are not ejected have less than half", candidates(), 20)
	p.proxies.ejected[3] = true
	assertEqual(t, "candidates: the warmed-up replicas that are not ejected", candidates(), 9)
}

func TestFirstTableIsASubsetOnlyAboveItsShare(t *testing.T) {
	const complete = 2*60 + 2 + 1 + 4 + 1 // endpoints, admission rates, binding, message overhead, nonce
	for _, c := range []struct {
		name  string
		units float64
		size  int // number of replicas in the subset; 0: the table is complete
	}{
		{"the table costs less than the share", complete + 1, 0},
		{"the table costs exactly the share", complete, 60},
		{"a third of the table fits", 4 + 2 + 3 + 20, 20},
		{"less than a subset of least size fits", 1, minSubsetSize},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := pacerInReconnectStorm(60, 0, nil)
			p.Connected(1, 5)
			p.beginTurn(0)
			p.turn.firstTableUnits = c.units
			got := p.firstTable(control.Bind{Proxy: 1})
			if subset, ok := got.(control.BindSubset); ok {
				assertEqual(t, "replicas in the subset", len(subset.Replicas), c.size)
				return
			}
			assertEqual(t, "replicas in the subset", 0, c.size)
		})
	}
}

func TestFirstTablesShareTheGrace(t *testing.T) {
	const grace = 6000.0
	for _, c := range []struct {
		name          string
		bound, queued int
		waiting       float64
		want          float64
	}{
		{"no proxy is bound", 0, 1, 0, 3*grace/8/200 + 3*grace/8/2},
		{"most proxies are bound", 150, 1, 0, 3*grace/8/50 + 3*grace/8/2},
		{"all proxies are bound", 200, 1, 0, 3*grace/8 + 3*grace/8/2},
		{"many proxies are to be bound", 0, 99, 0, 3*grace/8/200 + 3*grace/8/100},
		{"less waits in the channel than the shared part of the grace", 0, 1, 2000, 3*grace/8/200 + 250.0/2},
		{"more waits in the channel than the shared part of the grace", 0, 1, 5000, 3 * grace / 8 / 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := pacerInReconnectStorm(60, 0, nil)
			for proxy := range c.bound {
				p.proxies.bind(proxy, 0)
			}
			for proxy := range c.queued {
				p.Bind(control.Bind{Proxy: 1000 + proxy})
			}
			p.turn.waiting = c.waiting
			assertEqual(t, "cost units of a first table", p.firstTableUnits(), c.want)
		})
	}
}
