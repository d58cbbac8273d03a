// Package eventloop has the queues between a controller's connections and its core: one queue of inputs for the core, and
// one send queue of updates for each stream. The loop that runs the core's turns is not here; it is runCore in
// cmd/lilacbend. Nothing in this package waits for a peer, so that no connection can delay the core or another connection.
package eventloop

import (
	"sync"

	"lilacbend/internal/controller"
)

const (
	// maxInputs is how many inputs may be queued in addition to those of the proxies. A collector that reports at its highest
	// rate fills the queue in half a minute. The core drains the queue hundreds of times a second.
	maxInputs = 4 << 10
	// maxInputsPerProxy is how many more inputs may be queued for each proxy: those that the proxy sends while the
	// controller is stalled for a few seconds, at one report a second for each of a few traffic classes and one ack a
	// second.
	maxInputsPerProxy = 16
)

// Queues holds the queue of inputs and the send queue of each stream.
type Queues struct {
	// Counters are updated by the users of the queues.
	Counters Counters

	mu          sync.Mutex // guards the fields below and the send queues
	inputs      []controller.Input
	maxInputs   int
	sendQueues  map[controller.StreamID]*SendQueue
	inputsReady chan struct{} // the channel that Ready returns
}

// New returns empty queues.
func New() *Queues {
	return &Queues{
		maxInputs:   maxInputs,
		inputsReady: make(chan struct{}, 1),
		sendQueues:  map[controller.StreamID]*SendQueue{},
	}
}

// SetProxies sets the limit of the queue of inputs for the given number of proxies.
func (q *Queues) SetProxies(proxies int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.maxInputs = maxInputs + maxInputsPerProxy*proxies
}

// Enqueue appends an input for the core. If the queue is full, it drops an input that a later one of the same kind replaces.
// Inputs that a connection or call reports only once or twice are never dropped.
func (q *Queues) Enqueue(input controller.Input) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.inputs) >= q.maxInputs && isReplaceable(input) {
		q.Counters.InputsDropped.Add(1)
		return
	}
	q.inputs = append(q.inputs, input)
	signal(q.inputsReady)
}

// isReplaceable reports whether later inputs of the same kind replace an input, so that it may be dropped.
func isReplaceable(input controller.Input) bool {
	switch input.(type) {
	case controller.OutcomeReport, controller.Demand, controller.Ack, controller.MessageSkipped:
		return true
	}
	return false
}

// MessageSent appends the input which reports that the update of the given number has been written. It does not signal
// Ready: there is one such input for each update, and the core needs it only when acks arrive.
func (q *Queues) MessageSent(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inputs = append(q.inputs, controller.MessageSent{ChargeNumber: number})
}

// Ready returns a channel that receives a value after Enqueue has appended an input.
func (q *Queues) Ready() <-chan struct{} { return q.inputsReady }

// Drain returns all inputs and empties the queue.
func (q *Queues) Drain() []controller.Input {
	q.mu.Lock()
	defer q.mu.Unlock()
	inputs := q.inputs
	q.inputs = nil
	return inputs
}

// OpenStream returns the send queue of a new stream. closeConnection closes the stream's connection at any time, also during
// a read or a write.
func (q *Queues) OpenStream(stream controller.StreamID, closeConnection func()) *SendQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &SendQueue{stream: stream, closeConnection: closeConnection, queues: q, ready: make(chan struct{}, 1)}
	q.sendQueues[stream] = s
	return s
}

// Send appends an update to the send queue of its stream, if the stream is still open.
func (q *Queues) Send(outgoing controller.OutgoingUpdate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.sendQueues[outgoing.Stream]
	if s != nil {
		s.enqueue(Item{Update: outgoing.Update, UpdateNumber: outgoing.ChargeNumber})
	}
}

// CloseStream closes a stream and its connection, if the stream is still open.
func (q *Queues) CloseStream(stream controller.StreamID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.sendQueues[stream]
	if s == nil {
		return
	}
	s.closing = true
	signal(s.ready)
	s.closeConnection()
}

// signal wakes the receiver of a channel of capacity 1, or lets its next receive return at once.
func signal(ready chan struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}
