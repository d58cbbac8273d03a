package emulator

import (
	"fmt"
	"math/rand"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/learnedstate"
)

// Fault is one thing that goes wrong at a time, for a span.
type Fault struct {
	At   int64
	Kind string
	Who  int // a replica, a proxy or a zone, by its number
	Span int64
}

func (f Fault) String() string {
	return fmt.Sprintf("%.3fs %s %d for %.3fs", float64(f.At)/1e9, f.Kind, f.Who, float64(f.Span)/1e9)
}

// Kinds of faults. Each undoes itself after its span.
var Kinds = []string{"silent", "slow", "failing", "restart", "drain", "replace", "cut", "governor", "governor-kept", "stall", "stream"}

// Crowds are kinds of faults that strike many at once: a release that replaces six in ten replicas within the span, and a
// zone whose replicas and proxies are lost for it, and are back with every replica cold.
var Crowds = []string{"release", "zone"}

// spans are those at which something in the governor or in the protocol has its edge: drawn times land on them, just
// before and just after.
var spans = []int64{transit, 2 * transit, gather, second / 4, second / 2, second, 2 * second, 2500 * milli, 3 * second, 4 * second, 5 * second, 10 * second}

// Draw draws a script from a seed: some faults of some kinds, many of them at an edge of an earlier one.
func Draw(site Site, seed int64, from, until int64, kinds []string) (script []Fault) {
	chance := rand.New(rand.NewSource(seed))
	edge := func() int64 { return spans[chance.Intn(len(spans))] + []int64{-1, 0, 1, milli}[chance.Intn(4)] }
	for range 2 + chance.Intn(6) {
		f := Fault{At: from + chance.Int63n(until-from), Kind: kinds[chance.Intn(len(kinds))], Span: 200*milli + chance.Int63n(8*second)}
		if last := len(script) - 1; last >= 0 && chance.Intn(2) == 0 {
			f.At = min(until-1, script[last].At+edge())
		}
		if chance.Intn(2) == 0 {
			f.Span = edge()
		}
		switch f.Kind {
		case "cut", "zone":
			f.Who = chance.Intn(len(site.zones()))
		case "stall", "stream":
			f.Who = chance.Intn(site.Proxies)
		default:
			f.Who = chance.Intn(site.Replicas)
		}
		script = append(script, f)
	}
	slices.SortStableFunc(script, func(a, b Fault) int { return int(min(1, max(-1, a.At-b.At))) })
	return script
}

// Inflict has a script happen.
func (w *World) Inflict(script []Fault) {
	for _, f := range script {
		w.at(f.At, func() { w.inflict(f) })
	}
}

func (w *World) inflict(f Fault) {
	switch f.Kind {
	case "silent", "slow", "failing":
		r := w.Replicas[f.Who%len(w.Replicas)]
		r.Mood = map[string]Mood{"silent": Silent, "slow": Slow, "failing": Failing}[f.Kind]
		w.after(f.Span, func() { r.Mood = Well })
	case "restart": // its flows are lost, and it comes back cold
		r := w.Replicas[f.Who%len(w.Replicas)]
		r.Mood = Failing
		w.after(f.Span, func() { w.replace(r) })
	case "drain":
		r := w.Replicas[f.Who%len(w.Replicas)]
		w.tellOf(r, control.Draining, r.Member.UpSince)
		w.after(f.Span, func() { w.tellOf(r, control.Ready, w.now) })
	case "replace": // gone from the list, and its machine with it; a cold one takes its place
		r := w.Replicas[f.Who%len(w.Replicas)]
		r.Mood = Failing
		w.tellOf(r, control.Gone, r.Member.UpSince)
		w.after(f.Span, func() { w.replace(r) })
	case "cut":
		zone := w.Site.zones()[f.Who]
		w.cut[zone]++
		w.after(f.Span, func() { w.heal(zone) })
	case "governor", "governor-kept":
		t := w.towers[f.Who%len(w.towers)]
		if t.core == nil {
			return
		}
		learned := t.learned
		w.down(t)
		w.after(f.Span, func() {
			if t.core != nil {
				return
			}
			var past *learnedstate.AgedState
			if f.Kind == "governor-kept" && learned != nil {
				past = learnedstate.NewAgedState(*learned, w.now, learned.Taken.Age(learnedstate.Timestamp{Wall: w.now}), 60*second)
			}
			w.up(t, past)
		})
	case "release":
		leave := w.chance.Perm(len(w.Replicas))[:len(w.Replicas)*6/10]
		for k, who := range leave {
			r, at := w.Replicas[who], f.Span*int64(k)/int64(len(leave))
			w.after(at, func() { w.tellOf(r, control.Draining, r.Member.UpSince) })
			w.after(at+2*second, func() { w.replace(r) })
		}
	case "zone":
		zone := w.Site.zones()[f.Who]
		w.cut[zone]++
		for _, r := range w.Replicas {
			if r.Member.Zone == zone {
				r.Mood = Failing
				w.after(second, func() { w.tellOf(r, control.Gone, r.Member.UpSince) }) // notice comes late
				w.after(max(2*second, f.Span), func() { w.replace(r) })
			}
		}
		w.after(f.Span, func() { w.heal(zone) })
	case "stall":
		p := w.proxies[f.Who%len(w.proxies)]
		p.stalled = max(p.stalled, w.now+f.Span)
	case "stream": // a new stream comes before the end of the old one is seen
		p := w.proxies[f.Who%len(w.proxies)]
		if old := p.stream; old != 0 && w.cut[p.zone] == 0 {
			t := w.towers[p.tower]
			w.join(p)
			w.after(f.Span, func() { t.tell(controller.StreamClosed{Stream: old}) })
		}
	}
}

// replace has a cold process take a replica's place.
func (w *World) replace(r *Replica) {
	r.Mood, r.lately = Well, nil
	w.tellOf(r, control.Ready, w.now)
}

// tellOf changes what is listed of a replica, and tells the governors.
func (w *World) tellOf(r *Replica, state control.State, upSince int64) {
	r.Member.State, r.Member.UpSince, r.told = state, upSince, w.now
	for _, t := range w.towers {
		t.tell(controller.ReplicaList{Revision: 1, ReadAt: w.now, ReadAtWall: w.now, Members: []controller.Member{r.Member}})
	}
}

// heal ends one cut of a zone. Its proxies join anew; what was on its way is lost.
func (w *World) heal(zone string) {
	if w.cut[zone]--; w.cut[zone] > 0 {
		return
	}
	for _, p := range w.proxies {
		if t := w.towers[p.tower]; p.zone == zone && t.core != nil {
			if old := p.stream; old != 0 {
				t.tell(controller.StreamClosed{Stream: old})
			}
			w.join(p)
		} else if p.zone == zone {
			w.dial(p)
		}
	}
}
