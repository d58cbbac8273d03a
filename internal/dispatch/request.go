package dispatch

import "slices"

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Succeeded   Outcome = iota // there is an answer, whatever its content
	NotExecuted                // it is certain that no replica executed it
	Broken                     // it may have been executed; there is no complete answer
	TimedOut                   // it may have been executed; there was no answer in time
)

// Step is what to do next with a request: exactly one of an attempt (Replica is set), Wait and Final.
type Step struct {
	Replica string // the replica to send it to
	Address string // of the replica when it was picked; later endpoint lists may not have it any more

	// Wait asks for a call of Resume when there may be capacity, and at Deadline at the latest.
	Wait bool

	// Deadline of the attempt or the wait.
	Deadline int64

	Final     bool // the request is over
	Succeeded bool // with the answer of the attempt that has just ended
	Reason    Reason
}

// Request is the state of one request. Its steps follow one another; they are never concurrent.
type Request struct {
	class       int
	arrived     int64
	queuedSince int64
	respondedAt int64 // when the head of the answer came; 0: not yet
	replica     string
	attempts    []attempt
	// The first attempts, so that most requests need no second allocation.
	firstAttempts [2]attempt

	queued       bool
	inFlight     bool // counted as such
	replayable   bool // its body can be sent again
	bodyConsumed bool // a part of a body that cannot be sent again has been read
	over         bool
}

// attempt is one attempt at a request, with the place of its replica at that time.
type attempt struct {
	replica     string
	zone        string
	cell        string
	began       int64
	notExecuted bool // this is certain
}

// attempted reports whether the request was sent to a replica before.
func (r *Request) attempted(replica string) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.replica == replica })
}

// deadline is when the client gives the request up.
func (d *Dispatcher) deadline(r *Request) int64 { return r.arrived + d.config.Classes[r.class].Timeout }

// Begin takes a request in. A request is replayable if its body can be sent more than once; a body that is streamed
// cannot.
func (d *Dispatcher) Begin(now int64, class int, replayable bool) (*Request, Step) {
	d.Counters.Requests++
	d.demand[class].Requests++
	r := &Request{class: class, arrived: now, replayable: replayable}
	r.attempts = r.firstAttempts[:0]
	if d.draining {
		return r, d.reject(r, ErrDraining)
	}
	if !d.admits(now, class) {
		return r, d.reject(r, ErrLoadShed)
	}
	d.earnRetryTokens()
	return r, d.firstAttempt(now, r)
}

// Resume continues a request that waits: there may be capacity, or its deadline has come.
func (d *Dispatcher) Resume(now int64, r *Request) Step {
	if r.over {
		return Step{Final: true, Reason: ErrClientGone}
	}
	return d.firstAttempt(now, r)
}

// firstAttempt starts the first attempt if there is capacity, or lets the request wait for it.
func (d *Dispatcher) firstAttempt(now int64, r *Request) Step {
	if now >= d.deadline(r) {
		return d.reject(r, ErrTimeout)
	}
	if !r.inFlight && d.inFlight >= d.config.MaxRequests {
		return d.enqueue(now, r, ErrTooManyRequests)
	}
	replica, reason := d.choose(now, r, retryScope{})
	switch reason {
	case None:
		return d.startAttempt(now, r, replica)
	case ErrReplicasAtCapacity:
		return d.enqueue(now, r, ErrReplicasAtCapacity)
	default:
		return d.reject(r, reason)
	}
}

// startAttempt sends a request to a replica. An attempt that may be retried gets less than the rest of the request's
// time, so that some is left for the retry.
func (d *Dispatcher) startAttempt(now int64, r *Request, replica string) Step {
	d.dequeue(r)
	if !r.inFlight {
		r.inFlight = true
		d.inFlight++
	}
	endpoint := d.endpoints[replica]
	d.replica(replica).startRequest(now)
	d.Counters.Attempts++
	r.attempts = append(r.attempts, attempt{replica: replica, zone: endpoint.Zone, cell: endpoint.Cell, began: now})
	r.replica = replica
	deadline := d.deadline(r)
	if d.mayRetry(r, TimedOut) {
		deadline = min(deadline, now+d.attemptTimeout(r.class))
	}
	return Step{Replica: replica, Address: endpoint.Address, Deadline: deadline}
}

// AttemptEnded notes how the current attempt ended, and returns what to do next.
func (d *Dispatcher) AttemptEnded(now int64, r *Request, outcome Outcome) Step {
	if r.over {
		return Step{Final: true, Reason: ErrClientGone}
	}
	d.endAttempt(now, r, outcome)
	if outcome == Succeeded {
		return d.succeed(now, r)
	}
	return d.retry(now, r, outcome)
}

// endAttempt frees the capacity of the current attempt and records its outcome.
func (d *Dispatcher) endAttempt(now int64, r *Request, outcome Outcome) {
	if r.replica == "" {
		return
	}
	replica := d.replica(r.replica)
	replica.inFlight--
	d.recordOutcome(now, r, outcome)
	r.replica = ""
	if outcome == Succeeded {
		replica.succeeded(now)
		return
	}
	if outcome == NotExecuted {
		r.attempts[len(r.attempts)-1].notExecuted = true
	}
	d.recordFailure(now, replica)
}

// BodyConsumed notes that a part of a body that cannot be sent again has been read.
func (d *Dispatcher) BodyConsumed(r *Request) { r.bodyConsumed = true }

// ResponseStarted notes that the head of an answer has come and goes to the client: no retry can follow.
func (d *Dispatcher) ResponseStarted(now int64, r *Request) {
	r.respondedAt = now
	r.replayable = false
	r.bodyConsumed = true
}

// Cancel ends a request whose client waits no longer. It does not count as a failure of the replica. A request that is
// over stays as it is.
func (d *Dispatcher) Cancel(r *Request) {
	if r.over {
		return
	}
	if r.replica != "" {
		d.replica(r.replica).inFlight--
		r.replica = ""
	}
	d.fail(r, ErrClientGone)
}

// succeed ends a request with the answer of its last attempt.
func (d *Dispatcher) succeed(now int64, r *Request) Step {
	d.finish(r)
	d.Counters.Succeeded++
	if now-r.arrived > d.config.Classes[r.class].LatencyObjective {
		d.Counters.SucceededLate++
	}
	return Step{Final: true, Succeeded: true}
}

// fail gives a request up that was attempted.
func (d *Dispatcher) fail(r *Request, reason Reason) Step {
	d.finish(r)
	if reason != ErrClientGone {
		d.demand[r.class].Failures++
	}
	d.Counters.Failed[reason]++
	return Step{Final: true, Reason: reason}
}

// reject ends a request that was not attempted.
func (d *Dispatcher) reject(r *Request, reason Reason) Step {
	d.finish(r)
	d.Counters.Rejected[reason]++
	return Step{Final: true, Reason: reason}
}

// finish frees what a request has occupied.
func (d *Dispatcher) finish(r *Request) {
	r.over = true
	if r.inFlight {
		r.inFlight = false
		d.inFlight--
	}
	d.dequeue(r)
}
