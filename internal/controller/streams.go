package controller

import (
	"slices"

	"lilacbend/control"
)

// unbound is the table number of streams that are bound to no table. Their proxies keep the table that they held when they
// connected, and which is unknown to the core.
const unbound = -1

// maxUnacked limits the number of unacknowledged messages of one stream. A proxy receives a few messages per second and an
// ack covers all messages before it, so the limit is reached only after hours without any ack.
const maxUnacked = 4096

// stream is the state of one connected proxy.
type stream struct {
	id        StreamID
	opened    control.StreamOpened // as reported to the module
	zone      string               // the zone name that the proxy sent
	binding   binding
	delivered deliveredState
	unacked   unackedMessages
	pending   *pendingChanges // changes held back for lack of capacity; nil if there are none
	ackWait   ackWait

	unboundSince int64 // when the stream last became unbound
	caughtUp     bool  // all ejections have been enqueued since unboundSince
}

// binding is the table of a stream and the parts of the table that are still due.
type binding struct {
	table       int     // the table's number, or unbound
	needsFull   bool    // the next update replaces the table that the proxy holds
	needsResync bool    // the next update is marked as a resync, because earlier updates were lost
	subset      *subset // nil if the stream gets the whole table
}

// deliveredState is the state that the updates of a stream have delivered, apart from the table.
type deliveredState struct {
	// ejectsOnlyReported means that the proxy ejects only replicas that are in ejections, because it held no assigned table
	// when it connected. Otherwise it may eject any replica that is not in ejections.
	ejectsOnlyReported  bool
	ejections           map[uint32]bool   // by replica: whether it was last reported as ejected or as unejected
	admissions          map[int]Admission // by traffic class
	cancelledAdmissions []Admission       // unsent cancellations, for traffic classes that no longer exist
}

// reset forgets the delivered state, so that everything is sent again. It keeps the cancelled admissions, which have not
// been sent yet.
func (d *deliveredState) reset() {
	d.ejectsOnlyReported = false
	d.ejections = map[uint32]bool{}
	d.admissions = map[int]Admission{}
}

// mayDiffer reports whether the proxy may treat a replica as ejected although it is not, or the other way round.
func (d *deliveredState) mayDiffer(replica uint32, ejected bool) bool {
	last, reported := d.ejections[replica]
	return ejected != last || !reported && !d.ejectsOnlyReported
}

// ackWait records whether a proxy owes an ack while nothing has arrived from it.
type ackWait struct {
	since                int64 // when the ack was requested; 0 if none is owed or something has arrived since
	reportedDisconnected bool  // whether the proxy was reported to the module as disconnected
}

// sentMessage is an update that requested an ack.
type sentMessage struct {
	nonce            uint64
	number           uint64 // in the channel's account
	hiddenFromModule bool   // the core or a failed module chose the nonce, so its ack is not reported to the running module
}

// unackedMessages are the messages of a stream that were sent but not acknowledged, in the order sent.
type unackedMessages []sentMessage

// add appends a message and drops the oldest messages beyond maxUnacked.
func (u *unackedMessages) add(m sentMessage) {
	all := append(*u, m)
	*u = all[max(0, len(all)-maxUnacked):]
}

// find returns the index of the first message with a nonce, or -1 if there is none.
func (u unackedMessages) find(nonce uint64) int {
	return slices.IndexFunc(u, func(m sentMessage) bool { return m.nonce == nonce })
}

// takeCovered removes the messages covered by an ack of the message at an index. It returns the last nonce among them that
// the running module chose, or false if there is none.
func (u *unackedMessages) takeCovered(index int) (nonce uint64, found bool) {
	covered := (*u)[:index+1]
	*u = (*u)[index+1:]
	for _, m := range slices.Backward(covered) {
		if !m.hiddenFromModule {
			return m.nonce, true
		}
	}
	return 0, false
}

// hideFromModule excludes the acks of all messages from being reported to the module. A new module counts its nonces from
// the beginning, and an ack of an earlier module's message must not complete one of its steps.
func (u unackedMessages) hideFromModule() {
	for k := range u {
		u[k].hiddenFromModule = true
	}
}

// streamSet holds the streams of all connected proxies. Each proxy has one stream, and each stream is bound to one table or
// is unbound.
type streamSet struct {
	byProxy map[int]*stream
	byID    map[StreamID]*stream
	byTable map[int]map[int]*stream // by table number and then by proxy; the key unbound holds the unbound streams
}

func newStreamSet() streamSet {
	return streamSet{byProxy: map[int]*stream{}, byID: map[StreamID]*stream{}, byTable: map[int]map[int]*stream{}}
}

// add adds a stream without binding it.
func (set *streamSet) add(s *stream) {
	set.byProxy[s.opened.Proxy] = s
	set.byID[s.id] = s
}

// remove removes a stream and its binding.
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

// isCurrent reports whether a stream is still the stream of its proxy.
func (set *streamSet) isCurrent(s *stream) bool { return set.byProxy[s.opened.Proxy] == s }

// inTable returns the streams that are bound to a table, or all streams if the table is control.AllTables.
func (set *streamSet) inTable(table int) map[int]*stream {
	if table == control.AllTables {
		return set.byProxy
	}
	return set.byTable[table]
}

// bindStream binds a stream to a table without a subset. The caller may set one afterwards.
func (c *Core) bindStream(s *stream, table int) {
	c.streams.bind(s, table)
	s.binding.subset = nil
	if s.pending != nil { // the pending endpoints are those of the old table
		s.pending.endpoints = map[uint32]bool{}
	}
	c.delivery.markDue(s)
}

// removeStream removes a stream that was closed or replaced. Its messages may still be in the channel.
func (c *Core) removeStream(s *stream, now int64) {
	c.streams.remove(s)
	c.delivery.unmarkDue(s)
	c.delivery.account.Disconnect(s.opened.Proxy, now)
}

// forgetDelivered forgets the state delivered to a stream, so that everything is sent again.
func (c *Core) forgetDelivered(s *stream) {
	s.caughtUp = false
	s.delivered.reset()
	c.delivery.markDue(s)
}
