package dispatch

import "slices"

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Succeeded   Outcome = iota // the replica responded, whatever the content of its response
	NotExecuted                // certainly not executed by any replica
	Incomplete                 // possibly executed; no complete response arrived
	TimedOut                   // possibly executed; no response arrived in time
)

// Step is what the caller has to do next with a request. It is exactly one of an attempt (Replica is set), Wait and Ended.
type Step struct {
	Replica string // the replica to send the request to
	Address string // address of the replica when it was picked; later endpoint lists may no longer contain it

	// Wait means that the caller has to call Resume when there may be capacity, and at Deadline at the latest.
	Wait bool

	// Deadline is when the attempt or the wait has to end.
	Deadline int64

	Ended     bool   // the request has ended
	Succeeded bool   // the request has succeeded with the response of the attempt that has just ended
	Reason    Reason // why the request was rejected or failed
}

// Request is the state of one request. Its steps follow one another: calls for the same request are never concurrent.
type Request struct {
	class             int
	arrivedAt         int64
	queuedSince       int64
	responseStartedAt int64 // when the response head arrived; 0: not yet
	replica           string
	attempts          []attempt
	// firstAttempts is the initial storage of attempts, so that most requests need no second allocation.
	firstAttempts [2]attempt

	queued       bool
	inFlight     bool // counted in Dispatcher.inFlight
	replayable   bool // the body can be sent again
	bodyConsumed bool // a part of a body that is not replayable has been read
	ended        bool
}

// attempt is one attempt at a request, with the zone and cell that its replica had when it was picked.
type attempt struct {
	replica     string
	zone        string
	cell        string
	startedAt   int64
	notExecuted bool // certainly not executed by the replica
}

// attempted reports whether the request has already been sent to a replica.
func (r *Request) attempted(replica string) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.replica == replica })
}

// deadline returns when the client gives up on the request.
func (d *Dispatcher) deadline(r *Request) int64 {
	return r.arrivedAt + d.config.Classes[r.class].Timeout
}

// Begin starts the handling of a request and returns its first step. A request is replayable if its body can be sent more
// than once; a streamed body cannot.
func (d *Dispatcher) Begin(now int64, class int, replayable bool) (*Request, Step) {
	d.Counters.Requests++
	d.demand[class].Requests++
	r := &Request{class: class, arrivedAt: now, replayable: replayable}
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

// Resume continues a waiting request when there may be capacity, or when the deadline of the wait has been reached.
func (d *Dispatcher) Resume(now int64, r *Request) Step {
	if r.ended {
		return Step{Ended: true, Reason: ErrClientGone}
	}
	return d.firstAttempt(now, r)
}

// firstAttempt starts the first attempt if there is capacity, or lets the request wait for capacity.
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

// startAttempt starts an attempt at a replica. An attempt that may be retried gets at most the attempt timeout rather than
// all of the request's remaining time, so that some time is left for the retry.
func (d *Dispatcher) startAttempt(now int64, r *Request, replica string) Step {
	d.dequeue(r)
	if !r.inFlight {
		r.inFlight = true
		d.inFlight++
	}
	endpoint := d.endpoints[replica]
	d.replica(replica).startRequest(now)
	d.Counters.Attempts++
	r.attempts = append(r.attempts, attempt{replica: replica, zone: endpoint.Zone, cell: endpoint.Cell, startedAt: now})
	r.replica = replica
	deadline := d.deadline(r)
	if d.mayRetry(r, TimedOut) {
		deadline = min(deadline, now+d.attemptTimeout(r.class))
	}
	return Step{Replica: replica, Address: endpoint.Address, Deadline: deadline}
}

// AttemptEnded records how the current attempt ended, and returns the next step.
func (d *Dispatcher) AttemptEnded(now int64, r *Request, outcome Outcome) Step {
	if r.ended {
		return Step{Ended: true, Reason: ErrClientGone}
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

// BodyConsumed records that a part of a body that is not replayable has been read.
func (d *Dispatcher) BodyConsumed(r *Request) { r.bodyConsumed = true }

// ResponseStarted records that a response head has arrived and is forwarded to the client: no retry is possible any more.
func (d *Dispatcher) ResponseStarted(now int64, r *Request) {
	r.responseStartedAt = now
	r.replayable = false
	r.bodyConsumed = true
}

// Cancel ends a request whose client no longer waits for the response. This does not count as a failure of the replica. A
// request that has already ended is left unchanged.
func (d *Dispatcher) Cancel(r *Request) {
	if r.ended {
		return
	}
	if r.replica != "" {
		d.replica(r.replica).inFlight--
		r.replica = ""
	}
	d.fail(r, ErrClientGone)
}

// succeed ends a request with the response of its last attempt.
func (d *Dispatcher) succeed(now int64, r *Request) Step {
	d.finish(r)
	d.Counters.Succeeded++
	if now-r.arrivedAt > d.config.Classes[r.class].LatencyObjective {
		d.Counters.SucceededLate++
	}
	return Step{Ended: true, Succeeded: true}
}

// fail ends a request that was attempted without success, or whose client no longer waits for the response.
func (d *Dispatcher) fail(r *Request, reason Reason) Step {
	d.finish(r)
	if reason != ErrClientGone {
		d.demand[r.class].Failures++
	}
	d.Counters.Failed[reason]++
	return Step{Ended: true, Reason: reason}
}

// reject ends a request that was not attempted.
func (d *Dispatcher) reject(r *Request, reason Reason) Step {
	d.finish(r)
	d.Counters.Rejected[reason]++
	return Step{Ended: true, Reason: reason}
}

// finish releases the capacity that a request occupies.
func (d *Dispatcher) finish(r *Request) {
	r.ended = true
	if r.inFlight {
		r.inFlight = false
		d.inFlight--
	}
	d.dequeue(r)
}
