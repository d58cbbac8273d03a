package dispatch

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// Endpoint is a replica as service discovery lists it.
type Endpoint struct {
	Zone    string
	Cell    string
	Address string
	State   control.State
}

// UpdateEndpoints applies a complete endpoint list, or changes to the current one. Endpoints in state Gone are removed.
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

// UseEqualWeights gives all endpoints of the endpoint list the same weight in each table, unless a controller has sent a
// table. Settings are kept: a controller may have sent them before its table.
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
	d.evictUnreferenced(now)
}

// evictUnreferenced drops the state of replicas that are in no table, have no request in flight and are not ejected by this
// sidecar, so that a sidecar that runs for weeks holds no more state than its tables need.
func (d *Dispatcher) evictUnreferenced(now int64) {
	referenced := map[string]bool{}
	for class := range d.tables {
		for _, endpoint := range d.tables[class].endpoints {
			referenced[endpoint.replica] = true
		}
	}
	for id, replica := range d.replicas {
		if !referenced[id] && replica.inFlight == 0 && replica.locallyEjectedUntil <= now {
			delete(d.replicas, id)
		}
	}
	if len(d.ejectedByController) > maxUnreferencedEjections { // a controller unejects only replicas in its table
		maps.DeleteFunc(d.ejectedByController, func(id string, _ bool) bool { return !referenced[id] })
	}
}
