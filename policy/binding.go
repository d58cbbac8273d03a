package policy

import (
	"time"

	"lilacbend/control"
	"lilacbend/policy/binding"
	"lilacbend/policy/pacing"
)

// connectedProxy is a proxy that has a table.
type connectedProxy struct {
	control.StreamOpened
	since int64 // when its stream opened
	table int
}

// binder is the component of package binding.
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
		b.assign(m.tables)
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

// assign binds the proxies that are not bound to the table that serves them.
func (b *binder) assign(serving []int) {
	for _, change := range b.bindings.Assign(serving) {
		if change.Kind == binding.FirstBind {
			b.reportBound(change.Proxy)
		}
		b.request(change)
	}
}

// reassign follows tables that were assigned anew. Bound is the table that each proxy is bound to, below 0 for none.
func (b *binder) reassign(before, tables int, bound map[int]int) {
	for _, change := range b.bindings.Reassign(before, tables, bound) {
		b.request(change)
		b.reportBound(change.Proxy)
	}
}

// request asks for the command of a change: of pacing at once, or of the update that sends the endpoints first.
func (b *binder) request(change binding.Change) {
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
	b.enqueue(placementComponent, proxyBound{connectedProxy{proxy.StreamOpened, int64(proxy.ConnectedAt), proxy.Table}})
}

// disconnect forgets a proxy: nothing is awaited of it any more.
func (b *binder) disconnect(proxy int) {
	b.reportComplete(b.acks.Disconnect(proxy), true)
	b.bindings.Disconnect(proxy)
}

// reportComplete reports nonces of which no acknowledgement is missing any more.
func (b *binder) reportComplete(nonces []uint64, disconnected bool) {
	for _, nonce := range nonces {
		b.enqueue(pacingComponent, acknowledged{nonce: nonce, complete: true, disconnected: disconnected})
		b.enqueue(updateComponent, acknowledged{nonce: nonce, complete: true})
	}
}

// renumberZones takes over the new zones of the proxies.
func (b *binder) renumberZones(proxies []control.StreamOpened) {
	for _, proxy := range b.bindings.RenumberZones(proxies) {
		b.reportBound(proxy)
	}
}
