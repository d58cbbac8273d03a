package brain

import (
	"cmp"
	"slices"

	"lilacbend/control"
)

// This file puts together what a governor has learned, for one that comes after it. It decides nothing: what is
// believed of it is said in brain.go, where it is recalled.

// learned answers control.Keep.
func (g *Governor) learned() control.Learned {
	p, r, l := g.boxes[thePlanner].part.(*planner), g.boxes[theRoll].part.(*roll), g.boxes[theLevels].part.(*levels)
	var all control.Learned
	for _, id := range sorted(g.replicas) {
		r := g.replicas[id]
		table, dealt := p.own[id]
		if !dealt {
			table = p.laid[id]
		}
		all.Replicas = append(all.Replicas, control.Known{Replica: id, Table: table, Ticket: r.ticket, Speed: r.speed,
			Evidence: r.evidence, Rest: max(0, r.resting-g.now), Trial: r.trial > 0, Relapses: r.relapse, Idle: max(0, g.now-r.proof)})
	}
	all.Tables, all.Line, all.Once = p.tables, 1, l.once
	all.Calm = make([][]float64, g.Kinds+1)
	for kind, calm := range p.calm {
		if kind >= 0 && kind < len(all.Calm) {
			all.Calm[kind] = slices.Clone(calm)
		}
	}
	if len(l.groups) > 0 {
		all.Line = l.line / float64(len(l.groups))
	}
	for _, served := range l.served {
		all.Served = max(all.Served, served)
	}
	all.Usage = g.usage(l)
	for _, proxy := range sorted(r.here) {
		if c := r.here[proxy]; c.table >= 0 {
			all.Seats = append(all.Seats, control.Seat{Proxy: proxy, Table: c.table})
		}
	}
	return all
}

// usage is what came to each proxy over the span for which demand is kept, or since this governor began.
func (g *Governor) usage(l *levels) (all []control.Usage) {
	type of struct{ proxy, group int }
	flows := map[of]int{}
	for _, d := range l.came {
		flows[of{d.Proxy, d.Group}] += d.Flows
	}
	span := float64(max(second, min(demandSpan, g.now-g.born))) / float64(second)
	for of, n := range flows {
		all = append(all, control.Usage{Proxy: of.proxy, Group: of.group, Rate: float64(n) / span})
	}
	slices.SortFunc(all, func(a, b control.Usage) int {
		return cmp.Or(cmp.Compare(a.Proxy, b.Proxy), cmp.Compare(a.Group, b.Group))
	})
	return all
}
