package emulator

import (
	"bytes"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/controlserver"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/resp"
	"lilacbend/policy"
)

// This file is what stands between the flows and the governor: sums, usage, lists, messages and answers.

// tower is one governor's place, and what is on its way to it.
type tower struct {
	world   *World
	number  int
	core    *controller.Core // nil: it is down
	notes   []controller.Input
	turn    int64 // when the next is due; 0: none
	free    int64 // when its channel has nothing more to send
	up      int64 // since when it is there
	learned *learnedstate.State
	reports []report // that wait, the oldest first
	credit  float64  // lines that may be told
}

// report is a line that waits for the intake; what comes for the same adds up.
type report struct {
	of     any
	met    controller.Outcomes
	demand controller.Demand // of no group: it is what was met
}

func (r *report) add(m controller.Outcomes, d controller.Demand) {
	if good, came := int64(r.met.Attempts-r.met.Failures), int64(m.Attempts-m.Failures); good+came > 0 {
		r.met.ResponseTime = (r.met.ResponseTime*good + m.ResponseTime*came) / (good + came)
	}
	r.met.Attempts, r.met.Failures, r.met.Period = r.met.Attempts+m.Attempts, r.met.Failures+m.Failures, r.met.Period+m.Period
	r.demand.Requests, r.demand.Failures, r.demand.Period = r.demand.Requests+d.Requests, r.demand.Failures+d.Failures, r.demand.Period+d.Period
}

func (r *report) note() controller.Input {
	if r.demand.Class != "" {
		return r.demand
	}
	return r.met
}

// Up starts all governors; the past is told to the first.
func (w *World) Up(past *learnedstate.AgedState) {
	for _, t := range w.towers {
		w.up(t, past)
		past = nil
	}
}

// Core is the core of a governor, nil while it is down.
func (w *World) Core(k int) *controller.Core { return w.towers[k].core }

// up starts a governor. It is told of the list, of the past if there is one, and of the proxies as they join: those that
// have no governor within a third of a second, those of its own that others have, some seconds later. They keep the tables
// that they have.
func (w *World) up(t *tower, past *learnedstate.AgedState) {
	p := w.Site.Provision
	p.Seed = uint64(w.chance.Int63())
	t.up = w.now
	t.core = controller.New(func() controller.Module {
		if w.Spoil != nil {
			return w.Spoil(policy.New(p))
		}
		return policy.New(p)
	}, controller.NewTopology(w.Site.Names, p))
	if past != nil {
		t.tell(controller.SnapshotRestored{Snapshot: past})
	}
	w.list(t)
	core := t.core
	for _, p := range w.proxies {
		if delete(p.wrote, t.number); !w.home(p, t) { // by an earlier governor
			continue
		}
		w.after(w.chance.Int63n(second/3), func() {
			if t.core == core && w.cut[p.zone] == 0 && p.stream == 0 {
				p.tower = t.number
				w.join(p)
			}
		})
		if len(w.towers) > 1 {
			w.after(3*second+w.chance.Int63n(9*second), func() {
				if t.core == core && w.cut[p.zone] == 0 && p.stream != 0 && p.tower != t.number {
					w.towers[p.tower].tell(controller.StreamClosed{Stream: p.stream})
					p.tower = t.number
					w.join(p)
				}
			})
		}
	}
}

// join opens a stream.
func (w *World) join(p *proxy) {
	w.streams++
	p.stream, p.joined, p.bare = w.streams, w.now, 0
	w.towers[p.tower].tell(controller.StreamOpened{Stream: p.stream, Proxy: p.id, Zone: p.zone, WithoutTable: len(p.lines) == 0, Rate: 1})
	w.look(p)
}

// dial has a proxy look for another governor that is up, until there is one. Where there is one alone, its proxies join as
// it comes up.
func (w *World) dial(p *proxy) {
	if len(w.towers) == 1 {
		return
	}
	w.after(second/7+w.chance.Int63n(3*second/2), func() {
		if p.stream != 0 || w.cut[p.zone] > 0 {
			return
		}
		for _, k := range w.chance.Perm(len(w.towers)) {
			if w.towers[k].core != nil {
				p.tower = k
				w.join(p)
				return
			}
		}
		w.dial(p)
	})
}

// Down kills the governors, and what they were told and were about to say with them.
func (w *World) Down() {
	for _, t := range w.towers {
		w.down(t)
	}
}

func (w *World) down(t *tower) {
	t.core, t.notes, t.turn, t.reports = nil, nil, 0, nil
	for _, p := range w.proxies {
		if p.tower == t.number {
			p.stream = 0
			w.dial(p)
		}
	}
}

// Change changes replicas and tells the governors of the list.
func (w *World) Change(change func(k int, r *Replica)) {
	for k, r := range w.Replicas {
		change(k, r)
	}
	for _, t := range w.towers {
		if t.core != nil {
			w.list(t)
		}
	}
}

func (w *World) list(t *tower) {
	l := controller.ReplicaList{Revision: 1, Complete: true, ReadAt: w.now, ReadAtWall: w.now}
	for _, r := range w.Replicas {
		l.Members = append(l.Members, r.Member)
	}
	t.tell(l)
}

func (t *tower) tell(note controller.Input) {
	if t.core == nil {
		return
	}
	t.notes = append(t.notes, note)
	t.wake(t.world.now + gather)
}

func (t *tower) wake(when int64) {
	if t.turn != 0 && t.turn <= when {
		return
	}
	core, w := t.core, t.world
	t.turn = max(when, w.now)
	w.at(when, func() {
		if t.core != core || t.turn != w.now {
			return // a later one has taken its place
		}
		t.turn = 0
		w.take(t)
	})
}

// take is one turn of a core.
func (w *World) take(t *tower) {
	notes, begun := t.notes, int64(0)
	t.notes = nil
	if w.Clock != nil {
		begun = w.Clock()
	}
	o := t.core.Turn(w.now, notes)
	if w.Clock != nil {
		w.Turns = append(w.Turns, w.Clock()-begun)
	}
	if o.Snapshot != nil {
		t.learned = o.Snapshot
		t.learned.Taken = learnedstate.Timestamp{Wall: w.now}
		w.Learned = w.towers[0].learned
	}
	for _, s := range o.Updates {
		k := slices.IndexFunc(w.proxies, func(p *proxy) bool { return p.stream == s.Stream })
		if k < 0 {
			continue
		}
		p := w.proxies[k]
		if w.Trace != nil {
			w.Trace("%d push %d %q", w.now, p.id, wireBytes(s.Update))
		}
		left := w.queued(p, s.Update)
		t.notes = append(t.notes, controller.MessageSent{Number: s.Number})
		p.applied = max(p.applied, left+transit, p.stalled) // in order, after a stall
		w.at(p.applied, func() { w.apply(p, s) })
	}
	if o.NextTurn > 0 {
		t.wake(o.NextTurn)
	}
}

// wireBytes returns an update as a controller writes it to a proxy's stream.
func wireBytes(u controller.Update) []byte {
	var b bytes.Buffer
	pool := resp.NewPool(0)
	for _, words := range controlserver.EncodeUpdate(u) {
		resp.Write(&b, pool, words...) // into memory: it cannot fail
	}
	return b.Bytes()
}

func (w *World) apply(p *proxy, s controller.OutgoingUpdate) {
	if p.stream != s.Stream || w.cut[p.zone] > 0 { // lost with its stream
		return
	}
	if w.now < p.stalled {
		p.applied = max(p.applied, p.stalled)
		w.at(p.applied, func() { w.apply(p, s) })
		return
	}
	p.picks = nil
	defer w.look(p)
	if s.Update.Full {
		clear(p.lines)
		clear(p.levels)
	}
	for _, l := range s.Update.Endpoints {
		if p.lines[l.Replica] = l.Weight; l.Weight == 0 {
			delete(p.lines, l.Replica)
		}
	}
	for _, id := range s.Update.Ejected {
		p.shut[id] = true
	}
	for _, id := range s.Update.Restored {
		delete(p.shut, id)
	}
	for _, l := range s.Update.Admissions {
		p.levels[l.Class] = l
	}
	if s.Update.WantsAck {
		w.after(transit, func() {
			if w.cut[p.zone] > 0 {
				return
			}
			w.towers[p.tower].tell(controller.Ack{Stream: s.Stream, Nonce: s.Update.Nonce, Delay: transit})
		})
	}
}

// sums tells what the proxies of a zone met, 0.7 to 1.6 s late.
func (w *World) sums(zone string) {
	late := 700*milli + w.chance.Int63n(900*milli)
	for _, t := range w.towers {
		for _, r := range w.Replicas {
			s := r.met[teller{zone, t.number}]
			if s == nil || s.tries == 0 {
				continue
			}
			met := controller.Outcomes{Zone: zone, Replica: r.Member.ID, Outcomes: control.Outcomes{Attempts: s.tries, Failures: s.missed, Period: second, InFlight: -1}}
			if good := s.tries - s.missed; good > 0 {
				met.ResponseTime = s.answers / int64(good)
			}
			*s = sum{}
			if w.cut[zone] == 0 {
				w.after(late, func() { t.hear([2]string{zone, met.Replica}, met, controller.Demand{}) })
			}
		}
	}
}

func (w *World) usage(p *proxy) {
	for g, name := range w.Site.Names.Classes {
		if p.came[g] > 0 && p.stream != 0 && w.cut[p.zone] == 0 {
			d := controller.Demand{Stream: p.stream, Class: name, Demand: control.Demand{Proxy: p.id, Requests: p.came[g], Failures: p.missed[g], Period: second}}
			t := w.towers[p.tower]
			w.after(transit, func() { t.hear([2]any{p.stream, name}, controller.Outcomes{}, d) })
		}
		p.came[g], p.missed[g] = 0, 0
	}
}

// hear takes in a line of a report, or lets it wait for the intake.
func (t *tower) hear(of any, met controller.Outcomes, d controller.Demand) {
	for k := range t.reports {
		if t.reports[k].of == of {
			t.reports[k].add(met, d)
			return
		}
	}
	r := report{of, met, d}
	if t.world.Site.Intake == 0 {
		t.tell(r.note())
		return
	}
	t.reports = append(t.reports, r)
}

// takeIn tells the governors as many lines as their intake lets through.
func (w *World) takeIn() {
	for _, t := range w.towers {
		t.credit = min(t.credit+float64(w.Site.Intake)/10, float64(w.Site.Intake))
		for ; len(t.reports) > 0 && t.credit >= 1; t.credit-- {
			t.tell(t.reports[0].note())
			t.reports = t.reports[1:]
		}
	}
}

// Bare counts joined proxies that have no line to a replica that they do not shut out.
func (w *World) Bare() (n int) {
	for _, p := range w.proxies {
		if w.pick(p, "") == nil {
			n++
		}
	}
	return n
}
