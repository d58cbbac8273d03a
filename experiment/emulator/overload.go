package emulator

import "lilacbend/control"

// This file holds what makes an overload worse than its flows: queues that are full, proxies that avoid who fails them,
// and clients that come again.

// Overload says how an installation behaves under more than it can serve. The zero value is one that only waits.
type Overload struct {
	QueueLimit   int   // flows that may wait at a replica, more are refused before they run; 0: any number
	ClientTries  int   // how often a client comes again whose flow failed
	AvoidAfter   int   // tries that failed in a row after which a proxy avoids a replica; 0: never
	AvoidSpan    int64 // for so long
	ZoneGovernor bool  // a zone's proxies belong to some of the governors, which have no others
}

const (
	refusalTime  = 5 * milli
	clientReturn = 200 * milli
)

// full says whether a replica refuses another flow.
func (w *World) full(r *Replica) bool {
	limit := w.Site.Overload.QueueLimit
	return limit > 0 && r.Mood == Well && len(r.waiting) >= limit
}

// refuse turns a flow away before it runs: there is proof of that, so the proxy may try one more replica.
func (w *World) refuse(f *flow, r *Replica, s *sum) {
	w.after(refusalTime, func() {
		missed(s)()
		w.failed(f.p, r)
		if level, told := f.p.levels[w.Site.Names.Classes[f.group]]; f.again || told && level.Retries == control.NoRetry {
			w.end(f, false)
			return
		}
		f.again = true
		w.try(f, r.Member.ID)
	})
}

// failed counts a try that failed; a proxy avoids for a while who fails it too often in a row.
func (w *World) failed(p *proxy, r *Replica) {
	id := r.Member.ID
	if p.failures[id]++; w.Site.Overload.AvoidAfter == 0 || p.failures[id] < w.Site.Overload.AvoidAfter || p.avoided[id] {
		return
	}
	p.avoided[id], p.picks = true, nil
	w.after(w.Site.Overload.AvoidSpan, func() {
		delete(p.avoided, id)
		delete(p.failures, id)
		p.picks = nil
	})
}

// holds says whether a proxy has a line that it was not told to keep away from, whomever it avoids by itself.
func (p *proxy) holds() bool {
	for id, weight := range p.lines {
		if weight > 0 && !p.shut[id] {
			return true
		}
	}
	return false
}

// home says whether a proxy is one of a governor's own.
func (w *World) home(p *proxy, t *tower) bool {
	zones := w.Site.zones()
	if !w.Site.Overload.ZoneGovernor || len(w.towers) < len(zones) {
		return p.id%len(w.towers) == t.number
	}
	zone := p.id % len(zones) // as New deals them
	share := (len(w.towers) - zone + len(zones) - 1) / len(zones)
	return t.number == zone+len(zones)*(p.id/len(zones)%share)
}
