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
	wantEqual(t, "complete nonces with one ack outstanding", len(queued[acknowledged](p, updateComponent)), 0)
	p.binding.handle(streamClosed{control.StreamClosed{Proxy: 2}})
	wantEqual(t, "complete nonce after the last proxy has disconnected", queued[acknowledged](p, updateComponent)[0], acknowledged{nonce: 70000, complete: true})
}

// If many proxies disconnect at once, the channel must not count as empty: the messages sent to them, and all earlier ones,
// are still in it until a later message is acknowledged or they are overdue.
func TestMessagesOfDisconnectedProxiesStayInTheChannel(t *testing.T) {
	p := newPolicyAt(0)
	p.ChannelLimit = 49200
	p.ChannelRate = 1200
	// The table costs each proxy 20,000 cost units: 2 for each endpoint and 8 for the rest of the message.
	addTable(p.pacing, 9996)
	for proxy := 1; proxy <= 2; proxy++ {
		p.pacing.handle(streamOpened{control.StreamOpened{Proxy: proxy}})
		p.pacing.handle(bindRequested{control.Bind{Proxy: proxy}})
		p.pacing.handle(turnEnding{})
		p.binding.handle(messagesSent{nonce: uint64(proxy), proxies: []int{proxy}})
	}
	channelUnits := func() float64 { return p.pacing.sender.WaitingCostUnits(time.Duration(p.now)) }
	wantEqual(t, "cost units in the channel with both messages sent", channelUnits(), 40000.0)
	channelUnitsAfterAcks := func() float64 {
		for _, ack := range queued[acknowledged](p, pacingComponent) {
			p.pacing.handle(ack)
		}
		return channelUnits()
	}
	p.binding.handle(streamClosed{control.StreamClosed{Proxy: 1}})
	p.binding.handle(streamOpened{control.StreamOpened{Proxy: 2}})
	wantEqual(t, "cost units after one proxy has disconnected and the other has reconnected", channelUnitsAfterAcks(), 40000.0)
	p.now = 34 * second
	wantEqual(t, "cost units after 34 s: the second message waits behind the first", channelUnits(), 20000.0)
	p.binding.handle(messagesSent{nonce: 3, proxies: []int{2}})
	p.binding.handle(ackReceived{control.Ack{Proxy: 2, Nonce: 3}})
	wantEqual(t, "cost units after an ack of a later nonce", channelUnitsAfterAcks(), 0.0)
}

func TestFirstBindIsPacedAndMoveIsPartOfAnUpdate(t *testing.T) {
	p := newPolicyAt(5 * second)
	opened := control.StreamOpened{Proxy: 1, Zone: 1, ForecastRate: 10}
	p.binding.handle(streamOpened{opened})
	p.binding.handle(tablesAssigned{[]int{0, 1}})
	wantEqual(t, "first bind requested from pacing", queued[bindRequested](p, pacingComponent)[0], bindRequested{control.Bind{Proxy: 1, Table: 1}})
	wantEqual(t, "binding reported to placement", queued[proxyBound](p, placementComponent)[0], proxyBound{binding.Proxy{StreamOpened: opened, ConnectedAt: 5 * time.Second, Table: 1}})
	wantEqual(t, "moves requested before the table is served by another one", len(queued[bindRequested](p, updateComponent)), 0)
	p.binding.handle(tablesAssigned{[]int{0, 0}})
	wantEqual(t, "move requested from the update", queued[bindRequested](p, updateComponent)[0], bindRequested{control.Bind{Proxy: 1, Table: 0}})
	wantEqual(t, "first binds requested from pacing", len(queued[bindRequested](p, pacingComponent)), 1)
	wantEqual(t, "bindings reported to placement after the move", len(queued[proxyBound](p, placementComponent)), 1)
}
