package dispatch

// maxEjectionDoublings bounds how often the ejection time doubles over consecutive ejections.
const maxEjectionDoublings = 3

// replicaState is what this sidecar has observed of a replica in its own requests.
type replicaState struct {
	inFlight             int
	consecutiveFailures  int
	locallyEjectedUntil  int64 // because of failures that this sidecar observed; see also Dispatcher.ejectedByController
	consecutiveEjections int   // number of ejections since the last successful attempt
	unansweredSince      int64 // since when requests have been in flight without a successful response
}

// replica returns the state of a replica, and creates it if there is none.
func (d *Dispatcher) replica(id string) *replicaState {
	replica := d.replicas[id]
	if replica == nil {
		replica = &replicaState{}
		d.replicas[id] = replica
	}
	return replica
}

// avoids reports whether other replicas of a class are preferred to this one: while this sidecar has ejected it, while one
// request tests whether it has recovered, and while it seems unresponsive.
func (d *Dispatcher) avoids(now int64, class int, replica *replicaState) bool {
	if replica.locallyEjectedUntil > now {
		return true
	}
	if d.config.MaxConsecutiveFailures <= 0 {
		return false
	}
	return replica.onProbation() || d.seemsUnresponsive(now, class, replica)
}

// onProbation reports whether a replica has been ejected, has had no successful attempt since, and has a request in flight.
func (r *replicaState) onProbation() bool {
	return r.consecutiveEjections > 0 && r.inFlight > 0
}

// seemsUnresponsive reports whether a replica has at least as many requests in flight as would eject it if they failed, and
// has answered none for longer than the latency objective. It anticipates the failures of these requests.
func (d *Dispatcher) seemsUnresponsive(now int64, class int, replica *replicaState) bool {
	if replica.inFlight < d.config.MaxConsecutiveFailures {
		return false
	}
	return now-replica.unansweredSince > d.config.Classes[class].LatencyObjective
}

// startRequest records that a request is sent to the replica.
func (r *replicaState) startRequest(now int64) {
	if r.inFlight == 0 {
		r.unansweredSince = now
	}
	r.inFlight++
}

// succeeded records a successful attempt, which ends the replica's probation.
func (r *replicaState) succeeded(now int64) {
	r.consecutiveFailures = 0
	r.consecutiveEjections = 0
	r.unansweredSince = now
}

// recordFailure counts a failed attempt, and ejects the replica after too many consecutive failures, or after one failure
// on probation. Attempts that fail during an ejection do not prolong it: either they began before the ejection, or the
// replica was picked because no other replica was available.
func (d *Dispatcher) recordFailure(now int64, replica *replicaState) {
	replica.consecutiveFailures++
	if d.config.MaxConsecutiveFailures == 0 || replica.locallyEjectedUntil > now {
		return
	}
	if replica.consecutiveFailures < d.config.MaxConsecutiveFailures && replica.consecutiveEjections == 0 {
		return
	}
	doublings := min(replica.consecutiveEjections, maxEjectionDoublings)
	replica.locallyEjectedUntil = now + int64(d.config.EjectionTime)<<doublings
	replica.consecutiveFailures = 0
	replica.consecutiveEjections++
	d.Counters.Ejections++
}
