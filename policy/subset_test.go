package policy

import (
	"math"
	"slices"
	"testing"

	"lilacbend/control"
)

func TestPartsHoldEachReplicaOnceAndWeighAlike(t *testing.T) {
	weights, out := map[uint32]float64{}, map[uint32]bool{7: true, 31: true}
	heaviest, all := 0.0, 0.0
	for id := range uint32(70) {
		weights[id] = 0.1 + float64(id%9)/8
		heaviest = math.Max(heaviest, weights[id])
	}
	for size := 1; size <= 80; size += 3 {
		parts := split(weights, out, size)
		want(t, "as few as can be", len(parts), (68+size-1)/size)
		seen, least, most := map[uint32]bool{}, math.Inf(1), 0.0
		for _, part := range parts {
			sum := 0.0
			for _, id := range part {
				if seen[id] || out[id] {
					t.Errorf("size %d: %d is dealt twice, or though it is left out", size, id)
				}
				seen[id] = true
				sum += weights[id]
			}
			want(t, "has room", len(part) <= size, true)
			least, most = math.Min(least, sum), math.Max(most, sum)
		}
		want(t, "all are dealt", len(seen), 68)
		if full := 68%size == 0 || len(parts) == 1; size > 3 && full && most-least > heaviest {
			t.Errorf("size %d: parts weigh from %v to %v", size, least, most)
		}
	}
	for _, weight := range weights {
		all += weight
	}
	if parts := split(weights, nil, 10); len(parts) != 7 || math.Abs(weigh(weights, parts[0])-all/7) > heaviest/2 {
		t.Errorf("%d parts, the first weighs %v of %v", len(parts), weigh(weights, parts[0]), all)
	}
	want(t, "nothing to deal", len(split(nil, nil, 3)), 0)
}

func weigh(weights map[uint32]float64, part []uint32) (sum float64) {
	for _, id := range part {
		sum += weights[id]
	}
	return sum
}

// crowded is a pacer before a table of so many replicas, with a grace in which the channel sends 6,000 lines, and proxies
// that are bound to nothing.
func crowded(replicas uint32, proxies, waiting int) (*Policy, *pacer) {
	g := at(0)
	g.HostQueues, g.Proxies, g.ChannelRate, g.ChannelLimit, g.MessageOverhead = true, proxies, 1000, 8000, 4
	g.DrainGrace, g.MaxTransit, g.MaxMessages = 6*second+second/4, second/4, 30
	p := g.queues[pacingComponent].component.(*pacer)
	p.laid[0] = map[uint32]float64{}
	for id := range replicas {
		p.laid[0][id] = 1
	}
	for proxy := range waiting {
		p.handle(streamOpened{control.StreamOpened{Proxy: proxy, Rate: 1}})
		p.handle(bindRequested{control.Bind{Proxy: proxy}})
	}
	return g, p
}

func TestACrowdGetsPartsAndOneProxyTheWholeTable(t *testing.T) {
	g, p := crowded(60, 200, 1)
	p.send()
	want(t, "whole", len(orders[control.Bind](g.out)), 1)
	g, p = crowded(60, 200, 160)
	p.send()
	parts := orders[control.BindSubset](g.out)
	want(t, "parts", len(parts), 160)
	given := map[uint32]int{}
	for _, o := range parts {
		want(t, "restored", o.Unejected, firstLeast)
		for _, id := range o.Replicas {
			given[id]++
		}
	}
	for id := range uint32(60) { // all alike, by turns
		if given[id] < 160*len(parts[0].Replicas)/60-4 {
			t.Errorf("%d is in %d parts", id, given[id])
		}
	}
	want(t, "all within half of a grace and what is shared", p.cost <= (firstPart+sharedPart)*6000, true)
}

// Where no host holds messages a crowd gets whole tables, as many at a time as half of a grace lets through: who is withdrawn while they are
// under way need not wait for their answers.
func TestTablesOfACrowdLeaveRoomForAWithdrawal(t *testing.T) {
	g, p := crowded(40, 200, 160)
	g.HostQueues, g.ChannelRate, g.ChannelLimit = false, 1500, 3800
	g.DrainGrace, g.MaxTransit = 38*second/10, second/2
	p.send()
	bound := len(orders[control.Bind](g.out))
	want(t, "some are bound", bound > 0, true)
	want(t, "within half of a grace", p.queue() <= 1500*1.4, true)
	g.out = nil
	p.handle(ejectionDue{3})
	p.send()
	want(t, "withdrawn while nobody has answered", len(orders[control.SetEjected](g.out)), 1)
	g.DrainGrace = second // in half of which nothing gets through
	p.under, g.out = nil, nil
	p.send()
	want(t, "a short grace stops nobody from being bound", len(orders[control.Bind](g.out)) > 0, true)
}

// Once the crowd has its parts the rest follows as the channel has room; a part of which half is gone is renewed at once.
func TestTheRestOfATableFollowsAndALostPartIsRenewed(t *testing.T) {
	g, p := crowded(60, 200, 160)
	p.send()
	first := p.partial[5].replicas
	lost := slices.Collect(func(yield func(uint32) bool) {
		for id := range first {
			if !yield(id) {
				return
			}
		}
	})
	for _, id := range lost[:len(lost)/2+1] {
		p.handle(ejectionDue{id})
	}
	g.out = nil
	p.send()
	g.out = nil
	p.send()
	renewed := some[control.BindSubset](g.out)
	want(t, "some are renewed, the proxy among them", slices.ContainsFunc(renewed, func(o control.BindSubset) bool { return o.Proxy == 5 }), true)
	for _, o := range renewed {
		want(t, "not with who is withdrawn", slices.Contains(o.Replicas, lost[0]), false)
	}
	want(t, "none gets the rest while the channel is deep", len(orders[control.Bind](g.out)), 0)
	p.under, g.out = nil, nil // all is answered
	p.send()
	whole := len(orders[control.Bind](g.out))
	want(t, "some get the rest", whole > 0 && whole < 160, true)
	want(t, "the others wait", len(p.partial), 160-whole)
}

// The cold get nothing from parts while the warm weigh half of their table: a part of which some is withdrawn, or a proxy
// that sends more than it said, would push over a cold one that the whole table does not.
func TestPartsAreOfTheWarmWhileTheyAreHalf(t *testing.T) {
	_, p := crowded(20, 200, 0)
	p.cold = warmingReplicas{replicas: map[uint32]bool{}}
	for id := range uint32(10) {
		p.cold.replicas[id] = true
	}
	want(t, "the warm", len(p.partible(0)), 10)
	p.ejected[15] = true
	want(t, "all, as the warm that are in are less than half", len(p.partible(0)), 20)
	p.ejected[3] = true
	want(t, "the warm that are in", len(p.partible(0)), 9)
}
