// Package zone says which tables belong to a zone. Tables are numbered round the zones: table t belongs to zone
// t modulo Rows, so each zone has every Rows-th table.
package zone

// Rows returns how many zones the tables are divided among: one for each zone, but never more than there are tables.
func Rows(zones, tables int) int { return min(max(1, zones), tables) }

// LeastLoaded returns the table of the zone with the least load, the first of several. Load has an element for each table.
func LeastLoaded(zone, zones int, load []float64) int {
	rows := Rows(zones, len(load))
	best := zone % rows
	for table := best; table < len(load); table += rows {
		if load[table] < load[best] {
			best = table
		}
	}
	return best
}
