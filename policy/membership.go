package policy

import (
	"math"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// evictAfter is the time after which a replica in state Gone is evicted, in nanoseconds. It is long enough that a replica
// that is listed again soon keeps its history, and bounded so that the memory of a controller that runs for weeks does not
// grow.
const evictAfter = 60 * second

// minPlacementWeight is the least weight by which a placement key is drawn; it replaces a listed weight of 0.
const minPlacementWeight = 1e-6

// applyEndpointList enqueues each entry of the endpoint list for its replica. A replica that is missing from a complete list
// is set to Gone.
func (p *Policy) applyEndpointList(list control.ReplicasListed) {
	if list.Full && !list.Failed {
		for _, id := range ordered.Keys(p.replicas) {
			entry := p.replicas[id].entry
			entry.State = control.Gone
			p.enqueue(p.replicas[id].queue, replicaListed{entry})
		}
	}
	for _, entry := range list.Entries {
		r := p.replicas[entry.Replica]
		if r == nil {
			r = p.addReplica(entry)
		}
		p.enqueue(r.queue, replicaListed{entry})
	}
}

// addReplica adds a replica that was not listed before.
func (p *Policy) addReplica(entry control.ListedReplica) *replica {
	r := newReplica(&p.sharedState, p.unusedQueue(), entry)
	r.placementKey = p.drawPlacementKey(entry.Weight)
	p.replicas[entry.Replica] = r
	p.queues[r.queue].component = r
	return r
}

// drawPlacementKey draws the rank of a replica in a weighted random order: replicas are ordered by descending key, and a
// replica of twice the weight of another is twice as likely to precede the other replica as to follow it.
func (s *sharedState) drawPlacementKey(weight float64) float64 {
	return math.Pow(s.random(), 1/math.Max(weight, minPlacementWeight))
}

// unusedQueue returns the queue of an evicted replica if one is free, or else a new one.
func (p *Policy) unusedQueue() int {
	last := len(p.freeQueues) - 1
	if last < 0 {
		p.queues = append(p.queues, &queue{})
		return len(p.queues) - 1
	}
	free := p.freeQueues[last]
	p.freeQueues = p.freeQueues[:last]
	return free
}

// evictReplicas removes replicas that have been in state Gone for longer than evictAfter and notifies the components that
// track them.
func (p *Policy) evictReplicas() {
	for _, id := range ordered.Keys(p.replicas) {
		r := p.replicas[id]
		if r.entry.State != control.Gone {
			r.lastListed = p.now
			continue
		}
		if p.now-r.lastListed <= evictAfter {
			continue
		}
		delete(p.replicas, id)
		p.freeQueues = append(p.freeQueues, r.queue)
		p.enqueue(placementComponent, replicaEvicted{id})
		p.enqueue(updateComponent, replicaEvicted{id})
		p.enqueue(pacingComponent, replicaEvicted{id})
	}
}
