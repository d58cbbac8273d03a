package eventloop

import "lilacbend/internal/controller"

const (
	// maxItems limits the updates that may wait on one stream. A proxy gets a few updates a second and reads them at once,
	// so the limit is reached only if the proxy has stopped reading. Its complete state is then shorter than the waiting
	// updates.
	maxItems = 64
	// maxHealthChecks limits the waiting replies to health checks on one stream. A peer that sends more health checks does
	// not read the replies.
	maxHealthChecks = maxItems / 2
)

// Item is an item of a send queue: an update, or the reply to a health check.
type Item struct {
	controller.Update
	UpdateNumber     uint64 // number of the update, as in controller.OutgoingUpdate
	HealthCheckReply bool
}

// SendQueue is the queue of items to be sent on one stream. When it is full it drops all updates, asks the core for a
// resync, and drops each further update until the resync is enqueued.
type SendQueue struct {
	stream          controller.StreamID
	closeConnection func()
	queues          *Queues // its mutex guards the fields below
	items           []Item
	healthChecks    int  // health checks that still need a reply, which an overflow does not drop
	overflowed      bool // items were dropped, and no resync was enqueued since
	resyncRequested bool // a resync was requested after items were dropped
	closing         bool
	ready           chan struct{}
}

// enqueue appends an item, or drops it according to the rules of a full SendQueue. The caller holds queues.mu.
func (s *SendQueue) enqueue(item Item) {
	switch {
	case s.overflowed && !item.Resync:
		return
	case len(s.items) >= maxItems:
		s.items = nil
		s.overflowed = true
		s.resyncRequested = false
		s.queues.Counters.SendQueueOverflows.Add(1)
	default:
		s.overflowed = false
		s.items = append(s.items, item)
	}
	signal(s.ready)
}

// AnswerHealthCheck enqueues the reply to a health check that was received on the stream. It is sent before all waiting
// updates.
func (s *SendQueue) AnswerHealthCheck() {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	s.healthChecks = min(maxHealthChecks, s.healthChecks+1)
	signal(s.ready)
}

// Next waits for the next item and removes it. It returns false if the stream is closing or done is closed.
func (s *SendQueue) Next(done <-chan struct{}) (Item, bool) {
	for {
		item, result := s.take()
		switch result {
		case taken:
			return item, true
		case ended:
			return Item{}, false
		case needsResync:
			s.queues.Enqueue(controller.UpdatesDropped{Stream: s.stream})
		}
		select {
		case <-s.ready:
		case <-done:
			return Item{}, false
		}
	}
}

// takeResult is the kind of result that take returns.
type takeResult int

const (
	empty       takeResult = iota // no item is waiting
	taken                         // an item was removed
	needsResync                   // no item is waiting, and the caller has to request a resync from the core
	ended                         // the stream is closing
)

// take removes the next item, if there is one.
func (s *SendQueue) take() (Item, takeResult) {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	switch {
	case s.closing:
		return Item{}, ended
	case s.healthChecks > 0:
		s.healthChecks--
		return Item{HealthCheckReply: true}, taken
	case len(s.items) > 0:
		item := s.items[0]
		s.items = s.items[1:]
		return item, taken
	case s.overflowed && !s.resyncRequested:
		s.resyncRequested = true
		return Item{}, needsResync
	}
	return Item{}, empty
}

// Close removes the send queue from its Queues, after which no update is appended to it.
func (s *SendQueue) Close() {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	delete(s.queues.sendQueues, s.stream)
}
