// Package exchange is where the server side, the client side and the core meet: an inbox of notes for the
// core, and an outbox of pushes for each stream. Nothing here waits for a peer.
package exchange

import (
	"sync"
	"sync/atomic"

	"lilacbend/internal/governor"
)

const (
	// The core empties the inbox some hundred times a second, and a collector's lines come at 150 a second
	// at most: so many are half a minute of them. What proxies say comes on top, see Expect. Past both sums and answers are
	// dropped, which later ones make up for.
	notesMost = 4 << 10
	// Each proxy tells its usage of a few traffic groups a second and answers a message a second or so: so many are what all
	// of them say while the governor stands still for a few seconds.
	notesEach = 16
	// A proxy is written to a few times a second, and reads at once: so many wait only where it has stopped
	// reading, and then its whole present state is shorter than they are.
	itemsMost = 64
	// So many probes of one stream may wait for their answer: who sends more reads none.
	probesMost = itemsMost / 2
)

// Tally counts what passes the sockets.
type Tally struct {
	Accepted, Refused, Evicted, Ended                atomic.Int64 // connections
	Strangers, Late                                  atomic.Int64 // sent away: not ours, not joined in time
	Skipped, Unreadable, Panics                      atomic.Int64 // of what was taken in
	Pushes, PushBytes, Emptied, WriteErrors, Alive   atomic.Int64 // sent and answered
	Calls, Answers, Dials, CallErrors, Odd, Timeouts atomic.Int64 // of discovery
	Lost                                             atomic.Int64 // notes
	Reloads, Misread                                 atomic.Int64 // of the configuration: taken over, not usable
}

// Exchange holds one inbox and the outboxes.
type Exchange struct {
	Tally Tally
	mu    sync.Mutex
	notes []any
	most  int // of them
	bell  chan struct{}
	outs  map[governor.Stream]*Outbox
}

// New makes an empty exchange.
func New() *Exchange {
	return &Exchange{most: notesMost, bell: make(chan struct{}, 1), outs: map[governor.Stream]*Outbox{}}
}

// Expect has the inbox hold what so many proxies may say.
func (x *Exchange) Expect(proxies int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.most = notesMost + notesEach*proxies
}

// Tell leaves a note for the core. Sums are lost when the inbox is full; what each connection or call tells
// once or twice is not.
func (x *Exchange) Tell(note any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch note.(type) {
	case governor.Outcomes, governor.Demand, governor.Ack, governor.StreamActive:
		if len(x.notes) >= x.most {
			x.Tally.Lost.Add(1)
			return
		}
	}
	x.notes = append(x.notes, note)
	ring(x.bell)
}

// Written leaves the note that a message has gone out. It wakes nobody: it counts when answers come, and there is one
// for each message.
func (x *Exchange) Written(number uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.notes = append(x.notes, governor.MessageSent{Number: number})
}

func ring(bell chan struct{}) {
	select {
	case bell <- struct{}{}:
	default:
	}
}

// Bell rings when notes have come.
func (x *Exchange) Bell() <-chan struct{} { return x.bell }

// Take empties the inbox.
func (x *Exchange) Take() []any {
	x.mu.Lock()
	defer x.mu.Unlock()
	notes := x.notes
	x.notes = nil
	return notes
}

// Open makes the outbox of a stream; end ends its connection, whatever it is at.
func (x *Exchange) Open(stream governor.Stream, end func()) *Outbox {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := &Outbox{stream: stream, end: end, exchange: x, bell: make(chan struct{}, 1)}
	x.outs[stream] = b
	return b
}

// Send puts a push into the outbox of its stream, if there is still one.
func (x *Exchange) Send(s governor.OutgoingUpdate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.outs[s.Stream]; b != nil {
		b.put(Item{Update: s.Update, Number: s.Number})
	}
}

// End ends a stream.
func (x *Exchange) End(s governor.Stream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.outs[s]; b != nil {
		b.over = true
		ring(b.bell)
		b.end()
	}
}

// Item is what goes out on a stream: a push, or the word that the governor is there.
type Item struct {
	governor.Update
	Number uint64 // of the push in the channel's account
	Alive  bool
}

// Outbox holds what waits for one stream.
type Outbox struct {
	stream   governor.Stream
	end      func()
	exchange *Exchange
	items    []Item
	probes   int  // to be answered: owed whatever becomes of the items
	emptied  bool // items were dropped: nothing goes until the whole state comes
	asked    bool // for it
	over     bool
	bell     chan struct{}
}

func (b *Outbox) put(i Item) {
	switch {
	case b.emptied && !i.Resync:
		return
	case len(b.items) >= itemsMost:
		b.items, b.emptied, b.asked = nil, true, false
		b.exchange.Tally.Emptied.Add(1)
	default:
		b.emptied = false
		b.items = append(b.items, i)
	}
	ring(b.bell)
}

// Alive answers a probe that came on the stream, at the next end of a message; who reads none of the answers gets no more of them.
func (b *Outbox) Alive() {
	b.exchange.mu.Lock()
	defer b.exchange.mu.Unlock()
	b.probes = min(probesMost, b.probes+1)
	ring(b.bell)
}

// Next waits for the next item; false: the stream is over, or done is closed.
func (b *Outbox) Next(done <-chan struct{}) (Item, bool) {
	for {
		b.exchange.mu.Lock()
		if b.over {
			b.exchange.mu.Unlock()
			return Item{}, false
		}
		if b.probes > 0 {
			b.probes--
			b.exchange.mu.Unlock()
			return Item{Alive: true}, true
		}
		if len(b.items) > 0 {
			i := b.items[0]
			b.items = b.items[1:]
			b.exchange.mu.Unlock()
			return i, true
		}
		ask := b.emptied && !b.asked
		b.asked = b.asked || ask
		b.exchange.mu.Unlock()
		if ask {
			b.exchange.Tell(governor.OutboxDrained{Stream: b.stream})
		}
		select {
		case <-b.bell:
		case <-done:
			return Item{}, false
		}
	}
}

// Close forgets the outbox.
func (b *Outbox) Close() {
	b.exchange.mu.Lock()
	defer b.exchange.mu.Unlock()
	delete(b.exchange.outs, b.stream)
}
