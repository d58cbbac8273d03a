// Package placement decides which replicas serve which table.
//
// Proxies are bound to tables, a few for all of them. Place works out the endpoints of each table in this order:
//
//  1. Assignment: each replica belongs to one table of its zone for good, in a random order weighted by listed weight
//     (assignment.go).
//  2. Exclusion: replicas that are draining, gone, ejected or held back are excluded from all tables. Of the warmed-up replicas
//     of the fleet at most three quarters are excluded as outliers. This cap is over the fleet, not over a table: a table may
//     lose all of its own replicas, and steps 4 and 5 help it then (exclusion.go).
//  3. Need and capacity: the requests of the proxies of each table are compared with what its own replicas can serve
//     (balance.go).
//  4. Endpoints: a table gets its own replicas, and spillover endpoints of other tables where its own cannot serve its proxies:
//     those of its zone first, none for more than its own table can spare (endpoints.go).
//  5. Sibling tables: a table that has lost all of its own replicas gives its proxies to one of its zone that has some.
//
// Step 1 remembers its results; the others depend on their inputs alone.
package placement

import (
	"cmp"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/zone"
)

// Replica is what placement needs to know of one replica.
type Replica struct {
	ID            uint32
	Zone          int
	HardwareClass int
	Ready         bool // neither draining nor gone
	ListedWeight  float64
	Key           float64 // rank in the order of assignment: the highest first
	Weight        float64 // of its endpoints
	Capacity      float64 // what it can serve, in units of listed weight
	Penalty       float64 // fraction of its weight that it lacks while learned state has it on probation
	WarmingUp     bool
	HeldBack      bool // gets no requests as it is warming up
	Ejected       bool // by outlier detection, whether placement excludes it or not
}

// Proxy is a connected proxy that is bound.
type Proxy struct {
	ID    int
	Table int           // that it belongs to
	Rate  float64       // forecast of its requests a second
	Since time.Duration // connected since, from the epoch of Input.Now
}

// Demand is the number of requests that came to each proxy recently.
type Demand struct {
	Period   time.Duration
	Requests map[int]float64 // by proxy, in Period
	Newest   map[int]float64 // by proxy, those of the last load reports, scaled to Period
}

// Input is what Place depends on.
type Input struct {
	Now      time.Duration
	Settings control.Settings
	Replicas []Replica // by ascending ID
	Proxies  []Proxy   // by ascending ID
	Demand   Demand
}

// KeepWeight is the weight of an endpoint that stays as it is, as its replica is excluded.
const KeepWeight = -1

// KeepsWeight reports whether a weight is KeepWeight.
func KeepsWeight(weight float64) bool { return weight < 0 }

// Endpoint is a replica in a table.
type Endpoint struct {
	Replica uint32
	Weight  float64 // or KeepWeight
}

// Plan is the result of Place.
type Plan struct {
	Excluded      map[uint32]bool // from all tables, for any reason
	NewlyExcluded []uint32        // those that were not in the plan before
	ServingTable  []int           // for each table the one that its proxies are bound to: itself or a sibling
	Endpoints     [][]Endpoint    // of each table
}

// Placer places replicas. Its zero value is not usable; see New.
type Placer struct {
	assignment
	excluded map[uint32]bool
}

// New returns a Placer without tables.
func New() *Placer {
	return &Placer{assignment: newAssignment()}
}

// placed is a replica with its table.
type placed struct {
	Replica
	table    int
	excluded bool
	spare    float64 // fraction of it that its own table does not need
}

// Excluded reports whether the last plan excludes a replica.
func (p *Placer) Excluded(id uint32) bool { return p.excluded[id] }

// Place works out the plan. There is none before the first replica is known.
func (p *Placer) Place(in Input) (plan Plan, ok bool) {
	replicas := make([]*placed, len(in.Replicas))
	for k, r := range in.Replicas {
		replicas[k] = &placed{Replica: r}
	}
	slices.SortStableFunc(replicas, byClassAndKey)
	p.assign(in.Settings, replicas)
	if p.tables == 0 {
		return Plan{}, false
	}
	slices.SortStableFunc(replicas, byKey) // those that a table has no capacity for are the last ones of any class
	zoneRows := zone.Rows(in.Settings.Zones, p.tables)
	plan.NewlyExcluded = p.exclude(in, replicas, zoneRows)
	plan.Excluded = p.excluded

	balance := newBalance(in, replicas, p.tables)
	b := newBuilder(in.Settings, replicas, p.tables)
	for _, r := range replicas {
		b.add(r.table, r, 1)
		r.spare = balance.spareFraction(r.table)
	}
	plan.ServingTable = make([]int, p.tables)
	for table := range p.tables {
		plan.ServingTable[table] = balance.servingTable(table, zoneRows)
		b.addSpillover(table, zoneRows, balance, replicas)
	}
	plan.Endpoints = b.endpoints
	return plan, true
}

func byKey(a, b *placed) int { return cmp.Compare(b.Key, a.Key) }

// byClassAndKey spreads each hardware class over the tables.
func byClassAndKey(a, b *placed) int {
	return cmp.Or(cmp.Compare(a.HardwareClass, b.HardwareClass), byKey(a, b))
}
