// Package policy decides how proxies route requests. It handles no requests itself: it controls the proxies by tables of
// weighted endpoints, by which table each proxy is bound to, and by the admitted fraction and the retry policy of each
// traffic class.
//
// Call New with the settings of the deployment, then Turn with the events of each moment; Turn returns the commands to carry
// out. Package control defines all types of this interface. The package has no clock, no I/O and no goroutines, and its
// random numbers come from the settings' seed: the same events always lead to the same commands.
//
// Each decision has a package of its own in a subdirectory, and its package comment states the rule. The components in this
// package pass messages between those packages: a component handles the messages of its queue, calls its package and
// enqueues messages for other components. Components call each other directly only to read or renumber learned state
// (learned.go, reconfigure.go).
package policy

import "lilacbend/control"

// Policy makes the decisions of one controller. It is not safe for concurrent use.
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
	startedAt  int64 // time of the first turn, in nanoseconds
}

// New returns a Policy with these settings and no learned state.
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

// duePhases holds which of the optional phases take place in this turn.
type duePhases struct {
	tick     bool
	snapshot bool
}

// Turn processes the events of one moment and returns the commands to carry out, in order. now is that moment, in
// nanoseconds. A turn has these phases:
//
//  1. Events, one after another. All messages that follow from an event are delivered before the next event is routed, so
//     that reports about a replica are evaluated with the entry that was listed before them.
//  2. Tick, if a timer fired, and in the first turn. Replicas are compared with each other in this phase and nowhere else,
//     after all reports of the turn are processed; health, weights, the admission threshold and retries change only at a
//     tick. These decisions therefore do not depend on how events are distributed over turns.
//  3. Placement. The target tables are computed once a turn, from all changes of the turn. The bindings and the current step
//     of the update are then computed from the target tables.
//  4. Pacing. Commands are sent last, because all commands that reach a proxy in one turn cost one message and all commands
//     share one budget: urgent commands can be sent first only if all commands are known.
//  5. Snapshot, if it was requested. It includes the changes of this turn.
//
// All messages of a phase are delivered before the next phase begins.
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
		p.commands = append(p.commands, p.learnedState())
	}
	return p.commands
}
