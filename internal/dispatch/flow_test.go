package dispatch

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/control"
)

const second = int64(1e9)

func plan() Plan {
	return Plan{Seed: 3, TryFactor: 1, Usual: control.RetryIfNotExecuted, Strikes: 3, Shun: 5 * second, RepeatShare: 0.5, RepeatBurst: 10,
		Flows: 4, ReplicaFlows: 2, WaitMost: 1, WaitSpan: second, Admission: control.AdmitFraction, Groups: []Group{
			{"read", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.Idempotent}},
			{"order", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.IdempotentByKey, DeduplicationScope: control.ScopeZone, DeduplicationWindow: 5 * second / 2}},
			{"payout", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.NotIdempotent}}}}
}

// desk has four replicas, a1 and a2 in zone a, b1 and b2 in zone b, all with a line of each group.
func desk(t testing.TB, change func(*Plan), pushes ...Push) *Desk {
	p := plan()
	if change != nil {
		change(&p)
	}
	d, err := New(p)
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]Listed{}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		listed[id] = Listed{Zone: id[:1], Cell: id, Address: id + ":80"}
	}
	d.List(true, listed)
	for _, push := range append([]Push{{Full: true, Lines: map[string]float64{"a1": 1, "a2": 1, "b1": 1, "b2": 1}}}, pushes...) {
		if err := d.Apply(0, push); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

func manner(m control.RetryPolicy) Push { return Push{Levels: []Level{{1, m}}} }

func TestWhatFollowsATry(t *testing.T) {
	const read, order, payout = 0, 1, 2
	for _, c := range []struct {
		what   string
		group  int
		manner control.RetryPolicy
		ended  []Outcome
		at     []int64 // of each end
		tries  int
		reason Reason // of the last step; None: good, or one more try
	}{
		{"good at once", payout, 3, []Outcome{Good}, []int64{1}, 1, None},
		{"one try only", read, 0, []Outcome{NeverRan}, []int64{1}, 1, Failed},
		{"after proof", read, 1, []Outcome{NeverRan, Good}, []int64{1, 2}, 2, None},
		{"one more, not two", read, 1, []Outcome{NeverRan, NeverRan}, []int64{1, 2}, 2, Failed},
		{"no proof", read, 1, []Outcome{Broke}, []int64{1}, 1, Failed},
		{"after any failure", read, 2, []Outcome{Late, Good}, []int64{second, second + 1}, 2, None},
		{"two more", read, 3, []Outcome{Broke, Late, Good}, []int64{1, 2, 3}, 3, None},
		{"two more, not three", read, 3, []Outcome{Broke, Late, Broke}, []int64{1, 2, 3}, 3, Failed},
		{"its time is over", read, 3, []Outcome{Late}, []int64{4 * second}, 1, Expired},
		{"a payout may have run", payout, 3, []Outcome{Broke}, []int64{1}, 1, Unclear},
		{"a payout was late", payout, 2, []Outcome{Late}, []int64{1}, 1, Unclear},
		{"a payout never ran", payout, 2, []Outcome{NeverRan, Good}, []int64{1, 2}, 2, None},
		{"a payout never ran, then may have", payout, 3, []Outcome{NeverRan, Broke}, []int64{1, 2}, 2, Unclear},
		{"an order within its window", order, 2, []Outcome{Late, Good}, []int64{second, second + 1}, 2, None},
		{"an order at the edge of its window", order, 2, []Outcome{Late}, []int64{3 * second / 2}, 1, TooLate},
		{"just within", order, 2, []Outcome{Late}, []int64{3*second/2 - 1}, 2, None},
		{"an order that never ran has no window", order, 1, []Outcome{NeverRan, Good}, []int64{3 * second, 3*second + 1}, 2, None},
		{"the window is that of the first that may have run", order, 3, []Outcome{NeverRan, Broke, Good}, []int64{second, 2 * second, 2*second + 1}, 3, None},
		{"an order without a second one of its zone", order, 3, []Outcome{Broke, Broke}, []int64{1, 2}, 2, NoReplica},
	} {
		d := desk(t, nil, manner(c.manner))
		f, s := d.Begin(0, c.group, true)
		for k, e := range c.ended {
			if s.Try == "" {
				t.Fatalf("%s: step %d is %+v", c.what, k, s)
			}
			s = d.Ended(c.at[k], f, e)
		}
		last := c.ended[len(c.ended)-1]
		if s.Reason != c.reason || len(f.tries) != c.tries || (last == Good) != s.Good || s.Final == (s.Try != "") {
			t.Errorf("%s: %+v after %d tries, want %q after %d", c.what, s, len(f.tries), c.reason, c.tries)
		}
		for k, a := range f.tries {
			for _, b := range f.tries[:k] {
				if a.replica == b.replica {
					t.Errorf("%s: %s is tried twice", c.what, a.replica)
				}
				if c.group == order && last != NeverRan && !b.never() && a.zone != b.zone {
					t.Errorf("%s: tried in zones %s and %s", c.what, b.zone, a.zone)
				}
			}
		}
		if s.Final && d.InHand() != 0 {
			t.Errorf("%s: %d in hand", c.what, d.InHand())
		}
	}
}

func TestATryWaitsForAsLongAsAFurtherOneMayFollow(t *testing.T) {
	for _, c := range []struct {
		group  int
		manner control.RetryPolicy
		replay bool
		until  int64
	}{{0, 0, true, 4}, {0, 1, true, 4}, {0, 2, true, 1}, {0, 2, false, 4}, {2, 3, true, 4}, {1, 3, true, 1}} {
		d := desk(t, nil, manner(c.manner))
		if _, s := d.Begin(0, c.group, c.replay); s.Until != c.until*second {
			t.Errorf("%+v: until %d", c, s.Until)
		}
	}
}

func TestWhatIsNotLetIn(t *testing.T) {
	half, rate := Push{Levels: []Level{{0.5, 1}}}, Push{Levels: []Level{{10, 1}}}
	in := func(d *Desk, n int, every int64) (let int) {
		for k := range n {
			f, s := d.Begin(int64(k)*every+1, 0, true)
			if s.Try != "" {
				let++
				d.Ended(int64(k)*every+1, f, Good)
			} else if s.Reason != LevelClosed {
				t.Errorf("%+v", s)
			}
		}
		return let
	}
	if n := in(desk(t, nil, half), 1000, 1); n < 450 || n > 550 {
		t.Errorf("half lets %d of 1000 in", n)
	}
	if n := in(desk(t, func(p *Plan) { p.Admission = control.AdmitRate }, rate), 1000, second/100); n < 100 || n > 111 {
		t.Errorf("10 a second let %d in in 10 s", n)
	}
	if n := in(desk(t, func(p *Plan) { p.Admission = control.AdmitAll }, half), 100, 1); n != 100 {
		t.Errorf("levels that are not followed let %d of 100 in", n)
	}
	if n := in(desk(t, nil, Push{Levels: []Level{{0, 1}}}), 100, 1); n != 0 {
		t.Errorf("a closed level let %d in", n)
	}
	d := desk(t, nil)
	d.Drain()
	if _, s := d.Begin(0, 0, true); s.Reason != Draining {
		t.Errorf("%+v", s)
	}
}

func TestLimits(t *testing.T) {
	d := desk(t, nil)
	var flows []*Flow
	for k := range 4 {
		f, s := d.Begin(0, 0, true)
		if flows = append(flows, f); s.Try == "" {
			t.Fatalf("flow %d: %+v", k, s)
		}
	}
	waits, s := d.Begin(0, 0, true)
	if !s.Wait || s.Until != second {
		t.Errorf("the fifth: %+v", s)
	}
	if _, s := d.Begin(0, 0, true); s.Reason != TooMany {
		t.Errorf("the sixth: %+v", s)
	}
	if s = d.Again(second/2, waits); !s.Wait || s.Until != second {
		t.Errorf("still full: %+v", s)
	}
	d.Ended(1, flows[0], Good)
	if s = d.Again(second/2, waits); s.Try == "" {
		t.Errorf("a place is free: %+v", s)
	}
	late, s := d.Begin(second, 0, true)
	if s = d.Again(2*second, late); s.Reason != Waiting || d.InHand() != 4 {
		t.Errorf("waited too long: %+v, %d in hand", s, d.InHand())
	}
	d = desk(t, func(p *Plan) { p.Flows = 100 })
	for range 8 {
		d.Begin(0, 0, true)
	}
	if _, s = d.Begin(0, 0, true); !s.Wait {
		t.Errorf("all replicas have as many as they may: %+v", s)
	}
	for id, r := range d.replicas {
		if r.flows != 2 {
			t.Errorf("%s has %d", id, r.flows)
		}
	}
}

func TestRepeatsAreAShareOfTheFlows(t *testing.T) {
	d := desk(t, func(p *Plan) { p.Strikes, p.RepeatShare = 0, 0.1 }, manner(2))
	for range 1000 {
		f, s := d.Begin(0, 0, true)
		for !s.Final {
			s = d.Ended(1, f, Broke)
		}
	}
	if n := d.Count.Repeats; n < 100 || n > 111 || d.Count.Dropped[RepeatsOut]+d.Count.Dropped[Failed] != 1000 {
		t.Errorf("%d repeats of 1000 flows that all fail: %v", n, d.Count.Dropped)
	}
}

func TestWhoFailsInARowIsShunned(t *testing.T) {
	d := desk(t, nil, manner(0), Push{Lines: map[string]float64{"a1": 1000}})
	for range 3 {
		f, s := d.Begin(0, 0, true)
		for s.Try != "a1" {
			d.Ended(0, f, Good)
			f, s = d.Begin(0, 0, true)
		}
		d.Ended(0, f, Broke)
	}
	for k := range 50 {
		f, s := d.Begin(int64(k), 0, true)
		if d.Ended(int64(k), f, Good); s.Try == "a1" {
			t.Fatal("picked, though shunned")
		}
	}
	d.Apply(0, Push{Lines: map[string]float64{"a2": 0, "b1": 0, "b2": 0}})
	f, s := d.Begin(9, 0, true)
	if s.Try != "a1" {
		t.Errorf("nobody else is left, and: %+v", s)
	}
	d.Abandon(f)
	if d.InHand() != 0 || d.replicas["a1"].flows != 0 || d.replicas["a1"].failed != 0 {
		t.Errorf("an abandoned flow is held against its replica: %+v", d.replicas["a1"])
	}
}

// Once its time is over one flow finds out, and a replica that is not well is shunned for longer.
func TestWhoWasShunnedIsTriedByOneFlow(t *testing.T) {
	d := desk(t, func(p *Plan) { p.Flows, p.ReplicaFlows = 100, 100 }, manner(0), Push{Lines: map[string]float64{"a2": 0, "b1": 0, "b2": 0.001}})
	now := int64(0)
	fail := func(n int) {
		var flows []*Flow
		for range n {
			f, s := d.Begin(now, 0, true)
			if s.Try == "a1" {
				flows = append(flows, f)
			} else {
				d.Ended(now, f, Good)
			}
		}
		for _, f := range flows {
			d.Ended(now, f, Broke)
		}
		if n == 20 && len(flows) != 1 {
			t.Errorf("at %d it got %d flows", now, len(flows))
		}
	}
	fail(10)
	for _, span := range []int64{5, 10, 20, 40, 40} {
		if until := d.replicas["a1"].shunned - now; until != span*second {
			t.Errorf("shunned for %d, want %d", until, span*second)
		}
		now += span * second
		fail(20)
	}
	now += 40 * second
	f, s := d.Begin(now, 0, true)
	if d.Ended(now, f, Good); s.Try != "a1" || d.replicas["a1"].relapse != 0 {
		t.Errorf("%+v, %+v", s, d.replicas["a1"])
	}
}

func TestWhoIsQuietIsAvoidedBeforeItFails(t *testing.T) {
	d := desk(t, func(p *Plan) { p.Flows, p.ReplicaFlows = 100, 100 }, Push{Lines: map[string]float64{"a2": 0, "b1": 0, "b2": 0.001}})
	var first *Flow
	for k := range 3 {
		f, s := d.Begin(0, 0, true)
		if s.Try != "a1" {
			t.Fatalf("%d: %+v", k, s)
		}
		first = f
	}
	if f, s := d.Begin(second+1, 0, true); s.Try != "b2" { // three flows, no answer for its budget
		t.Errorf("%+v", s)
	} else {
		d.Ended(second+1, f, Good)
	}
	d.Ended(second+1, first, Good)
	if _, s := d.Begin(second+2, 0, true); s.Try != "a1" {
		t.Errorf("after an answer: %+v", s)
	}
}

func TestWhoMayNotBePicked(t *testing.T) {
	for what, change := range map[string]func(*Desk){
		"shut out": func(d *Desk) { d.Apply(0, Push{Shut: []string{"a1"}}) },
		"draining": func(d *Desk) { d.List(false, map[string]Listed{"a1": {State: control.Draining}}) },
		"gone":     func(d *Desk) { d.List(false, map[string]Listed{"a1": {State: control.Gone}}) },
		"unlisted": func(d *Desk) { d.List(true, map[string]Listed{"b1": {Address: "x"}}) },
		"no line":  func(d *Desk) { d.Apply(0, Push{Lines: map[string]float64{"a1": 0}}) },
	} {
		d := desk(t, nil)
		d.Apply(0, Push{Full: true, Lines: map[string]float64{"a1": 1}})
		f, s := d.Begin(0, 0, true)
		if s.Try != "a1" {
			t.Fatalf("%s: %+v", what, s)
		}
		change(d)
		if _, s = d.Begin(0, 0, true); s.Reason != NoReplica {
			t.Errorf("%s: %+v", what, s)
		}
		if s = d.Ended(1, f, Good); !s.Good { // one that is under way goes on
			t.Errorf("%s: the flow under way: %+v", what, s)
		}
	}
}

func TestPushesAreAppliedWholeOrNotAtAll(t *testing.T) {
	for what, p := range map[string]Push{
		"group":  {Groups: []string{"reads"}, Full: true, Lines: map[string]float64{"z": 1}},
		"weight": {Full: true, Lines: map[string]float64{"z": -1}}, "number": {Full: true, Lines: map[string]float64{"z": math.NaN()}},
		"level": {Full: true, Levels: []Level{{-0.5, 1}}, Shut: []string{"a1"}}, "manner": {Full: true, Levels: []Level{{1, 4}}}, "name": {Lines: map[string]float64{"": 1}},
	} {
		d := desk(t, nil)
		if err := d.Apply(0, p); !errors.Is(err, ErrUnusable) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", what, err)
		}
		if n := d.Tables(); n["read"] != 4 || n["payout"] != 4 || len(d.shut) != 0 || d.tables[0].set {
			t.Errorf("%s: left %v", what, n)
		}
	}
	d := desk(t, nil, manner(2), Push{Shut: []string{"a1"}})
	d.Apply(0, Push{Groups: []string{"order"}, Full: true, Lines: map[string]float64{"b1": 2}})
	if n := d.Tables(); n["order"] != 1 || n["read"] != 4 || d.tables[1].set || !d.tables[0].set || !d.shut["a1"] {
		t.Errorf("a full table of one group: %v", n)
	}
}

func TestPicksFollowWeights(t *testing.T) {
	for _, pick := range []control.PickPolicy{control.PickRandom, control.PickRoundRobin, control.PickPowerOfTwo} {
		d := desk(t, func(p *Plan) { p.Pick, p.Flows = pick, 1 }, Push{Lines: map[string]float64{"a1": 6, "a2": 3, "b1": 1, "b2": 0}})
		got := map[string]int{}
		for range 1000 {
			f, s := d.Begin(0, 0, true)
			got[s.Try]++
			d.Ended(0, f, Good)
		}
		if a, b, c := got["a1"], got["a2"], got["b1"]; a < 550 || a > 650 || b < 250 || b > 350 || c < 70 || c > 130 {
			t.Errorf("pick %d: %v", pick, got)
		}
	}
}

// Whatever happens in whatever order: one final answer for each flow, no second effect, no flow or place left over.
func TestEveryFlowEndsOnceAndRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := desk(&testing.T{}, nil)
		type going struct {
			f *Flow
			s Step
			n int // finals
		}
		var flows []*going
		now := int64(0)
		check := func(g *going, s Step) {
			if one := btoi(s.Try != "") + btoi(s.Wait) + btoi(s.Final); one != 1 {
				t.Fatalf("%+v is %d things", s, one)
			}
			if g.s = s; s.Final {
				g.n++
			}
			if s.Try != "" && (s.Until <= now || d.shut[s.Try]) {
				t.Fatalf("%+v at %d, shut out: %v", s, now, d.shut[s.Try])
			}
			group := d.plan.Groups[g.f.group]
			var may []try
			for _, a := range g.f.tries {
				if !a.never() {
					may = append(may, a)
				}
			}
			if group.Idempotency == control.NotIdempotent && len(may) > 1 {
				t.Fatalf("a payout may have run at %v", may)
			}
			for _, a := range may[min(1, len(may)):] {
				if group.Idempotency == control.IdempotentByKey && (a.zone != may[0].zone || a.began-may[0].began >= group.DeduplicationWindow) {
					t.Fatalf("an order may have run at %v", may)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				f, s := d.Begin(now, rapid.IntRange(0, 2).Draw(t, "group"), rapid.Bool().Draw(t, "replay"))
				g := &going{f: f}
				flows = append(flows, g)
				check(g, s)
			},
			"go on": func(t *rapid.T) {
				if len(flows) == 0 {
					return
				}
				g := flows[rapid.IntRange(0, len(flows)-1).Draw(t, "flow")]
				switch {
				case g.s.Try != "" && rapid.IntRange(0, 9).Draw(t, "gone") == 0:
					d.Abandon(g.f)
					g.s, g.n = Step{Final: true}, g.n+1
				case g.s.Try != "":
					check(g, d.Ended(now, g.f, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))))
				case g.s.Wait:
					check(g, d.Again(now, g.f))
				}
			},
			"time": func(t *rapid.T) { now += rapid.Int64Range(1, 2*second).Draw(t, "span") },
			"push": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a1", "a2", "b1", "b2"}).Draw(t, "id")
				d.Apply(now, Push{Lines: map[string]float64{id: rapid.Float64Range(0, 2).Draw(t, "weight")}, Levels: []Level{{rapid.Float64Range(0, 1).Draw(t, "share"), control.RetryPolicy(rapid.IntRange(0, 3).Draw(t, "manner"))}}})
				if rapid.Bool().Draw(t, "shut") {
					d.Apply(now, Push{Shut: []string{id}})
				} else {
					d.Apply(now, Push{Let: []string{id}})
				}
			},
		})
		now += 10 * second
		for _, g := range flows {
			for g.s.Wait || g.s.Try != "" {
				if g.s.Wait {
					check(g, d.Again(now, g.f))
				} else {
					check(g, d.Ended(now, g.f, Late))
				}
			}
			if g.n != 1 {
				t.Fatalf("%d final answers", g.n)
			}
		}
		if d.InHand() != 0 || d.waiting != 0 {
			t.Fatalf("%d in hand, %d wait", d.InHand(), d.waiting)
		}
		for id, r := range d.replicas {
			if r.flows != 0 {
				t.Fatalf("%s holds %d", id, r.flows)
			}
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestAPlanThatServesNobody(t *testing.T) {
	for _, p := range []Plan{{}, {Groups: plan().Groups}} {
		if _, err := New(p); err == nil {
			t.Error(fmt.Sprint(p.Flows), "is taken")
		}
	}
}
