package controller

import (
	"slices"

	"lilacbend/control"
)

// unbound stands in place of a table for proxies that are bound to none: they keep what they held when they connected, which
// the core does not know.
const unbound = -1

// maxUnacked bounds the messages that one stream may leave unacknowledged. A proxy gets a few messages a second and an ack
// covers everything before it, so this many are hours without any ack.
const maxUnacked = 4096

// stream is what the core knows of one proxy while it is connected.
type stream struct {
	id        StreamID
	opened    control.StreamOpened // as reported to the module
	zone      string               // as the proxy names it
	binding   binding
	delivered deliveredState
	unacked   unackedMessages
	pending   *pendingChanges // what the channel or the message cap has had no capacity for; nil: nothing
	silent    silence

	unboundSince int64 // when it was last bound to no table
	caughtUp     bool  // since then it was sent all ejections
}

// binding is the table of a stream and what of it is still due.
type binding struct {
	table       int     // unbound: none
	needsFull   bool    // the next update replaces what the proxy holds
	needsResync bool    // likewise, and says that earlier updates were lost
	subset      *subset // nil: the stream gets all of the table
}

// deliveredState is what a stream's updates have delivered beside the table.
type deliveredState struct {
	// ejectsOnlyReported says that the proxy ejects nobody that ejections does not name, as it held no assigned table when
	// it connected. Otherwise it may eject anyone that ejections does not name.
	ejectsOnlyReported  bool
	ejections           map[uint32]bool   // by replica; false: unejected
	admissions          map[int]Admission // by traffic class
	cancelledAdmissions []Admission       // of traffic classes that no longer exist, still to be sent
}

// reset forgets what was delivered, after which everything is sent anew. What is still to be sent stays.
func (d *deliveredState) reset() {
	d.ejectsOnlyReported = false
	d.ejections = map[uint32]bool{}
	d.admissions = map[int]Admission{}
}

// mayDiffer reports whether the proxy may hold something else of a replica than whether it is ejected now.
func (d *deliveredState) mayDiffer(replica uint32, ejected bool) bool {
	last, reported := d.ejections[replica]
	return ejected != last || !reported && !d.ejectsOnlyReported
}

// silence says whether a proxy has kept silent though it owes an ack.
type silence struct {
	since    int64 // 0: it owes none, or has spoken since
	reported bool  // to the module, as disconnected
}

// sentMessage is an update that asked for an ack.
type sentMessage struct {
	nonce  uint64
	number uint64 // in the channel's account
	own    bool   // the nonce is the core's own, or of a module that has failed: its ack is not the running module's
}

// unackedMessages are the messages of a stream that were sent and not acknowledged, in the order sent.
type unackedMessages []sentMessage

// add appends a message and drops the oldest past maxUnacked.
func (u *unackedMessages) add(m sentMessage) {
	all := append(*u, m)
	*u = all[max(0, len(all)-maxUnacked):]
}

// find returns the place of the first message with a nonce; below 0: there is none.
func (u unackedMessages) find(nonce uint64) int {
	return slices.IndexFunc(u, func(m sentMessage) bool { return m.nonce == nonce })
}

// takeCovered removes the messages that an ack of the one at a place covers, and returns the last nonce among them that is the
// module's; false: there is none.
func (u *unackedMessages) takeCovered(place int) (nonce uint64, found bool) {
	covered := (*u)[:place+1]
	*u = (*u)[place+1:]
	for _, m := range slices.Backward(covered) {
		if !m.own {
			return m.nonce, true
		}
	}
	return 0, false
}

// markOwn marks all messages as not the running module's: a new module counts its nonces anew, and an ack of an old one
// must not end a step of it.
func (u unackedMessages) markOwn() {
	for k := range u {
		u[k].own = true
	}
}

// streamSet holds the streams of all connected proxies. Each proxy has one stream; each stream is bound to one table, or
// to none.
type streamSet struct {
	byProxy map[int]*stream
	byID    map[StreamID]*stream
	byTable map[int]map[int]*stream // by table, unbound among them, and proxy
}

func newStreamSet() streamSet {
	return streamSet{byProxy: map[int]*stream{}, byID: map[StreamID]*stream{}, byTable: map[int]map[int]*stream{}}
}

// add records a stream, which is not bound yet.
func (set *streamSet) add(s *stream) {
	set.byProxy[s.opened.Proxy] = s
	set.byID[s.id] = s
}

// remove drops a stream.
func (set *streamSet) remove(s *stream) {
	set.unbind(s)
	delete(set.byID, s.id)
	delete(set.byProxy, s.opened.Proxy)
}

// bind moves a stream to a table.
func (set *streamSet) bind(s *stream, table int) {
	set.unbind(s)
	s.binding.table = table
	if set.byTable[table] == nil {
		set.byTable[table] = map[int]*stream{}
	}
	set.byTable[table][s.opened.Proxy] = s
}

func (set *streamSet) unbind(s *stream) {
	bound := set.byTable[s.binding.table]
	if bound[s.opened.Proxy] == s {
		delete(bound, s.opened.Proxy)
	}
}

// isCurrent reports whether a stream is still the one of its proxy.
func (set *streamSet) isCurrent(s *stream) bool { return set.byProxy[s.opened.Proxy] == s }

// reachedBy returns the streams that an admission of a table reaches.
func (set *streamSet) reachedBy(table int) map[int]*stream {
	if table == control.AllTables {
		return set.byProxy
	}
	return set.byTable[table]
}

// bindStream binds a stream to a table, all of which it gets unless the caller says otherwise.
func (c *Core) bindStream(s *stream, table int) {
	c.streams.bind(s, table)
	s.binding.subset = nil
	if s.pending != nil { // changes of one table mean nothing in another
		s.pending.endpoints = map[uint32]bool{}
	}
	c.delivery.markDue(s)
}

// removeStream drops a stream that has ended or is replaced. Its messages may still be in the channel.
func (c *Core) removeStream(s *stream, now int64) {
	c.streams.remove(s)
	c.delivery.unmarkDue(s)
	c.delivery.account.Disconnect(s.opened.Proxy, now)
}

// forgetDelivered has everything sent anew to a stream.
func (c *Core) forgetDelivered(s *stream) {
	s.caughtUp = false
	s.delivered.reset()
	c.delivery.markDue(s)
}
