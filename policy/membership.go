package policy

import (
	"math"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// evictAfter is the time after which a replica that is gone is evicted, in nanoseconds: so long that a replica that comes back
// soon keeps its history, and bounded, so that a controller that runs for weeks does not grow.
const evictAfter = 60 * second

// minPlacementWeight stands for a listed weight of 0 in the draw of placement keys.
const minPlacementWeight = 1e-6

// listReplicas hands the entries of the endpoint list to their replicas. A replica that a complete list leaves out is gone.
func (p *Policy) listReplicas(list control.ReplicasListed) {
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

// drawPlacementKey draws the rank of a replica in a weighted random order: the highest key comes first, and a replica of twice the
// weight is twice as likely to come before another one.
func (s *sharedState) drawPlacementKey(weight float64) float64 {
	return math.Pow(s.random(), 1/math.Max(weight, minPlacementWeight))
}

// unusedQueue returns the queue of an evicted replica, or a new one.
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

// evictReplicas forgets replicas that have been gone for evictAfter.
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
