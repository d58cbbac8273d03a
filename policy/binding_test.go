package policy

import (
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/policy/binding"
	"lilacbend/policy/pacing"
)

func TestBinderReportsANonceCompleteWhenItsLastProxyDisconnects(t *testing.T) {
	p := newPolicyAt(0)
	p.binding.handle(messagesSent{nonce: 70000, proxies: []int{1, 2}})
	p.binding.handle(ackReceived{control.Ack{Proxy: 1, Nonce: 70000 & pacing.NonceMask}})
	wantEqual(t, "complete with one proxy missing", len(queued[acknowledged](p, updateComponent)), 0)
	p.binding.handle(streamClosed{control.StreamClosed{Proxy: 2}})
	wantEqual(t, "complete", queued[acknowledged](p, updateComponent)[0], acknowledged{nonce: 70000, complete: true})
}

// Many proxies that disconnect at once empty no channel: what was written to them, and all before it, counts until somebody
// acknowledges what was written later, or until it is overdue.
func TestMessagesOfDisconnectedProxiesStayInTheChannel(t *testing.T) {
	p := newPolicyAt(0)
	p.ChannelLimit = 49200
	p.ChannelRate = 1200
	addTable(p.pacing, 9996) // which costs a proxy 20,000 units: two for each endpoint and 8 for all else
	for proxy := 1; proxy <= 2; proxy++ {
		p.pacing.handle(streamOpened{control.StreamOpened{Proxy: proxy}})
		p.pacing.handle(bindRequested{control.Bind{Proxy: proxy}})
		p.pacing.handle(turnEnding{})
		p.binding.handle(messagesSent{nonce: uint64(proxy), proxies: []int{proxy}})
	}
	waiting := func() float64 { return p.pacing.sender.Waiting(time.Duration(p.now)) }
	wantEqual(t, "both messages wait", waiting(), 40000.0)
	queueAfterAcks := func() float64 {
		for _, ack := range queued[acknowledged](p, pacingComponent) {
			p.pacing.handle(ack)
		}
		return waiting()
	}
	p.binding.handle(streamClosed{control.StreamClosed{Proxy: 1}})
	p.binding.handle(streamOpened{control.StreamOpened{Proxy: 2}})
	wantEqual(t, "after a stream closed and one opened anew", queueAfterAcks(), 40000.0)
	p.now = 34 * second
	wantEqual(t, "the second message waits behind the first", waiting(), 20000.0)
	p.binding.handle(messagesSent{nonce: 3, proxies: []int{2}})
	p.binding.handle(ackReceived{control.Ack{Proxy: 2, Nonce: 3}})
	wantEqual(t, "once a later nonce is acknowledged", queueAfterAcks(), 0.0)
}

func TestFirstBindIsPacedAndMoveIsPartOfAnUpdate(t *testing.T) {
	p := newPolicyAt(5 * second)
	opened := control.StreamOpened{Proxy: 1, Zone: 1, Rate: 10}
	p.binding.handle(streamOpened{opened})
	p.binding.handle(tablesAssigned{[]int{0, 1}})
	wantEqual(t, "first bind", queued[bindRequested](p, pacingComponent)[0], bindRequested{control.Bind{Proxy: 1, Table: 1}})
	wantEqual(t, "reported to placement", queued[proxyBound](p, placementComponent)[0], proxyBound{binding.Proxy{StreamOpened: opened, ConnectedAt: 5 * time.Second, Table: 1}})
	wantEqual(t, "moves", len(queued[bindRequested](p, updateComponent)), 0)
	p.binding.handle(tablesAssigned{[]int{0, 0}})
	wantEqual(t, "move", queued[bindRequested](p, updateComponent)[0], bindRequested{control.Bind{Proxy: 1, Table: 0}})
	wantEqual(t, "first binds", len(queued[bindRequested](p, pacingComponent)), 1)
	wantEqual(t, "its own table stays", len(queued[proxyBound](p, placementComponent)), 1)
}
