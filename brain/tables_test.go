package brain

import (
	"testing"

	"lilacbend/control"
)

func planning(g *Governor, offers ...offer) *planner {
	p := g.boxes[thePlanner].part.(*planner)
	for _, o := range offers {
		p.offers[o.Replica] = o
	}
	return p
}

func offered(id uint32, zone int, sick bool, state control.State) offer {
	return offer{Entry: control.Entry{Replica: id, Zone: zone, State: state, Weight: 1}, weight: 1, size: 1,
		ticket: 1 / float64(id), sick: sick, box: int(parts)}
}

func TestTheSickLeaveAQuarterIn(t *testing.T) {
	g := at(0)
	var all []offer
	for id := uint32(1); id <= 4; id++ {
		all = append(all, offered(id, int(id%2), true, control.Ready))
	}
	out := planning(g, all...).shutOut([]uint32{1, 2, 3, 4}, 1)
	want(t, "three of four go", out[1] && out[2] && out[3] && !out[4], true)
	out = planning(g, offered(4, 0, false, control.Draining)).shutOut([]uint32{1, 2, 3, 4}, 1)
	want(t, "draining goes", out[4], true)
	want(t, "withdrawn at once", mail[control.Withdraw](g, thePacer)[3], control.Withdraw{Replica: 4, Out: true})
}

func TestATableWithoutItsOwnTakesGuestsOrGivesItsProxiesToASister(t *testing.T) {
	g := at(0)
	g.Proxies = 12
	p := planning(g, offered(1, 0, false, control.Ready), offered(2, 1, false, control.Gone))
	p.crowd[3] = &chair{control.Joined{Proxy: 3, Zone: 1, Rate: 5}, 0, 1}
	p.redraw()
	lines := mail[target](g, theSequence)[0].lines
	want(t, "guest", lines[line{1, 1}] > 0, true)
	want(t, "gone", lines[line{1, 2}], 0.0)
	want(t, "a zone that lost all stays at its table", mail[[]int](g, theRoll)[0][1], 1)
	p = planning(at(0), offered(1, 0, false, control.Ready), offered(2, 0, false, control.Gone))
	p.tables, p.own = 4, map[uint32]int{1: 0, 2: 2}
	p.redraw()
	want(t, "to a sister", mail[[]int](&Governor{desk: *p.desk}, theRoll)[0][2], 0)
}

func TestATableOfTheSickTakesGuestsWhoServe(t *testing.T) {
	g := at(0)
	g.Proxies = 12
	p := planning(g, offered(1, 0, false, control.Ready), offered(2, 1, true, control.Ready),
		offered(3, 0, true, control.Ready), offered(4, 0, false, control.Ready), offered(5, 0, false, control.Ready))
	p.crowd[3] = &chair{control.Joined{Proxy: 3, Zone: 1, Rate: 5}, 0, 1}
	p.redraw()
	serves := 0
	for l, w := range mail[target](g, theSequence)[0].lines {
		if l.table == 1 && w > 0 {
			serves++
		}
	}
	want(t, "lines that serve", serves > 0, true)
}

func TestWeightsFollowWhatIsAnsweredNotTheAnswerTimeAlone(t *testing.T) {
	g := at(10 * second)
	busy, calm := offered(1, 0, false, control.Ready), offered(2, 0, false, control.Ready)
	busy.box, calm.box = parts, parts+1
	busy.tries, busy.answer, calm.tries, calm.answer = 90, 0.3, 30, 0.1
	g.boxes = append(g.boxes, &inbox{}, &inbox{})
	p := planning(g, busy, calm)
	p.calm[0] = []float64{0.1}
	p.norms()
	a, b := mail[norm](g, parts)[0].goal, mail[norm](g, parts+1)[0].goal
	if a > b || b > 2*a {
		t.Errorf("near equal worth wanted: the busy %v, the calm %v", a, b)
	}
}

func TestLostFlowsTellTheColdOfACollapse(t *testing.T) {
	g := at(10 * second)
	o := offered(1, 0, false, control.Ready)
	o.box, o.tries, o.bad = parts, 100, 10
	g.boxes = append(g.boxes, &inbox{})
	p := planning(g, o)
	p.take(demand{lost: 0.9}) // flows that got no answer
	p.norms()
	n := mail[norm](g, parts)[0]
	want(t, "verdicts go by the mean, the cold by the worst", n.bad < 0.11 && n.lost == 0.9, true)
}

func TestTheColdGoWhileFlowsSurge(t *testing.T) {
	cold := offered(1, 0, false, control.Ready)
	cold.cold = true
	p := planning(at(0), cold, offered(2, 0, false, control.Ready))
	p.crowd[7] = &chair{control.Joined{Proxy: 7}, 0, 0}
	p.demand = demand{flows: map[int]float64{7: 100}, fresh: map[int]float64{7: 120}}
	want(t, "as ever", len(p.shutOut([]uint32{1, 2}, 1)), 0)
	p.demand.fresh[7] = 200
	out := p.shutOut([]uint32{1, 2}, 1)
	want(t, "the cold only", out[1] && !out[2], true)
}

func steering(g *Governor, laid, wanted map[line]float64, out map[uint32]bool) *sequence {
	s := g.boxes[theSequence].part.(*sequence)
	s.laid, s.want, s.out = laid, target{wanted, map[uint32]bool{}}, out
	return s
}

func TestStepsComeInOrderTheLargestFirst(t *testing.T) {
	g := at(0)
	s := steering(g, map[line]float64{{0, 1}: 1, {0, 2}: 1, {0, 3}: 1},
		map[line]float64{{0, 1}: 0.5, {0, 2}: 0.1, {0, 4}: 1}, map[uint32]bool{})
	s.moves[5] = 1
	want(t, "add", s.orders(add)[0], control.Order(control.SetLine{Replica: 4, Weight: 1}))
	want(t, "overwrite", s.orders(overwrite)[0], control.Order(control.SetLine{Replica: 2, Weight: 0.1}))
	want(t, "rebind", s.orders(rebind)[0], control.Order(control.Bind{Proxy: 5, Table: 1}))
	want(t, "remove", s.orders(remove)[0], control.Order(control.SetLine{Replica: 3}))
	s.open[1] = 0
	s.at = remove
	s.proceed()
	steps := mail[step](g, thePacer)
	want(t, "removals wait for additions", len(steps[0].orders), 1)
	s.at = overwrite
	s.proceed()
	want(t, "additions fold in", len(mail[step](g, thePacer)[1].orders), 3)
}

func TestAnAnsweredStepIsOverThoughMoreHasChanged(t *testing.T) {
	s := steering(at(0), map[line]float64{{0, 1}: 1, {0, 2}: 1}, map[line]float64{{0, 1}: 0.5}, map[uint32]bool{})
	s.at, s.sent = overwrite, true
	s.proceed()
	want(t, "removals come", s.at, remove)
}

func TestARemovalOfWhoIsBackNeverLeaves(t *testing.T) {
	s := steering(at(0), map[line]float64{{0, 1}: 1}, map[line]float64{}, map[uint32]bool{1: true})
	want(t, "queued", len(s.orders(remove)), 1)
	s.take(target{map[line]float64{{0, 1}: 1}, map[uint32]bool{}})
	want(t, "dropped", len(s.orders(remove)), 0)
	want(t, "lifted", s.orders(add)[0], control.Order(control.Withdraw{Replica: 1}))
}

func TestALateAnswerEndsAStepAtItsTimeout(t *testing.T) {
	s := steering(at(0), map[line]float64{{0, 1}: 1}, map[line]float64{}, map[uint32]bool{})
	s.open[1], s.at = 0, overwrite
	s.take(tick{})
	want(t, "waits", s.at, overwrite)
	s.now = stepTimeout + 1
	s.take(tick{})
	want(t, "goes on", s.at, remove)
}

func TestNothingWaitsForAProxyThatLeft(t *testing.T) {
	g := at(0)
	r := g.boxes[theRoll].part.(*roll)
	r.take(marked{mark: 70000, proxies: []int{1, 2}})
	r.take(control.Answered{Proxy: 1, Mark: 70000 & marksMask})
	want(t, "still open", len(mail[caught](g, theSequence)), 0)
	r.take(control.Left{Proxy: 2})
	want(t, "closed", mail[caught](g, theSequence)[0], caught{70000, true})
}

func TestAFewThatFailAreNoOverload(t *testing.T) {
	g := at(10 * second)
	var all []offer
	for id := uint32(1); id <= 4; id++ {
		o := offered(id, 0, false, control.Ready)
		if o.box, o.tries = parts, 10; id == 1 {
			o.bad = 10
		}
		all = append(all, o)
	}
	g.boxes = append(g.boxes, &inbox{})
	planning(g, all...).norms()
	f := mail[fleet](g, theLevels)[0]
	want(t, "all miss a quarter, most miss nothing", f.bad == 0.25 && f.most < 0.01, true)
}

func TestAFullQueueGetsTimeToDrain(t *testing.T) {
	g := at(10 * second)
	var all []offer
	for id, answer := range []float64{0.1, 1.2} {
		o := offered(uint32(id+1), 0, false, control.Ready)
		o.box, o.tries, o.answer, o.Kind = parts+id, 300, answer, id
		all, g.boxes = append(all, o), append(g.boxes, &inbox{})
	}
	p := planning(g, all...)
	p.Kinds, p.calm = 2, map[int][]float64{0: {0.1}, 1: {0.2}, 2: {0.1}}
	p.norms()
	idle, full := mail[norm](g, parts)[0].goal, mail[norm](g, parts+1)[0].goal
	want(t, "more than by what both answer", idle > 6.5*full, true)
}
