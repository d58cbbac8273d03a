package dispatch

// maxEjectionDoublings bounds how often the ejection time doubles over consecutive ejections.
const maxEjectionDoublings = 3

// replicaState is what a sidecar knows of a replica by its own requests.
type replicaState struct {
	inFlight             int
	consecutiveFailures  int
	locallyEjectedUntil  int64 // by the failures that this sidecar saw; compare Dispatcher.ejectedByController
	consecutiveEjections int   // without an answer since
	unansweredSince      int64 // since when it has had requests in flight and answered none
}

// replica returns the state of a replica, a new one if there is none.
func (d *Dispatcher) replica(id string) *replicaState {
	replica := d.replicas[id]
	if replica == nil {
		replica = &replicaState{}
		d.replicas[id] = replica
	}
	return replica
}

// avoids reports whether other replicas of a class are preferred to one: while it is ejected, while one request finds out
// whether it has recovered, and while it seems silent.
func (d *Dispatcher) avoids(now int64, class int, replica *replicaState) bool {
	if replica.locallyEjectedUntil > now {
		return true
	}
	if d.config.MaxConsecutiveFailures <= 0 {
		return false
	}
	return replica.onProbation() || d.seemsSilent(now, class, replica)
}

// onProbation reports whether a replica has been ejected, has not answered since, and has a request in flight.
func (s *replicaState) onProbation() bool {
	return s.consecutiveEjections > 0 && s.inFlight > 0
}

// seemsSilent reports whether a replica has as many requests in flight as would eject it, and has answered none for a
// latency objective. It is a guess ahead of their failures.
func (d *Dispatcher) seemsSilent(now int64, class int, replica *replicaState) bool {
	if replica.inFlight < d.config.MaxConsecutiveFailures {
		return false
	}
	return now-replica.unansweredSince > d.config.Classes[class].LatencyObjective
}

// startRequest notes that a request is sent to the replica.
func (s *replicaState) startRequest(now int64) {
	if s.inFlight == 0 {
		s.unansweredSince = now
	}
	s.inFlight++
}

// succeeded notes an answer, which ends the replica's probation.
func (s *replicaState) succeeded(now int64) {
	s.consecutiveFailures = 0
	s.consecutiveEjections = 0
	s.unansweredSince = now
}

// recordFailure counts a failed attempt, and ejects the replica if it has failed too often in a row, or on probation.
// Attempts that fail while it is ejected began before, and do not eject it again.
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
