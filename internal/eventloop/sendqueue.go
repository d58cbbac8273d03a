package eventloop

import "lilacbend/internal/controller"

const (
	// maxItems bounds the updates that may wait on one stream. A proxy gets a few a second and reads at once, so this many wait
	// only if it has stopped reading, and then its complete state is shorter than they are.
	maxItems = 64
	// maxHealthChecks bounds the health checks of one stream whose replies may wait: a peer that sends more reads none.
	maxHealthChecks = maxItems / 2
)

// Item is what is sent on a stream: an update, or the reply to a health check.
type Item struct {
	controller.Update
	Number           uint64 // of the update, in the channel's account
	HealthCheckReply bool
}

// SendQueue holds what is to be sent on one stream. When it is full it drops all updates, asks the core for a resync, and takes
// no other update before that.
type SendQueue struct {
	stream          controller.StreamID
	closeConnection func()
	queues          *Queues // whose mutex guards what follows
	items           []Item
	healthChecks    int  // to be replied to, whatever becomes of the items
	overflowed      bool // items were dropped, and no resync has come since
	resyncRequested bool // since then
	closing         bool
	ready           chan struct{}
}

// enqueue appends an item. The caller holds the mutex.
func (s *SendQueue) enqueue(item Item) {
	switch {
	case s.overflowed && !item.Resync:
		return
	case len(s.items) >= maxItems:
		s.items = nil
		s.overflowed = true
		s.resyncRequested = false
		s.queues.Counters.QueuesDropped.Add(1)
	default:
		s.overflowed = false
		s.items = append(s.items, item)
	}
	signal(s.ready)
}

// AnswerHealthCheck replies to a health check that came on the stream, before all updates that wait.
func (s *SendQueue) AnswerHealthCheck() {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	s.healthChecks = min(maxHealthChecks, s.healthChecks+1)
	signal(s.ready)
}

// Next waits for the next item and removes it; false: the stream has ended, or done is closed.
func (s *SendQueue) Next(done <-chan struct{}) (Item, bool) {
	for {
		item, state := s.take()
		switch state {
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

// takeState is what take has found.
type takeState int

const (
	empty       takeState = iota
	taken                 // an item
	needsResync           // nothing, and the core is to be asked for the complete state
	ended                 // the stream is closing
)

// take removes the next item, if there is one.
func (s *SendQueue) take() (Item, takeState) {
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

// Close drops the send queue.
func (s *SendQueue) Close() {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	delete(s.queues.sendQueues, s.stream)
}
