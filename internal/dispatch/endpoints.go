package dispatch

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// Endpoint is what discovery lists of a replica.
type Endpoint struct {
	Zone    string
	Cell    string
	Address string
	State   control.State
}

// UpdateEndpoints takes over a complete endpoint list, or changes to it. Endpoints whose state is Gone are removed.
func (d *Dispatcher) UpdateEndpoints(complete bool, endpoints map[string]Endpoint) {
	if complete {
		clear(d.endpoints)
	}
	for id, endpoint := range endpoints {
		if endpoint.State == control.Gone {
			delete(d.endpoints, id)
		} else {
			d.endpoints[id] = endpoint
		}
	}
}

// UseEqualWeights gives all listed endpoints the same weight in every table, unless a controller has sent a table.
// Settings stay: a controller may have sent them ahead of its table.
func (d *Dispatcher) UseEqualWeights(now int64) {
	if d.hasTables {
		return
	}
	for class := range d.tables {
		t := &d.tables[class]
		t.endpoints = nil
		for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
			t.setWeight(id, 1)
		}
	}
	d.evictUnlisted(now)
}

// evictUnlisted drops the state of replicas that no table names and that have no request in flight, so that a sidecar
// that runs for weeks holds no more than its tables need.
func (d *Dispatcher) evictUnlisted(now int64) {
	listed := map[string]bool{}
	for class := range d.tables {
		for _, endpoint := range d.tables[class].endpoints {
			listed[endpoint.replica] = true
		}
	}
	for id, replica := range d.replicas {
		if !listed[id] && replica.inFlight == 0 && replica.locallyEjectedUntil <= now {
			delete(d.replicas, id)
		}
	}
	if len(d.ejectedByController) > maxUnlistedEjections { // a controller unejects only replicas that its table names
		maps.DeleteFunc(d.ejectedByController, func(id string, _ bool) bool { return !listed[id] })
	}
}
