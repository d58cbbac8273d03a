package controller

import (
	"slices"

	"lilacbend/control"
)

// This file turns each input of a turn into the module's events.

// eventsFor takes in one input, and returns what it means to the module.
func (c *Core) eventsFor(input any, now int64, o *TurnResult) []control.Event {
	switch n := input.(type) {
	case StreamOpened:
		c.Counters.StreamsOpened++
		return c.openStream(n, now, o)
	case StreamClosed:
		c.Counters.StreamsClosed++
		return c.streamEnded(n.Stream, now)
	case Ack:
		c.Counters.Acks++
		return c.ackReceived(n, now)
	case Outcomes:
		c.Counters.OutcomeReports++
		return c.outcomesReported(n)
	case Demand:
		c.Counters.DemandReports++
		return c.demandReported(n, now)
	case ReplicaList:
		c.Counters.ReplicaLists++
		return c.listReceived(n, now)
	case SnapshotRestored:
		c.restored = n.Snapshot
	case Configure:
		return c.configure(n)
	case StreamActive:
		if s := c.streams[n.Stream]; s != nil {
			return c.streamSpoke(s, now)
		}
	case MessageSent:
		c.account.MarkSent(n.Number, now)
	case OutboxDrained:
		c.outboxEmptied(n.Stream)
	default:
		c.Counters.Invalid++
	}
	return nil
}

// streamEnded forgets a stream. The module is told, unless the proxy counts as having left already.
func (c *Core) streamEnded(id StreamID, now int64) []control.Event {
	s := c.streams[id]
	if s == nil {
		return nil
	}
	proxy := s.opened.Proxy
	delete(c.streams, id)
	delete(c.proxies, proxy)
	c.detach(s)
	c.account.Disconnect(proxy, now)
	if s.absent {
		return nil
	}
	return []control.Event{control.StreamClosed{Proxy: proxy}}
}

// ackReceived clears the messages that an ack covers: the one of its nonce and all that were sent before it. The module is told
// of the last nonce of its own among them.
func (c *Core) ackReceived(n Ack, now int64) []control.Event {
	s := c.streams[n.Stream]
	if s == nil {
		c.Counters.Stale++
		return nil
	}
	back := c.streamSpoke(s, now)
	k := slices.IndexFunc(s.unacked, func(m sentMessage) bool { return m.nonce == n.Nonce })
	if k >= 0 {
		c.account.Acknowledge(s.opened.Proxy, s.unacked[k].number, now)
	}
	if k < 0 || back != nil || n.Delay > maxReportPeriod { // acks awaited before it left are awaited no more
		c.Counters.Stale++
		return back
	}
	covered := s.unacked[:k+1]
	s.unacked = s.unacked[k+1:]
	for _, m := range slices.Backward(covered) {
		if !m.own {
			return []control.Event{control.Ack{Proxy: s.opened.Proxy, Nonce: m.nonce, Delay: n.Delay}}
		}
	}
	return back
}

// outcomesReported passes on what a collector reports, unless it names what is not known or its figures cannot be.
func (c *Core) outcomesReported(n Outcomes) []control.Event {
	id, known := c.replicas.numbers[n.Replica]
	if !known || !c.validOutcomes(n) {
		c.Counters.Invalid++
		return nil
	}
	n.Outcomes.Replica = id
	n.Outcomes.Zone = indexOrLast(c.names.Zones, n.Zone)
	return []control.Event{n.Outcomes}
}

// demandReported passes on what a proxy reports by its present stream, or what a collector reports of it.
func (c *Core) demandReported(n Demand, now int64) []control.Event {
	s := c.proxies[n.Proxy]
	if s == nil || n.Stream != 0 && s.id != n.Stream {
		c.Counters.Stale++
		return nil
	}
	var back []control.Event
	if n.Stream != 0 {
		back = c.streamSpoke(s, now)
	}
	n.Demand.Class = slices.Index(c.names.Classes, n.Class)
	if n.Demand.Class < 0 || !c.validDemand(n) {
		c.Counters.Invalid++
		return back
	}
	return append(back, n.Demand)
}

// listReceived passes on a list, and behind it what an earlier governor had learned of the replicas that are new in it.
func (c *Core) listReceived(n ReplicaList, now int64) []control.Event {
	event, fresh, odd := c.applyList(n, now)
	c.Counters.Invalid += int64(odd)
	return append([]control.Event{event}, c.restoredReplicas(c.restored, fresh, now)...)
}

// outboxEmptied has a stream sent its whole state, as messages were lost.
func (c *Core) outboxEmptied(id StreamID) {
	s := c.streams[id]
	if s == nil {
		return
	}
	s.needsFull = true
	s.needsResync = true
	c.forgetTold(s)
}

// streamSpoke says that a stream spoke; one that was silent joins anew.
func (c *Core) streamSpoke(s *stream, now int64) (back []control.Event) {
	if s.silentSince = 0; s.absent {
		s.absent, s.unboundSince, s.caughtUp = false, now, false
		c.attach(s, -1)
		back = []control.Event{s.opened}
	}
	return back
}

// openStream takes a proxy in. A stream that was taken in later replaces an earlier one, whichever spoke first.
func (c *Core) openStream(h StreamOpened, now int64, o *TurnResult) []control.Event {
	old := c.proxies[h.Proxy]
	switch {
	case c.CheckProxy(h) != nil:
		c.Counters.Invalid++
		o.CloseStreams = append(o.CloseStreams, h.Stream)
		return nil
	case old != nil && old.id == h.Stream:
		c.Counters.Invalid++
		return nil
	case old != nil && old.id > h.Stream:
		c.Counters.StreamsReplaced++
		o.CloseStreams = append(o.CloseStreams, h.Stream)
		return nil
	case old != nil:
		c.Counters.StreamsReplaced++
		o.CloseStreams = append(o.CloseStreams, old.id)
		delete(c.streams, old.id)
		c.detach(old)
		c.account.Disconnect(h.Proxy, now)
	}
	s := &stream{id: h.Stream, blank: h.WithoutTable, table: -1, zone: h.Zone, toldEjected: map[uint32]bool{}, toldAdmissions: map[int]Admission{},
		opened: control.StreamOpened{Proxy: h.Proxy, Zone: indexOrLast(c.names.Zones, h.Zone), Rate: h.Rate}}
	c.proxies[h.Proxy], c.streams[h.Stream], s.unboundSince = s, s, now
	c.attach(s, -1)
	return []control.Event{s.opened}
}
