// Package zone maps tables to zones. Table t belongs to zone t modulo Stride: the tables of a zone are Stride apart.
package zone

// Stride returns the number of zones that the tables are divided among: the number of zones, at least 1, but never more than
// the number of tables.
func Stride(zones, tables int) int { return min(max(1, zones), tables) }

// LeastLoaded returns the table with the least load among the tables of a zone, the first such table if several have the
// same load. load has an element for each table.
func LeastLoaded(zone, zones int, load []float64) int {
	stride := Stride(zones, len(load))
	best := zone % stride
	for table := best; table < len(load); table += stride {
		if load[table] < load[best] {
			best = table
		}
	}
	return best
}
