// Package eventloop is where the server side, the client side and the core meet: an inbox of events for the
// core, and an outbox of pushes for each stream. Nothing here waits for a peer.
package eventloop

import (
	"sync"
	"sync/atomic"

	"lilacbend/internal/controller"
)

const (
	// The core empties the inbox some hundred times a second, and a collector's lines come at 150 a second
	// at most: so many are half a minute of them. What proxies say comes on top, see Expect. Past both sums and answers are
	// dropped, which later ones make up for.
	maxEvents = 4 << 10
	// Each proxy tells its usage of a few traffic groups a second and answers a message a second or so: so many are what all
	// of them say while the governor stands still for a few seconds.
	maxEventsPerProxy = 16
	// A proxy is written to a few times a second, and reads at once: so many wait only where it has stopped
	// reading, and then its whole present state is shorter than they are.
	maxQueuedItems = 64
	// So many probes of one stream may wait for their answer: who sends more reads none.
	maxPendingProbes = maxQueuedItems / 2
)

// Counters counts what passes the sockets.
type Counters struct {
	Accepted, Refused, Evicted, Ended                                                atomic.Int64 // connections
	UnknownPeers, JoinTimeouts                                                       atomic.Int64 // sent away: not ours, not joined in time
	Skipped, Malformed, Panics                                                       atomic.Int64 // of what was taken in
	UpdatesSent, UpdateBytes, QueuesDropped, WriteErrors, HealthChecks               atomic.Int64 // sent and answered
	DiscoveryCalls, DiscoveryAnswers, Dials, DiscoveryErrors, InvalidLists, Timeouts atomic.Int64 // of discovery
	InputsDropped                                                                    atomic.Int64 // events
	Reloads, ReloadsFailed                                                           atomic.Int64 // of the configuration: taken over, not usable
}

// Queues holds one inbox and the outboxes.
type Queues struct {
	Counters  Counters
	mu        sync.Mutex
	events    []controller.Input
	maxEvents int
	ready     chan struct{}
	outboxes  map[controller.StreamID]*SendQueue
}

// New makes an empty exchange.
func New() *Queues {
	return &Queues{maxEvents: maxEvents, ready: make(chan struct{}, 1), outboxes: map[controller.StreamID]*SendQueue{}}
}

// SetProxies has the inbox hold what so many proxies may say.
func (x *Queues) SetProxies(proxies int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.maxEvents = maxEvents + maxEventsPerProxy*proxies
}

// Enqueue leaves an event for the core. Sums are lost when the inbox is full; what each connection or call tells
// once or twice is not.
func (x *Queues) Enqueue(event controller.Input) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch event.(type) {
	case controller.Outcomes, controller.Demand, controller.Ack, controller.StreamActive:
		if len(x.events) >= x.maxEvents {
			x.Counters.InputsDropped.Add(1)
			return
		}
	}
	x.events = append(x.events, event)
	signal(x.ready)
}

// MessageSent leaves the event that a message has gone out. It wakes nobody: it counts when answers come, and there is one
// for each message.
func (x *Queues) MessageSent(number uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events = append(x.events, controller.MessageSent{Number: number})
}

func signal(ready chan struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}

// Ready is signalled when events have come.
func (x *Queues) Ready() <-chan struct{} { return x.ready }

// Drain empties the inbox.
func (x *Queues) Drain() []controller.Input {
	x.mu.Lock()
	defer x.mu.Unlock()
	events := x.events
	x.events = nil
	return events
}

// OpenStream makes the outbox of a stream; end ends its connection, whatever it is at.
func (x *Queues) OpenStream(stream controller.StreamID, end func()) *SendQueue {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := &SendQueue{stream: stream, end: end, exchange: x, ready: make(chan struct{}, 1)}
	x.outboxes[stream] = b
	return b
}

// Send puts a push into the outbox of its stream, if there is still one.
func (x *Queues) Send(s controller.OutgoingUpdate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.outboxes[s.Stream]; b != nil {
		b.put(Item{Update: s.Update, Number: s.Number})
	}
}

// CloseStream ends a stream.
func (x *Queues) CloseStream(s controller.StreamID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.outboxes[s]; b != nil {
		b.closing = true
		signal(b.ready)
		b.end()
	}
}

// Item is what goes out on a stream: a push, or the word that the governor is there.
type Item struct {
	controller.Update
	Number           uint64 // of the push in the channel's account
	HealthCheckReply bool
}

// SendQueue holds what waits for one stream.
type SendQueue struct {
	stream          controller.StreamID
	end             func()
	exchange        *Queues
	items           []Item
	probes          int  // to be answered: owed whatever becomes of the items
	overflowed      bool // items were dropped: nothing goes until the whole state comes
	resyncRequested bool // for it
	closing         bool
	ready           chan struct{}
}

func (b *SendQueue) put(i Item) {
	switch {
	case b.overflowed && !i.Resync:
		return
	case len(b.items) >= maxQueuedItems:
		b.items, b.overflowed, b.resyncRequested = nil, true, false
		b.exchange.Counters.QueuesDropped.Add(1)
	default:
		b.overflowed = false
		b.items = append(b.items, i)
	}
	signal(b.ready)
}

// AnswerHealthCheck answers a probe that came on the stream, at the next end of a message; who reads none of the answers gets no more of them.
func (b *SendQueue) AnswerHealthCheck() {
	b.exchange.mu.Lock()
	defer b.exchange.mu.Unlock()
	b.probes = min(maxPendingProbes, b.probes+1)
	signal(b.ready)
}

// Next waits for the next item; false: the stream is over, or done is closed.
func (b *SendQueue) Next(done <-chan struct{}) (Item, bool) {
	for {
		b.exchange.mu.Lock()
		if b.closing {
			b.exchange.mu.Unlock()
			return Item{}, false
		}
		if b.probes > 0 {
			b.probes--
			b.exchange.mu.Unlock()
			return Item{HealthCheckReply: true}, true
		}
		if len(b.items) > 0 {
			i := b.items[0]
			b.items = b.items[1:]
			b.exchange.mu.Unlock()
			return i, true
		}
		ask := b.overflowed && !b.resyncRequested
		b.resyncRequested = b.resyncRequested || ask
		b.exchange.mu.Unlock()
		if ask {
			b.exchange.Enqueue(controller.UpdatesDropped{Stream: b.stream})
		}
		select {
		case <-b.ready:
		case <-done:
			return Item{}, false
		}
	}
}

// Close forgets the outbox.
func (b *SendQueue) Close() {
	b.exchange.mu.Lock()
	defer b.exchange.mu.Unlock()
	delete(b.exchange.outboxes, b.stream)
}
