// Package eventloop holds the queues between a controller's connections and its core: one of inputs for the core, and one of
// updates for each stream. It has queues only: the loop that runs the core's turns is runCore in cmd/lilacbend. Nothing here
// waits for a peer, so that no connection can hold up the core or another one.
package eventloop

import (
	"sync"

	"lilacbend/internal/controller"
)

const (
	// maxInputs bounds the inputs that may wait, beside those of the proxies: half a minute of what a collector reports at most.
	// The core drains the queue some hundred times a second.
	maxInputs = 4 << 10
	// maxInputsPerProxy is how many inputs more may wait for each proxy: what it sends while the controller stands still for a few
	// seconds, at one report a second for each of a few traffic classes and an ack a second.
	maxInputsPerProxy = 16
)

// Queues holds the queue of inputs and the send queue of each stream.
type Queues struct {
	// Counters are counted by all who use the queues.
	Counters Counters

	mu          sync.Mutex // guards what follows, and the send queues
	inputs      []controller.Input
	maxInputs   int
	sendQueues  map[controller.StreamID]*SendQueue
	inputsReady chan struct{} // signals Ready
}

// New returns empty queues.
func New() *Queues {
	return &Queues{
		maxInputs:   maxInputs,
		inputsReady: make(chan struct{}, 1),
		sendQueues:  map[controller.StreamID]*SendQueue{},
	}
}

// SetProxies sizes the queue of inputs for what so many proxies may send.
func (q *Queues) SetProxies(proxies int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.maxInputs = maxInputs + maxInputsPerProxy*proxies
}

// Enqueue appends an input for the core. If the queue is full, inputs that later ones make up for are dropped; what a connection
// or call reports once or twice is not.
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

// isReplaceable reports whether later inputs of its kind make up for an input.
func isReplaceable(input controller.Input) bool {
	switch input.(type) {
	case controller.Outcomes, controller.Demand, controller.Ack, controller.StreamActive:
		return true
	}
	return false
}

// MessageSent appends the input that an update has been written. It does not signal Ready: there is one for each update, and
// the core needs it only once acks arrive.
func (q *Queues) MessageSent(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inputs = append(q.inputs, controller.MessageSent{Number: number})
}

// Ready is signalled when inputs have arrived.
func (q *Queues) Ready() <-chan struct{} { return q.inputsReady }

// Drain returns all inputs and empties the queue.
func (q *Queues) Drain() []controller.Input {
	q.mu.Lock()
	defer q.mu.Unlock()
	inputs := q.inputs
	q.inputs = nil
	return inputs
}

// OpenStream returns the send queue of a new stream. closeConnection closes the stream's connection whatever it is doing.
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
		s.enqueue(Item{Update: outgoing.Update, Number: outgoing.Number})
	}
}

// CloseStream ends a stream and its connection.
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

// signal wakes who waits for a channel of capacity 1, or who will.
func signal(ready chan struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}
