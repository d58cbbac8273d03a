package policy

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"lilacbend/control"
)

func provision() control.Settings {
	return control.Settings{Seed: 7, Controllers: 1, Zones: 2, HardwareClasses: 1, Proxies: 6, ChannelRate: 1000,
		ChannelLimit: 400, MessageOverhead: 4, MaxTransit: second / 2, MessageWindow: 10 * second, ReportInterval: second,
		SlowStartTime: 10 * second, SlowStartFraction: 0.2, OverloadMultiple: 4, Admission: control.AdmitFraction,
		DefaultRetries: control.RetryIfNotExecuted,
		Classes: []control.TrafficClass{
			{PriorityWeight: 1, LatencyObjective: second, Idempotency: control.Idempotent},
			{PriorityWeight: 3, LatencyObjective: second, Idempotency: control.NotIdempotent}}}
}

// at gives a governor whose clock stands there; its parts are the queues' parts.
func at(now int64) *Governor {
	g := New(provision())
	g.now = now
	return g
}

func entries(n int) []control.ListedReplica {
	var es []control.ListedReplica
	for id := 1; id <= n; id++ {
		es = append(es, control.ListedReplica{Replica: uint32(id), Zone: id % 2, Weight: 1})
	}
	return es
}

// mail takes what was put into a queue.
func mail[T any](g *Governor, box int) []T { return some[T](g.queues[box].mail) }

func orders[T any](all []control.Command) []T { return some[T](all) }

func some[T, A any](all []A) (those []T) {
	for _, a := range all {
		if t, ok := any(a).(T); ok {
			those = append(those, t)
		}
	}
	return those
}

func want(t *testing.T, what string, got, wanted any) {
	t.Helper()
	if got != wanted {
		t.Errorf("%s: got %v, want %v", what, got, wanted)
	}
}

func met(g *Governor, tries, bad, answer float64) *replica {
	r := &replica{sharedState: &g.sharedState, box: parts, entry: control.ListedReplica{Replica: 9, Weight: 1}, speed: 1}
	r.fleet = norm{late: 0.4, good: 20, goal: 1}
	r.met = []sample{{g.now, tries, bad, answer}}
	return r
}

func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name                      string
		tries, bad, answer, fleet float64
		rests                     bool
	}{
		{"silent", 10, 10, 0, 0, true},
		{"quick failer", 20, 17, 0.1, 0, true},
		{"slow: answers late", 20, 17, 0.9, 0, false},
		{"half failing: worth more than nothing", 20, 12, 0.1, 0, false},
		{"busy: misses, but gives its share", 60, 40, 0.3, 0, false},
		{"trouble of the whole fleet", 9, 6, 0.2, 0.35, false},
		{"a fleet that is lost", 500, 500, 0, 0.9, false},
		{"too few tries", 4, 4, 0, 0, false},
	} {
		r := met(at(100*second), c.tries, c.bad, c.answer)
		r.fleet.bad = c.fleet
		r.judge()
		want(t, c.name, r.ejectedUntil > r.now, c.rests)
	}
}

func TestTrialEndsOrRelapses(t *testing.T) {
	r := met(at(100*second), 10, 10, 0)
	r.judge()
	first := r.ejectedUntil - r.now
	r.now = r.ejectedUntil
	r.judge()
	want(t, "on trial", r.trial, r.now+r.ReportInterval)
	r.now += 2 * second
	r.met = []sample{{r.now, probationTries, probationTries, 0}}
	r.judge()
	want(t, "longer rest at a ejections", r.ejectedUntil-r.now, 2*first)
	r.now = r.ejectedUntil
	r.judge()
	r.now += 2 * second
	r.met = []sample{{r.now, probationTries, 0, 0.2}}
	r.judge()
	want(t, "well again", r.trial == 0 && r.ejectedUntil == 0, true)
}

func TestOldSamplesAreNotJudged(t *testing.T) {
	r := met(at(100*second), 10, 10, 0)
	r.now += recent
	r.judge()
	want(t, "rests", r.ejectedUntil > 0, false)
}

func TestWarmthStaysInTheColdBudget(t *testing.T) {
	r := met(at(100*second), 0, 0, 0)
	r.entry.Start, r.heard = r.now-second, r.now
	for ; r.now < r.entry.Start+r.SlowStartTime; r.now += second {
		able := r.SlowStartFraction + (1-r.SlowStartFraction)*float64(r.now-r.entry.Start)/float64(r.SlowStartTime)
		if w := r.warmth(); w > coldSpare*r.OverloadMultiple*able || r.now-r.heard < entrySpan && w > entryShare {
			t.Errorf("at age %d: weight %v with %v able", r.now-r.entry.Start, w, able)
		}
	}
	want(t, "warm", r.warmth(), 1.0)
	r.now, r.heard = r.entry.Start+r.SlowStartTime/2, 0 // a zone's flows may double at any moment
	want(t, "half warm: a third of a fall's multiple", r.warmth() > 0.79 && r.warmth() < 0.81, true)
	r.now = r.entry.Start + r.SlowStartTime*9/10
	want(t, "nearly warm: no more than the warm", r.warmth(), 1.0)
}

func TestTheColdGetLessInACollapse(t *testing.T) {
	g := at(100 * second)
	r := met(g, 0, 0, 0)
	r.entry.Start = r.now - second
	calm := r.warmth()
	n := r.fleet
	n.lost = 0.8
	r.take(n)
	if w := r.warmth(); w > calm/2 {
		t.Errorf("weight %v while the fleet misses, %v in calm", w, calm)
	}
}

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
		p.take(demand{lost: 0.8})
		p.norms()
		for _, box := range []int{parts, parts + 19} {
			if got, lost := mail[norm](g, box)[0].lost, map[bool]float64{false: 0.8}[c.bear]; got != lost {
				t.Errorf("%+v: replica %d hears of %v lost, want %v", c, box-parts+1, got, lost)
			}
		}
	}
	r := met(at(100*second), 0, 0, 0)
	r.entry.Start = r.now - second
	r.take(norm{goal: 1, lost: 2 * coldLost})
	want(t, "out", mail[offer](&Governor{sharedState: *r.sharedState}, thePlanner)[0].sick, true)
}

func TestColdWaitsForTheFirstWordOfTheFleet(t *testing.T) {
	g := at(100 * second)
	r := &replica{sharedState: &g.sharedState, box: parts, speed: 1}
	r.take(control.ListedReplica{Replica: 9, Weight: 1, Start: 99 * second})
	want(t, "out", mail[offer](g, thePlanner)[0].sick, true)
	r.take(norm{goal: 1})
	want(t, "in", mail[offer](g, thePlanner)[1].sick, false)
}

func TestRestartIsANewReplica(t *testing.T) {
	r := met(at(100*second), 10, 10, 0)
	r.judge()
	e := r.entry
	e.Start = r.now - second
	r.take(e)
	want(t, "rests", r.ejectedUntil, int64(0))
	want(t, "cold", r.cold(), true)
}

func TestWhatATableCanCarryGoesByOwnWorth(t *testing.T) {
	g := at(100 * second)
	met(g, 0, 0, 0).take(norm{goal: 0.5})
	want(t, "size", mail[offer](g, thePlanner)[0].size, 0.5)
}

func planning(g *Governor, offers ...offer) *planner {
	p := g.queues[thePlanner].part.(*planner)
	for _, o := range offers {
		o.box = len(g.queues)
		p.offers[o.Replica], g.queues = o, append(g.queues, &queue{})
	}
	return p
}

func offered(id uint32, zone int, sick bool, state control.State) offer {
	return offer{ListedReplica: control.ListedReplica{Replica: id, Zone: zone, State: state, Weight: 1}, weight: 1, size: 1,
		ticket: 1 / float64(id), sick: sick}
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
	want(t, "withdrawn at once", mail[control.SetEjected](g, thePacer)[3], control.SetEjected{Replica: 4, Ejected: true})
}

func TestATableWithoutItsOwnTakesGuestsOrGivesItsProxiesToASister(t *testing.T) {
	g := at(0)
	g.Proxies = 12
	p := planning(g, offered(1, 0, false, control.Ready), offered(2, 1, false, control.Gone))
	p.enter(binding{control.StreamOpened{Proxy: 3, Zone: 1, Rate: 5}, 0, 1})
	p.redraw()
	lines := mail[target](g, theSequence)[0].lines
	want(t, "guest", lines[line{1, 1}] > 0, true)
	want(t, "gone", lines[line{1, 2}], 0.0)
	want(t, "a zone that lost all stays at its table", mail[[]int](g, theRegistry)[0][1], 1)
	p = planning(at(0), offered(1, 0, false, control.Ready), offered(2, 0, false, control.Gone))
	p.tables, p.own = 4, map[uint32]int{1: 0, 2: 2}
	p.redraw()
	want(t, "to a sister", mail[[]int](&Governor{sharedState: *p.sharedState}, theRegistry)[0][2], 0)
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
	lines := mail[target](g, theSequence)[0].lines
	kinds := map[int]int{}
	for l := range lines {
		kinds[int(l.id%2)]++
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
	want(t, "the own lines of both and a guest", len(mail[target](g, theSequence)[0].lines), 51)
}

func TestATableOfTheSickTakesGuestsWhoServe(t *testing.T) {
	g := at(0)
	g.Proxies = 12
	p := planning(g, offered(1, 0, false, control.Ready), offered(2, 1, true, control.Ready),
		offered(4, 0, false, control.Ready), offered(5, 0, false, control.Ready))
	p.enter(binding{control.StreamOpened{Proxy: 3, Zone: 1, Rate: 5}, 0, 1})
	p.redraw()
	lines := mail[target](g, theSequence)[0].lines
	want(t, "some serve", lines[line{1, 1}]+lines[line{1, 4}]+lines[line{1, 5}] > 0, true)
}

func TestWeightsFollowWhatIsAnsweredNotTheAnswerTimeAlone(t *testing.T) {
	g := at(10 * second)
	busy, calm := offered(1, 0, false, control.Ready), offered(2, 0, false, control.Ready)
	busy.tries, busy.answer, calm.tries, calm.answer = 90, 0.3, 30, 0.1
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
	o.tries, o.bad = 100, 10
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
	p.enter(binding{control.StreamOpened{Proxy: 7}, 0, 0})
	p.demand = demand{flows: map[int]float64{7: 100}, fresh: map[int]float64{7: 120}}
	want(t, "as ever", len(p.shutOut([]uint32{1, 2}, 1)), 0)
	p.demand.fresh[7] = 200
	out := p.shutOut([]uint32{1, 2}, 1)
	want(t, "the cold only", out[1] && !out[2], true)
}

func steering(g *Governor, laid, wanted map[line]float64, out map[uint32]bool) *sequence {
	s := g.queues[theSequence].part.(*sequence)
	s.laid, s.want, s.out = laid, target{wanted, map[uint32]bool{}}, out
	return s
}

func TestStepsComeInOrderTheLargestFirst(t *testing.T) {
	g := at(0)
	s := steering(g, map[line]float64{{0, 1}: 1, {0, 2}: 1, {0, 3}: 1},
		map[line]float64{{0, 1}: 0.5, {0, 2}: 0.1, {0, 4}: 1}, map[uint32]bool{})
	s.moves[5] = 1
	want(t, "add", s.orders(add)[0], control.Command(control.SetEndpoint{Replica: 4, Weight: 1}))
	want(t, "overwrite", s.orders(overwrite)[0], control.Command(control.SetEndpoint{Replica: 2, Weight: 0.1}))
	want(t, "rebind", s.orders(rebind)[0], control.Command(control.Bind{Proxy: 5, Table: 1}))
	want(t, "remove", s.orders(remove)[0], control.Command(control.SetEndpoint{Replica: 3}))
	s.open[1] = 0
	s.at = remove
	s.proceed()
	steps := mail[step](g, thePacer)
	want(t, "removals wait for additions", len(steps[0].orders), 1)
	s.at = overwrite
	s.proceed()
	want(t, "additions fold in", len(mail[step](g, thePacer)[1].orders), 3)
}

// A proxy whose rebinding is held up, by its cap of messages, keeps its old lines until it has been told of the new ones.
func TestRemovalsWaitForMoves(t *testing.T) {
	g := at(0)
	s := steering(g, map[line]float64{{0, 1}: 1, {1, 1}: 1}, map[line]float64{{1, 1}: 1}, map[uint32]bool{})
	s.moves[5], s.at, s.sent = 1, rebind, true // others were moved, and have answered
	s.proceed()
	for _, o := range mail[step](g, thePacer)[0].orders {
		if l, is := o.(control.SetEndpoint); is && l.Weight == 0 {
			t.Errorf("%v is ordered before the move", l)
		}
	}
	for range steps {
		s.proceed()
	}
	delete(s.moves, 5)
	for range steps {
		s.proceed()
	}
	all := mail[step](g, thePacer)
	want(t, "then it is", fmt.Sprint(all[len(all)-1].orders), fmt.Sprint([]control.Command{control.SetEndpoint{Replica: 1}}))
}

func TestAnAnsweredStepIsOverThoughMoreHasChanged(t *testing.T) {
	s := steering(at(0), map[line]float64{{0, 1}: 1, {0, 2}: 1}, map[line]float64{{0, 1}: 0.5}, map[uint32]bool{})
	s.at, s.sent = overwrite, true
	s.proceed()
	want(t, "removals come", s.at, remove)
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
		p.take(demand{lost: 0.8})
		p.norms()
		want(t, "lost", mail[norm](g, parts+9)[0].lost, lost)
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
		p.take(demand{lost: lost})
		p.norms()
		want(t, "together", p.coldest([]uint32{6}).together, together)
		want(t, "lost, as the cold hear", mail[norm](g, parts+9)[0].lost, 0.0)
	}
}

func TestASickColdOneBearsNothing(t *testing.T) {
	r := met(at(100*second), 0, 0, 0)
	r.entry.Start = r.now - second
	want(t, "well", r.able() > 0, true)
	r.ejectedUntil = r.now + second
	want(t, "silent", r.able(), 0.0)
}

// A replica that was withdrawn still has lines, of when it was warm: proxies pick by them from the moment that it is let in.
func TestNobodyIsLetInByLinesOfAnEarlierWeight(t *testing.T) {
	g := at(0)
	s := steering(g, map[line]float64{{0, 1}: 1, {1, 1}: 1, {2, 1}: 0.21}, map[line]float64{{0, 1}: 0.2, {2, 1}: 0.2}, map[uint32]bool{1: true})
	orders := s.orders(add)
	want(t, "all of its lines that differ go with it, those it has to lose too", fmt.Sprint(orders), fmt.Sprint([]control.Command{
		control.SetEndpoint{Table: 1, Replica: 1}, control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.2},
		control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.2}, control.SetEjected{Replica: 1}}))
	p := g.queues[thePacer].part.(*pacer)
	for proxy := range 2 {
		p.bind(proxy, proxy)
		p.laid[proxy] = map[uint32]float64{1: 1}
	}
	g.MaxMessages, g.MessageWindow = 4, 10*second
	p.sendTimes[0] = []int64{0, 0, 0} // may take no more
	p.step = step{len(orders), orders}
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
	s := steering(g, map[line]float64{{0, 1}: 0.2, {1, 1}: 0.4}, map[line]float64{{0, 1}: 0.3, {1, 1}: 0.3, {2, 1}: 0.3}, map[uint32]bool{1: true})
	wanted := []control.Command{control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.3}, control.SetEndpoint{Table: 1, Replica: 1, Weight: 0.3},
		control.SetEjected{Replica: 1}, control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.3}}
	want(t, "order", fmt.Sprint(s.orders(add)), fmt.Sprint(wanted))
	p := g.queues[thePacer].part.(*pacer)
	p.laid = map[int]map[uint32]float64{0: {1: 0.2}, 1: {1: 0.4}, 2: {}}
	for table := range 3 {
		p.bind(table, table)
	}
	p.ejected[1], p.cold.together = true, true
	g.MaxMessages = 4
	p.sendTimes[2] = []int64{0, 0, 0} // its line is held up, and the lift with it
	p.step = step{4, s.orders(add)}
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
	lifting := func() (*Governor, *pacer) {
		g := at(0)
		p := pacing(g, 10)
		p.cold = coldSet{map[uint32]bool{}, true}
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

func TestARemovalOfWhoIsBackNeverLeaves(t *testing.T) {
	s := steering(at(0), map[line]float64{{0, 1}: 1}, map[line]float64{}, map[uint32]bool{1: true})
	s.want.out[1] = true // gone, and not back yet
	want(t, "queued", len(s.orders(remove)), 1)
	s.take(target{map[line]float64{{0, 1}: 1}, map[uint32]bool{}})
	want(t, "dropped", len(s.orders(remove)), 0)
	want(t, "lifted", s.orders(add)[0], control.Command(control.SetEjected{Replica: 1}))
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
	r := g.queues[theRegistry].part.(*registry)
	r.take(marked{mark: 70000, proxies: []int{1, 2}})
	r.take(control.Ack{Proxy: 1, Nonce: 70000 & marksMask})
	want(t, "still open", len(mail[acked](g, theSequence)), 0)
	r.take(control.StreamClosed{Proxy: 2})
	want(t, "closed", mail[acked](g, theSequence)[0], acked{mark: 70000, all: true})
}

// A crowd that leaves at once empties no channel: its lines, and all before them, are charged until somebody answers
// what was written later, or their time and more is over.
func TestLeavingClearsNothingFromTheChannel(t *testing.T) {
	g := at(0)
	g.ChannelLimit, g.ChannelRate = 49200, 1200
	r, p := g.queues[theRegistry].part.(*registry), pacing(g, 1)
	p.under = []batch{{mark: 1, lines: 20000, due: 17 * second}, {mark: 2, lines: 20000, due: 34 * second}}
	for mark := uint64(1); mark <= 2; mark++ {
		r.take(marked{mark: mark, proxies: []int{int(mark)}})
	}
	clear := func() float64 {
		for _, c := range mail[acked](g, thePacer) {
			p.take(c)
		}
		return p.queue()
	}
	r.take(control.StreamClosed{Proxy: 1})
	r.take(control.StreamOpened{Proxy: 2})
	want(t, "after a leaving and a new stream", clear(), 40000.0)
	p.now = 34 * second
	want(t, "the second waits behind the first", p.queue(), 20000.0)
	r.take(marked{mark: 3, proxies: []int{2}})
	r.take(control.Ack{Proxy: 2, Nonce: 3})
	want(t, "once a later mark is answered", clear(), 0.0)
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
	f := mail[fleet](g, theLevels)[0]
	want(t, "all miss a quarter, most miss nothing", f.bad == 0.25 && f.most < 0.01, true)
}

func TestAFullQueueGetsTimeToDrain(t *testing.T) {
	g := at(10 * second)
	calm, full := offered(1, 0, false, control.Ready), offered(2, 0, false, control.Ready)
	calm.tries, calm.answer, full.tries, full.answer, full.HardwareClass = 300, 0.1, 300, 1.2, 1
	p := planning(g, calm, full)
	p.HardwareClasses, p.calm = 2, map[int][]float64{0: {0.1}, 1: {0.2}, 2: {0.1}}
	p.norms()
	a, b := mail[norm](g, parts)[0].goal, mail[norm](g, parts+1)[0].goal
	want(t, "more than by what both answer", a > 6.5*b, true)
}

func pacing(g *Governor, proxies int) *pacer {
	p := g.queues[thePacer].part.(*pacer)
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
	p.take(control.SetEjected{Replica: 5, Ejected: true})
	p.send()
	want(t, "withdrawn", len(orders[control.SetEjected](g.out)), 1)
	if q := p.queue(); q > urgentPart*400 || len(orders[control.SetEndpoint](g.out)) == 0 {
		t.Errorf("queue %v", q)
	}
	sent := len(g.out)
	p.send()
	want(t, "more while nobody answers", len(g.out), sent)
	p.take(acked{mark: p.mark, all: true})
	p.send()
	want(t, "goes on once answered", len(g.out) > sent, true)
}

func TestALineHeldUpHoldsUpNoOther(t *testing.T) {
	g := at(0)
	g.MaxMessages = 4
	p := pacing(g, 2)
	p.laid[1], p.sendTimes[0] = map[uint32]float64{}, []int64{0, 0, 0}
	p.bind(1, 1)
	p.take(step{2, []control.Command{control.SetEndpoint{Replica: 1, Weight: 1},
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
	p.take(step{1, lines})
	p.send()
	want(t, "the addition only", len(orders[control.SetEndpoint](g.out)), 1)
}

func TestMessageCapOfAProxy(t *testing.T) {
	g := at(0)
	g.MaxMessages, g.ChannelLimit = 10, 1<<20
	p := pacing(g, 1)
	for k := range 20 {
		p.step = step{0, []control.Command{control.SetEndpoint{Replica: 1, Weight: float64(k + 1)}}}
		p.send()
	}
	want(t, "changed lines", len(orders[control.SetEndpoint](g.out)), int(ordinaryMsgs*10))
	for k := range 20 {
		p.take(control.SetEjected{Replica: uint32(k), Ejected: true})
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
	p.take(control.SetEjected{Replica: 99, Ejected: true})
	p.send()
	m := mail[marked](g, theRegistry)[0]
	want(t, "only the proxy that holds it", len(m.proxies) == 1 && m.proxies[0] == 1, true)
	p.now = p.under[0].due + lostSpan + 1
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
	l := g.queues[theLevels].part.(*levels)
	l.take(control.Demand{Class: 0, Requests: 200})
	l.take(control.Demand{Class: 1, Requests: 200})
	return l
}

func TestTheLineBlocksTheLeastUtilityFirst(t *testing.T) {
	g := at(100 * second)
	l := levelling(g)
	l.take(fleet{tries: 100, bad: 0.2, most: 0.2, answer: 0.2, serves: 1})
	want(t, "line", l.line < 2 && l.line > 1, true)
	o := mail[control.SetAdmission](g, thePacer)
	want(t, "only the lesser group", len(o) == 2 && o[0].Fraction == 1 && o[1].Class == 0 && o[1].Fraction < 1, true)
	want(t, "one try only", o[1].Retries, control.NoRetry)
	l.now += 2 * recent
	l.take(fleet{tries: 100, answer: 0.2, serves: 1})
	want(t, "further tries again", mail[control.SetAdmission](g, thePacer)[2].Retries, control.RetryIfNotExecuted)
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

// Where many proxies share one intake, sums tell of some seconds at once: an overload that has passed meanwhile would be
// answered by blocking a calm fleet, by all governors together.
func TestAnOverloadIsAnsweredOnceItOutlastsWhatItsSumsAreLate(t *testing.T) {
	for span, falls := range map[int64][]bool{second: {true, true}, 4 * second: {false, true}} {
		l := levelling(at(100 * second))
		l.ReportInterval = second
		for k := range l.came {
			l.came[k].Period = span
		}
		over := fleet{tries: 100, answer: 2, serves: 1}
		l.take(fleet{tries: 100, answer: 0.2, serves: 1})
		for k, fall := range falls {
			l.now += int64(k) * (span - second)
			l.take(over)
			want(t, "blocks", l.line < 2, fall)
		}
	}
	l := levelling(at(100 * second))
	l.came[0].Period, l.came[1].Period = 4*second, 4*second
	l.take(fleet{tries: 100, answer: 0.2, serves: 1})
	l.take(fleet{tries: 100, answer: 2, serves: 1})
	l.now += 2 * second
	l.take(fleet{tries: 100, answer: 0.2, serves: 1}) // eases in between
	l.now += 2 * second
	l.take(fleet{tries: 100, answer: 2, serves: 1})
	want(t, "begins anew", l.line, 2.0)
}

// A governor that has just begun, or whose zones are cut off, hears of a few answers, late ones: they tell of no queue.
func TestAFewAnswersAreNoOverload(t *testing.T) {
	for _, f := range []fleet{
		{tries: 1, bad: 0.33, most: 0, answer: 2.1, serves: 60},
		{tries: 88, bad: 0.99, most: 0.89, answer: 0.3, serves: 28, calm: 0.1},
	} {
		l := levelling(at(100 * second))
		l.take(f)
		want(t, "all groups are let in", l.line, 2.0)
		f.tries *= 10
		l.take(f)
		want(t, "many answers are one", l.line < 2, true)
	}
}

// What was blocked for a fault that is over comes back soon; while falls follow each other it comes back as slowly as ever.
func TestTheLineRisesTheQuickerTheLongerItIsCalm(t *testing.T) {
	l := levelling(at(100 * second))
	l.take(fleet{tries: 100, bad: 0.5, most: 0.5, answer: 1, serves: 1})
	calm := fleet{tries: 100, answer: 0.2, serves: 1}
	rise := func(span int64) float64 {
		before := l.line
		for until := l.now + span; l.now < until; {
			l.now += second / 4
			l.take(calm)
		}
		return l.line - before
	}
	rise(recent)
	slow := rise(demandSpan - recent)
	want(t, "a hundredth a second at first", math.Abs(slow-lineUp*2*4) < 1e-9, true)
	rise(2 * demandSpan)
	want(t, "three times as quick", rise(second) > 2.9*lineUp*2, true)
	l.take(fleet{tries: 100, bad: 0.5, most: 0.5, answer: 1, serves: 1})
	rise(recent)
	want(t, "slow again after a fall", math.Abs(rise(second)-lineUp*2) < 1e-9, true)
}

func TestWhereLevelsAreNotFollowedOnlyTriesStop(t *testing.T) {
	g := at(100 * second)
	g.Admission = control.AdmitAll
	levelling(g).take(fleet{tries: 100, bad: 0.9, most: 0.9, answer: 3})
	for _, o := range mail[control.SetAdmission](g, thePacer) {
		want(t, "level", o, control.SetAdmission{Table: control.AllTables, Class: o.Class, Fraction: 1})
	}
}

func day(events ...control.Event) (all []control.Command) {
	g := New(provision())
	all = g.Turn(0, []control.Event{control.ReplicasListed{Full: true, Entries: entries(6)}})
	for proxy := range 6 {
		events = append([]control.Event{control.StreamOpened{Proxy: proxy, Zone: proxy % 2, Rate: 10}}, events...)
	}
	for k, ev := range events {
		all = append(all, g.Turn(int64(k+1)*second, []control.Event{ev, control.TimerFired{}})...)
	}
	return all
}

func TestOddEventsNameNothingUnknown(t *testing.T) {
	odd := []control.Event{control.Outcomes{Replica: 77, Attempts: 9, Failures: 9}, control.Outcomes{Replica: 1},
		control.StreamClosed{Proxy: 88}, control.Demand{Class: 9, Proxy: 99}, control.Ack{Proxy: 99, Nonce: 4},
		control.Ack{Proxy: 1, Nonce: 60000}, control.HealthCheckFinished{Replica: 77}, control.ReplicasListed{Failed: true},
		control.ReplicasListed{Full: true}, control.ReplicasListed{}, control.StreamOpened{Proxy: 50, Zone: 200},
		control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 3, Zone: 99, HardwareClass: 9}}}}
	all := day(odd...)
	for _, o := range orders[control.SetEndpoint](all) {
		want(t, "known replica", o.Replica >= 1 && o.Replica <= 6, true)
	}
	want(t, "all bound", len(orders[control.Bind](all)), 7)
	want(t, "the same again", reflect.DeepEqual(all, day(odd...)), true)
}

func TestWhoIsLongGoneIsForgottenAndStaysWithdrawn(t *testing.T) {
	g := New(provision())
	g.Turn(0, []control.Event{control.ReplicasListed{Full: true, Entries: entries(3)}, control.StreamOpened{Proxy: 1}})
	g.Turn(second, []control.Event{control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 2, State: control.Gone}}}})
	all := g.Turn(2*second+forgetSpan, []control.Event{control.TimerFired{}})
	all = append(all, g.Turn(3*second+forgetSpan, []control.Event{control.TimerFired{}})...)
	for _, o := range orders[control.SetEjected](all) {
		want(t, "lifted", o.Ejected, true)
	}
	want(t, "known", len(g.replicas), 2)
	g.Turn(4*second+forgetSpan, []control.Event{control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 9}}}})
	want(t, "its queue serves another", len(g.queues), parts+3)
}

func TestALateWithdrawalDoesNotUndoALift(t *testing.T) {
	g := at(0)
	p := pacing(g, 1)
	p.take(control.SetEjected{Replica: 5, Ejected: true})
	p.take(step{1, []control.Command{control.SetEjected{Replica: 5}}})
	p.send()
	want(t, "orders", reflect.DeepEqual(orders[control.SetEjected](g.out), []control.SetEjected{{Replica: 5}}), true)
}

func TestNoFurtherTryThatCouldActTwice(t *testing.T) {
	l := at(0).queues[theLevels].part.(*levels)
	l.DefaultRetries, l.AttemptTimeoutFactor = control.RetryTwice, 1
	for _, c := range []struct {
		group control.TrafficClass
		tries control.RetryPolicy
	}{
		{control.TrafficClass{Idempotency: control.Idempotent}, control.RetryTwice},
		{control.TrafficClass{Idempotency: control.NotIdempotent}, control.RetryIfNotExecuted},
		{control.TrafficClass{Idempotency: control.IdempotentByKey, DeduplicationWindow: 1e12}, control.RetryIfNotExecuted},
		{control.TrafficClass{Idempotency: control.IdempotentByKey, DeduplicationScope: control.ScopeAll, DeduplicationWindow: 5e9}, control.RetryTwice},
		{control.TrafficClass{Idempotency: control.IdempotentByKey, DeduplicationScope: control.ScopeAll}, control.RetryIfNotExecuted},
	} {
		c.group.LatencyObjective = second
		want(t, "tries", l.usual(c.group), c.tries)
	}
}

func TestTheFirstFallGoesByTheReplicasLeft(t *testing.T) {
	var lines []float64
	for _, left := range []float64{10, 5} {
		l := levelling(at(100 * second))
		l.take(fleet{tries: 50, answer: 0.2, serves: 10})
		l.take(fleet{tries: 100, bad: 0.8, most: 0.8, answer: 2, serves: left}) // of 100 flows
		lines = append(lines, l.line)
	}
	want(t, "half are lost, half is let in", lines[1], lines[0]/2)
}

// A governor that has just begun, or that got the proxies of another, hears of flows before it hears of their tries: what it
// knows to be served is no measure of what can be (seed 29 of the laboratory's fleet: nine in ten blocked for a minute).
func TestTheFirstFallAllowsForTriesThatAreNotToldOfYet(t *testing.T) {
	for tries, line := range map[float64]float64{100: 1.8, 20: 1.8, 200: 2} { // of 100 flows; more are tried again
		l := levelling(at(100 * second))
		l.take(fleet{tries: tries, answer: 2, serves: 10})
		want(t, "a tenth is blocked", math.Round(100*l.line)/100, line)
	}
}

// Seed 67 of the laboratory's rules: a stream that broke for 63 ms got 31 messages in a span for 30, as the cap began anew.
func TestTheMessageCapOutlivesAStream(t *testing.T) {
	g := at(20 * second)
	g.MaxMessages, g.MessageWindow = 10, 10*second
	p := g.queues[thePacer].part.(*pacer)
	p.take(control.StreamOpened{Proxy: 0})
	p.sendTimes[0] = []int64{11 * second, 12 * second, 13 * second, 14 * second, 15 * second, 16 * second, 17 * second, 18 * second, 19 * second}
	p.laid[0] = map[uint32]float64{9: 1}
	p.reached = map[int]bool{}
	p.take(control.StreamClosed{Proxy: 0})
	p.take(control.StreamOpened{Proxy: 0})
	want(t, "written at once", p.write(control.Bind{Proxy: 0}, 1, urgentMsgs), false)
	g.now = 22 * second
	want(t, "written once two are long ago", p.write(control.Bind{Proxy: 0}, 1, urgentMsgs), true)
}
