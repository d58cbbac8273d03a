// Package policy decides where forwarders (proxies) send flows: a governor sees no flow and steers by tables.
// Call New with the control.Settings of the deployment, then Turn with each batch of events; it returns the
// orders to carry out. Package control is the whole interface. No clock is kept: same events, same orders.
// The ordinary path is a reverse-order update (docs/design.md). Parts talk only through queues.
package policy

import (
	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/pacing"
	"lilacbend/policy/update"
	"time"
)

const (
	forgetSpan = 60 * second // after which a replica that is gone is forgotten
)

// Policy is one instance of the module.
type Policy struct {
	sharedState
	replicas map[uint32]*replica
	born     int64
	free     []int // queues of replicas that were forgotten
	started  bool
}

// New makes a governor that knows nothing but its provision.
func New(p control.Settings) *Policy {
	g := &Policy{sharedState: sharedState{Settings: p}, replicas: map[uint32]*replica{}}
	d := &g.sharedState
	d.queues = []*queue{
		bindingComponent: {component: &binder{sharedState: d, here: map[int]*connectedProxy{}, wait: map[uint64]map[int]bool{}}},
		placementComponent: {component: &planner{sharedState: d, calm: map[int][]float64{},
			own: map[uint32]int{}, laid: map[uint32]int{}, offers: map[uint32]replicaStatus{}}},
		admissionComponent: {component: &admissionController{sharedState: d, set: map[int]control.SetAdmission{}}},
		updateComponent:    {component: &updater{sharedState: d, sequence: update.New()}},
		pacingComponent:    {component: &pacer{sharedState: d, sender: pacing.New(p, time.Duration(beat))}},
	}
	return g
}

// Turn tells the governor what has come in and returns what it orders.
func (g *Policy) Turn(now int64, events []control.Event) []control.Command {
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
				g.enqueue(r.box, outcomesReported{e})
			}
		case control.ReplicaRestored:
			if r := g.replicas[e.Replica]; r != nil && e.Weight > 0 && e.Speed > 0 {
				g.enqueue(r.box, replicaRestored{e})
				g.enqueue(placementComponent, replicaRestored{e})
			}
		case control.SettingsChanged:
			g.reconfigure(e)
		case control.SnapshotRequested:
			keep = true
		case control.TimerFired:
			woken = true
		case control.StreamOpened:
			g.enqueue(bindingComponent, streamOpened{e})
			g.enqueue(pacingComponent, streamOpened{e})
		case control.StreamClosed:
			g.enqueue(bindingComponent, streamClosed{e})
			g.enqueue(placementComponent, streamClosed{e})
			g.enqueue(pacingComponent, streamClosed{e})
		case control.Demand:
			g.enqueue(admissionComponent, demandReported{e})
		case control.Ack:
			g.enqueue(bindingComponent, ackReceived{e})
		case control.FleetRestored:
			g.enqueue(bindingComponent, fleetRestored{e})
			g.enqueue(placementComponent, fleetRestored{e})
			g.enqueue(admissionComponent, fleetRestored{e})
		case control.HealthCheckFinished:
		}
		g.deliverAll()
	}
	if woken {
		g.started = true
		g.out = append(g.out, control.SetTimer{After: g.pause()})
		g.enqueue(placementComponent, tickStarted{})
		g.enqueue(updateComponent, tickStarted{})
		g.deliverAll()
		g.tidy()
	}
	g.enqueue(placementComponent, placementDue{})
	g.deliverAll()
	g.enqueue(pacingComponent, turnEnding{})
	g.deliverAll()
	if keep {
		g.out = append(g.out, g.learned())
	}
	return g.out
}

// tidy forgets replicas that are long gone, so that a governor that runs for weeks does not grow.
func (g *Policy) tidy() {
	for _, id := range ordered.Keys(g.replicas) {
		if r := g.replicas[id]; r.entry.State != control.Gone {
			r.changed = g.now
		} else if g.now-r.changed > forgetSpan {
			delete(g.replicas, id)
			g.free = append(g.free, r.box)
			g.enqueue(placementComponent, replicaForgotten{id})
			g.enqueue(updateComponent, replicaForgotten{id})
			g.enqueue(pacingComponent, replicaForgotten{id})
		}
	}
}

// listed passes news of the list to its replicas; whoever a whole list leaves out is gone.
func (g *Policy) listed(l control.ReplicasListed) {
	for _, id := range ordered.Keys(g.replicas) {
		if e := g.replicas[id].entry; l.Full && !l.Failed {
			e.State = control.Gone
			g.enqueue(g.replicas[id].box, replicaListed{e})
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
			r = &replica{sharedState: &g.sharedState, box: box, entry: e, heard: g.now, lastSample: g.now, speed: 1, fleet: fleetBaseline{goal: 1}}
			r.ticket = g.draw(e.Weight)
			g.replicas[e.Replica] = r
			g.queues[box].component = r
		}
		g.enqueue(r.box, replicaListed{e})
	}
}
