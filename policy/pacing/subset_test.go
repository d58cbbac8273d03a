package pacing

import (
	"slices"
	"testing"
	"time"

	"lilacbend/control"
)

const second = int64(time.Second)

// inStorm returns a Pacer whose table 0 has so many replicas, with a grace in which the channel sends 6000 cost units, and
// proxies that have just connected.
func inStorm(replicas uint32, connected int, change func(*control.Settings)) *Pacer {
	p := newPacer(func(s *control.Settings) {
		s.HostQueues = true
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
	sent := inStorm(60, 1, nil).Send(0)
	assertEqual(t, "complete tables", len(ofType[control.Bind](sent.Commands)), 1)
}

func TestReconnectStormGetsSubsets(t *testing.T) {
	p := inStorm(60, 160, nil)
	subsets := ofType[control.BindSubset](p.Send(0).Commands)
	assertEqual(t, "subsets", len(subsets), 160)
	assignments := map[uint32]int{}
	for _, c := range subsets {
		assertEqual(t, "unejected", c.Unejected, minSubset)
		for _, replica := range c.Replicas {
			assignments[replica]++
		}
	}
	for replica := range uint32(60) { // all alike, by turns
		if assignments[replica] < 160*len(subsets[0].Replicas)/60-4 {
			t.Errorf("replica %d is in %d subsets", replica, assignments[replica])
		}
	}
	within := p.turn.units <= (reservedGraceFraction+sharedGraceFraction)*6000
	assertEqual(t, "all within what the grace has for first tables", within, true)
}

// Where the host does not queue a reconnect storm gets complete tables, as many at a time as half of the grace lets through: an
// ejection while they are under way need not wait for their acks.
func TestCompleteTablesOfAReconnectStormLeaveCapacityForAnEjection(t *testing.T) {
	p := inStorm(40, 160, func(s *control.Settings) {
		s.HostQueues = false
		s.ChannelRate = 1500
		s.ChannelLimit = 3800
		s.DrainGrace = 38 * second / 10
		s.MaxTransit = second / 2
	})
	assertEqual(t, "some are bound", len(ofType[control.Bind](p.Send(0).Commands)) > 0, true)
	assertEqual(t, "within half of the grace", p.Waiting(0) <= 1500*1.4, true)
	p.Eject(3)
	assertEqual(t, "ejections while no ack has come", len(ofType[control.SetEjected](p.Send(0).Commands)), 1)
	p.settings.DrainGrace = second // in half of which nothing gets through
	p.channel = channelAccount{}
	assertEqual(t, "some are bound with a short grace", len(ofType[control.Bind](p.Send(0).Commands)) > 0, true)
}

// Once the reconnect storm has its subsets the rest follows as the channel has capacity; a subset of which more than half is lost
// is renewed at once.
func TestRestOfATableFollowsAndALostSubsetIsRenewed(t *testing.T) {
	p := inStorm(60, 160, nil)
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
	renewed := ofType[control.BindSubset](sent.Commands)
	includes := slices.ContainsFunc(renewed, func(c control.BindSubset) bool { return c.Proxy == 5 })
	assertEqual(t, "some are renewed, the proxy among them", includes, true)
	for _, c := range renewed {
		assertEqual(t, "an ejected replica is in a renewed subset", slices.Contains(c.Replicas, lost[0]), false)
	}
	assertEqual(t, "complete tables while much waits", len(ofType[control.Bind](sent.Commands)), 0)
	p.channel = channelAccount{} // all is acknowledged
	complete := len(ofType[control.Bind](p.Send(0).Commands))
	assertEqual(t, "some get the rest", complete > 0 && complete < 160, true)
	assertEqual(t, "the others wait", len(p.proxies.subsets), 160-complete)
}

func TestRestOfATableWaitsForUrgentCommands(t *testing.T) {
	p := inStorm(60, 0, func(s *control.Settings) { s.HostQueues = true })
	p.proxies.bindSubset(control.BindSubset{Proxy: 1, Replicas: []uint32{1, 2, 3}})
	p.SetAdmission(control.SetAdmission{Class: 1})
	assertEqual(t, "complete tables", len(ofType[control.Bind](p.Send(0).Commands)), 0)
	assertEqual(t, "complete tables once nothing urgent waits", len(ofType[control.Bind](p.Send(0).Commands)), 1)
	assertEqual(t, "proxies with a subset", len(p.proxies.subsets), 0)
}

// A warming replica gets nothing from subsets while the others have half of their table's weight: where some of a subset is ejected, or
// a proxy sends more than it forecast, a warming one would get a load that it does not get from complete tables.
func TestSubsetsAreOfWarmedUpReplicasWhileTheyHaveHalfOfTheWeight(t *testing.T) {
	p := inStorm(20, 0, nil)
	warming := map[uint32]bool{}
	for replica := range uint32(10) {
		warming[replica] = true
	}
	candidates := func() int { return len(p.proxies.subsetCandidates(0, warming)) }
	assertEqual(t, "the warmed up", candidates(), 10)
	p.proxies.ejected[15] = true
	assertEqual(t, "all, as the warmed up that are not ejected have less than half", candidates(), 20)
	p.proxies.ejected[3] = true
	assertEqual(t, "the warmed up that are not ejected", candidates(), 9)
}

func TestFirstTableIsASubsetOnlyAboveItsShare(t *testing.T) {
	const complete = 2*60 + 2 + 1 + 4 + 1 // endpoints, admission rates, binding, message overhead, nonce
	for _, c := range []struct {
		name  string
		units float64
		size  int // 0: complete
	}{
		{"the table costs less", complete + 1, 0},
		{"the table costs all of it", complete, 60},
		{"a third of the table fits", 4 + 2 + 3 + 20, 20},
		{"next to nothing fits", 1, minSubset},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := inStorm(60, 0, nil)
			p.Connected(1, 5)
			p.beginTurn(0)
			p.turn.firstTableUnits = c.units
			got := p.firstTable(control.Bind{Proxy: 1})
			if subset, ok := got.(control.BindSubset); ok {
				assertEqual(t, "replicas", len(subset.Replicas), c.size)
				return
			}
			assertEqual(t, "replicas", 0, c.size)
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
		{"nobody is bound", 0, 1, 0, 3*grace/8/200 + 3*grace/8/2},
		{"most are bound", 150, 1, 0, 3*grace/8/50 + 3*grace/8/2},
		{"all are bound", 200, 1, 0, 3*grace/8 + 3*grace/8/2},
		{"many are to be bound", 0, 99, 0, 3*grace/8/200 + 3*grace/8/100},
		{"much waits in the channel", 0, 1, 2000, 3*grace/8/200 + 250.0/2},
		{"more waits in the channel", 0, 1, 5000, 3 * grace / 8 / 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := inStorm(60, 0, nil)
			for proxy := range c.bound {
				p.proxies.bind(proxy, 0)
			}
			for proxy := range c.queued {
				p.Bind(control.Bind{Proxy: 1000 + proxy})
			}
			p.turn.waiting = c.waiting
			assertEqual(t, "units", p.firstTableUnits(), c.want)
		})
	}
}
