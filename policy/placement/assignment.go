package placement

import (
	"maps"
	"math"

	"lilacbend/control"
	"lilacbend/policy/internal/zone"
)

const (
	// minTableProxies is the mean number of proxies of a table from which there may be another table.
	minTableProxies = 5

	// minTableReplicas is the mean number of own replicas of a table from which a zone may have another table.
	minTableReplicas = 5.0
)

// assignment gives each replica to one table of its zone for good: the table whose own replicas have the least listed weight. A
// zone is divided among several tables while each has replicas and proxies enough.
//
// After a restart or a change of settings, replicas stay at the table that they had, where the number of tables is the same
// and the table is one of their zone.
type assignment struct {
	tables           int // 0: no replica is known yet
	tableOf          map[uint32]int
	remembered       map[uint32]int // tables of an earlier assignment
	rememberedTables int            // how many there were
}

func newAssignment() assignment {
	return assignment{tableOf: map[uint32]int{}, remembered: map[uint32]int{}}
}

// TableCount returns how many tables a first assignment makes.
func TableCount(s control.Settings, replicas int) int {
	if replicas == 0 {
		return 0
	}
	most := max(1, (s.Proxies/max(1, s.Controllers)-1)/minTableProxies)
	zoneRows := zone.Rows(s.Zones, most)
	perZone := math.Round(float64(replicas/zoneRows) / minTableReplicas)
	return zoneRows * max(1, min(most/zoneRows, int(perZone)))
}

// Tables returns the number of tables; 0: no replica is known yet.
func (a *assignment) Tables() int { return a.tables }

// Assigned returns the table of each replica that has one.
func (a *assignment) Assigned() map[uint32]int { return maps.Clone(a.tableOf) }

// TableOf returns the table of a replica, or the one that it had in an earlier assignment.
func (a *assignment) TableOf(id uint32) int {
	if table, ok := a.tableOf[id]; ok {
		return table
	}
	return a.remembered[id]
}

// RememberTable notes the table that a replica had at an earlier controller.
func (a *assignment) RememberTable(id uint32, table int) { a.remembered[id] = table }

// RememberTableCount notes how many tables an earlier controller had.
func (a *assignment) RememberTableCount(tables int) { a.rememberedTables = tables }

// Forget drops a replica.
func (a *assignment) Forget(id uint32) {
	delete(a.tableOf, id)
	delete(a.remembered, id)
}

// Reassign makes the next plan assign all replicas anew, as after a restart.
func (a *assignment) Reassign() {
	maps.Copy(a.remembered, a.tableOf)
	a.rememberedTables = a.tables
	a.tableOf = map[uint32]int{}
	a.tables = 0
}

// assign gives a table to each replica that has none, in the order given.
func (a *assignment) assign(s control.Settings, replicas []*placed) {
	if a.tables == 0 {
		a.tables = TableCount(s, len(replicas))
	}
	for _, r := range replicas {
		a.recall(s, r)
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

// recall gives a replica the table of an earlier assignment, if there is one that it may have.
func (a *assignment) recall(s control.Settings, r *placed) {
	table, ok := a.remembered[r.ID]
	zoneRows := zone.Rows(s.Zones, a.tables)
	if ok && a.rememberedTables == a.tables && table < a.tables && table%zoneRows == r.Zone%zoneRows {
		a.tableOf[r.ID] = table
	}
	delete(a.remembered, r.ID)
}
