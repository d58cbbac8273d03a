package policy

import (
	"fmt"
	"lilacbend/control"
	"reflect"
	"testing"
)

// A replica that was withdrawn still has lines, of when it was warm: proxies pick by them from the moment that it is let in.
func TestNobodyIsLetInByLinesOfAnEarlierWeight(t *testing.T) {
	g := at(0)
	s := steering(g, map[tableEndpoint]float64{{0, 1}: 1, {1, 1}: 1, {2, 1}: 0.21}, map[tableEndpoint]float64{{0, 1}: 0.2, {2, 1}: 0.2}, map[uint32]bool{1: true})
	orders := s.orders(add)
	want(t, "all of its lines that differ go with it, those it has to lose too", fmt.Sprint(orders), fmt.Sprint([]control.Command{
		control.SetEndpoint{Table: 1, Replica: 1}, control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.2},
		control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.2}, control.SetEjected{Replica: 1}}))
	p := g.queues[pacingComponent].component.(*pacer)
	for proxy := range 2 {
		p.bind(proxy, proxy)
		p.laid[proxy] = map[uint32]float64{1: 1}
	}
	g.MaxMessages, g.MessageWindow = 4, 10*second
	p.sendTimes[0] = []int64{0, 0, 0} // may take no more
	p.step = updateStep{len(orders), orders}
	p.send()
	for _, o := range g.out {
		if _, is := o.(control.SetEjected); is {
			t.Errorf("let in by the weight of before: %v", g.out)
		}
	}
}

// Who is let in by less weight than it should have is safe, so lines that rise come behind the lift, and where the cold have to be let
// in together only once it has gone: their weights rise at each look, and the lines would leave no room for it.
func TestLinesThatRiseComeBehindTheLift(t *testing.T) {
	g := at(0)
	s := steering(g, map[tableEndpoint]float64{{0, 1}: 0.2, {1, 1}: 0.4}, map[tableEndpoint]float64{{0, 1}: 0.3, {1, 1}: 0.3, {2, 1}: 0.3}, map[uint32]bool{1: true})
	wanted := []control.Command{control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.3}, control.SetEndpoint{Table: 1, Replica: 1, Weight: 0.3},
		control.SetEjected{Replica: 1}, control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.3}}
	want(t, "order", fmt.Sprint(s.orders(add)), fmt.Sprint(wanted))
	p := g.queues[pacingComponent].component.(*pacer)
	p.laid = map[int]map[uint32]float64{0: {1: 0.2}, 1: {1: 0.4}, 2: {}}
	for table := range 3 {
		p.bind(table, table)
	}
	p.ejected[1], p.cold.together = true, true
	g.MaxMessages = 4
	p.sendTimes[2] = []int64{0, 0, 0} // its line is held up, and the lift with it
	p.step = updateStep{4, s.orders(add)}
	p.send()
	for _, o := range g.out {
		if l, is := o.(control.SetEndpoint); is && l.Table == 0 {
			t.Errorf("rises though it is not let in: %v", g.out)
		}
	}
	p.sendTimes[2], g.out = nil, nil
	p.send()
	want(t, "let in", len(orders[control.SetEjected](g.out)), 1)
	want(t, "and raised", len(p.step.orders), 0)
}

// One cold replica that is let in alone gets what is meant for all of them.
func TestTheColdAreLetInTogether(t *testing.T) {
	const cold = 12
	lifting := func() (*Policy, *pacer) {
		g := at(0)
		p := pacing(g, 10)
		p.cold = warmingReplicas{map[uint32]bool{}, true}
		for id := range uint32(cold) {
			p.cold.replicas[id], p.ejected[id] = true, true
			p.step.orders = append(p.step.orders, control.SetEjected{Replica: id})
		}
		p.step.adds = cold
		return g, p
	}
	g, p := lifting()
	g.ChannelLimit = 450 // 120 lines and ten heads fit into four tenths of it
	p.send()
	want(t, "all at once", len(orders[control.SetEjected](g.out)), cold)
	g, p = lifting()
	g.ChannelLimit = 450
	p.under = []batch{{mark: 1, lines: 100, due: second}}
	p.send()
	want(t, "none while some would have no room", len(orders[control.SetEjected](g.out)), 0)
	p.under = nil
	p.send()
	want(t, "all once there is room", len(orders[control.SetEjected](g.out)), cold)
	g, p = lifting()
	g.ChannelLimit, p.cold.together = 450, false
	p.under = []batch{{mark: 1, lines: 100, due: second}}
	p.send()
	want(t, "one by one while little is lost", len(orders[control.SetEjected](g.out)) > 0, true)
	g, p = lifting()
	g.ChannelLimit = 300
	p.send()
	some := len(orders[control.SetEjected](g.out))
	want(t, "as many as fit into an empty channel", some > 0 && some < cold, true)
	g, p = lifting()
	p.step.orders = append([]control.Command{control.SetEndpoint{Table: 1, Replica: 3, Weight: 0.1}}, p.step.orders...)
	p.step.adds++
	g.MaxMessages, g.ChannelLimit = 4, 4000
	p.laid[1] = map[uint32]float64{3: 0.5}
	p.bind(11, 1)
	p.sendTimes[11] = []int64{0, 0, 0}
	p.send()
	want(t, "none while one has a line of more weight", len(orders[control.SetEjected](g.out)), 0)
}

func pacing(g *Policy, proxies int) *pacer {
	p := g.queues[pacingComponent].component.(*pacer)
	for proxy := range proxies {
		p.bind(proxy, 0)
	}
	p.laid[0] = map[uint32]float64{}
	for id := range uint32(20) {
		p.laid[0][id] = 1
	}
	return p
}

func TestOrdinaryLinesLeaveRoomForWithdrawals(t *testing.T) {
	g := at(0)
	p := pacing(g, 10)
	for id := range 200 {
		p.step.orders = append(p.step.orders, control.SetEndpoint{Replica: uint32(id), Weight: 1})
	}
	p.handle(ejectionDue{5})
	p.send()
	want(t, "withdrawn", len(orders[control.SetEjected](g.out)), 1)
	if q := p.queue(); q > urgentPart*400 || len(orders[control.SetEndpoint](g.out)) == 0 {
		t.Errorf("queue %v", q)
	}
	sent := len(g.out)
	p.send()
	want(t, "more while nobody answers", len(g.out), sent)
	p.handle(acknowledged{nonce: p.mark, complete: true})
	p.send()
	want(t, "goes on once answered", len(g.out) > sent, true)
}

func TestALineHeldUpHoldsUpNoOther(t *testing.T) {
	g := at(0)
	g.MaxMessages = 4
	p := pacing(g, 2)
	p.laid[1], p.sendTimes[0] = map[uint32]float64{}, []int64{0, 0, 0}
	p.bind(1, 1)
	p.handle(updateStep{2, []control.Command{control.SetEndpoint{Replica: 1, Weight: 1},
		control.SetEndpoint{Table: 1, Replica: 1, Weight: 1}}})
	p.send()
	want(t, "the other table's line", len(orders[control.SetEndpoint](g.out)), 1)
	want(t, "the first waits", len(p.step.orders), 1)
}

func TestAdditionsGoThoughAnswersAreOverdue(t *testing.T) {
	g := at(100 * second)
	p := pacing(g, 2)
	p.under = []batch{{mark: 1, lines: 10, due: second}}
	p.now = 20 * second
	lines := []control.Command{control.SetEndpoint{Replica: 1, Weight: 1}, control.SetEndpoint{Replica: 2, Weight: 0.5}}
	p.handle(updateStep{1, lines})
	p.send()
	want(t, "the addition only", len(orders[control.SetEndpoint](g.out)), 1)
}

func TestMessageCapOfAProxy(t *testing.T) {
	g := at(0)
	g.MaxMessages, g.ChannelLimit = 10, 1<<20
	p := pacing(g, 1)
	for k := range 20 {
		p.step = updateStep{0, []control.Command{control.SetEndpoint{Replica: 1, Weight: float64(k + 1)}}}
		p.send()
	}
	want(t, "changed lines", len(orders[control.SetEndpoint](g.out)), int(ordinaryMsgs*10))
	for k := range 20 {
		p.handle(ejectionDue{uint32(k)})
		p.send()
	}
	want(t, "messages", len(p.sendTimes[0]) <= 10, true)
	want(t, "room for withdrawals", float64(len(p.sendTimes[0])) > addMsgs*10, true)
}

func TestAWithdrawalWaitsOnlyForThoseWhoHoldALine(t *testing.T) {
	g := at(0)
	p := pacing(g, 2)
	p.laid[1] = map[uint32]float64{99: 1}
	p.bind(1, 1)
	p.handle(ejectionDue{99})
	p.send()
	m := mail[messagesSent](g, bindingComponent)[0]
	want(t, "only the proxy that holds it", len(m.proxies) == 1 && m.proxies[0] == 1, true)
	p.now = p.under[0].due + lostSpan + 1
	want(t, "what nobody answers is forgotten", p.queue(), 0.0)
}

func TestNoProxyIsBoundBeforeItsTableIsLaid(t *testing.T) {
	g := at(0)
	p := pacing(g, 1)
	held := p.laid[0]
	p.laid[0] = nil
	p.handle(bindRequested{control.Bind{Proxy: 0, Table: 0}})
	p.handle(bindRequested{control.Bind{Proxy: 99, Table: 0}}) // never joined
	p.send()
	want(t, "binds", len(orders[control.Bind](g.out)), 0)
	p.laid[0] = held
	p.send()
	want(t, "binds", len(orders[control.Bind](g.out)), 1)
}

func TestALateWithdrawalDoesNotUndoALift(t *testing.T) {
	g := at(0)
	p := pacing(g, 1)
	p.handle(ejectionDue{5})
	p.handle(updateStep{1, []control.Command{control.SetEjected{Replica: 5}}})
	p.send()
	want(t, "orders", reflect.DeepEqual(orders[control.SetEjected](g.out), []control.SetEjected{{Replica: 5}}), true)
}

// Seed 67 of the laboratory's rules: a stream that broke for 63 ms got 31 messages in a span for 30, as the cap began anew.
func TestTheMessageCapOutlivesAStream(t *testing.T) {
	g := at(20 * second)
	g.MaxMessages, g.MessageWindow = 10, 10*second
	p := g.queues[pacingComponent].component.(*pacer)
	p.handle(streamOpened{control.StreamOpened{Proxy: 0}})
	p.sendTimes[0] = []int64{11 * second, 12 * second, 13 * second, 14 * second, 15 * second, 16 * second, 17 * second, 18 * second, 19 * second}
	p.laid[0] = map[uint32]float64{9: 1}
	p.reached = map[int]bool{}
	p.handle(streamClosed{control.StreamClosed{Proxy: 0}})
	p.handle(streamOpened{control.StreamOpened{Proxy: 0}})
	want(t, "written at once", p.write(control.Bind{Proxy: 0}, 1, urgentMsgs), false)
	g.now = 22 * second
	want(t, "written once two are long ago", p.write(control.Bind{Proxy: 0}, 1, urgentMsgs), true)
}
