package policy

import "fmt"

// The indexes in sharedState.queues of the components that exist once. Indexes from fixedComponents up belong to replicas.
const (
	bindingComponent = iota
	placementComponent
	admissionComponent
	updateComponent
	pacingComponent
	fixedComponents
)

// component handles the messages of one queue.
type component interface{ handle(message) }

// queue holds the messages that one component has not handled yet, oldest first.
type queue struct {
	component component
	waiting   []message
}

// enqueue appends a message to the queue of a component.
func (s *sharedState) enqueue(to int, m message) {
	s.queues[to].waiting = append(s.queues[to].waiting, m)
	s.pending = append(s.pending, to)
}

// deliverAll delivers messages in the order in which they were enqueued, until none is left. The fixed order is part of the
// guarantee that the same events always lead to the same commands.
func (s *sharedState) deliverAll() {
	for len(s.pending) > 0 {
		next := s.queues[s.pending[0]]
		m := next.waiting[0]
		next.waiting = next.waiting[1:]
		next.component.handle(m)
		s.pending = s.pending[1:]
	}
}

// unexpected panics because of a message that was enqueued for the wrong component, which is a fault of this package.
func unexpected(c component, m message) {
	panic(fmt.Sprintf("policy: component %T does not handle message %T", c, m))
}
