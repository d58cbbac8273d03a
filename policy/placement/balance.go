package placement

import (
	"math"

	"lilacbend/control"
)

const (
	// headroomByWeight is how much more of the requests than its part of the capacity a table may have before it gets spillover
	// endpoints, where proxies pick by weight alone.
	headroomByWeight = 1.1

	// headroomByLoad is the same where proxies pick the less loaded of two endpoints, which balances loads by itself.
	headroomByLoad = 1.35

	// minServingFraction is the fraction of its own capacity below which a table counts only what serves. Above it, the fault
	// is one of few replicas, whose requests the others of the table take.
	minServingFraction = 0.65

	// forecastTime is the time for which the forecast of a proxy's requests counts beside those that came, in seconds.
	forecastTime = 4.0

	// minShortfallNeed is the least that a table needs, so that none is without endpoints.
	minShortfallNeed = 1e-6

	// minSum keeps divisors above 0.
	minSum = 1e-9
)

// balance compares the need of each table with its capacity. Needs are in requests a second, capacities in units of listed
// weight: only fractions of the totals are compared.
type balance struct {
	headroom      float64
	need          []float64 // of the proxies of each table
	capacity      []float64 // of each table's own replicas
	totalNeed     float64
	totalCapacity float64
}

func newBalance(in Input, replicas []*placed, tables int) *balance {
	b := &balance{
		headroom: headroom(in.Settings.Pick),
		need:     make([]float64, tables),
		capacity: make([]float64, tables),
	}
	b.addCapacities(replicas)
	b.addNeeds(in)
	return b
}

func headroom(pick control.PickPolicy) float64 {
	if pick == control.PickPowerOfTwo {
		return headroomByLoad
	}
	return headroomByWeight
}

func (b *balance) addCapacities(replicas []*placed) {
	serving := make([]float64, len(b.capacity))
	for _, r := range replicas {
		if !r.Ready {
			continue
		}
		b.capacity[r.table] += r.Capacity
		if !r.excluded {
			serving[r.table] += r.Capacity
		}
	}
	b.totalCapacity = minSum
	for table := range b.capacity {
		if serving[table]*b.headroom < minServingFraction*b.capacity[table] {
			b.capacity[table] = serving[table]
		}
		b.totalCapacity += b.capacity[table]
	}
}

// addNeeds needs half of the proxies that this controller may get: the first ones to connect show nothing of the rest. What came
// to a proxy counts the more beside its forecast the longer it is connected.
func (b *balance) addNeeds(in Input) {
	b.totalNeed = minSum
	if 2*len(in.Proxies)*in.Settings.Controllers < in.Settings.Proxies {
		return
	}
	for _, proxy := range in.Proxies {
		seconds := math.Min(float64(in.Now-proxy.Since), float64(in.Demand.Period)) / nanosPerSecond
		rate := (proxy.Rate*forecastTime + in.Demand.Requests[proxy.ID]) / (forecastTime + seconds)
		b.need[proxy.Table] += rate
		b.totalNeed += rate
	}
}

// spareFraction returns the fraction of its own replicas that a table does not need.
func (b *balance) spareFraction(table int) float64 {
	return math.Max(0, 1-b.need[table]/b.totalNeed*b.totalCapacity/math.Max(minSum, b.capacity[table]))
}

// shortfall returns the capacity that a table lacks.
func (b *balance) shortfall(table int) float64 {
	return math.Max(minShortfallNeed, b.need[table]/b.totalNeed*b.totalCapacity/b.headroom) - b.capacity[table]
}

// servingTable returns the table that the proxies of a table are bound to: itself, or the largest sibling in its zone if it has
// no capacity of its own.
func (b *balance) servingTable(table, zoneRows int) int {
	if b.capacity[table] != 0 {
		return table
	}
	best := table
	for sibling := table % zoneRows; sibling < len(b.capacity); sibling += zoneRows {
		if b.capacity[sibling] > b.capacity[best] {
			best = sibling
		}
	}
	return best
}
