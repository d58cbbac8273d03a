package dispatch

import (
	"cmp"
	"slices"
)

// weightedEndpoint is one replica in a table.
type weightedEndpoint struct {
	replica string
	weight  float64
	credit  float64 // credit in smooth weighted round robin
}

// table holds the weighted endpoints, settings and token bucket of one traffic class.
type table struct {
	endpoints   []weightedEndpoint // ordered by replica
	settings    ClassSettings
	hasSettings bool // a controller has sent settings
	bucket      tokenBucket
}

// setWeight sets the weight of a replica; 0 removes it.
func (t *table) setWeight(replica string, weight float64) {
	k, found := slices.BinarySearchFunc(t.endpoints, replica, func(e weightedEndpoint, id string) int {
		return cmp.Compare(e.replica, id)
	})
	switch {
	case weight == 0 && found:
		t.endpoints = slices.Delete(t.endpoints, k, k+1)
	case weight == 0:
		return
	case found:
		t.endpoints[k].weight = weight
	default:
		t.endpoints = slices.Insert(t.endpoints, k, weightedEndpoint{replica: replica, weight: weight})
	}
}

// clear removes all endpoints and settings. The token bucket is kept, so that a new table does not allow a new burst.
func (t *table) clear() {
	t.endpoints = nil
	t.hasSettings = false
}

// TableSizes returns the number of endpoints in the table of each class.
func (d *Dispatcher) TableSizes() map[string]int {
	sizes := map[string]int{}
	for class, t := range d.tables {
		sizes[d.config.Classes[class].Name] = len(t.endpoints)
	}
	return sizes
}
