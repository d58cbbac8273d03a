package policy

import (
	"lilacbend/control"
	"testing"
)

// A few cold ones would be pushed over by all the tries of a collapse, and more of them by those of an overload. But where
// most have just been replaced, to give them less leaves all work to the few that are warm, which drown for as long as it
// goes on. The cold of one table do not count alone, however much of it they could bear: all proxies may sit at another, which
// takes them as guests, and what its own cold would get if they were not kept out comes to them.
func TestLossesCountForTheColdUnlessTheyCouldBearAllThatIsTried(t *testing.T) {
	for _, c := range []struct {
		cold, others int // of ten each of two tables, half warm
		tries        float64
		bear         bool
	}{{1, 0, 10, false}, {4, 4, 10, false}, {6, 6, 10, true}, {9, 9, 10, true}, {6, 6, 15, false}, {9, 9, 15, true}, {9, 9, 40, false},
		{10, 1, 10, true}, {10, 0, 12, false}, {0, 10, 12, false}, {10, 2, 15, false}, {10, 6, 15, true}} {
		g := at(10 * second)
		g.OverloadMultiple = 4
		p := planning(g)
		for id := uint32(1); id <= 20; id++ {
			o := offered(id, 0, false, control.Ready)
			o.cold, o.able, o.tries, o.bad = int(id) <= c.cold || id > 10 && int(id) <= 10+c.others, 0.5, c.tries, c.tries-10 // each gives ten good answers
			p.own[id] = int(id-1) / 10
			planning(g, o)
		}
		planning(g, offered(21, 0, false, control.Gone)) // no work of anybody's
		p.handle(demandSummary{failedFraction: 0.8})
		p.norms()
		for _, box := range []int{fixedComponents, fixedComponents + 19} {
			if got, lost := mail[fleetBaseline](g, box)[0].lost, map[bool]float64{false: 0.8}[c.bear]; got != lost {
				t.Errorf("%+v: replica %d hears of %v lost, want %v", c, box-fixedComponents+1, got, lost)
			}
		}
	}
	r := met(at(100*second), 0, 0, 0)
	r.entry.Start = r.now - second
	r.handle(fleetBaseline{goal: 1, lost: 2 * coldLost})
	want(t, "out", mail[replicaStatus](&Policy{sharedState: *r.sharedState}, placementComponent)[0].sick, true)
}

func planning(g *Policy, offers ...replicaStatus) *planner {
	p := g.queues[placementComponent].component.(*planner)
	for _, o := range offers {
		o.box = len(g.queues)
		p.offers[o.Replica], g.queues = o, append(g.queues, &queue{})
	}
	return p
}

func offered(id uint32, zone int, sick bool, state control.State) replicaStatus {
	return replicaStatus{ListedReplica: control.ListedReplica{Replica: id, Zone: zone, State: state, Weight: 1}, weight: 1, size: 1,
		ticket: 1 / float64(id), sick: sick}
}

func TestTheSickLeaveAQuarterIn(t *testing.T) {
	g := at(0)
	var all []replicaStatus
	for id := uint32(1); id <= 4; id++ {
		all = append(all, offered(id, int(id%2), true, control.Ready))
	}
	out := planning(g, all...).shutOut([]uint32{1, 2, 3, 4}, 1)
	want(t, "three of four go", out[1] && out[2] && out[3] && !out[4], true)
	out = planning(g, offered(4, 0, false, control.Draining)).shutOut([]uint32{1, 2, 3, 4}, 1)
	want(t, "draining goes", out[4], true)
	want(t, "withdrawn at once", mail[ejectionDue](g, pacingComponent)[3], ejectionDue{4})
}

func TestATableWithoutItsOwnTakesGuestsOrGivesItsProxiesToASister(t *testing.T) {
	g := at(0)
	g.Proxies = 12
	p := planning(g, offered(1, 0, false, control.Ready), offered(2, 1, false, control.Gone))
	p.enter(connectedProxy{control.StreamOpened{Proxy: 3, Zone: 1, Rate: 5}, 0, 1})
	p.redraw()
	lines := mail[targetTables](g, updateComponent)[0].weights
	want(t, "guest", lines[tableEndpoint{1, 1}] > 0, true)
	want(t, "gone", lines[tableEndpoint{1, 2}], 0.0)
	want(t, "a zone that lost all stays at its table", mail[tablesAssigned](g, bindingComponent)[0].tables[1], 1)
	p = planning(at(0), offered(1, 0, false, control.Ready), offered(2, 0, false, control.Gone))
	p.tables, p.own = 4, map[uint32]int{1: 0, 2: 2}
	p.redraw()
	want(t, "to a sister", mail[tablesAssigned](&Policy{sharedState: *p.sharedState}, bindingComponent)[0].tables[2], 0)
}

// A governor among hundreds has a few proxies, one table, and all replicas as its own: a table of them all would cost more
// than the channel takes, and no proxy would ever be bound.
func TestATableIsNoLongerThanLetsItsProxiesBeBound(t *testing.T) {
	g := at(0)
	g.Controllers, g.Proxies = 350, 350*7
	for id := uint32(1); id <= 300; id++ {
		o := offered(id, 0, false, control.Ready)
		o.HardwareClass, o.ticket = int(id%2), float64((id*37)%101)
		planning(g, o)
	}
	planning(g).redraw()
	lines := mail[targetTables](g, updateComponent)[0].weights
	kinds := map[int]int{}
	for l := range lines {
		kinds[int(l.replica%2)]++
	}
	most := 400/2*350/(350*7) - 4 - 2
	if len(lines) != most || kinds[0] < most/4 || kinds[1] < most/4 {
		t.Errorf("%d lines, by kind %v, %d may be", len(lines), kinds, most)
	}
}

func TestTheWithdrawnTakeNoGuestsRoom(t *testing.T) {
	g := at(0)
	for id := uint32(1); id <= 50; id++ {
		planning(g, offered(id, int(min(1, id/21)), id > 20, control.Ready))
	}
	p := planning(g)
	p.tables = 2
	p.redraw()
	want(t, "the own lines of both and a guest", len(mail[targetTables](g, updateComponent)[0].weights), 51)
}

func TestATableOfTheSickTakesGuestsWhoServe(t *testing.T) {
	g := at(0)
	g.Proxies = 12
	p := planning(g, offered(1, 0, false, control.Ready), offered(2, 1, true, control.Ready),
		offered(4, 0, false, control.Ready), offered(5, 0, false, control.Ready))
	p.enter(connectedProxy{control.StreamOpened{Proxy: 3, Zone: 1, Rate: 5}, 0, 1})
	p.redraw()
	lines := mail[targetTables](g, updateComponent)[0].weights
	want(t, "some serve", lines[tableEndpoint{1, 1}]+lines[tableEndpoint{1, 4}]+lines[tableEndpoint{1, 5}] > 0, true)
}

func TestWeightsFollowWhatIsAnsweredNotTheAnswerTimeAlone(t *testing.T) {
	g := at(10 * second)
	busy, calm := offered(1, 0, false, control.Ready), offered(2, 0, false, control.Ready)
	busy.tries, busy.answer, calm.tries, calm.answer = 90, 0.3, 30, 0.1
	p := planning(g, busy, calm)
	p.calm[0] = []float64{0.1}
	p.norms()
	a, b := mail[fleetBaseline](g, fixedComponents)[0].goal, mail[fleetBaseline](g, fixedComponents+1)[0].goal
	if a > b || b > 2*a {
		t.Errorf("near equal worth wanted: the busy %v, the calm %v", a, b)
	}
}

func TestLostFlowsTellTheColdOfACollapse(t *testing.T) {
	g := at(10 * second)
	o := offered(1, 0, false, control.Ready)
	o.tries, o.bad = 100, 10
	p := planning(g, o)
	p.handle(demandSummary{failedFraction: 0.9}) // flows that got no answer
	p.norms()
	n := mail[fleetBaseline](g, fixedComponents)[0]
	want(t, "verdicts go by the mean, the cold by the worst", n.bad < 0.11 && n.lost == 0.9, true)
}

func TestTheColdGoWhileFlowsSurge(t *testing.T) {
	cold := offered(1, 0, false, control.Ready)
	cold.cold = true
	p := planning(at(0), cold, offered(2, 0, false, control.Ready))
	p.enter(connectedProxy{control.StreamOpened{Proxy: 7}, 0, 0})
	p.demand = demandSummary{requests: map[int]float64{7: 100}, latestRequests: map[int]float64{7: 120}}
	want(t, "as ever", len(p.shutOut([]uint32{1, 2}, 1)), 0)
	p.demand.latestRequests[7] = 200
	out := p.shutOut([]uint32{1, 2}, 1)
	want(t, "the cold only", out[1] && !out[2], true)
}

// What was tried at a replica that has begun to drain is tried at the others next.
func TestTriesAtTheDrainingCountForTheCold(t *testing.T) {
	for state, lost := range map[control.State]float64{control.Ready: 0, control.Draining: 0.8} {
		g := at(10 * second)
		g.OverloadMultiple = 4
		p := planning(g)
		for id := uint32(1); id <= 10; id++ {
			o := offered(id, 0, false, control.Ready)
			if o.tries, o.bad = 10, 0; id > 5 {
				o.cold, o.able, o.tries = true, 0.5, 0
			}
			planning(g, o)
		}
		gone := offered(11, 0, false, state)
		gone.tries, gone.bad = 51, 0
		if state == control.Ready { // one of the warm, which gave as much
			gone.tries = 10
		}
		planning(g, gone)
		p.handle(demandSummary{failedFraction: 0.8})
		p.norms()
		want(t, "lost", mail[fleetBaseline](g, fixedComponents+9)[0].lost, lost)
	}
}

// The cold have to be let in together where much is lost and they can bear it: else they are not in, or the warm bear their part.
func TestTheColdAreSparedTogetherWhereMuchIsLost(t *testing.T) {
	for lost, together := range map[float64]bool{0.2: false, 0.8: true} {
		g := at(10 * second)
		g.OverloadMultiple = 4
		p := planning(g)
		for id := uint32(1); id <= 10; id++ {
			o := offered(id, 0, false, control.Ready)
			if o.tries, o.bad = 10, 0; id > 5 {
				o.cold, o.able = true, 0.8
			}
			planning(g, o)
		}
		p.handle(demandSummary{failedFraction: lost})
		p.norms()
		want(t, "together", p.coldest([]uint32{6}).together, together)
		want(t, "lost, as the cold hear", mail[fleetBaseline](g, fixedComponents+9)[0].lost, 0.0)
	}
}

func TestASickColdOneBearsNothing(t *testing.T) {
	r := met(at(100*second), 0, 0, 0)
	r.entry.Start = r.now - second
	want(t, "well", r.able() > 0, true)
	r.ejectedUntil = r.now + second
	want(t, "silent", r.able(), 0.0)
}

func TestAFewThatFailAreNoOverload(t *testing.T) {
	g := at(10 * second)
	for id := uint32(1); id <= 4; id++ {
		o := offered(id, 0, false, control.Ready)
		if o.tries = 10; id == 1 {
			o.bad = 10
		}
		planning(g, o)
	}
	planning(g).norms()
	f := mail[fleetLoad](g, admissionComponent)[0]
	want(t, "all miss a quarter, most miss nothing", f.failureRate == 0.25 && f.typicalFailureRate < 0.01, true)
}

func TestAFullQueueGetsTimeToDrain(t *testing.T) {
	g := at(10 * second)
	calm, full := offered(1, 0, false, control.Ready), offered(2, 0, false, control.Ready)
	calm.tries, calm.answer, full.tries, full.answer, full.HardwareClass = 300, 0.1, 300, 1.2, 1
	p := planning(g, calm, full)
	p.HardwareClasses, p.calm = 2, map[int][]float64{0: {0.1}, 1: {0.2}, 2: {0.1}}
	p.norms()
	a, b := mail[fleetBaseline](g, fixedComponents)[0].goal, mail[fleetBaseline](g, fixedComponents+1)[0].goal
	want(t, "more than by what both answer", a > 6.5*b, true)
}
