package emulator

// Overload describes effects that amplify an overload: full queues, proxies that avoid failing replicas, and clients that
// retry failed requests. The zero value has none of these effects: requests queue without limit.
type Overload struct {
	QueueLimit         int   // requests that may wait at a replica; further ones are rejected before they run; 0: no limit
	ClientRetries      int   // retries of a failed request by its client
	AvoidAfterFailures int   // consecutive failures after which a proxy avoids a replica; 0: never
	AvoidDuration      int64 // nanoseconds
	ZonalControllers   bool  // proxies prefer the controllers of their zone, if each zone has one
}

// clientRetryDelay is how long a client waits before it retries a failed request.
const clientRetryDelay = 200 * millisecond

// isFull reports whether a replica without a fault rejects another request because its queue is full.
func (sim *Simulation) isFull(r *Replica) bool {
	limit := sim.Site.Overload.QueueLimit
	return limit > 0 && r.Fault == NoFault && len(r.waiting) >= limit
}

// retryByClient has the client retry a failed request, up to ClientRetries times.
func (sim *Simulation) retryByClient(req *request) {
	if req.clientRetries >= sim.Site.Overload.ClientRetries {
		return
	}
	sim.after(clientRetryDelay, func() {
		sim.handleArrival(&request{proxy: req.proxy, class: req.class, arrived: sim.now, clientRetries: req.clientRetries + 1})
	})
}

// attemptFailed counts a failed attempt. After AvoidAfterFailures failed attempts in a row the proxy avoids the replica
// for AvoidDuration.
func (sim *Simulation) attemptFailed(p *proxy, r *Replica) {
	overload := sim.Site.Overload
	id := r.Member.ID
	p.consecutiveFailures[id]++
	if overload.AvoidAfterFailures == 0 || p.consecutiveFailures[id] < overload.AvoidAfterFailures || p.avoided[id] {
		return
	}
	p.avoided[id] = true
	p.candidates = nil
	sim.after(overload.AvoidDuration, func() {
		delete(p.avoided, id)
		delete(p.consecutiveFailures, id)
		p.candidates = nil
	})
}

// isPreferredController reports whether a proxy connects to a controller as soon as the controller has started.
func (sim *Simulation) isPreferredController(p *proxy, c *controllerNode) bool {
	count := len(sim.controllers)
	zones := len(sim.Site.zones())
	if !sim.Site.Overload.ZonalControllers || count < zones {
		return p.id%count == c.index
	}
	zone := p.id % zones // New assigns zones likewise
	controllersOfZone := (count - zone + zones - 1) / zones
	return c.index == zone+zones*(p.id/zones%controllersOfZone)
}
