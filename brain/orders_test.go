package brain

import (
	"reflect"
	"testing"

	"lilacbend/control"
)

func pacing(g *Governor, proxies int) *pacer {
	p := g.boxes[thePacer].part.(*pacer)
	for proxy := range proxies {
		p.bound[proxy] = 0
	}
	p.laid[0] = map[uint32]bool{}
	for id := range uint32(20) {
		p.laid[0][id] = true
	}
	return p
}

func TestOrdinaryLinesLeaveRoomForWithdrawals(t *testing.T) {
	g := at(0)
	p := pacing(g, 10)
	for id := range 200 {
		p.step.orders = append(p.step.orders, control.SetLine{Replica: uint32(id), Weight: 1})
	}
	p.take(control.Withdraw{Replica: 5, Out: true})
	p.send()
	want(t, "withdrawn", len(orders[control.Withdraw](g.out)), 1)
	if q := p.queue(); q > urgentPart*400 || len(orders[control.SetLine](g.out)) == 0 {
		t.Errorf("queue %v", q)
	}
	sent := len(g.out)
	p.send()
	want(t, "more while nobody answers", len(g.out), sent)
	p.take(caught{p.mark, true})
	p.send()
	want(t, "goes on once answered", len(g.out) > sent, true)
}

func TestAdditionsGoThoughAnswersAreOverdue(t *testing.T) {
	g := at(100 * second)
	p := pacing(g, 2)
	p.under = []batch{{1, 10, 0, second}}
	p.now = 20 * second
	lines := []control.Order{control.SetLine{Replica: 1, Weight: 1}, control.SetLine{Replica: 2, Weight: 0.5}}
	p.take(step{1, lines})
	p.send()
	want(t, "the addition only", len(orders[control.SetLine](g.out)), 1)
}

func TestMessageCapOfAProxy(t *testing.T) {
	g := at(0)
	g.MessagesMost, g.ChannelLimit = 10, 1<<20
	p := pacing(g, 1)
	for k := range 20 {
		p.step = step{0, []control.Order{control.SetLine{Replica: 1, Weight: float64(k + 1)}}}
		p.send()
	}
	want(t, "changed lines", len(orders[control.SetLine](g.out)), int(ordinaryMsgs*10))
	for k := range 20 {
		p.take(control.Withdraw{Replica: uint32(k), Out: true})
		p.send()
	}
	want(t, "messages", len(p.wrote[0]) <= 10, true)
	want(t, "room for withdrawals", float64(len(p.wrote[0])) > addMsgs*10, true)
}

func TestAWithdrawalWaitsOnlyForThoseWhoHoldALine(t *testing.T) {
	g := at(0)
	p := pacing(g, 2)
	p.bound[1], p.laid[1] = 1, map[uint32]bool{99: true}
	p.take(control.Withdraw{Replica: 99, Out: true})
	p.send()
	m := mail[marked](g, theRoll)[0]
	want(t, "only the proxy that holds it", len(m.proxies) == 1 && m.proxies[0] == 1, true)
	p.now = lostSpan + 1
	want(t, "what nobody answers is forgotten", p.queue(), 0.0)
}

func TestNoProxyIsBoundBeforeItsTableIsLaid(t *testing.T) {
	g := at(0)
	p := pacing(g, 1)
	held := p.laid[0]
	p.laid[0] = nil
	p.take(control.Bind{Proxy: 0, Table: 0})
	p.take(control.Bind{Proxy: 99, Table: 0}) // never joined
	p.send()
	want(t, "binds", len(orders[control.Bind](g.out)), 0)
	p.laid[0] = held
	p.send()
	want(t, "binds", len(orders[control.Bind](g.out)), 1)
}

func levelling(g *Governor) *levels {
	l := g.boxes[theLevels].part.(*levels)
	l.take(control.Demand{Group: 0, Flows: 200})
	l.take(control.Demand{Group: 1, Flows: 200})
	return l
}

func TestTheLineBlocksTheLeastUtilityFirst(t *testing.T) {
	g := at(100 * second)
	l := levelling(g)
	l.take(fleet{tries: 100, bad: 0.2, most: 0.2, answer: 0.2, serves: 1})
	want(t, "line", l.line < 2 && l.line > 1, true)
	o := mail[control.Level](g, thePacer)
	want(t, "only the lesser group", len(o) == 2 && o[0].Share == 1 && o[1].Group == 0 && o[1].Share < 1, true)
	want(t, "one try only", o[1].Tries, control.TryOnce)
	l.now += 2 * recent
	l.take(fleet{tries: 100, answer: 0.2, serves: 1})
	want(t, "further tries again", mail[control.Level](g, thePacer)[2].Tries, control.TryIfNeverRan)
}

func TestMissesWhileAnswersComeAsEverBlockNothing(t *testing.T) {
	l := levelling(at(100 * second))
	l.take(fleet{tries: 100, bad: 0.4, most: 0.4, answer: 0.2, serves: 1, calm: 0.15})
	want(t, "all groups are let in", l.line, 2.0)
}

func TestTheLineHoldsWhileSumsAreOldOrTheOverloadEases(t *testing.T) {
	l := levelling(at(100 * second))
	l.take(fleet{tries: 100, bad: 0.5, most: 0.5, answer: 1, serves: 1})
	first := l.line
	l.now += second
	l.take(fleet{tries: 100, bad: 0.6, most: 0.6, answer: 1})
	want(t, "old sums", l.line, first)
	l.now += recent
	l.take(fleet{tries: 100, bad: 0.3, most: 0.3, answer: 0.7})
	want(t, "eases", l.line, first)
	l.now += recent
	l.take(fleet{tries: 100, bad: 0.4, most: 0.4, answer: 0.7})
	want(t, "worse", l.line < first, true)
	l.now += 2 * recent
	l.take(fleet{tries: 100, answer: 0.2})
	l.now += 100 * second
	l.take(fleet{tries: 100, answer: 0.2})
	want(t, "back", l.line, 2.0)
}

func TestWhereLevelsAreNotFollowedOnlyTriesStop(t *testing.T) {
	g := at(100 * second)
	g.Admission = control.AdmitAll
	levelling(g).take(fleet{tries: 100, bad: 0.9, most: 0.9, answer: 3})
	for _, o := range mail[control.Level](g, thePacer) {
		want(t, "level", o, control.Level{Table: control.AllTables, Group: o.Group, Share: 1})
	}
}

func day(events ...control.Event) (all []control.Order) {
	g := New(provision())
	all = g.Turn(0, []control.Event{control.Listed{Full: true, Entries: entries(6)}})
	for proxy := range 6 {
		events = append([]control.Event{control.Joined{Proxy: proxy, Zone: proxy % 2, Rate: 10}}, events...)
	}
	for k, ev := range events {
		all = append(all, g.Turn(int64(k+1)*second, []control.Event{ev, control.Woken{}})...)
	}
	return all
}

func TestOddEventsNameNothingUnknown(t *testing.T) {
	odd := []control.Event{control.Met{Replica: 77, Tries: 9, Missed: 9}, control.Met{Replica: 1},
		control.Left{Proxy: 88}, control.Demand{Group: 9, Proxy: 99}, control.Answered{Proxy: 99, Mark: 4},
		control.Answered{Proxy: 1, Mark: 60000}, control.Probed{Replica: 77}, control.Listed{Failed: true},
		control.Listed{Full: true}, control.Listed{}, control.Joined{Proxy: 50, Zone: 200},
		control.Listed{Entries: []control.Entry{{Replica: 3, Zone: 99, Kind: 9}}}}
	all := day(odd...)
	for _, o := range orders[control.SetLine](all) {
		want(t, "known replica", o.Replica >= 1 && o.Replica <= 6, true)
	}
	want(t, "all bound", len(orders[control.Bind](all)), 7)
	want(t, "the same again", reflect.DeepEqual(all, day(odd...)), true)
}

func TestWhoIsLongGoneIsForgottenAndStaysWithdrawn(t *testing.T) {
	g := New(provision())
	g.Turn(0, []control.Event{control.Listed{Full: true, Entries: entries(3)}, control.Joined{Proxy: 1}})
	g.Turn(second, []control.Event{control.Listed{Entries: []control.Entry{{Replica: 2, State: control.Gone}}}})
	all := g.Turn(2*second+forgetSpan, []control.Event{control.Woken{}})
	all = append(all, g.Turn(3*second+forgetSpan, []control.Event{control.Woken{}})...)
	for _, o := range orders[control.Withdraw](all) {
		want(t, "lifted", o.Out, true)
	}
	want(t, "known", len(g.replicas), 2)
	g.Turn(4*second+forgetSpan, []control.Event{control.Listed{Entries: []control.Entry{{Replica: 9}}}})
	want(t, "its inbox serves another", len(g.boxes), parts+3)
}

func TestALateWithdrawalDoesNotUndoALift(t *testing.T) {
	g := at(0)
	p := pacing(g, 1)
	p.take(control.Withdraw{Replica: 5, Out: true})
	p.take(step{1, []control.Order{control.Withdraw{Replica: 5}}})
	p.send()
	want(t, "orders", reflect.DeepEqual(orders[control.Withdraw](g.out), []control.Withdraw{{Replica: 5}}), true)
}

func TestNoFurtherTryThatCouldActTwice(t *testing.T) {
	l := at(0).boxes[theLevels].part.(*levels)
	l.UsualTries, l.TryFactor = control.TryTwiceMore, 1
	for _, c := range []struct {
		group control.TrafficGroup
		tries control.Tries
	}{
		{control.TrafficGroup{Effect: control.Retriable}, control.TryTwiceMore},
		{control.TrafficGroup{Effect: control.NonRetriable}, control.TryIfNeverRan},
		{control.TrafficGroup{Effect: control.Deduped, Window: 1e12}, control.TryIfNeverRan},
		{control.TrafficGroup{Effect: control.Deduped, Scope: control.ScopeAll, Window: 5e9}, control.TryTwiceMore},
		{control.TrafficGroup{Effect: control.Deduped, Scope: control.ScopeAll}, control.TryIfNeverRan},
	} {
		c.group.LatencyBudget = second
		want(t, "tries", l.usual(c.group), c.tries)
	}
}

func TestTheFirstFallGoesByTheReplicasLeft(t *testing.T) {
	var lines []float64
	for _, left := range []float64{10, 5} {
		l := levelling(at(100 * second))
		l.take(fleet{tries: 60, answer: 0.2, serves: 10})
		l.take(fleet{tries: 10, bad: 0.5, most: 0.5, answer: 2, serves: left})
		lines = append(lines, l.line)
	}
	want(t, "half are lost, half is let in", lines[1], lines[0]/2)
}
