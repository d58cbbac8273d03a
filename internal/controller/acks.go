package controller

import (
	"slices"

	"lilacbend/control"
)

// Nonces are counted modulo nonceModulus. A nonce that the core chooses is half the modulus away from the module's last
// nonce, so that the two cannot be confused.
const (
	nonceModulus    = 1 << 16
	coreNonceOffset = 1 << 15
)

// ackDeadlines records since when each stream has owed an ack.
type ackDeadlines struct {
	awaited []awaitedAck // oldest first
}

// awaitedAck is an ack that a stream has owed since the given time. It is obsolete if anything arrived on the stream in the
// meantime.
type awaitedAck struct {
	stream *stream
	since  int64
}

// await records that a stream owes an ack from now on. It does nothing if the stream already owes one.
func (d *ackDeadlines) await(s *stream, now int64) {
	if s.ackWait.since != 0 {
		return
	}
	s.ackWait.since = now
	d.awaited = append(d.awaited, awaitedAck{stream: s, since: now})
}

// takeOverdue removes the acks that have been awaited for longer than the timeout and returns the streams that still owe
// them. The result may contain a stream more than once.
func (d *ackDeadlines) takeOverdue(now, timeout int64) []*stream {
	var overdue []*stream
	for len(d.awaited) > 0 && now-d.awaited[0].since > timeout {
		ack := d.awaited[0]
		d.awaited = d.awaited[1:]
		if ack.stream.ackWait.since == ack.since {
			overdue = append(overdue, ack.stream)
		}
	}
	return overdue
}

// expireSilentProxies reports each proxy that has owed an ack for longer than the silence timeout to the module as
// disconnected, since a machine that fails leaves its stream open. The core keeps the stream open and continues to send
// updates on it, so a proxy that was only slow has missed no update and is connected again as soon as anything arrives from
// it.
func (c *Core) expireSilentProxies(now int64) []control.Event {
	var proxies []int
	for _, s := range c.delivery.acks.takeOverdue(now, c.silenceTimeout) {
		if s.ackWait.reportedDisconnected || !c.streams.isCurrent(s) {
			continue
		}
		s.ackWait.reportedDisconnected = true
		c.Counters.ProxiesUnresponsive++
		proxies = append(proxies, s.opened.Proxy)
	}
	slices.Sort(proxies)
	var events []control.Event
	for _, proxy := range proxies {
		events = append(events, control.StreamClosed{Proxy: proxy})
	}
	return events
}

// recordActivity records that something has arrived from a proxy. If the proxy was reported to the module as disconnected,
// the function returns an event that reports it as connected.
func (c *Core) recordActivity(s *stream, now int64) []control.Event {
	s.ackWait.since = 0
	if !s.ackWait.reportedDisconnected {
		return nil
	}
	s.ackWait.reportedDisconnected = false
	s.unboundSince = now
	s.caughtUp = false
	c.bindStream(s, unbound)
	return []control.Event{s.opened}
}

// handleAck clears the messages that an ack covers: the message with its nonce and all messages sent before it. The last
// nonce among them that the module chose is reported to the module.
func (c *Core) handleAck(ack Ack, now int64) []control.Event {
	s := c.streams.byID[ack.Stream]
	if s == nil {
		c.Counters.StaleInputs++
		return nil
	}
	reconnected := c.recordActivity(s, now)
	index := s.unacked.find(ack.Nonce)
	if index >= 0 {
		c.delivery.account.Acknowledge(s.opened.Proxy, s.unacked[index].number, now)
	}
	// The module no longer waits for acks of a proxy that was reported to it as disconnected.
	if index < 0 || reconnected != nil || ack.Delay > maxReportPeriod {
		c.Counters.StaleInputs++
		return reconnected
	}
	nonce, found := s.unacked.takeCovered(index)
	if !found {
		return nil
	}
	return []control.Event{control.Ack{Proxy: s.opened.Proxy, Nonce: nonce, ApplyTime: ack.Delay}}
}

// requestMissingAck sends one proxy an ack request with a nonce of the core when acks are missing and no message is being
// written that could be acknowledged. Successive requests go to different proxies, since the proxy asked may have failed.
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
	chosen := candidates[c.delivery.coreAckRequests%uint64(len(candidates))]
	c.delivery.coreAckRequests++
	c.Counters.CoreAckRequests++
	s := c.streams.byProxy[chosen]
	update := Update{WantsAck: true, Nonce: s.unacked.nextCoreNonce()}
	number := c.delivery.account.Charge(chosen, update.cost(), t.now)
	s.unacked = append(s.unacked, sentMessage{nonce: update.Nonce, number: number, hiddenFromModule: true})
	t.send(s, update, number)
}

// nextCoreNonce returns the nonce of the core's next ack request: half the modulus past the last nonce if the running module
// chose that nonce, and one past it otherwise.
func (u unackedMessages) nextCoreNonce() uint64 {
	last := u[len(u)-1]
	if last.hiddenFromModule {
		return (last.nonce + 1) % nonceModulus
	}
	return (last.nonce + coreNonceOffset) % nonceModulus
}
