package controlserver

import (
	"time"

	"lilacbend/internal/controller"
	"lilacbend/internal/ratelimit"
)

// messageLimits bound how fast the messages of one peer are read. A peer that sends more is held back by flow control: its
// messages neither take the processor from other peers nor fill what the core holds of them.
type messageLimits struct {
	messages ratelimit.Limiter
	demand   ratelimit.Limiter // reports of demand by a collector
	lastKind string            // kind of the last message
	heldBack bool              // the peer was held back before
}

// kindOf returns the kind of a message; empty if it has none.
func kindOf(words []string) string {
	if len(words) == 0 {
		return ""
	}
	return words[0]
}

// holdBack waits before the next message is read if the peer sends more than its role needs.
func (p *peer) holdBack() {
	limiter, rate := p.messageRate(p.server.topology.Load())
	wait := limiter.Take(time.Now(), rate)
	if wait == 0 {
		return
	}
	if !p.limits.heldBack {
		p.limits.heldBack = true
		p.server.queues.Counters.PeersHeldBack.Add(1)
		p.server.log.Warn("peer sends too many messages, reading them more slowly",
			"peer", p.role, "from", p.conn.RemoteAddr(), "message", p.limits.lastKind, "per_second", rate.PerSecond)
	}
	time.Sleep(wait)
}

// messageRate returns the limiter and the rate of the last message.
func (p *peer) messageRate(topology *controller.Topology) (*ratelimit.Limiter, ratelimit.Rate) {
	switch {
	case p.role == unidentified:
		return &p.limits.messages, controller.UnidentifiedRate
	case p.role == proxy:
		return &p.limits.messages, topology.ProxyRate()
	case p.limits.lastKind == messageDemand:
		return &p.limits.demand, topology.CollectorDemandRate()
	}
	return &p.limits.messages, topology.CollectorRate()
}
