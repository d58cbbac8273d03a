package policy

import (
	"lilacbend/control"
	"testing"
)

func TestNothingWaitsForAProxyThatLeft(t *testing.T) {
	g := at(0)
	r := g.queues[bindingComponent].component.(*binder)
	r.handle(messagesSent{mark: 70000, proxies: []int{1, 2}})
	r.handle(ackReceived{control.Ack{Proxy: 1, Nonce: 70000 & marksMask}})
	want(t, "still open", len(mail[acknowledged](g, updateComponent)), 0)
	r.handle(streamClosed{control.StreamClosed{Proxy: 2}})
	want(t, "closed", mail[acknowledged](g, updateComponent)[0], acknowledged{nonce: 70000, complete: true})
}

// A crowd that leaves at once empties no channel: its lines, and all before them, are charged until somebody answers
// what was written later, or their time and more is over.
func TestLeavingClearsNothingFromTheChannel(t *testing.T) {
	g := at(0)
	g.ChannelLimit, g.ChannelRate = 49200, 1200
	r, p := g.queues[bindingComponent].component.(*binder), pacing(g, 1)
	p.under = []batch{{mark: 1, lines: 20000, due: 17 * second}, {mark: 2, lines: 20000, due: 34 * second}}
	for mark := uint64(1); mark <= 2; mark++ {
		r.handle(messagesSent{mark: mark, proxies: []int{int(mark)}})
	}
	clear := func() float64 {
		for _, c := range mail[acknowledged](g, pacingComponent) {
			p.handle(c)
		}
		return p.queue()
	}
	r.handle(streamClosed{control.StreamClosed{Proxy: 1}})
	r.handle(streamOpened{control.StreamOpened{Proxy: 2}})
	want(t, "after a leaving and a new stream", clear(), 40000.0)
	p.now = 34 * second
	want(t, "the second waits behind the first", p.queue(), 20000.0)
	r.handle(messagesSent{mark: 3, proxies: []int{2}})
	r.handle(ackReceived{control.Ack{Proxy: 2, Nonce: 3}})
	want(t, "once a later mark is answered", clear(), 0.0)
}
