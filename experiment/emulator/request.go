package emulator

import "lilacbend/control"

// request is one request of a client. Its proxy makes a second attempt only if the first one certainly did not run.
type request struct {
	proxy         *proxy
	class         int
	arrived       int64
	retried       bool
	done          bool
	clientRetries int // retries by its client before this request
}

// scheduleArrival schedules the next request at a proxy, with exponentially distributed intervals. One in five requests is
// of the second class.
func (sim *Simulation) scheduleArrival(p *proxy, rate float64) {
	interval := sim.random.ExpFloat64() / rate * float64(second)
	sim.after(int64(interval), func() {
		sim.scheduleArrival(p, rate)
		class := min(len(p.arrivals)-1, sim.random.Intn(5)/4)
		sim.handleArrival(&request{proxy: p, class: class, arrived: sim.now})
	})
}

// classSettings returns the settings of a request's class.
func (sim *Simulation) classSettings(req *request) control.TrafficClass {
	return sim.Site.Settings.Classes[req.class]
}

func (sim *Simulation) className(req *request) string { return sim.Site.Names.Classes[req.class] }

// deadline returns when a request times out.
func (sim *Simulation) deadline(req *request) int64 {
	return req.arrived + sim.classSettings(req).Timeout
}

// handleArrival admits a request, or rejects it according to the admission fraction of its class.
func (sim *Simulation) handleArrival(req *request) {
	req.proxy.arrivals[req.class]++
	sim.count(req, func(o *OutcomeCounts) { o.Arrived++ })
	admission, ok := req.proxy.admissions[sim.className(req)]
	if ok && sim.random.Float64() >= admission.Fraction {
		req.done = true
		sim.count(req, func(o *OutcomeCounts) { o.Rejected++ })
		return
	}
	sim.at(sim.deadline(req), func() { sim.finish(req, false) })
	sim.attempt(req, "")
}

// count calls add if a request arrived in the counted window.
func (sim *Simulation) count(req *request, add func(*OutcomeCounts)) {
	if req.arrived >= sim.countFrom && req.arrived < sim.countUntil {
		add(&sim.outcomes)
	}
}

// finish records the outcome of a request. Later calls for the same request have no effect.
func (sim *Simulation) finish(req *request, succeeded bool) {
	if req.done {
		return
	}
	req.done = true
	if !succeeded {
		sim.retryByClient(req)
		req.proxy.failures[req.class]++
		sim.count(req, func(o *OutcomeCounts) { o.Failed++ })
		return
	}
	if sim.now-req.arrived > sim.classSettings(req).LatencyObjective {
		sim.count(req, func(o *OutcomeCounts) { o.Late++ })
		return
	}
	sim.count(req, func(o *OutcomeCounts) { o.Good++ })
}

// attempt sends a request to a replica, but not to the excluded replica (that of the first attempt).
func (sim *Simulation) attempt(req *request, excluded string) {
	p := req.proxy
	r := sim.pick(p, excluded)
	if r == nil {
		sim.finish(req, false)
		return
	}
	sim.checkAttempt(p, r)
	sum := r.outcomesFor(reporter{zone: p.zone, controller: p.controller})
	crossesPartition := p.zone != r.Member.Zone && (sim.isPartitioned(p.zone) || sim.isPartitioned(r.Member.Zone))
	switch {
	case crossesPartition || r.Fault == Unresponsive: // no response will arrive
		sim.at(sim.deadline(req), sum.addFailure)
	case r.Fault == Failing:
		sim.after(rejectTime, func() {
			sum.addFailure()
			sim.retry(req, r)
		})
	case sim.isFull(r):
		sim.after(rejectTime, func() {
			sum.addFailure()
			sim.attemptFailed(p, r)
			sim.retry(req, r)
		})
	default:
		sim.attemptHealthy(req, r, sum)
	}
}

// retry makes a second attempt after a first one that certainly did not run, or fails the request if no retry is allowed.
func (sim *Simulation) retry(req *request, tried *Replica) {
	if req.retried || !req.proxy.mayRetry(sim.className(req)) {
		sim.finish(req, false)
		return
	}
	req.retried = true
	sim.attempt(req, tried.Member.ID)
}

// attemptHealthy makes an attempt on a replica that responds, though possibly after the request's deadline.
func (sim *Simulation) attemptHealthy(req *request, r *Replica, sum *outcomeSum) {
	start := sim.now
	finished := false
	sim.at(sim.deadline(req), func() {
		if finished {
			return
		}
		finished = true
		sum.addFailure()
		sim.attemptFailed(req.proxy, r)
	})
	sim.execute(r, func() {
		if finished {
			return
		}
		finished = true
		sum.addSuccess(sim.now - start)
		delete(req.proxy.consecutiveFailures, r.Member.ID)
		sim.finish(req, true)
	})
}
