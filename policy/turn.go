// Package policy decides how proxies route requests. It sees no request: it steers the proxies by tables of weighted endpoints,
// by which table each proxy is bound to, and by the admitted fraction and the retry policy of each traffic class.
//
// Call New with the settings of the deployment, then Turn with the events of each moment; it returns the commands to carry out.
// Package control holds all types of this interface. The package has no clock, no I/O and no goroutines, and its random numbers
// come from the settings' seed: the same events always lead to the same commands.
//
// Each decision has a package of its own under this one, whose comment states its rule. The components here pass messages
// between those packages: a component handles the messages of its queue, calls its package and enqueues messages for other
// components. Components call each other directly only to read or renumber what they have learned (learned.go, reconfigure.go).
package policy

import "lilacbend/control"

// Policy is one instance of the decisions, for one controller. It is not safe for concurrent use.
type Policy struct {
	sharedState
	binding   *binder
	placement *planner
	admission *admissionController
	update    *updater
	pacing    *pacer

	replicas   map[uint32]*replica
	freeQueues []int // queues of replicas that were evicted
	started    bool  // the first turn has begun
	startedAt  int64
}

// New returns a Policy that knows nothing but its settings.
func New(settings control.Settings) *Policy {
	p := &Policy{sharedState: sharedState{Settings: settings}, replicas: map[uint32]*replica{}}
	shared := &p.sharedState
	p.binding = newBinder(shared)
	p.placement = newPlanner(shared)
	p.admission = newAdmissionController(shared)
	p.update = newUpdater(shared)
	p.pacing = newPacer(shared)
	p.queues = []*queue{
		bindingComponent:   {component: p.binding},
		placementComponent: {component: p.placement},
		admissionComponent: {component: p.admission},
		updateComponent:    {component: p.update},
		pacingComponent:    {component: p.pacing},
	}
	return p
}

// duePhases are the phases of a turn that take place only if an event asks for them.
type duePhases struct {
	tick     bool
	snapshot bool
}

// Turn takes the events of one moment, in nanoseconds, and returns the commands to carry out, in their order. A turn has these
// phases:
//
//  1. Events, one after another. What follows from an event is complete before the next one is read, so that reports about a
//     replica are taken with the entry that was listed before them.
//  2. Tick, if a timer fired, and in the first turn. Replicas are compared with each other here and nowhere else, once all
//     reports of the turn are in; health, weights, the admission threshold and retries change at a tick only. So these
//     decisions do not depend on how events are spread over turns.
//  3. Placement. Target tables are worked out once a turn, from all that changed in it, and from them bindings and the open
//     step of the update.
//  4. Pacing. Commands are sent last, as all that reaches a proxy in one turn costs one message and all share one budget: what
//     is urgent can go first only if everything is known.
//  5. Snapshot, if it was requested, with what this turn has changed.
//
// All messages of a phase are delivered before the next one begins.
func (p *Policy) Turn(now int64, events []control.Event) []control.Command {
	p.now = now
	p.commands = nil
	due := duePhases{tick: !p.started}
	if !p.started {
		p.started = true
		p.startedAt = now
	}
	for _, event := range events {
		p.route(event, &due)
		p.deliverAll()
	}
	if due.tick {
		p.tick()
	}
	p.enqueue(placementComponent, placementDue{})
	p.deliverAll()
	p.enqueue(pacingComponent, turnEnding{})
	p.deliverAll()
	if due.snapshot {
		p.commands = append(p.commands, p.learned())
	}
	return p.commands
}
