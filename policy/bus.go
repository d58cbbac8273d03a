package policy

const ( // the parts' queues; those of the replicas come after
	theRegistry = iota
	thePlanner
	theLevels
	theSequence
	thePacer
	parts
)

type queue struct {
	part interface{ take(note any) }
	mail []any
}

func (d *sharedState) post(to int, note any) {
	d.queues[to].mail = append(d.queues[to].mail, note)
	d.due = append(d.due, to)
}

// settle empties the queues until no message is left, in the order in which the messages came.
func (d *sharedState) settle() {
	for ; len(d.due) > 0; d.due = d.due[1:] {
		box := d.queues[d.due[0]]
		n := box.mail[0]
		box.mail = box.mail[1:]
		box.part.take(n)
	}
}

func (g *Governor) toAll(note any) {
	for to := range parts {
		g.post(to, note)
	}
}
