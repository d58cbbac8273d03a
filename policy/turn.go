// Package policy decides where forwarders (proxies) send flows: a governor sees no flow and steers by tables.
// Call New with the control.Settings of the deployment, then Turn with each batch of events; it returns the
// orders to carry out. Package control is the whole interface. No clock is kept: same events, same orders.
// The ordinary path is a reverse-order update (docs/design.md). Parts talk only through queues.
package policy

import "lilacbend/control"

// Governor is one instance of the module.
type Governor struct {
	sharedState
	replicas map[uint32]*replica
	born     int64
	free     []int // queues of replicas that were forgotten
	started  bool
}

// New makes a governor that knows nothing but its provision.
func New(p control.Settings) *Governor {
	g := &Governor{sharedState: sharedState{Settings: p}, replicas: map[uint32]*replica{}}
	d := &g.sharedState
	d.queues = []*queue{
		theRegistry: {part: &registry{sharedState: d, here: map[int]*binding{}, wait: map[uint64]map[int]bool{}}},
		thePlanner: {part: &planner{sharedState: d, calm: map[int][]float64{},
			own: map[uint32]int{}, laid: map[uint32]int{}, offers: map[uint32]offer{}}},
		theLevels: {part: &levels{sharedState: d, set: map[int]control.SetAdmission{}}},
		theSequence: {part: &sequence{sharedState: d, laid: map[line]float64{}, out: map[uint32]bool{},
			moves: map[int]int{}, open: map[uint64]int64{}}},
		thePacer: {part: &pacer{sharedState: d, bound: map[int]int{}, members: map[int][]int{}, laid: map[int]map[uint32]float64{},
			sendTimes: map[int][]int64{}, partial: map[int]*partial{}, rates: map[int]float64{},
			ejected: map[uint32]bool{}, leveled: map[int]bool{}}},
	}
	return g
}

// Turn tells the governor what has come in and returns what it orders.
func (g *Governor) Turn(now int64, events []control.Event) []control.Command {
	g.now, g.out = now, nil
	woken, keep := !g.started, false
	if woken {
		g.born = now
	}
	for _, ev := range events {
		switch e := ev.(type) {
		case control.ReplicasListed:
			g.listed(e)
		case control.Outcomes:
			if r := g.replicas[e.Replica]; r != nil && e.Attempts > 0 {
				g.post(r.box, e)
			}
		case control.ReplicaRestored:
			if r := g.replicas[e.Replica]; r != nil && e.Weight > 0 && e.Speed > 0 {
				g.post(r.box, e)
				g.post(thePlanner, e)
			}
		case control.SettingsChanged:
			g.reconfigure(e)
		case control.SnapshotRequested:
			keep = true
		case control.TimerFired:
			woken = true
		default:
			g.toAll(e)
		}
		g.settle()
	}
	if woken {
		g.started = true
		g.out = append(g.out, control.SetTimer{After: g.pause()})
		g.toAll(tick{})
		g.settle()
		g.tidy()
	}
	g.post(thePlanner, redraw{})
	g.settle()
	g.post(thePacer, closing{})
	g.settle()
	if keep {
		g.out = append(g.out, g.learned())
	}
	return g.out
}

// tidy forgets replicas that are long gone, so that a governor that runs for weeks does not grow.
func (g *Governor) tidy() {
	for _, id := range sorted(g.replicas) {
		if r := g.replicas[id]; r.entry.State != control.Gone {
			r.changed = g.now
		} else if g.now-r.changed > forgetSpan {
			delete(g.replicas, id)
			g.free = append(g.free, r.box)
			g.toAll(forget{id})
		}
	}
}

// listed passes news of the list to its replicas; whoever a whole list leaves out is gone.
func (g *Governor) listed(l control.ReplicasListed) {
	for _, id := range sorted(g.replicas) {
		if e := g.replicas[id].entry; l.Full && !l.Failed {
			e.State = control.Gone
			g.post(g.replicas[id].box, e)
		}
	}
	for _, e := range l.Entries {
		r := g.replicas[e.Replica]
		if r == nil {
			box := len(g.queues)
			if last := len(g.free) - 1; last >= 0 {
				box, g.free = g.free[last], g.free[:last]
			} else {
				g.queues = append(g.queues, &queue{})
			}
			r = &replica{sharedState: &g.sharedState, box: box, entry: e, heard: g.now, lastSample: g.now, speed: 1, fleet: norm{goal: 1}}
			r.ticket = g.draw(e.Weight)
			g.replicas[e.Replica] = r
			g.queues[box].part = r
		}
		g.post(r.box, e)
	}
}
