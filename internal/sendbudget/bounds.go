// Package sendbudget accounts for every message that a controller sends to its proxies, against the limit of the channel that
// they share and against the message cap of each proxy. A message is charged before it is sent, and only what shows that it
// has left the channel takes the charge back, so the limits hold however slow the channel, the proxies and the controller
// are and whichever acks are lost.
//
// The same channel has a second account in policy/pacing, which plans in cost units what the module may ask for in a turn. This
// one is charged for each message as it is sent, and it decides: what it has no room for waits, whatever was planned.
//
// The package has no I/O, no clock and no goroutine. Costs are units of the channel, times
// nanoseconds of one monotonic clock.
package sendbudget

import "time"

// Bounds are what the platform says of the channel.
type Bounds struct {
	ChannelLimit    int     // cost units that may wait in the channel, overheads included; 0: any number
	ChannelRate     float64 // units a second that it sends when all is well
	MessageOverhead int     // units that a message costs beside its own
	MaxMessages     int     // that one proxy may get within MessageWindow; 0: any number
	MessageWindow   int64
	MaxTransit      int64 // the longest from the channel to a proxy
	DrainGrace      int64 // within which a proxy has to get what keeps it away from a replica; 0: not known
}

const (
	// reservedDivisor gives the part of the channel, one in so many units, that is kept for urgent messages: about what the
	// ejection of a replica costs for all proxies of a controller.
	reservedDivisor = 16
	// reservedAckRequests is how many ack requests fit into a channel that is full otherwise.
	reservedAckRequests = 4
	// busyTransits is for how many of the longest transits ordinary messages may keep the channel busy: those of messages, of
	// the acks to the ones before them, there and back twice.
	busyTransits = 4
	// busyGraceDivisor bounds the same by the drain grace divided by it, as what is urgent waits behind all that is in
	// the channel.
	busyGraceDivisor = 4
	// urgentBusyFactor is how many times as long urgent messages may keep it busy.
	urgentBusyFactor = 2
)

const (
	// usualSlowdown is how many times slower than stated the channel may be before a message without an ack is taken as likely to
	// have left. From then on it does not count as keeping the channel busy, as its ack may be lost.
	usualSlowdown = 4
	// maxSlowdown and lostDelay say when a message without an ack is taken to have left for good: when a channel this many times
	// slower than stated would have sent all that waited with it, and some time later.
	maxSlowdown = 24
	lostDelay   = int64(30 * time.Second)
	// reorderWindow is by how much messages of different streams may change places, in nanoseconds. A message is written in
	// pieces and enters the channel with its last one; the longest transit alone is too short.
	reorderWindow = int64(2 * time.Second)
)

const (
	// countedTransits is for how many of the longest transits beyond the window a message counts against a proxy's cap.
	countedTransits = 4
	// spacingGraceDivisor bounds the time between spaced messages by what the drain grace leaves beside the transit, divided by
	// it.
	spacingGraceDivisor = 2
	// spacedDivisor gives the part of a proxy's messages, one in so many, that is not spaced where no grace is known.
	spacedDivisor = 2
)

// reserve is what no message may use of the channel, so that ack requests fit.
func (b *Bounds) reserve() int {
	return min(reservedAckRequests*(b.MessageOverhead+1), b.ChannelLimit/reservedDivisor)
}

// messageLimit returns the most units that may wait with one more message.
func (b *Bounds) messageLimit(urgent bool) int {
	limit := b.ChannelLimit - b.reserve()
	if !urgent {
		limit -= limit / reservedDivisor
	}
	return limit
}

// busyUnits returns how many units are enough to keep the channel busy until acks arrive.
func (b *Bounds) busyUnits(urgent bool) float64 {
	span := busyTransits * b.MaxTransit
	if b.DrainGrace > 0 {
		span = min(span, b.DrainGrace/busyGraceDivisor)
	}
	units := b.ChannelRate * float64(span) / float64(time.Second)
	if urgent {
		units *= urgentBusyFactor
	}
	return units
}

// sendTime returns how long the channel takes to send some units when all is well.
func (b *Bounds) sendTime(units int) int64 {
	if b.ChannelRate <= 0 {
		return 0
	}
	return int64(float64(units) / b.ChannelRate * float64(time.Second))
}

// countedWindow returns for how long a message counts against a proxy's cap: until its ack, after its transit there and back, is
// a window old.
func (b *Bounds) countedWindow() int64 { return b.MessageWindow + countedTransits*b.MaxTransit }

// spacedMessages returns how many of the messages that a proxy may get within a window are spaced: the last ones, as many as
// make their spacing short enough for the drain grace.
func (b *Bounds) spacedMessages() int {
	if b.DrainGrace == 0 {
		return b.MaxMessages - b.MaxMessages/spacedDivisor
	}
	longest := (b.DrainGrace - b.MaxTransit) / spacingGraceDivisor
	if longest <= 0 {
		return b.MaxMessages
	}
	rounded := (b.countedWindow() + longest - 1) / longest
	return min(b.MaxMessages, int(rounded))
}

// spacing returns the time between two spaced messages to a proxy. Without it a proxy that is sent each of many changes by
// itself uses up its cap, and gets no ejection until the first of its messages are a window old.
func (b *Bounds) spacing() int64 { return b.countedWindow() / int64(b.spacedMessages()) }
