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

	// minTableSize is the least value of maxTableSize.
	minTableSize = 3

	// bindCost is the cost of a bind and the request for its ack in the channel, in cost units, without the endpoints and
	// the overhead of the message.
	bindCost = 2

	// spilloverSteps is the number of steps into which a replica is divided for spillover: the fraction of it that another
	// table gets is rounded up to a whole step, so that small changes of need do not change weights.
	spilloverSteps = 10

	// minSpillover is the least fraction of a replica that a spillover endpoint is computed from: above 0, so that rounding
	// up gives at least one step.
	minSpillover = 1e-6

	// spilloverSeed shuffles the order in which a table gets spillover endpoints, so that each table starts with different
	// replicas. It is a prime, so that the orders of tables with adjacent numbers are unrelated.
	spilloverSeed = 10007

	// maxPenalizedFraction is the fraction of replicas with a penalty at which all penalties are ignored: learned state with
	// such a large fraction of ejected replicas points to a fault that has ended, or to a fault of this controller itself.
	maxPenalizedFraction = 0.4
)

// builder builds the list of endpoints of each table.
type builder struct {
	maxSize        int // limit of each element of size
	applyPenalties bool
	size           []int // by table: number of endpoints whose replicas are not excluded
	endpoints      [][]Endpoint
}

// candidate is a replica that may become a spillover endpoint.
type candidate struct {
	*placedReplica
	rank float64
}

func newBuilder(s control.Settings, replicas []*placedReplica, tables int) *builder {
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

// maxTableSize returns the largest number of endpoints with which all proxies of this controller can be bound within half of
// the channel's limit, at least minTableSize.
func maxTableSize(s control.Settings) int {
	perProxy := s.ChannelLimit / 2 * max(1, s.Controllers) / max(1, s.Proxies)
	return max(minTableSize, perProxy-s.MessageOverhead-bindCost)
}

// add adds an endpoint with a fraction of a replica's weight to a table, unless the replica is not ready, the weight is 0 or
// the table is full. An excluded replica keeps its endpoint with KeepCurrentWeight and does not count towards the size of
// the table.
func (b *builder) add(table int, r *placedReplica, fraction float64) {
	weight := fraction * r.Weight
	if b.applyPenalties {
		weight *= 1 - r.Penalty
	}
	if !r.Ready || weight <= 0 || b.size[table] >= b.maxSize {
		return
	}
	if r.excluded {
		weight = KeepCurrentWeight
	} else {
		b.size[table]++
	}
	b.endpoints[table] = append(b.endpoints[table], Endpoint{Replica: r.ID, Weight: weight})
}

// addSpillover adds endpoints with fractions of other tables' replicas until the table's shortfall is covered or the table
// is full.
func (b *builder) addSpillover(table, zoneStride int, balance *balance, replicas []*placedReplica) {
	shortfall := balance.shortfall(table)
	if shortfall <= 0 {
		return
	}
	withoutCapacity := balance.capacity[table] == 0
	for _, r := range spilloverOrder(table, zoneStride, withoutCapacity, replicas) {
		if shortfall <= 0 || b.size[table] >= b.maxSize {
			return
		}
		capacity := math.Max(minSum, r.Capacity)
		wanted := math.Max(minSpillover, math.Min(r.spare, shortfall/capacity))
		fraction := math.Ceil(wanted*spilloverSteps) / spilloverSteps
		shortfall -= fraction * capacity
		r.spare = math.Max(0, r.spare-fraction)
		b.add(table, r.placedReplica, fraction)
	}
}

// spilloverOrder returns the replicas of other tables that may get a spillover endpoint in a table, those of the table's
// zone first. Replicas that their own table cannot spare at all are included only for a table without capacity of its own.
func spilloverOrder(table, zoneStride int, withoutCapacity bool, replicas []*placedReplica) []candidate {
	var order []candidate
	for _, r := range replicas {
		if r.table == table || r.excluded || r.spare <= 0 && !withoutCapacity {
			continue
		}
		otherZone := min(1, math.Abs(float64(r.table%zoneStride-table%zoneStride)))
		shuffled := math.Mod(r.AssignmentKey*float64(spilloverSeed+table), 1)
		order = append(order, candidate{placedReplica: r, rank: otherZone + shuffled})
	}
	slices.SortFunc(order, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	return order
}
