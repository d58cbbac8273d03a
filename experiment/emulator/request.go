package emulator

import "lilacbend/control"

// request is one request of a client. It has a second attempt only if the first one certainly did not run.
type request struct {
	proxy   *proxy
	class   int
	arrived int64
	retried bool
	done    bool
	resent  int // how often its client has sent it again after a failure
}

// scheduleArrival schedules a proxy's next request. One in five is of the second class.
func (sim *Simulation) scheduleArrival(p *proxy, rate float64) {
	interval := sim.random.ExpFloat64() / rate * float64(second)
	sim.after(int64(interval), func() {
		sim.scheduleArrival(p, rate)
		class := min(len(p.arrivals)-1, sim.random.Intn(5)/4)
		sim.arrive(&request{proxy: p, class: class, arrived: sim.now})
	})
}

// settings returns the settings of a request's class.
func (sim *Simulation) settings(q *request) control.TrafficClass {
	return sim.Site.Settings.Classes[q.class]
}

func (sim *Simulation) className(q *request) string { return sim.Site.Names.Classes[q.class] }

// expiry returns when a request times out.
func (sim *Simulation) expiry(q *request) int64 { return q.arrived + sim.settings(q).Timeout }

// arrive admits a request, or rejects it by the admission of its class.
func (sim *Simulation) arrive(q *request) {
	q.proxy.arrivals[q.class]++
	sim.count(q, func(o *OutcomeCounts) { o.Arrived++ })
	admission, ok := q.proxy.admissions[sim.className(q)]
	if ok && sim.random.Float64() >= admission.Fraction {
		q.done = true
		sim.count(q, func(o *OutcomeCounts) { o.Rejected++ })
		return
	}
	sim.at(sim.expiry(q), func() { sim.finish(q, false) })
	sim.attempt(q, "")
}

// count adds to the counts if a request arrived in the counted window.
func (sim *Simulation) count(q *request, add func(*OutcomeCounts)) {
	if q.arrived >= sim.countFrom && q.arrived < sim.countUntil {
		add(&sim.outcome)
	}
}

// finish records the outcome of a request, once.
func (sim *Simulation) finish(q *request, succeeded bool) {
	if q.done {
		return
	}
	q.done = true
	if !succeeded {
		sim.resend(q)
		q.proxy.failures[q.class]++
		sim.count(q, func(o *OutcomeCounts) { o.Failed++ })
		return
	}
	if sim.now-q.arrived > sim.settings(q).LatencyObjective {
		sim.count(q, func(o *OutcomeCounts) { o.Late++ })
		return
	}
	sim.count(q, func(o *OutcomeCounts) { o.Good++ })
}

// attempt sends a request to a replica other than the one that was tried before.
func (sim *Simulation) attempt(q *request, except string) {
	p := q.proxy
	r := sim.pick(p, except)
	if r == nil {
		sim.finish(q, false)
		return
	}
	sim.checkAttempt(p, r)
	outcome := r.outcome(reporter{zone: p.zone, controller: p.controller})
	crossesCut := p.zone != r.Member.Zone && (sim.isCut(p.zone) || sim.isCut(r.Member.Zone))
	switch {
	case crossesCut || r.Fault == Unresponsive: // nothing is ever received
		sim.at(sim.expiry(q), outcome.addFailure)
	case r.Fault == Failing:
		sim.after(rejectTime, func() {
			outcome.addFailure()
			sim.retry(q, r)
		})
	case sim.isFull(r):
		sim.after(rejectTime, func() {
			outcome.addFailure()
			sim.attemptFailed(p, r)
			sim.retry(q, r)
		})
	default:
		sim.attemptHealthy(q, r, outcome)
	}
}

// retry makes a second attempt, as the first one certainly did not run, or fails the request.
func (sim *Simulation) retry(q *request, tried *Replica) {
	if q.retried || !q.proxy.mayRetry(sim.className(q)) {
		sim.finish(q, false)
		return
	}
	q.retried = true
	sim.attempt(q, tried.Member.ID)
}

// attemptHealthy runs an attempt on a replica that answers, though maybe too late.
func (sim *Simulation) attemptHealthy(q *request, r *Replica, outcome *outcomeSum) {
	start := sim.now
	answered := false
	sim.at(sim.expiry(q), func() {
		if answered {
			return
		}
		answered = true
		outcome.addFailure()
		sim.attemptFailed(q.proxy, r)
	})
	sim.execute(r, func() {
		if answered {
			return
		}
		answered = true
		outcome.addSuccess(sim.now - start)
		delete(q.proxy.consecutiveFailures, r.Member.ID)
		sim.finish(q, true)
	})
}
