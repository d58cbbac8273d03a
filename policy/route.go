package policy

import (
	"fmt"

	"lilacbend/control"
)

// route enqueues an event for the components that handle it and records the phases of the turn that it makes due. It panics
// on an unknown event type: the set of events is closed, and a type without a case here would never have an effect.
func (p *Policy) route(event control.Event, due *duePhases) {
	switch e := event.(type) {
	case control.ReplicasListed:
		p.applyEndpointList(e)
	case control.OutcomeReport:
		p.routeOutcomes(e)
	case control.ReplicaRestored:
		p.routeRestored(e)
	case control.FleetRestored:
		p.enqueue(bindingComponent, fleetRestored{e})
		p.enqueue(placementComponent, fleetRestored{e})
		p.enqueue(admissionComponent, fleetRestored{e})
	case control.SettingsChanged:
		p.reconfigure(e)
	case control.StreamOpened:
		p.enqueue(bindingComponent, streamOpened{e})
		p.enqueue(pacingComponent, streamOpened{e})
	case control.StreamClosed:
		p.enqueue(bindingComponent, streamClosed{e})
		p.enqueue(placementComponent, streamClosed{e})
		p.enqueue(pacingComponent, streamClosed{e})
	case control.DemandReport:
		p.enqueue(admissionComponent, demandReported{e})
	case control.Ack:
		p.enqueue(bindingComponent, ackReceived{e})
	case control.TimerFired:
		due.tick = true
	case control.SnapshotRequested:
		due.snapshot = true
	case control.HealthCheckFinished: // this package requests no health checks: outcomes of requests are more reliable
	default:
		panic(fmt.Sprintf("policy: unknown event type %T", event))
	}
}

// routeOutcomes enqueues outcomes for their replica. It ignores reports without attempts and replicas that were never listed
// or were evicted.
func (p *Policy) routeOutcomes(e control.OutcomeReport) {
	r := p.replicas[e.Replica]
	if r != nil && e.Attempts > 0 {
		p.enqueue(r.queue, outcomesReported{e})
	}
}

// routeRestored enqueues learned state for its replica and for placement. It ignores replicas that are not listed, and a
// weight or speed that is not above 0, which no controller can have learned.
func (p *Policy) routeRestored(e control.ReplicaRestored) {
	r := p.replicas[e.Replica]
	if r != nil && e.Confidence > 0 && e.Speed > 0 {
		p.enqueue(r.queue, replicaRestored{e})
		p.enqueue(placementComponent, replicaRestored{e})
	}
}
