package placement

import (
	"math"

	"lilacbend/control"
)

const (
	// headroomByWeight is the ratio of a table's fraction of the requests to its fraction of the capacity above which the
	// table gets spillover endpoints, where proxies pick endpoints by weight alone.
	headroomByWeight = 1.1

	// headroomByLoad is the same ratio where proxies pick the less loaded of two endpoints, which balances load by itself.
	headroomByLoad = 1.35

	// minServingFraction is the fraction of a table's own capacity below which only replicas that are not excluded count as
	// capacity; their capacity is multiplied by the headroom before it is compared. Above this fraction only a few replicas
	// are faulty, and the other replicas of the table take over their requests.
	minServingFraction = 0.65

	// forecastTime is the time for which the forecast of a proxy's requests is weighted against the requests that the proxy
	// received, in seconds.
	forecastTime = 4.0

	// minShortfallNeed is the least capacity that a table is assumed to need, so that no table is left without endpoints.
	minShortfallNeed = 1e-6

	// minSum keeps divisors above 0.
	minSum = 1e-9
)

// balance compares the request rate that each table has to serve, its need, with its capacity. Needs are in requests per
// second and capacities in units of listed weight, so only fractions of the respective totals are compared.
type balance struct {
	headroom      float64
	need          []float64 // by table: requests per second of its proxies
	capacity      []float64 // by table: capacity of its own replicas
	totalNeed     float64
	totalCapacity float64
}

func newBalance(in Input, replicas []*placedReplica, tables int) *balance {
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

func (b *balance) addCapacities(replicas []*placedReplica) {
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

// addNeeds adds up the request rates of each table's proxies. All needs stay 0 while fewer than half of the proxies that
// this controller may get are connected: the first proxies to connect are not representative of the rest. The rate of a
// proxy combines its forecast with the requests that it received, which have more weight the longer the proxy is connected.
func (b *balance) addNeeds(in Input) {
	b.totalNeed = minSum
	if 2*len(in.Proxies)*in.Settings.Controllers < in.Settings.Proxies {
		return
	}
	for _, proxy := range in.Proxies {
		seconds := math.Min(float64(in.Now-proxy.ConnectedAt), float64(in.Demand.Period)) / nanosPerSecond
		rate := (proxy.Rate*forecastTime + in.Demand.Requests[proxy.ID]) / (forecastTime + seconds)
		b.need[proxy.Table] += rate
		b.totalNeed += rate
	}
}

// spareFraction returns the fraction of a table's own capacity that its proxies do not need.
func (b *balance) spareFraction(table int) float64 {
	return math.Max(0, 1-b.need[table]/b.totalNeed*b.totalCapacity/math.Max(minSum, b.capacity[table]))
}

// shortfall returns the capacity that a table lacks; it is 0 or negative if the table's own capacity suffices.
func (b *balance) shortfall(table int) float64 {
	return math.Max(minShortfallNeed, b.need[table]/b.totalNeed*b.totalCapacity/b.headroom) - b.capacity[table]
}

// servingTable returns the table that the proxies of a table are bound to: the table itself, or, if it has no capacity of
// its own, the sibling table in its zone with the most capacity.
func (b *balance) servingTable(table, zoneStride int) int {
	if b.capacity[table] != 0 {
		return table
	}
	best := table
	for sibling := table % zoneStride; sibling < len(b.capacity); sibling += zoneStride {
		if b.capacity[sibling] > b.capacity[best] {
			best = sibling
		}
	}
	return best
}
