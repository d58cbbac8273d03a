package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilacbend/control"
)

const (
	nanosPerSecond = float64(time.Second)

	// minTableSize is the least number of endpoints that a table may have.
	minTableSize = 3

	// bindCost is what a bind and the request for its ack cost in the channel besides endpoints and message, in cost units.
	bindCost = 2

	// spilloverSteps divides a replica into the parts of it that a table gets, so that small changes of need change no weight.
	spilloverSteps = 10

	// minSpillover is the least part of a replica that is of use.
	minSpillover = 1e-6

	// spilloverSeed mixes the order in which tables get spillover endpoints, so that each begins with others. It is a prime, so
	// that the orders of neighbouring tables have nothing in common.
	spilloverSeed = 10007

	// maxPenalizedFraction is the fraction of the replicas from which penalties are ignored: that learned state has
	// so many as ejected is the sign of a fault that is over, or of this controller's own.
	maxPenalizedFraction = 0.4
)

// builder adds endpoints to tables.
type builder struct {
	maxSize        int // endpoints of a table
	applyPenalties bool
	size           []int // endpoints of each table that are not excluded
	endpoints      [][]Endpoint
}

// candidate is a replica that may become a spillover endpoint.
type candidate struct {
	*placed
	rank float64
}

func newBuilder(s control.Settings, replicas []*placed, tables int) *builder {
	penalized := 0.0
	for _, r := range replicas {
		if r.Ready && r.Penalty > 0 {
			penalized++
		}
	}
	return &builder{
		maxSize:        maxTableSize(s),
		applyPenalties: penalized < maxPenalizedFraction*float64(len(replicas)),
		size:           make([]int, tables),
		endpoints:      make([][]Endpoint, tables),
	}
}

// maxTableSize is the number of endpoints with which all proxies of this controller can be bound within half of the channel's
// limit.
func maxTableSize(s control.Settings) int {
	perProxy := s.ChannelLimit / 2 * max(1, s.Controllers) / max(1, s.Proxies)
	return max(minTableSize, perProxy-s.MessageOverhead-bindCost)
}

// add adds a part of a replica to a table, if that is not full. An excluded replica keeps its endpoint and takes no other's
// capacity.
func (b *builder) add(table int, r *placed, part float64) {
	weight := part * r.Weight
	if b.applyPenalties {
		weight *= 1 - r.Penalty
	}
	if !r.Ready || weight <= 0 || b.size[table] >= b.maxSize {
		return
	}
	if r.excluded {
		weight = KeepWeight
	} else {
		b.size[table]++
	}
	b.endpoints[table] = append(b.endpoints[table], Endpoint{Replica: r.ID, Weight: weight})
}

// addSpillover adds parts of the replicas of other tables until the table's shortfall is covered.
func (b *builder) addSpillover(table, zoneRows int, balance *balance, replicas []*placed) {
	shortfall := balance.shortfall(table)
	if shortfall <= 0 {
		return
	}
	bare := balance.capacity[table] == 0
	for _, r := range spilloverOrder(table, zoneRows, bare, replicas) {
		if shortfall <= 0 || b.size[table] >= b.maxSize {
			return
		}
		capacity := math.Max(minSum, r.Capacity)
		wanted := math.Max(minSpillover, math.Min(r.spare, shortfall/capacity))
		part := math.Ceil(wanted*spilloverSteps) / spilloverSteps
		shortfall -= part * capacity
		r.spare = math.Max(0, r.spare-part)
		b.add(table, r.placed, part)
	}
}

// spilloverOrder returns the replicas that may serve another table, those of its zone first. A table without any of its own gets
// those that their own table needs as well.
func spilloverOrder(table, zoneRows int, bare bool, replicas []*placed) []candidate {
	var order []candidate
	for _, r := range replicas {
		if r.table == table || r.excluded || r.spare <= 0 && !bare {
			continue
		}
		otherZone := min(1, math.Abs(float64(r.table%zoneRows-table%zoneRows)))
		mixed := math.Mod(r.Key*float64(spilloverSeed+table), 1)
		order = append(order, candidate{placed: r, rank: otherZone + mixed})
	}
	slices.SortFunc(order, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	return order
}
