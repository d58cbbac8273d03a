package policy

import "fmt"

// The queues of the components with one instance each. Queues from fixedComponents on belong to replicas.
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

// queue holds the messages that wait for one component.
type queue struct {
	component component
	waiting   []message
}

// enqueue appends a message to the queue of a component.
func (s *sharedState) enqueue(to int, m message) {
	s.queues[to].waiting = append(s.queues[to].waiting, m)
	s.pending = append(s.pending, to)
}

// deliverAll hands over messages until none waits, in the order in which they were enqueued: the same events always lead to
// the same commands.
func (s *sharedState) deliverAll() {
	for len(s.pending) > 0 {
		next := s.queues[s.pending[0]]
		m := next.waiting[0]
		next.waiting = next.waiting[1:]
		next.component.handle(m)
		s.pending = s.pending[1:]
	}
}

// unexpected reports a message that was enqueued for the wrong component, which is a fault of this package.
func unexpected(c component, m message) {
	panic(fmt.Sprintf("policy: %T received %T", c, m))
}
