package emulator

import (
	"fmt"

	"lilacbend/control"
	"lilacbend/internal/controller"
)

// This file checks the rules from what is true, which the governor cannot see, after each step that could break
// them. A breach is noted once for each rule and culprit.

const (
	// A proxy that applies nothing for a while has its time from then on. A joined proxy may be so long without a line while a warm ready replica is listed, and may send so long to one
	// that drains, of its joining or of the list's word, whichever is later: our figures for 4 s and 2.5 s of two
	// deployments, and 300 ms for the way. A site that states its own grace is held to that.
	bareMost, graceMost, graceSlack = 4300 * milli, 2800 * milli, 300 * milli
	// A replica that has just started falls when it gets its multiple for so long.
	fallSpan = 3 * second
)

// Breach is a rule that was broken.
type Breach struct {
	At   int64
	Rule int // 1 to 5; 0: service did not come back
	What string
}

func (b Breach) String() string {
	return fmt.Sprintf("%.3fs rule %d: %s", float64(b.At)/1e9, b.Rule, b.What)
}

// Watch has the rules checked from now on.
func (w *World) Watch() { w.watched = map[string]bool{} }

func (w *World) breach(rule int, culprit, what string, args ...any) {
	if key := fmt.Sprint(rule, culprit); w.watched != nil && !w.watched[key] {
		w.watched[key] = true
		w.Breaches = append(w.Breaches, Breach{w.now, rule, culprit + " " + fmt.Sprintf(what, args...)})
	}
}

// cold says how much of its work a replica can do, 1 once it is warm.
func (w *World) able(r *Replica) float64 {
	age := w.now - r.Member.UpSince
	if r.Member.UpSince == 0 || age >= w.Site.Provision.SlowStartTime {
		return 1
	}
	p := w.Site.Provision
	return p.SlowStartFraction + (1-p.SlowStartFraction)*float64(age)/float64(p.SlowStartTime)
}

// warm says whether any replica is listed as ready and no longer cold, and has been for so long.
func (w *World) warm(span int64) bool {
	for _, r := range w.Replicas {
		if r.Member.State == control.Ready && w.able(r) == 1 && w.now-r.told >= span {
			return true
		}
	}
	return false
}

// look checks rule 1 of a proxy now, and once more when its time is over.
func (w *World) look(p *proxy) {
	if w.watched == nil || p.stream == 0 || w.cut[p.zone] > 0 || w.pick(p, "") != nil || p.holds() {
		p.bare = 0
		return
	}
	if p.bare == 0 {
		p.bare = w.now
	}
	since := p.bare
	w.after(bareMost, func() {
		if p.bare == since && p.stream != 0 && w.cut[p.zone] == 0 && w.now-p.joined >= bareMost && w.pick(p, "") == nil && !p.holds() && w.warm(bareMost) {
			w.breach(1, fmt.Sprint("proxy ", p.id), "has had no line since %.3fs", float64(since)/1e9)
		}
	})
}

// sent checks what a try must not do: reach who drains, or push over who is cold.
func (w *World) sent(p *proxy, r *Replica) {
	if w.watched == nil {
		return
	}
	grace := graceMost
	if own := w.Site.Provision.DrainGrace; own > 0 {
		grace = own + graceSlack
	}
	if r.Member.State != control.Ready && p.stream != 0 && w.cut[p.zone] == 0 && w.now > max(r.told, p.joined, w.towers[p.tower].up, p.stalled)+grace {
		w.breach(3, r.Member.ID, "gets flows of proxy %d, told at %.3fs", p.id, float64(r.told)/1e9)
	}
	if able := w.able(r); able < 1 {
		r.lately = append(r.lately, w.now)
		for len(r.lately) > 0 && r.lately[0] <= w.now-fallSpan {
			r.lately = r.lately[1:]
		}
		usual := float64(r.places) / r.mean * float64(fallSpan) / float64(second)
		steered := false // before that nobody could tell the proxies
		for _, t := range w.towers {
			steered = steered || t.core != nil && w.now-t.up > second+fallSpan
		}
		if n := float64(len(r.lately)); steered && w.now-r.Member.UpSince >= fallSpan && n > w.Site.Provision.OverloadMultiple*able*usual {
			w.breach(4, r.Member.ID, "cold, got %.0f flows in 3 s, falls at %.0f", n, w.Site.Provision.OverloadMultiple*able*usual)
		}
	}
}

// queued checks rule 5 as a message enters the channel, and says when it has left it.
func (w *World) queued(p *proxy, push controller.Update) (left int64) {
	prov := w.Site.Provision
	lines := len(push.Endpoints) + len(push.Ejected) + len(push.Restored) + len(push.Admissions) + prov.MessageOverhead + 1
	t := w.towers[p.tower]
	t.free = max(t.free, w.now) + int64(float64(lines)/prov.ChannelRate*float64(second))
	if waits := float64(t.free-w.now) / float64(second) * prov.ChannelRate; waits > float64(prov.ChannelLimit) {
		w.breach(5, fmt.Sprint("channel ", t.number), "holds %.0f lines of %d", waits, prov.ChannelLimit)
	}
	wrote := append(p.wrote[p.tower], w.now)
	for len(wrote) > 0 && wrote[0] <= w.now-prov.MessageWindow {
		wrote = wrote[1:]
	}
	if p.wrote[p.tower] = wrote; prov.MaxMessages > 0 && len(wrote) > prov.MaxMessages {
		w.breach(5, fmt.Sprint("proxy ", p.id), "got %d messages in a span for %d", len(wrote), prov.MaxMessages)
	}
	return t.free
}
