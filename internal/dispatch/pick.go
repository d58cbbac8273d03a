package dispatch

import "lilacbend/control"

// candidate is an endpoint of a table that may be picked now.
type candidate struct {
	endpoint *weightedEndpoint
	replica  *replicaState
}

// choose picks a replica for the next attempt, according to the weights of the class's table. Replicas that this sidecar
// avoids are picked only if no other replica may be picked: the sidecar's observations are less reliable than the
// controller's table. Replicas that a controller has ejected, and replicas that are draining or not listed by service
// discovery, are never picked.
func (d *Dispatcher) choose(now int64, r *Request, scope retryScope) (replica string, reason Reason) {
	reason = ErrNoReplica
	for _, avoided := range [...]bool{false, true} {
		candidates, atCapacity := d.findCandidates(now, r, scope, avoided)
		if len(candidates) > 0 {
			return d.pick(candidates).endpoint.replica, None
		}
		if atCapacity {
			reason = ErrReplicasAtCapacity
		}
	}
	return "", reason
}

// findCandidates returns the endpoints that may be picked: the endpoints of avoided replicas if avoided is true, and the
// endpoints of all other replicas if it is false. It also reports whether any of these endpoints was left out because its
// replica is at capacity. The result is valid until the next call.
func (d *Dispatcher) findCandidates(now int64, r *Request, scope retryScope, avoided bool) (candidates []candidate, atCapacity bool) {
	candidates = d.candidates[:0]
	endpoints := d.tables[r.class].endpoints
	for k := range endpoints {
		endpoint := &endpoints[k]
		if !d.mayPick(r, endpoint.replica, scope) {
			continue
		}
		replica := d.replica(endpoint.replica)
		if d.avoids(now, r.class, replica) != avoided {
			continue
		}
		if d.config.MaxRequestsPerReplica > 0 && replica.inFlight >= d.config.MaxRequestsPerReplica {
			atCapacity = true
			continue
		}
		candidates = append(candidates, candidate{endpoint: endpoint, replica: replica})
	}
	d.candidates = candidates[:0]
	return candidates, atCapacity
}

// mayPick reports whether a replica may get this request, regardless of its load.
func (d *Dispatcher) mayPick(r *Request, replica string, scope retryScope) bool {
	endpoint, found := d.endpoints[replica]
	if !found || endpoint.State != control.Ready {
		return false
	}
	return !d.ejectedByController[replica] && !r.attempted(replica) && scope.contains(endpoint)
}

// pick picks one of the candidates according to the configured pick policy.
func (d *Dispatcher) pick(candidates []candidate) candidate {
	switch d.config.Pick {
	case control.PickRoundRobin:
		return pickRoundRobin(candidates)
	case control.PickPowerOfTwo:
		return d.pickPowerOfTwo(candidates)
	default:
		return d.pickRandom(candidates)
	}
}

// pickPowerOfTwo draws two candidates by weight and picks the one with fewer requests in flight.
func (d *Dispatcher) pickPowerOfTwo(candidates []candidate) candidate {
	first := d.pickRandom(candidates)
	second := d.pickRandom(candidates)
	if second.replica.inFlight < first.replica.inFlight {
		return second
	}
	return first
}

// pickRandom draws a candidate by weight.
func (d *Dispatcher) pickRandom(candidates []candidate) candidate {
	total := 0.0
	for _, c := range candidates {
		total += c.endpoint.weight
	}
	remaining := d.random(&d.picks) * total
	for _, c := range candidates {
		remaining -= c.endpoint.weight
		if remaining <= 0 {
			return c
		}
	}
	return candidates[len(candidates)-1] // reached only by a rounding error
}

// pickRoundRobin picks by smooth weighted round robin: the credit of each candidate grows by its weight, and the one with
// the most credit is picked and pays the sum of all weights.
func pickRoundRobin(candidates []candidate) candidate {
	best := 0
	total := 0.0
	for k, c := range candidates {
		total += c.endpoint.weight
		c.endpoint.credit += c.endpoint.weight
		if c.endpoint.credit > candidates[best].endpoint.credit {
			best = k
		}
	}
	candidates[best].endpoint.credit -= total
	return candidates[best]
}
