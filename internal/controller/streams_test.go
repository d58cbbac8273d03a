package controller

import (
	"slices"
	"testing"

	"lilacbend/control"
)

func testStream(id StreamID, proxy int) *stream {
	s := &stream{id: id, opened: control.StreamOpened{Proxy: proxy}, binding: binding{table: unbound}}
	s.delivered.reset()
	return s
}

func TestStreamSetBindsEachStreamToOneTable(t *testing.T) {
	set := newStreamSet()
	s := testStream(1, 4)
	set.add(s)
	for _, table := range []int{unbound, 2, 2, 0} {
		set.bind(s, table)
		for other, bound := range set.byTable {
			if (bound[4] == s) != (other == table) {
				t.Errorf("stream bound to table %d: table %d has streams %v", table, other, bound)
			}
		}
	}
	if streams := set.inTable(control.AllTables); streams[4] != s {
		t.Errorf("streams of all tables: %v", streams)
	}
	if streams := set.inTable(2); len(streams) != 0 {
		t.Errorf("streams of a table from which the only stream was moved: %v", streams)
	}
	set.remove(s)
	if set.isCurrent(s) || len(set.byProxy)+len(set.byID)+len(set.byTable[0]) != 0 {
		t.Errorf("removed stream is still in the set: %+v", set)
	}
}

func TestStreamSetKeepsTheSuccessorOfAReplacedStream(t *testing.T) {
	set := newStreamSet()
	old, next := testStream(1, 4), testStream(2, 4)
	set.add(old)
	set.bind(old, 0)
	set.remove(old)
	set.add(next)
	set.bind(next, 0)
	set.unbind(old)
	if set.byTable[0][4] != next || set.isCurrent(old) || !set.isCurrent(next) {
		t.Errorf("the new stream is not the proxy's stream: %+v", set)
	}
}

func TestDeliveredStateDiffersUntilItIsReported(t *testing.T) {
	for _, c := range []struct {
		name      string
		delivered deliveredState
		ejected   bool
		want      bool
	}{
		{"unknown proxy, not ejected", deliveredState{}, false, true},
		{"proxy without a table, not ejected", deliveredState{ejectsOnlyReported: true}, false, false},
		{"proxy without a table, ejected", deliveredState{ejectsOnlyReported: true}, true, true},
		{"reported as ejected, ejected", deliveredState{ejections: map[uint32]bool{1: true}}, true, false},
		{"reported as ejected, not ejected", deliveredState{ejections: map[uint32]bool{1: true}}, false, true},
		{"reported as unejected", deliveredState{ejections: map[uint32]bool{1: false}}, false, false},
	} {
		if got := c.delivered.mayDiffer(1, c.ejected); got != c.want {
			t.Errorf("%s: may differ %v, want %v", c.name, got, c.want)
		}
	}
}

func TestDeliveredStateResetKeepsCancelledAdmissions(t *testing.T) {
	d := deliveredState{
		ejectsOnlyReported:  true,
		ejections:           map[uint32]bool{1: true},
		admissions:          map[int]Admission{0: {Class: "read"}},
		cancelledAdmissions: []Admission{{Class: "order"}},
	}
	d.reset()
	if d.ejectsOnlyReported || len(d.ejections)+len(d.admissions) != 0 || len(d.cancelledAdmissions) != 1 {
		t.Errorf("after the reset: %+v", d)
	}
}

func TestUnackedMessagesAckCoversAllBeforeIt(t *testing.T) {
	u := unackedMessages{{nonce: 1}, {nonce: 2}, {nonce: 9, hiddenFromModule: true}, {nonce: 3}}
	if index := u.find(7); index >= 0 {
		t.Errorf("a nonce that was not sent was found at index %d", index)
	}
	nonce, found := u.takeCovered(u.find(9))
	if !found || nonce != 2 || len(u) != 1 || u[0].nonce != 3 {
		t.Errorf("got nonce %d, found %v; messages left %v", nonce, found, u)
	}
	u.hideFromModule()
	if _, found := u.takeCovered(0); found || len(u) != 0 {
		t.Errorf("a failed module's nonce was returned for the new module; messages left %v", u)
	}
}

func TestUnackedMessagesAreBounded(t *testing.T) {
	var u unackedMessages
	for nonce := range uint64(maxUnacked + 2) {
		u.add(sentMessage{nonce: nonce})
	}
	if len(u) != maxUnacked || u[0].nonce != 2 {
		t.Errorf("%d messages, the first with nonce %d", len(u), u[0].nonce)
	}
}

func TestCoreNoncesAreFarFromTheModules(t *testing.T) {
	for _, c := range []struct {
		last sentMessage
		want uint64
	}{
		{sentMessage{nonce: 7}, 7 + coreNonceOffset},
		{sentMessage{nonce: coreNonceOffset + 1}, 1},
		{sentMessage{nonce: 7 + coreNonceOffset, hiddenFromModule: true}, 8 + coreNonceOffset},
		{sentMessage{nonce: nonceModulus - 1, hiddenFromModule: true}, 0},
	} {
		if got := (unackedMessages{{nonce: 3}, c.last}).nextCoreNonce(); got != c.want {
			t.Errorf("nonce after %+v: got %d, want %d", c.last, got, c.want)
		}
	}
}

func TestAckDeadlinesReturnOverdueStreams(t *testing.T) {
	var d ackDeadlines
	silent, active, askedAgain := testStream(1, 1), testStream(2, 2), testStream(3, 3)
	for _, s := range []*stream{silent, active, askedAgain} {
		d.await(s, 10)
	}
	d.await(silent, 11) // no effect: the stream already owes an ack
	active.ackWait.since = 0
	askedAgain.ackWait.since = 0
	d.await(askedAgain, 12)
	if overdue := d.takeOverdue(15, 5); overdue != nil {
		t.Errorf("overdue before the timeout: %v", overdue)
	}
	if overdue := d.takeOverdue(16, 5); !slices.Equal(overdue, []*stream{silent}) {
		t.Errorf("overdue: %v", overdue)
	}
	if overdue := d.takeOverdue(18, 5); !slices.Equal(overdue, []*stream{askedAgain}) || len(d.awaited) != 0 {
		t.Errorf("overdue later: %v, awaited %v", overdue, d.awaited)
	}
}

func TestDeliveryStateTakesDueStreamsOnce(t *testing.T) {
	d := newDeliveryState(nil)
	s, other := testStream(1, 4), testStream(2, 4)
	d.markDue(s)
	d.unmarkDue(other) // another stream of the proxy
	if due := d.takeDue(); due[4] != s {
		t.Errorf("due %v", due)
	}
	d.markDue(s)
	d.unmarkDue(s)
	if due := d.takeDue(); len(due) != 0 {
		t.Errorf("due after unmarkDue: %v", due)
	}
}
