package controller

import (
	"slices"

	"lilacbend/control"
)

// Nonces are counted modulo nonceModulus. The core's own ones are half of that away from the last one of the module, so that
// the two cannot be confused.
const (
	nonceModulus   = 1 << 16
	ownNonceOffset = 1 << 15
)

// ackDeadlines remembers since when streams owe an ack.
type ackDeadlines struct {
	awaited []awaitedAck // the longest first
}

// awaitedAck is an ack that a stream has owed since a time. It is void if the stream has spoken since.
type awaitedAck struct {
	stream *stream
	since  int64
}

// await records that a stream owes an ack, unless it owes one already.
func (d *ackDeadlines) await(s *stream, now int64) {
	if s.silent.since != 0 {
		return
	}
	s.silent.since = now
	d.awaited = append(d.awaited, awaitedAck{stream: s, since: now})
}

// takeOverdue removes the acks that are awaited for longer than a timeout and returns the streams that still owe them. A
// stream may be among them more than once.
func (d *ackDeadlines) takeOverdue(now, timeout int64) []*stream {
	var overdue []*stream
	for len(d.awaited) > 0 && now-d.awaited[0].since > timeout {
		ack := d.awaited[0]
		d.awaited = d.awaited[1:]
		if ack.stream.silent.since == ack.since {
			overdue = append(overdue, ack.stream)
		}
	}
	return overdue
}

// expireSilentProxies reports to the module that each proxy which has owed an ack for too long has disconnected. A machine
// that vanishes leaves its stream open. The stream is neither closed nor left out of updates, so a proxy that was only slow
// has missed nothing and counts as connected again once it speaks.
func (c *Core) expireSilentProxies(now int64) []control.Event {
	var proxies []int
	for _, s := range c.delivery.acks.takeOverdue(now, c.silenceTimeout) {
		if s.silent.reported || !c.streams.isCurrent(s) {
			continue
		}
		s.silent.reported = true
		c.Counters.ProxiesSilent++
		proxies = append(proxies, s.opened.Proxy)
	}
	slices.Sort(proxies)
	var events []control.Event
	for _, proxy := range proxies {
		events = append(events, control.StreamClosed{Proxy: proxy})
	}
	return events
}

// streamSpoke records that a proxy has spoken. One that was reported as disconnected has connected anew to the module.
func (c *Core) streamSpoke(s *stream, now int64) []control.Event {
	s.silent.since = 0
	if !s.silent.reported {
		return nil
	}
	s.silent.reported = false
	s.unboundSince = now
	s.caughtUp = false
	c.bindStream(s, unbound)
	return []control.Event{s.opened}
}

// handleAck clears the messages that an ack covers: the one of its nonce and all sent before it. The last nonce of the
// module's own among them is reported to it.
func (c *Core) handleAck(ack Ack, now int64) []control.Event {
	s := c.streams.byID[ack.Stream]
	if s == nil {
		c.Counters.Stale++
		return nil
	}
	reconnected := c.streamSpoke(s, now)
	place := s.unacked.find(ack.Nonce)
	if place >= 0 {
		c.delivery.account.Acknowledge(s.opened.Proxy, s.unacked[place].number, now)
	}
	// The module has given up the acks of a proxy that was reported as disconnected.
	if place < 0 || reconnected != nil || ack.Delay > maxReportPeriod {
		c.Counters.Stale++
		return reconnected
	}
	nonce, found := s.unacked.takeCovered(place)
	if !found {
		return nil
	}
	return []control.Event{control.Ack{Proxy: s.opened.Proxy, Nonce: nonce, Delay: ack.Delay}}
}

// requestMissingAck asks one proxy for an ack of the core's own when acks are missing and nothing is being written that could
// be acknowledged. The proxies take turns, as the one that is asked may have vanished.
func (c *Core) requestMissingAck(t *turn) {
	if !c.delivery.account.NeedsAckRequest(t.now) {
		return
	}
	var candidates []int
	for proxy, s := range c.streams.byProxy {
		if len(s.unacked) > 0 && c.delivery.account.UnderMessageCap(proxy, t.now) {
			candidates = append(candidates, proxy)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.Sort(candidates)
	chosen := candidates[c.delivery.ownAckRequests%uint64(len(candidates))]
	c.delivery.ownAckRequests++
	c.Counters.OwnAckRequests++
	s := c.streams.byProxy[chosen]
	update := Update{WantsAck: true, Nonce: s.unacked.nextOwnNonce()}
	number := c.delivery.account.Charge(chosen, update.cost(), t.now)
	s.unacked = append(s.unacked, sentMessage{nonce: update.Nonce, number: number, own: true})
	t.send(s, update, number)
}

// nextOwnNonce returns a nonce of the core's own: half the modulus past the module's last one, or the next after one that is
// not the module's.
func (u unackedMessages) nextOwnNonce() uint64 {
	last := u[len(u)-1]
	if last.own {
		return (last.nonce + 1) % nonceModulus
	}
	return (last.nonce + ownNonceOffset) % nonceModulus
}
