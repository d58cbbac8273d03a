package policy

import (
	"cmp"
	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"math"
	"slices"
)

// Tuned values of subsets.
const (
	sharedPart = 0.375 // of what the channel sends in a drain's grace
	firstPart  = 0.375 // likewise
	restPart   = 0.25  // likewise
	firstLeast = 3     // lines of a part, of which all are restored
	keptLeast  = 0.5   // less is renewed
)

// partial is what a proxy holds that has been given a part of its table.
type partial struct {
	replicas map[uint32]bool // those of the part that have not been withdrawn or removed since
	given    int
}

// dealing are the parts of one table in this turn, and the requests a second that proxies send to each by the parts they hold.
type dealing struct {
	parts [][]uint32
	loads []float64
}

// kept is the share of the part that is left.
func (t *partial) kept() float64 { return float64(len(t.replicas)) / float64(max(1, t.given)) }

// split deals the replicas of a table, but those left out, into as few parts as have at most size replicas each. Their
// weights are alike: the heaviest replica that is left always goes to the lightest part that has room.
func split(weights map[uint32]float64, without map[uint32]bool, size int) [][]uint32 {
	var ids []uint32
	for _, id := range ordered.Keys(weights) {
		if !without[id] {
			ids = append(ids, id)
		}
	}
	slices.SortStableFunc(ids, func(a, b uint32) int { return cmp.Compare(weights[b], weights[a]) })
	parts := make([][]uint32, (len(ids)+size-1)/size)
	sums := make([]float64, len(parts))
	for _, id := range ids {
		lightest := -1
		for k := range parts {
			if len(parts[k]) < size && (lightest < 0 || sums[k] < sums[lightest]) {
				lightest = k
			}
		}
		parts[lightest] = append(parts[lightest], id)
		sums[lightest] += weights[id]
	}
	return parts
}

// deal makes the parts of a table, once a turn.
func (p *pacer) deal(table, size int) *dealing {
	if d := p.dealt[table]; d != nil {
		return d
	}
	d := &dealing{parts: split(p.partible(table), p.ejected, size)}
	d.loads = make([]float64, len(d.parts))
	partOf := map[uint32]int{}
	for k, part := range d.parts {
		for _, id := range part {
			partOf[id] = k
		}
	}
	for _, proxy := range ordered.Keys(p.partial) {
		if p.bound[proxy] != table {
			continue
		}
		t := p.partial[proxy]
		for id := range t.replicas {
			if k, is := partOf[id]; is {
				d.loads[k] += p.rate(proxy) / float64(len(t.replicas))
			}
		}
	}
	p.dealt[table] = d
	return d
}

// next gives a proxy the part that is sent least.
func (d *dealing) next(rate float64) []uint32 {
	least := 0
	for k := range d.loads {
		if d.loads[k] < d.loads[least] {
			least = k
		}
	}
	d.loads[least] += rate
	return d.parts[least]
}

// rate is the requests a second of a proxy, of which a stream may tell none.
func (p *pacer) rate(proxy int) float64 { return math.Max(p.rates[proxy], 1e-6) }

// graceLines is the part of the channel's limit that reaches proxies within a drain's grace; 0: there is no grace, or no
// host that holds messages.
func (p *pacer) graceLines() float64 {
	if !p.HostQueues {
		return 0
	}
	return p.roomWithin(p.DrainGrace - p.MaxTransit)
}

// roomWithin is the part of the channel's limit that it sends in a span; 0: there is no such span, or no limit.
func (p *pacer) roomWithin(span int64) float64 {
	if p.ChannelLimit == 0 {
		return 0
	}
	return p.ChannelRate * (float64(max(0, span)) / float64(second)) / float64(p.ChannelLimit)
}

// bindRoom is the part of the channel's limit that the tables of a crowd may fill where no host holds messages for one proxy. A
// withdrawal then waits for room behind the tables that are under way, and goes out beside as many more: both are to take half
// of a drain's grace each. It is never less than what ordinary changes may fill, so that proxies are bound.
func (p *pacer) bindRoom() float64 {
	if p.DrainGrace == 0 || p.HostQueues {
		return urgentPart
	}
	return min(urgentPart, max(ordinaryPart, p.roomWithin(p.DrainGrace/2-p.MaxTransit)))
}

func (p *pacer) loseFromParts(id uint32, table int) {
	for proxy, t := range p.partial {
		if p.bound[proxy] == table {
			delete(t.replicas, id)
		}
	}
}

// bindPart puts a proxy on a part of a table.
func (p *pacer) bindPart(o control.BindSubset) {
	p.bind(o.Proxy, o.Table)
	t := &partial{replicas: map[uint32]bool{}, given: len(o.Replicas)}
	for _, id := range o.Replicas {
		t.replicas[id] = true
	}
	p.partial[o.Proxy] = t
}

// holders are the proxies on a table that hold a line of a replica, or would with the whole table.
func (p *pacer) holders(table int, id uint32) []int {
	if len(p.partial) == 0 {
		return p.members[table]
	}
	var all []int
	for _, proxy := range p.members[table] {
		if t := p.partial[proxy]; t == nil || t.replicas[id] {
			all = append(all, proxy)
		}
	}
	return all
}

// incomplete are the proxies that hold a part of their table, those first that have least of it left.
func (p *pacer) incomplete() []int {
	all := ordered.Keys(p.partial)
	slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(p.partial[a].kept(), p.partial[b].kept()) })
	return all
}

// partible are the lines of a table of which parts are made: the warm, where they weigh half of it, else all.
func (p *pacer) partible(table int) map[uint32]float64 {
	warm, warmWeight, weight := map[uint32]float64{}, 0.0, 0.0
	for _, id := range ordered.Keys(p.laid[table]) {
		if p.ejected[id] {
			continue
		}
		line := p.laid[table][id]
		weight += line
		if !p.cold.replicas[id] {
			warm[id] = line
			warmWeight += line
		}
	}
	if warmWeight < weight/2 {
		return p.laid[table]
	}
	return warm
}
