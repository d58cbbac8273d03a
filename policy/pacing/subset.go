package pacing

import (
	"cmp"
	"math"
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// subset holds the endpoints of a proxy that was first sent only a subset of its table.
//
// A proxy that connects has no valid state: within the drain grace it needs a table without the replicas that are ejected.
// In a reconnect storm complete tables for all proxies would take longer than the grace, and ejections would wait behind
// them. So if the controller queues commands (Settings.ControllerQueues) and the grace is known, a proxy first gets only a
// subset of its table if the complete table costs more than the proxy's share of what the channel sends within the grace
// (firstTableUnits). The grace is divided:
//
//	3/8   first tables of all proxies that do not hold a complete table yet, in equal shares
//	3/8   less what waits in the channel: first tables of the proxies that are to be bound in this turn, in equal shares; so
//	      a small number of proxies gets complete tables at once
//	1/4   ejections for the proxies that are bound; also the rest of tables, while no more than this waits in the channel
//
// A proxy gets the rest of its table when no urgent command waits and completionBudget has capacity. If more than half of
// its subset has been ejected or removed before that, the subset is renewed at once (minRemainingFraction).
type subset struct {
	replicas    map[uint32]bool // replicas that were neither ejected nor removed since the subset was sent
	initialSize int             // number of replicas when the subset was sent
}

const (
	reservedGraceFraction   = 3.0 / 8
	sharedGraceFraction     = 3.0 / 8
	completionGraceFraction = 1.0 / 4

	// minSubsetSize is the least number of replicas in a subset, and the number of replicas that are unejected with each
	// subset: an earlier controller may have ejected them, and the proxy must not be left without any endpoint.
	minSubsetSize = 3
	// minRemainingFraction is the fraction of a subset below which it is renewed.
	minRemainingFraction = 0.5
	// subsetMessageUnits is what a message with a subset costs besides the overhead and its replicas: the nonce and the
	// binding.
	subsetMessageUnits = 2
)

func newSubset(replicas []uint32) *subset {
	s := &subset{replicas: map[uint32]bool{}, initialSize: len(replicas)}
	for _, replica := range replicas {
		s.replicas[replica] = true
	}
	return s
}

// remainingFraction returns the fraction of the subset that was neither ejected nor removed since it was sent.
func (s *subset) remainingFraction() float64 {
	return float64(len(s.replicas)) / float64(max(1, s.initialSize))
}

func (s *subset) needsRenewal() bool { return s.remainingFraction() < minRemainingFraction }

// firstTableUnits returns how many cost units the first table of one proxy may take in this turn.
func (p *Pacer) firstTableUnits() float64 {
	grace := p.graceFraction() * float64(p.settings.ChannelLimit)
	unbound := p.settings.Proxies - p.proxies.completeTableCount()
	reserved := reservedGraceFraction * grace / float64(max(1, unbound))
	shared := math.Max(0, sharedGraceFraction*grace-p.turn.waiting)
	return reserved + shared/float64(1+p.urgent.len())
}

// subsetSize returns how many replicas fit into the first table of a proxy, at least minSubsetSize.
func (p *Pacer) subsetSize() int {
	units := int(p.turn.firstTableUnits) - p.settings.MessageOverhead - subsetMessageUnits
	return max(minSubsetSize, units-p.proxies.limitedClassCount()-minSubsetSize)
}

// firstTable returns the command that sends a proxy its first table: the complete table if it costs less than the proxy's
// share or cannot be divided into subsets, else a subset. It chooses the subset that gets the fewest requests from the
// proxies that hold it, so that the proxies together load the table evenly.
func (p *Pacer) firstTable(bind control.Bind) control.Command {
	units := float64(p.tableUnits(bind.Table) + p.settings.MessageOverhead + 1)
	partition := p.partition(bind.Table)
	if len(partition.subsets) == 0 || p.turn.firstTableUnits > units {
		return bind
	}
	return control.BindSubset{
		Proxy:          bind.Proxy,
		Table:          bind.Table,
		Replicas:       partition.assign(p.proxies.requestRate(bind.Proxy)),
		UnejectedCount: minSubsetSize,
	}
}

// partition returns the division of a table into subsets, which stays the same during a turn: it is made from the state of
// the table when the first proxy of the turn needs it.
func (p *Pacer) partition(table int) *partition {
	if known := p.turn.partitions[table]; known != nil {
		return known
	}
	weights := p.proxies.subsetCandidates(table, p.warming.Replicas)
	created := newPartition(weights, p.proxies.ejected, p.subsetSize())
	for _, proxy := range ordered.Keys(p.proxies.subsets) {
		if p.proxies.bindings[proxy] == table {
			created.addRequests(p.proxies.subsets[proxy].replicas, p.proxies.requestRate(proxy))
		}
	}
	p.turn.partitions[table] = created
	return created
}

// completionBudget returns the budget of the rest of a table after a subset.
func (p *Pacer) completionBudget() budget {
	return budget{completionGraceFraction * p.graceFraction(), additionMessageFraction}
}

// sendRestOfTables renews subsets of which less than minRemainingFraction is left, and completes tables as far as the budget
// allows. It stops at the first proxy whose table it cannot complete: this holds back the completions of later proxies in
// this turn, even if a smaller table would fit, so that the proxy with the least of its subset left is completed first. Any
// waiting urgent command, of this turn or an earlier one, stops all completions. Proxies whose subset needs renewal come
// before all others, so completions do not hold renewals back.
func (p *Pacer) sendRestOfTables() {
	for _, proxy := range p.proxies.proxiesWithSubset() {
		bind := control.Bind{Proxy: proxy, Table: p.proxies.bindings[proxy]}
		if p.proxies.subsets[proxy].needsRenewal() {
			p.trySend(p.firstTable(bind), unlimited)
			continue
		}
		if p.urgent.len() > 0 || !p.trySend(bind, p.completionBudget()) {
			return
		}
	}
}

// proxiesWithSubset returns the proxies that hold only a subset of their table, those with the least of their subset left
// first.
func (s *proxyStates) proxiesWithSubset() []int {
	holders := ordered.Keys(s.subsets)
	slices.SortStableFunc(holders, func(a, b int) int {
		return cmp.Compare(s.subsets[a].remainingFraction(), s.subsets[b].remainingFraction())
	})
	return holders
}

// subsetCandidates returns the endpoints of a table that subsets are made of: those of replicas that are neither warming up
// nor ejected, if they have at least half of the weight of all replicas that are not ejected; all endpoints otherwise. Half
// of a subset may be ejected, and a proxy may send more requests than it forecast: a warming replica in a subset could get
// several times the load that its weight is meant for.
func (s *proxyStates) subsetCandidates(table int, warming map[uint32]bool) map[uint32]float64 {
	warmedUp := map[uint32]float64{}
	warmedUpWeight := 0.0
	totalWeight := 0.0
	for _, replica := range ordered.Keys(s.tables[table]) {
		if s.ejected[replica] {
			continue
		}
		weight := s.tables[table][replica]
		totalWeight += weight
		if !warming[replica] {
			warmedUp[replica] = weight
			warmedUpWeight += weight
		}
	}
	if warmedUpWeight < totalWeight/2 {
		return s.tables[table]
	}
	return warmedUp
}
