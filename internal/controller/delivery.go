package controller

import (
	"maps"
	"slices"

	"lilacbend/internal/sendbudget"
)

// deliveryState decides which updates are sent in which turn. Updates that stop proxies from using a replica are urgent and
// are sent first. Changes for which the channel or a proxy's message cap has no capacity wait here, oldest first, and are
// kept up to date until they are sent. An update that waits in the channel instead would be stale on arrival and would cost
// its overhead each time.
//
// The module plans its commands with an estimate of the same channel (policy/pacing). The account here is charged for each
// message when it is sent, and it determines which messages are sent now.
type deliveryState struct {
	account *sendbudget.Account // persists across modules and streams
	due     map[int]*stream     // by proxy: streams to consider in the next updates even if no command affects them
	urgent  []*stream           // streams with urgent pending changes, longest waiting first
	normal  []*stream           // streams with pending changes, longest waiting first; urgent streams are skipped in this queue
	acks    ackDeadlines

	lastCatchUp     int64  // when unbound streams were last checked
	coreAckRequests uint64 // number of ack requests that the core has sent, so that successive requests go to different proxies
}

func newDeliveryState(account *sendbudget.Account) deliveryState {
	return deliveryState{account: account, due: map[int]*stream{}}
}

// markDue marks a stream to be considered in the next updates.
func (d *deliveryState) markDue(s *stream) { d.due[s.opened.Proxy] = s }

// unmarkDue undoes markDue.
func (d *deliveryState) unmarkDue(s *stream) {
	if d.due[s.opened.Proxy] == s {
		delete(d.due, s.opened.Proxy)
	}
}

// takeDue returns the streams that are marked as due, by proxy, and removes all marks.
func (d *deliveryState) takeDue() map[int]*stream {
	due := d.due
	d.due = map[int]*stream{}
	return due
}

// sendUpdates sends one update to each proxy that the changes affect, as far as capacity allows. Urgent updates are sent
// first. Among updates of the same urgency, streams with pending changes precede the others.
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

// sortByUrgency returns the streams that the changes affect, sorted by proxy. Streams that already have pending changes are
// left out: the changes are added to the pending changes of these streams.
func (c *Core) sortByUrgency(changes *turnChanges) (urgent, normal []*stream) {
	for _, proxy := range c.affectedProxies(changes) {
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

// affectedProxies returns the proxies that the changes affect or that are due, sorted by number. Other proxies are not
// visited, since there may be ten thousand of them.
func (c *Core) affectedProxies(changes *turnChanges) []int {
	affected := c.delivery.takeDue()
	for table := range changes.endpoints {
		maps.Copy(affected, c.streams.byTable[table])
	}
	for replica := range changes.ejections {
		for _, table := range c.routing.tablesWith(replica) {
			maps.Copy(affected, c.streams.byTable[table])
		}
	}
	for table := range changes.admissions {
		maps.Copy(affected, c.streams.inTable(table))
	}
	return slices.Sorted(maps.Keys(affected))
}

// isUrgent reports whether a stream's next update stops its proxy from using a replica. An update with new ejections does
// so. A full update does so if there is a drain grace, and so does an update with the rest of a table whose subset has no
// usable replica. The latter two replace the table that the proxy held when it connected, which may contain ejected
// replicas.
func (c *Core) isUrgent(s *stream, ejections map[uint32]bool) bool {
	if s.binding.needsFull && s.binding.table >= 0 && c.drainGrace > 0 {
		return true
	}
	if c.sendsRest(s, true) {
		return true
	}
	for replica := range ejections {
		if c.routing.ejected[replica] && !s.delivered.ejections[replica] && c.ejectionAffects(s, replica) {
			return true
		}
	}
	return false
}

// sendOrEnqueue sends the changes to streams. If there is no capacity, or other streams are already waiting, it enqueues the
// changes.
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

// fits reports whether the channel's budget and the proxy's message cap allow the next update of a stream now.
func (c *Core) fits(t *turn, s *stream, urgent bool, changes *turnChanges) bool {
	return c.delivery.account.Fits(s.opened.Proxy, c.maxCost(s, changes, urgent), urgent, t.now)
}

// sendPending sends the pending changes of the streams in a queue while the channel has capacity, and returns the streams
// that remain in the queue. A stream that has reached its proxy's message cap does not block the streams behind it.
func (c *Core) sendPending(t *turn, queue []*stream, urgent bool, changes *turnChanges) (waiting []*stream) {
	for k, s := range queue {
		if s.pending == nil || s.pending.urgent != urgent || !c.streams.isCurrent(s) { // its changes were sent, it is in the other queue, or it is closed
			continue
		}
		if !c.delivery.account.HasCapacity(urgent) {
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

// sendUpdate builds the update of a stream, charges it to the account and sends it, unless it is empty.
func (c *Core) sendUpdate(t *turn, s *stream, urgent bool, changes *turnChanges) {
	update, affected := c.buildUpdate(s, changes, urgent)
	wantsNewAck := affected && changes.wantsAck
	last := len(s.unacked) - 1
	switch {
	case wantsNewAck:
		update.WantsAck = true
		update.Nonce = changes.nonce
		c.Counters.CostRequested++
		c.Counters.AckRequests++
	case update.Resync && last >= 0: // the update that requested the last ack may have been lost
		update.WantsAck = true
		update.Nonce = s.unacked[last].nonce
	}
	units := update.cost()
	c.Counters.CostSent += int64(units)
	if units > 0 {
		c.Counters.Updates++
	}
	if units == 0 && !update.Resync { // a send queue that dropped its updates needs a resync even if the resync is empty
		return
	}
	number := c.delivery.account.Charge(s.opened.Proxy, units, t.now)
	// A repeated nonce is not recorded again: its ack may answer the first message, so it must not clear any later message.
	if wantsNewAck {
		s.unacked.add(sentMessage{nonce: update.Nonce, number: number})
		c.delivery.acks.await(s, t.now)
	}
	t.send(s, update, number)
}

func (t *turn) send(s *stream, update Update, number uint64) {
	t.result.Updates = append(t.result.Updates, OutgoingUpdate{Stream: s.id, Update: update, ChargeNumber: number})
}

// enqueue adds changes to the pending changes of a stream. It puts the stream into the normal queue, and into the urgent
// queue as well once its pending changes are urgent.
func (c *Core) enqueue(s *stream, changes *turnChanges) {
	if s.pending == nil {
		c.Counters.StreamsEnqueued++
		s.pending = newPendingChanges()
		c.delivery.normal = append(c.delivery.normal, s)
	}
	s.pending.add(changes, s.binding.table, func(replica uint32) bool { return c.ejectionAffects(s, replica) })
	if !s.pending.urgent && c.isUrgent(s, s.pending.ejections) {
		s.pending.urgent = true
		c.delivery.urgent = append(c.delivery.urgent, s)
	}
}

// An unbound proxy is sent all ejections after the drain grace divided by catchUpDelayDivisor. The core checks for such
// proxies at intervals of the drain grace divided by catchUpIntervalDivisor.
const (
	catchUpDelayDivisor    = 2
	catchUpIntervalDivisor = 8
)

// catchUpUnbound enqueues all ejections for streams that have been unbound for longer than the catch-up delay. The table
// that a proxy held when it connected may contain replicas that were ejected earlier. In a reconnect storm, or if no replica
// is left for its new table, the new table may arrive too late to replace them.
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
