package emulator

// Overload describes what makes an overload worse than its requests: full queues, proxies that avoid failing replicas, and
// clients that send failed requests again. The zero value is an installation in which requests only wait.
type Overload struct {
	QueueLimit         int   // requests that may wait at a replica; further ones are rejected before they run; 0: no limit
	ClientRetries      int   // how often a client sends a failed request again
	AvoidAfterFailures int   // consecutive failures after which a proxy avoids a replica; 0: never
	AvoidDuration      int64 // for how long, in nanoseconds
	ZonalControllers   bool  // each controller has proxies of one zone only
}

// resendDelay is how long a client waits before it sends a failed request again.
const resendDelay = 200 * milli

// isFull reports whether a replica rejects another request.
func (sim *Simulation) isFull(r *Replica) bool {
	limit := sim.Site.Overload.QueueLimit
	return limit > 0 && r.Fault == NoFault && len(r.waiting) >= limit
}

// resend lets the client send a failed request again, if it does that.
func (sim *Simulation) resend(q *request) {
	if q.resent >= sim.Site.Overload.ClientRetries {
		return
	}
	sim.after(resendDelay, func() {
		sim.arrive(&request{proxy: q.proxy, class: q.class, arrived: sim.now, resent: q.resent + 1})
	})
}

// attemptFailed counts a failed attempt. A proxy avoids a replica for a while after too many in a row.
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

// isOwn reports whether a proxy connects to a controller when that starts.
func (sim *Simulation) isOwn(p *proxy, c *controllerNode) bool {
	count := len(sim.controllers)
	zones := len(sim.Site.zones())
	if !sim.Site.Overload.ZonalControllers || count < zones {
		return p.id%count == c.index
	}
	zone := p.id % zones // as New assigns zones
	controllersOfZone := (count - zone + zones - 1) / zones
	return c.index == zone+zones*(p.id/zones%controllersOfZone)
}
