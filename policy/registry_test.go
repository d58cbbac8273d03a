package policy

import (
	"lilacbend/control"
	"lilacbend/policy/pacing"
	"testing"
	"time"
)

func TestNothingWaitsForAProxyThatLeft(t *testing.T) {
	g := at(0)
	r := g.queues[bindingComponent].component.(*binder)
	r.handle(messagesSent{nonce: 70000, proxies: []int{1, 2}})
	r.handle(ackReceived{control.Ack{Proxy: 1, Nonce: 70000 & pacing.NonceMask}})
	want(t, "still open", len(mail[acknowledged](g, updateComponent)), 0)
	r.handle(streamClosed{control.StreamClosed{Proxy: 2}})
	want(t, "closed", mail[acknowledged](g, updateComponent)[0], acknowledged{mark: 70000, all: true})
}

// A reconnect storm that leaves at once empties no channel: its messages, and all before them, are charged until somebody
// acknowledges what was sent later, or until they are overdue.
func TestLeavingClearsNothingFromTheChannel(t *testing.T) {
	settings := provision()
	settings.ChannelLimit, settings.ChannelRate = 49200, 1200
	g := New(settings)
	r, p := g.queues[bindingComponent].component.(*binder), g.queues[pacingComponent].component.(*pacer)
	addTable(p, 9996) // which costs a proxy 20,000 units: two for each endpoint and 8 for all else
	for proxy := 1; proxy <= 2; proxy++ {
		p.handle(streamOpened{control.StreamOpened{Proxy: proxy}})
		p.handle(bindRequested{control.Bind{Proxy: proxy}})
		p.handle(turnEnding{})
		r.handle(messagesSent{nonce: uint64(proxy), proxies: []int{proxy}})
	}
	waiting := func() float64 { return p.sender.Waiting(time.Duration(g.now)) }
	want(t, "both wait", waiting(), 40000.0)
	clear := func() float64 {
		for _, c := range mail[acknowledged](g, pacingComponent) {
			p.handle(c)
		}
		return waiting()
	}
	r.handle(streamClosed{control.StreamClosed{Proxy: 1}})
	r.handle(streamOpened{control.StreamOpened{Proxy: 2}})
	want(t, "after a leaving and a new stream", clear(), 40000.0)
	g.now = 34 * second
	want(t, "the second waits behind the first", waiting(), 20000.0)
	r.handle(messagesSent{nonce: 3, proxies: []int{2}})
	r.handle(ackReceived{control.Ack{Proxy: 2, Nonce: 3}})
	want(t, "once a later nonce is acknowledged", clear(), 0.0)
}
