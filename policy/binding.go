package policy

import (
	"time"

	"lilacbend/control"
	"lilacbend/policy/binding"
	"lilacbend/policy/pacing"
)

// binder is the component that binds proxies to tables and tracks the acks that they have not sent yet. See package binding
// for the rules.
type binder struct {
	*sharedState
	bindings *binding.Bindings
	acks     *binding.PendingAcks
}

func newBinder(shared *sharedState) *binder {
	return &binder{
		sharedState: shared,
		bindings:    binding.New(&shared.Settings),
		acks:        binding.NewPendingAcks(pacing.NonceMask),
	}
}

func (b *binder) handle(m message) {
	switch m := m.(type) {
	case tablesAssigned:
		b.assign(m.servingTables)
	case streamOpened:
		b.disconnect(m.Proxy)
		b.bindings.Connect(time.Duration(b.now), m.StreamOpened)
	case streamClosed:
		b.disconnect(m.Proxy)
	case fleetRestored:
		b.bindings.Restore(m.FleetRestored)
	case ackReceived:
		nonce := b.acks.Nonce(m.Nonce)
		b.enqueue(pacingComponent, acknowledged{nonce: nonce})
		b.reportComplete(b.acks.Acknowledge(m.Proxy, nonce), false)
	case messagesSent:
		b.acks.Await(m.nonce, m.proxies)
	default:
		unexpected(b, m)
	}
}

// assign requests a bind for each proxy that is not bound to the table that serves it. serving holds, for each table, the
// table that serves its proxies.
func (b *binder) assign(serving []int) {
	for _, change := range b.bindings.Assign(serving) {
		if change.Kind == binding.FirstBind {
			b.reportBound(change.Proxy)
		}
		b.requestBind(change)
	}
}

// reassign assigns the proxies to tables again after the number of tables or the zones have changed. previousTables and
// tables are the numbers of tables before and after; bound holds the table that each proxy is bound to, below 0 for none.
func (b *binder) reassign(previousTables, tables int, bound map[int]int) {
	for _, change := range b.bindings.Reassign(previousTables, tables, bound) {
		b.requestBind(change)
		b.reportBound(change.Proxy)
	}
}

// requestBind requests the bind of a change: a first bind from pacing, which sends it at once, and a move from the update,
// which sends the endpoints of the new table first.
func (b *binder) requestBind(change binding.Change) {
	bind := bindRequested{control.Bind{Proxy: change.Proxy.Proxy, Table: change.Table}}
	switch change.Kind {
	case binding.FirstBind:
		b.enqueue(pacingComponent, bind)
	case binding.Move:
		b.enqueue(updateComponent, bind)
	case binding.Unchanged:
	}
}

func (b *binder) reportBound(proxy binding.Proxy) {
	b.enqueue(placementComponent, proxyBound{proxy})
}

// disconnect drops the state of a proxy and stops waiting for its acks.
func (b *binder) disconnect(proxy int) {
	b.reportComplete(b.acks.Disconnect(proxy), true)
	b.bindings.Disconnect(proxy)
}

// reportComplete reports nonces of which no ack is outstanding.
func (b *binder) reportComplete(nonces []uint64, disconnected bool) {
	for _, nonce := range nonces {
		b.enqueue(pacingComponent, acknowledged{nonce: nonce, complete: true, disconnected: disconnected})
		b.enqueue(updateComponent, acknowledged{nonce: nonce, complete: true})
	}
}

// renumberZones sets the new zone of each proxy and reports the proxies that have a table to placement.
func (b *binder) renumberZones(proxies []control.StreamOpened) {
	for _, proxy := range b.bindings.RenumberZones(proxies) {
		b.reportBound(proxy)
	}
}
