package placement

import (
	"maps"
	"math"

	"lilacbend/control"
	"lilacbend/policy/internal/zone"
)

const (
	// minTableProxies is the mean number of proxies per table that a table count above 1 has to exceed.
	minTableProxies = 5

	// minTableReplicas is the mean number of own replicas that each table of a zone should have; the number of tables that
	// follows from it is rounded to the nearest integer.
	minTableReplicas = 5.0
)

// assignment assigns each replica permanently to one table of its zone: the table whose own replicas have the least listed
// weight in total. A zone has several tables if each of them gets enough replicas and proxies.
//
// After a restart or a change of settings, a replica keeps the table that it had if the number of tables is the same and the
// table belongs to the replica's zone.
type assignment struct {
	tables           int // 0: no replica is known yet
	tableOf          map[uint32]int
	remembered       map[uint32]int // table of each replica in an earlier assignment
	rememberedTables int            // number of tables in the earlier assignment
}

func newAssignment() assignment {
	return assignment{tableOf: map[uint32]int{}, remembered: map[uint32]int{}}
}

// TableCount returns the number of tables that an assignment creates if it starts without tables.
func TableCount(s control.Settings, replicas int) int {
	if replicas == 0 {
		return 0
	}
	maxTables := max(1, (s.Proxies/max(1, s.Controllers)-1)/minTableProxies)
	zoneStride := zone.Stride(s.Zones, maxTables)
	tablesPerZone := math.Round(float64(replicas/zoneStride) / minTableReplicas)
	return zoneStride * max(1, min(maxTables/zoneStride, int(tablesPerZone)))
}

// Tables returns the number of tables; 0: no replica is known yet.
func (a *assignment) Tables() int { return a.tables }

// Assigned returns the table of each replica that has one.
func (a *assignment) Assigned() map[uint32]int { return maps.Clone(a.tableOf) }

// TableOf returns the table of a replica or, if the replica has no table, its table in an earlier assignment.
func (a *assignment) TableOf(id uint32) int {
	if table, ok := a.tableOf[id]; ok {
		return table
	}
	return a.remembered[id]
}

// RememberTable records the table that a replica had at an earlier controller.
func (a *assignment) RememberTable(id uint32, table int) { a.remembered[id] = table }

// RememberTableCount records the number of tables that an earlier controller had.
func (a *assignment) RememberTableCount(tables int) { a.rememberedTables = tables }

// RemoveReplica removes a replica from the current and the earlier assignment.
func (a *assignment) RemoveReplica(id uint32) {
	delete(a.tableOf, id)
	delete(a.remembered, id)
}

// Reassign makes the next plan assign all replicas again, as after a restart.
func (a *assignment) Reassign() {
	maps.Copy(a.remembered, a.tableOf)
	a.rememberedTables = a.tables
	a.tableOf = map[uint32]int{}
	a.tables = 0
}

// assign gives a table to each replica that has none, in the order given.
func (a *assignment) assign(s control.Settings, replicas []*placedReplica) {
	if a.tables == 0 {
		a.tables = TableCount(s, len(replicas))
	}
	for _, r := range replicas {
		a.reuseRememberedTable(s, r)
	}
	weights := make([]float64, a.tables)
	for _, r := range replicas {
		if table, ok := a.tableOf[r.ID]; ok && r.Ready {
			weights[table] += r.ListedWeight
		}
	}
	for _, r := range replicas {
		table, ok := a.tableOf[r.ID]
		if !ok {
			table = zone.LeastLoaded(r.Zone, s.Zones, weights)
			weights[table] += r.ListedWeight
			a.tableOf[r.ID] = table
		}
		r.table = table
	}
}

// reuseRememberedTable assigns a replica to its table of an earlier assignment, if it had one, the number of tables is the
// same and the table belongs to the replica's zone.
func (a *assignment) reuseRememberedTable(s control.Settings, r *placedReplica) {
	table, ok := a.remembered[r.ID]
	zoneStride := zone.Stride(s.Zones, a.tables)
	if ok && a.rememberedTables == a.tables && table < a.tables && table%zoneStride == r.Zone%zoneStride {
		a.tableOf[r.ID] = table
	}
	delete(a.remembered, r.ID)
}
