package controller

import (
	"maps"
	"slices"

	"lilacbend/internal/sendbudget"
)

// deliveryState holds what is to be sent when. Updates that keep proxies away from replicas are urgent and go first. What the
// channel or a proxy's message cap has no capacity for waits here, the oldest first, and is brought up to date until it
// goes: an update that waits in the channel instead is stale when it arrives, and costs its overhead each time.
//
// The module plans what it asks for by an estimate of the same channel (policy/pacing); account is charged for each message as
// it is sent, and decides what goes now.
type deliveryState struct {
	account *sendbudget.Account // outlives modules and streams
	due     map[int]*stream     // by proxy: those to be looked at with the next updates, whether or not a command concerns them
	urgent  []*stream           // with urgent pending changes, the longest first
	normal  []*stream           // with pending changes, the longest first; urgent ones are skipped here
	acks    ackDeadlines

	lastCatchUp    int64  // when unbound streams were last checked
	ownAckRequests uint64 // how many there were, so that each asks another proxy
}

func newDeliveryState(account *sendbudget.Account) deliveryState {
	return deliveryState{account: account, due: map[int]*stream{}}
}

// markDue marks a stream to be looked at with the next updates.
func (d *deliveryState) markDue(s *stream) { d.due[s.opened.Proxy] = s }

// unmarkDue undoes markDue.
func (d *deliveryState) unmarkDue(s *stream) {
	if d.due[s.opened.Proxy] == s {
		delete(d.due, s.opened.Proxy)
	}
}

// takeDue returns the streams that are due, by proxy, and starts anew with none.
func (d *deliveryState) takeDue() map[int]*stream {
	due := d.due
	d.due = map[int]*stream{}
	return due
}

// sendUpdates sends one update for each proxy that the changes concern, urgent ones first, as far as there is capacity.
// Within each urgency, streams that have waited precede the others.
func (c *Core) sendUpdates(t *turn, changes *turnChanges) {
	c.delivery.account.Expire(t.now)
	c.catchUpUnbound(t.now)
	urgent, normal := c.sortByUrgency(changes)
	c.delivery.urgent = c.sendPending(t, c.delivery.urgent, true, changes)
	c.sendOrEnqueue(t, urgent, true, changes)
	c.delivery.normal = c.sendPending(t, c.delivery.normal, false, changes)
	c.sendOrEnqueue(t, normal, false, changes)
	c.requestMissingAck(t)
}

// sortByUrgency returns the streams that the changes concern, in the order of their proxies. Those that wait already get the
// changes added to what waits.
func (c *Core) sortByUrgency(changes *turnChanges) (urgent, normal []*stream) {
	for _, proxy := range c.concernedProxies(changes) {
		s := c.streams.byProxy[proxy]
		switch {
		case s == nil:
		case s.pending != nil:
			c.enqueue(s, changes)
		case c.isUrgent(s, changes.ejections):
			urgent = append(urgent, s)
		default:
			normal = append(normal, s)
		}
	}
	return urgent, normal
}

// concernedProxies returns the proxies that the changes concern or that are due, in order. No others are looked at, as there
// may be ten thousand of them.
func (c *Core) concernedProxies(changes *turnChanges) []int {
	concerned := c.delivery.takeDue()
	for table := range changes.endpoints {
		maps.Copy(concerned, c.streams.byTable[table])
	}
	for replica := range changes.ejections {
		for _, table := range c.routing.tablesWith(replica) {
			maps.Copy(concerned, c.streams.byTable[table])
		}
	}
	for table := range changes.admissions {
		maps.Copy(concerned, c.streams.reachedBy(table))
	}
	return slices.Sorted(maps.Keys(concerned))
}

// isUrgent reports whether an update keeps a proxy away from a replica. A full one does, or the rest of a table whose subset
// cannot be used: it replaces what the proxy held when it connected, which may name any replica that is ejected.
func (c *Core) isUrgent(s *stream, ejections map[uint32]bool) bool {
	if s.binding.needsFull && s.binding.table >= 0 && c.drainGrace > 0 {
		return true
	}
	if c.sendsRest(s, true) {
		return true
	}
	for replica := range ejections {
		if c.routing.ejected[replica] && !s.delivered.ejections[replica] && c.concerns(s, replica) {
			return true
		}
	}
	return false
}

// sendOrEnqueue sends streams the changes, or holds them back behind those that wait already.
func (c *Core) sendOrEnqueue(t *turn, streams []*stream, urgent bool, changes *turnChanges) {
	queue := &c.delivery.normal
	if urgent {
		queue = &c.delivery.urgent
	}
	for _, s := range streams {
		if len(*queue) > 0 || !c.fits(t, s, urgent, changes) {
			c.enqueue(s, changes)
			continue
		}
		c.sendUpdate(t, s, urgent, changes)
	}
}

// fits reports whether the next update of a stream is within the channel's budget and the proxy's message cap.
func (c *Core) fits(t *turn, s *stream, urgent bool, changes *turnChanges) bool {
	return c.delivery.account.Fits(s.opened.Proxy, c.maxCost(s, changes, urgent), urgent, t.now)
}

// sendPending sends what a queue holds for as long as the channel has capacity, and returns the streams that go on waiting.
// One that is at its proxy's message cap holds up nobody else.
func (c *Core) sendPending(t *turn, queue []*stream, urgent bool, changes *turnChanges) (waiting []*stream) {
	for k, s := range queue {
		if s.pending == nil || s.pending.urgent != urgent || !c.streams.isCurrent(s) { // sent by now, or of the other queue
			continue
		}
		if !c.delivery.account.HasRoom(urgent) {
			return append(waiting, queue[k:]...)
		}
		pending := s.pending.forOneStream(s.binding.table, changes)
		if !c.fits(t, s, urgent, pending) {
			waiting = append(waiting, s)
			continue
		}
		s.pending = nil
		c.sendUpdate(t, s, urgent, pending)
	}
	return waiting
}

// sendUpdate builds the update of a stream, charges it and sends it, if it says anything.
func (c *Core) sendUpdate(t *turn, s *stream, urgent bool, changes *turnChanges) {
	update, reached := c.buildUpdate(s, changes, urgent)
	wantsNewAck := reached && changes.wantsAck
	last := len(s.unacked) - 1
	switch {
	case wantsNewAck:
		update.WantsAck = true
		update.Nonce = changes.nonce
		c.Counters.CostRequested++
		c.Counters.AckRequests++
	case update.Resync && last >= 0: // the update that asked for the last ack may have been lost
		update.WantsAck = true
		update.Nonce = s.unacked[last].nonce
	}
	units := update.cost()
	c.Counters.CostSent += int64(units)
	if units > 0 {
		c.Counters.Updates++
	}
	if units == 0 && !update.Resync { // a send queue that dropped its updates waits for its resync, empty or not
		return
	}
	number := c.delivery.account.Charge(s.opened.Proxy, units, t.now)
	// A nonce that is sent once more is not recorded again: its ack may be to the first message and clears no more than that.
	if wantsNewAck {
		s.unacked.add(sentMessage{nonce: update.Nonce, number: number})
		c.delivery.acks.await(s, t.now)
	}
	t.send(s, update, number)
}

func (t *turn) send(s *stream, update Update, number uint64) {
	t.result.Updates = append(t.result.Updates, OutgoingUpdate{Stream: s.id, Update: update, Number: number})
}

// enqueue holds back what the changes mean to a stream. A stream is in the queue of normal changes from then on, and in the
// other one once something urgent is among its changes.
func (c *Core) enqueue(s *stream, changes *turnChanges) {
	if s.pending == nil {
		c.Counters.StreamsEnqueued++
		s.pending = newPendingChanges()
		c.delivery.normal = append(c.delivery.normal, s)
	}
	s.pending.add(changes, s.binding.table, func(replica uint32) bool { return c.concerns(s, replica) })
	if !s.pending.urgent && c.isUrgent(s, s.pending.ejections) {
		s.pending.urgent = true
		c.delivery.urgent = append(c.delivery.urgent, s)
	}
}

// The delay after which an unbound proxy is caught up is the drain grace divided by catchUpDelayDivisor, the time between two
// checks is the drain grace divided by catchUpIntervalDivisor.
const (
	catchUpDelayDivisor    = 2
	catchUpIntervalDivisor = 8
)

// catchUpUnbound sends all ejections to streams that have been unbound for a while. What a proxy held when it
// connected may name replicas ejected before, and in a reconnect storm, or if no replica is left for its table, its own
// table may come too late to say so.
func (c *Core) catchUpUnbound(now int64) {
	if c.drainGrace <= 0 || len(c.routing.ejected) == 0 || now-c.delivery.lastCatchUp < c.drainGrace/catchUpIntervalDivisor {
		return
	}
	c.delivery.lastCatchUp = now
	all := &turnChanges{ejections: c.routing.ejected}
	unboundStreams := c.streams.byTable[unbound]
	for _, proxy := range slices.Sorted(maps.Keys(unboundStreams)) {
		s := unboundStreams[proxy]
		if !s.caughtUp && now-s.unboundSince > c.drainGrace/catchUpDelayDivisor {
			s.caughtUp = true
			c.enqueue(s, all)
		}
	}
}
