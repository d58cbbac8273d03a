// Package placement decides which replicas serve which table.
//
// Each proxy is bound to a table; a few tables serve all proxies. Place computes the endpoints of each table in these steps:
//
//  1. Assignment: each replica is assigned permanently to one table of its zone, in a random order weighted by listed weight
//     (assignment.go).
//  2. Exclusion: replicas that are draining, gone, ejected or held back are excluded from all tables. At most three quarters
//     of the fleet's warmed-up replicas are excluded as outliers. This cap applies to the fleet, not to each table: a table
//     may lose all of its own replicas, and steps 4 and 5 then find replicas for its proxies (exclusion.go).
//  3. Need and capacity: the requests of each table's proxies are compared with what the table's own replicas can serve
//     (balance.go).
//  4. Endpoints: a table gets endpoints for its own replicas and, where these cannot serve its proxies, spillover endpoints
//     for replicas of other tables: replicas of the table's zone come first, and none is used for more than its own table
//     can spare (endpoints.go).
//  5. Sibling tables: the proxies of a table that has lost all of its own replicas are bound to another table of its zone
//     that still has some.
//
// Step 1 keeps its results from one call to the next; the other steps depend on their inputs alone.
package placement

import (
	"cmp"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/zone"
)

// Replica is the state of one replica that placement depends on.
type Replica struct {
	ID            uint32
	Zone          int
	HardwareClass int
	Ready         bool // neither draining nor gone
	ListedWeight  float64
	AssignmentKey float64 // sort key of the assignment: the highest is assigned first
	Weight        float64 // weight of its endpoints
	Capacity      float64 // capacity to serve requests, in units of listed weight
	Penalty       float64 // fraction by which its weight is reduced while it is on probation because of learned state
	WarmingUp     bool
	HeldBack      bool // the replica is warming up and is not to get requests yet
	Ejected       bool // outlier detection has ejected the replica, whether placement excludes it or not
}

// Proxy is a connected proxy that is bound.
type Proxy struct {
	ID          int
	Table       int           // table that the proxy is assigned to
	Rate        float64       // forecast of the proxy's requests per second
	ConnectedAt time.Duration // when the proxy connected, counted from the same moment as Input.Now
}

// Demand is the number of requests that each proxy received recently.
type Demand struct {
	Period         time.Duration
	Requests       map[int]float64 // by proxy: requests in Period
	LatestRequests map[int]float64 // by proxy: requests in the last load reports, scaled to Period
}

// Input is the input of Place.
type Input struct {
	Now      time.Duration
	Settings control.Settings
	Replicas []Replica // by ascending ID
	Proxies  []Proxy   // by ascending ID
	Demand   Demand
}

// KeepCurrentWeight is set in place of the weight of an endpoint that keeps its current weight because its replica is
// excluded.
const KeepCurrentWeight = -1

// KeepsCurrentWeight reports whether a weight is KeepCurrentWeight.
func KeepsCurrentWeight(weight float64) bool { return weight < 0 }

// Endpoint is a replica in a table.
type Endpoint struct {
	Replica uint32
	Weight  float64 // weight of the replica in the table, or KeepCurrentWeight
}

// Plan is the result of Place.
type Plan struct {
	Excluded      map[uint32]bool // replicas that are excluded from all tables, for any reason
	NewlyExcluded []uint32        // replicas in Excluded that the previous plan did not exclude
	ServingTable  []int           // by table: the table that its proxies are bound to, itself or a sibling
	Endpoints     [][]Endpoint    // by table
}

// Placer assigns replicas to tables and plans the tables' endpoints. Its zero value is not usable; see New.
type Placer struct {
	assignment
	excluded map[uint32]bool
}

// New returns a Placer without tables.
func New() *Placer {
	return &Placer{assignment: newAssignment()}
}

// placedReplica is a replica with the table that it is assigned to.
type placedReplica struct {
	Replica
	table    int
	excluded bool
	spare    float64 // fraction of the replica that its own table does not need
}

// Excluded reports whether the last plan excludes a replica.
func (p *Placer) Excluded(id uint32) bool { return p.excluded[id] }

// Place computes the plan. It reports false, without a plan, before the first replica is known.
func (p *Placer) Place(in Input) (plan Plan, ok bool) {
	replicas := make([]*placedReplica, len(in.Replicas))
	for k, r := range in.Replicas {
		replicas[k] = &placedReplica{Replica: r}
	}
	slices.SortStableFunc(replicas, byClassAndKey)
	p.assign(in.Settings, replicas)
	if p.tables == 0 {
		return Plan{}, false
	}
	slices.SortStableFunc(replicas, byKey) // a full table lacks the replicas with the lowest keys, of any hardware class
	zoneStride := zone.Stride(in.Settings.Zones, p.tables)
	plan.NewlyExcluded = p.exclude(in, replicas, zoneStride)
	plan.Excluded = p.excluded

	balance := newBalance(in, replicas, p.tables)
	b := newBuilder(in.Settings, replicas, p.tables)
	for _, r := range replicas {
		b.add(r.table, r, 1)
		r.spare = balance.spareFraction(r.table)
	}
	plan.ServingTable = make([]int, p.tables)
	for table := range p.tables {
		plan.ServingTable[table] = balance.servingTable(table, zoneStride)
		b.addSpillover(table, zoneStride, balance, replicas)
	}
	plan.Endpoints = b.endpoints
	return plan, true
}

func byKey(a, b *placedReplica) int { return cmp.Compare(b.AssignmentKey, a.AssignmentKey) }

// byClassAndKey orders replicas so that each hardware class is spread over the tables.
func byClassAndKey(a, b *placedReplica) int {
	return cmp.Or(cmp.Compare(a.HardwareClass, b.HardwareClass), byKey(a, b))
}
