package controller

import (
	"maps"
	"slices"
)

// This file says whose update goes out when: within the channel and the cap of each proxy, those that keep proxies away from
// replicas first.

// maxUnacked bounds the nonces that one stream may leave unanswered: a proxy gets a few messages a second and
// answers speak for all before them, so so many are hours of silence.
const maxUnacked = 4096

// concernedProxies are the proxies that the changes concern, or that are due: no others are looked at, as there may be ten
// thousand of them.
func (c *Core) concernedProxies(n *turnChanges) []int {
	all := c.due
	c.due = map[int]*stream{}
	for table := range n.endpoints {
		maps.Copy(all, c.bound[table])
	}
	for id := range n.ejections {
		for _, table := range c.tablesWith(id) {
			maps.Copy(all, c.bound[table])
		}
	}
	for table := range n.admissions {
		maps.Copy(all, c.streamsReached(table))
	}
	return slices.Sorted(maps.Keys(all))
}

// sendUpdates makes one update for each proxy that the changes concern, those first that keep proxies away from replicas. What
// has no room in the channel waits in a queue, the oldest in front, and goes with all that has become new by then: a
// message that waits in the channel instead is stale when it comes, and each costs its head.
func (c *Core) sendUpdates(n *turnChanges, now int64, o *TurnResult) {
	c.account.Expire(now)
	c.catchUpUnbound(now)
	var urgent, rest []*stream
	for _, proxy := range c.concernedProxies(n) {
		s := c.proxies[proxy]
		switch {
		case s == nil:
		case s.pending != nil:
			c.enqueue(s, n)
		case c.isUrgent(s, n.ejections):
			urgent = append(urgent, s)
		default:
			rest = append(rest, s)
		}
	}
	c.drainQueue(&c.urgentQueue, true, n, now, o)
	c.sendOrEnqueue(urgent, true, n, now, o)
	c.drainQueue(&c.normalQueue, false, n, now, o)
	c.sendOrEnqueue(rest, false, n, now, o)
	c.requestMissingAck(now, o)
}

// ownNonceOffset is half the way round of the nonces that a proxy can answer: the module's last ones are never near.
const ownNonceOffset, nonceModulus = 1 << 15, 1 << 16

// requestMissingAck has a proxy answer a nonce of the core's own when acks are missing and nothing is written: the proxies by
// turns, as the one that is asked may have vanished.
func (c *Core) requestMissingAck(now int64, o *TurnResult) {
	if !c.account.NeedsAckRequest(now) {
		return
	}
	var owing []int
	for proxy, s := range c.proxies {
		if len(s.unacked) > 0 && c.account.UnderMessageCap(proxy, now) {
			owing = append(owing, proxy)
		}
	}
	if len(owing) == 0 {
		return
	}
	slices.Sort(owing)
	s := c.proxies[owing[c.ackRequests%uint64(len(owing))]]
	nonce := (s.unacked[len(s.unacked)-1].nonce + ownNonceOffset) % nonceModulus
	if s.unacked[len(s.unacked)-1].own {
		nonce = (s.unacked[len(s.unacked)-1].nonce + 1) % nonceModulus
	}
	c.ackRequests++
	c.Counters.OwnAckRequests++
	p := Update{WantsAck: true, Nonce: nonce}
	s.unacked = append(s.unacked, sentMessage{p.Nonce, c.account.Charge(s.opened.Proxy, p.lineCount(), now), true})
	o.Updates = append(o.Updates, OutgoingUpdate{s.id, p, s.unacked[len(s.unacked)-1].number})
}

// sendOrEnqueue tells streams that wait for nothing of the changes, behind those that wait.
func (c *Core) sendOrEnqueue(streams []*stream, urgent bool, n *turnChanges, now int64, o *TurnResult) {
	queue := &c.normalQueue
	if urgent {
		queue = &c.urgentQueue
	}
	for _, s := range streams {
		if len(*queue) > 0 || !c.account.Fits(s.opened.Proxy, c.maxLines(s, n, urgent), urgent, now) {
			c.enqueue(s, n)
			continue
		}
		c.sendUpdate(s, n, urgent, now, o)
	}
}

// drainQueue writes what has waited, for as long as the channel has room.
func (c *Core) drainQueue(queue *[]*stream, urgent bool, n *turnChanges, now int64, o *TurnResult) {
	var stay []*stream
	for k, s := range *queue {
		if s.pending == nil || s.pending.urgent != urgent || c.proxies[s.opened.Proxy] != s { // gone already, or in the other queue
			continue
		}
		if !c.account.HasRoom(urgent) {
			stay = append(stay, (*queue)[k:]...)
			break
		}
		all := s.pending.merged(n, s.table)
		if !c.account.Fits(s.opened.Proxy, c.maxLines(s, all, urgent), urgent, now) {
			stay = append(stay, s)
			continue
		}
		s.pending = nil
		c.sendUpdate(s, all, urgent, now, o)
	}
	*queue = stay
}

// isUrgent says whether a message keeps a proxy away from a replica. A whole table, or the first part of one, does: it replaces
// what the proxy brought, which may name any replica that is ejected.
func (c *Core) isUrgent(s *stream, ejections map[uint32]bool) bool {
	if s.needsFull && s.table >= 0 && c.drainGrace > 0 || s.restDue && c.partUnusable(s) {
		return true
	}
	for id := range ejections {
		if c.ejected[id] && !s.toldEjected[id] && c.concerns(s, id) {
			return true
		}
	}
	return false
}

// sendUpdate makes the message of a stream and charges it.
func (c *Core) sendUpdate(s *stream, n *turnChanges, urgent bool, now int64, o *TurnResult) {
	p, reached := c.buildUpdate(s, n, urgent)
	fresh := reached && n.wantsAck
	if fresh {
		p.WantsAck, p.Nonce = true, n.nonce
		c.Counters.CostRequested++
		c.Counters.AckRequests++
	} else if last := len(s.unacked) - 1; p.Resync && last >= 0 { // what asked for it may have been lost
		p.WantsAck, p.Nonce = true, s.unacked[last].nonce
	}
	lines := p.lineCount()
	if lines > 0 || p.Resync { // an emptied outbox waits for it, whatever there is to say
		number := c.account.Charge(s.opened.Proxy, lines, now)
		if fresh { // an answer to a nonce sent once more may be one to its first message, and clears no more than that
			s.unacked = append(s.unacked, sentMessage{nonce: p.Nonce, number: number})
			s.unacked = s.unacked[max(0, len(s.unacked)-maxUnacked):]
			if s.silentSince == 0 {
				s.silentSince = now
				c.awaited = append(c.awaited, awaitedAck{s, now})
			}
		}
		o.Updates = append(o.Updates, OutgoingUpdate{s.id, p, number})
	}
	if c.Counters.CostSent += int64(lines); lines > 0 {
		c.Counters.Updates++
	}
}

// enqueue keeps what the changes mean to a stream until there is room for it.
func (c *Core) enqueue(s *stream, n *turnChanges) {
	if s.pending == nil {
		c.Counters.StreamsEnqueued++
		s.pending = &pendingChanges{endpoints: map[uint32]bool{}, ejections: map[uint32]bool{}}
		c.normalQueue = append(c.normalQueue, s)
	}
	maps.Copy(s.pending.endpoints, n.endpoints[s.table])
	for id := range n.ejections {
		if c.concerns(s, id) {
			s.pending.ejections[id] = true
		}
	}
	if !s.pending.urgent && c.isUrgent(s, s.pending.ejections) {
		s.pending.urgent = true
		c.urgentQueue = append(c.urgentQueue, s)
	}
	if n.wantsAck {
		s.pending.wantsAck, s.pending.nonce = true, n.nonce
	}
}

// merged are changes for one stream alone: those that were pending, the last of them among them.
func (h *pendingChanges) merged(n *turnChanges, table int) *turnChanges {
	return &turnChanges{endpoints: map[int]map[uint32]bool{table: h.endpoints}, ejections: h.ejections, wantsAck: h.wantsAck, nonce: h.nonce,
		fullTables: n.fullTables, changedTables: map[int]endpointList{}}
}
