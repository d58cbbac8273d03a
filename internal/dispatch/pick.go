package dispatch

import (
	"lilacbend/control"
)

// open is a line that may be picked now.
type open struct {
	line    *line
	replica *replica
}

// place says what is known of a replica, from its address on.
func (d *Desk) place(id string) *replica {
	r := d.replicas[id]
	if r == nil {
		r = &replica{}
		d.replicas[id] = r
	}
	return r
}

// choose picks a replica for a try: by weight among the lines that are not shut out, draining, shunned, tried
// before or full. Avoided ones are taken before none at all, as a guess of ours is worth less than the governor's word;
// shut out, draining and unknown ones never are. The second result says why there is none.
func (d *Desk) choose(now int64, f *Flow, allowed func(Listed) bool) (id string, why Reason) {
	t, budget := &d.tables[f.group], d.plan.Groups[f.group].LatencyObjective
	why = NoReplica
	var last []open
	for _, avoided := range []bool{false, true} {
		candidates := d.candidates[:0]
		for k := range t.lines {
			l := &t.lines[k]
			listed, known := d.listed[l.replica]
			if !known || listed.State != control.Ready || d.shut[l.replica] || f.tried(l.replica) || allowed != nil && !allowed(listed) {
				continue
			}
			r := d.place(l.replica)
			if r.avoided(now, d.plan.Strikes, budget) != avoided {
				continue
			}
			if d.plan.ReplicaFlows > 0 && r.flows >= d.plan.ReplicaFlows {
				why = Full
				continue
			}
			candidates = append(candidates, open{l, r})
		}
		if d.candidates = candidates[:0]; len(candidates) > 0 {
			last = candidates
			break
		}
	}
	if len(last) == 0 {
		return "", why
	}
	return d.draw(last).line.replica, None
}

func (d *Desk) draw(from []open) open {
	switch d.plan.Pick {
	case control.PickRoundRobin:
		return rotate(from)
	case control.PickPowerOfTwo:
		a, b := d.byChance(from), d.byChance(from)
		if b.replica.flows < a.replica.flows {
			return b
		}
		return a
	}
	return d.byChance(from)
}

func (d *Desk) byChance(from []open) open {
	total := 0.0
	for _, o := range from {
		total += o.line.weight
	}
	drawn := d.chance(&d.picks) * total
	for _, o := range from {
		if drawn -= o.line.weight; drawn <= 0 {
			return o
		}
	}
	return from[len(from)-1]
}

// rotate takes the line that has gained most since it was last taken: evenly by weight, and spread out.
func rotate(from []open) open {
	best, total := 0, 0.0
	for k, o := range from {
		total += o.line.weight
		if o.line.credit += o.line.weight; o.line.credit > from[best].line.credit {
			best = k
		}
	}
	from[best].line.credit -= total
	return from[best]
}

// chance draws from above 0 to 1. Each purpose has a row of its own: neighbours of one row are alike in parts, so
// that whoever is let in by one draw would find the next one weighted.
func (d *Desk) chance(row *row) float64 {
	row.draws++
	return control.Random(d.plan.Seed^row.seed, row.draws)
}
