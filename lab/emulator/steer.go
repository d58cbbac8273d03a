package emulator

import (
	"slices"

	"lilacbend/brain"
	"lilacbend/control"
	"lilacbend/internal/governor"
	"lilacbend/internal/memory"
)

// This file is what stands between the flows and the governor: sums, usage, lists, messages and answers.

// Up starts a governor. It is told of the list, of the past if there is one, and of the proxies as they join
// within a third of a second; they keep the tables that they have.
func (w *World) Up(past *memory.Past) {
	p := w.Site.Provision
	p.Seed = uint64(w.chance.Int63())
	w.up = w.now
	w.Core = governor.New(func() governor.Module {
		if w.Spoil != nil {
			return w.Spoil(brain.New(p))
		}
		return brain.New(p)
	}, governor.NewCensus(w.Site.Names, p))
	if past != nil {
		w.tell(governor.Recall{Past: past})
	}
	w.list()
	core := w.Core
	for _, p := range w.proxies {
		p.wrote = nil // by another governor
		w.after(w.chance.Int63n(second/3), func() {
			if w.Core == core && w.cut[p.zone] == 0 && p.stream == 0 {
				w.join(p)
			}
		})
	}
}

// join opens a stream.
func (w *World) join(p *proxy) {
	w.streams++
	p.stream, p.joined, p.bare = w.streams, w.now, 0
	w.tell(governor.Joined{Stream: p.stream, Proxy: p.id, Zone: p.zone, Blank: len(p.lines) == 0, Rate: 1})
	w.look(p)
}

// Down kills the governor, and what it was told and was about to say with it.
func (w *World) Down() {
	w.Core, w.notes, w.turn = nil, nil, 0
	for _, p := range w.proxies {
		p.stream = 0
	}
}

// Change changes replicas and tells the governor of the list.
func (w *World) Change(change func(k int, r *Replica)) {
	for k, r := range w.Replicas {
		change(k, r)
	}
	if w.Core != nil {
		w.list()
	}
}

func (w *World) list() {
	l := governor.Listing{Revision: 1, Whole: true, At: w.now, Wall: w.now}
	for _, r := range w.Replicas {
		l.Members = append(l.Members, r.Member)
	}
	w.tell(l)
}

func (w *World) tell(note any) {
	if w.Core == nil {
		return
	}
	w.notes = append(w.notes, note)
	w.wake(w.now + gather)
}

func (w *World) wake(when int64) {
	if w.turn != 0 && w.turn <= when {
		return
	}
	core := w.Core
	w.turn = max(when, w.now)
	w.at(when, func() {
		if w.Core != core || w.turn != w.now {
			return // a later one has taken its place
		}
		w.turn = 0
		w.take()
	})
}

// take is one turn of the core.
func (w *World) take() {
	notes, begun := w.notes, int64(0)
	w.notes = nil
	if w.Clock != nil {
		begun = w.Clock()
	}
	o := w.Core.Turn(w.now, notes)
	if w.Clock != nil {
		w.Turns = append(w.Turns, w.Clock()-begun)
	}
	if o.Learned != nil {
		w.Learned = o.Learned
		w.Learned.Taken = memory.Moment{Wall: w.now}
	}
	for _, s := range o.Pushes {
		k := slices.IndexFunc(w.proxies, func(p *proxy) bool { return p.stream == s.Stream })
		if k < 0 {
			continue
		}
		p := w.proxies[k]
		if w.Trace != nil {
			w.Trace("%d push %d %+v", w.now, p.id, s.Push)
		}
		left := w.queued(p, s.Push)
		w.notes = append(w.notes, governor.Written{Number: s.Number})
		p.applied = max(p.applied, left+transit, p.stalled) // in order, after a stall
		w.at(p.applied, func() { w.apply(p, s) })
	}
	if o.Wake > 0 {
		w.wake(o.Wake)
	}
}

func (w *World) apply(p *proxy, s governor.Sent) {
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
	if s.Push.Full {
		clear(p.lines)
		clear(p.levels)
	}
	for _, l := range s.Push.Lines {
		if p.lines[l.Replica] = l.Weight; l.Weight == 0 {
			delete(p.lines, l.Replica)
		}
	}
	for _, id := range s.Push.Shut {
		p.shut[id] = true
	}
	for _, id := range s.Push.Let {
		delete(p.shut, id)
	}
	for _, l := range s.Push.Levels {
		p.levels[l.Group] = l
	}
	if s.Push.Marked {
		w.after(transit, func() {
			if w.cut[p.zone] > 0 {
				return
			}
			w.tell(governor.Answered{Stream: s.Stream, Mark: s.Push.Mark, Took: transit})
		})
	}
}

// sums tells what the proxies of a zone met, 0.7 to 1.6 s late.
func (w *World) sums(zone string) {
	late := 700*milli + w.chance.Int63n(900*milli)
	for _, r := range w.Replicas {
		s := r.met[zone]
		if s == nil || s.tries == 0 {
			continue
		}
		met := governor.Met{Zone: zone, Replica: r.Member.ID, Met: control.Met{Tries: s.tries, Missed: s.missed, Span: second, Held: -1}}
		if good := s.tries - s.missed; good > 0 {
			met.Answer = s.answers / int64(good)
		}
		*s = sum{}
		if w.cut[zone] == 0 {
			w.after(late, func() { w.tell(met) })
		}
	}
}

func (w *World) usage(p *proxy) {
	for g, name := range w.Site.Names.Groups {
		if p.came[g] > 0 && p.stream != 0 && w.cut[p.zone] == 0 {
			d := governor.Demand{Stream: p.stream, Group: name, Demand: control.Demand{Proxy: p.id, Flows: p.came[g], Missed: p.missed[g], Span: second}}
			w.after(transit, func() { w.tell(d) })
		}
		p.came[g], p.missed[g] = 0, 0
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
