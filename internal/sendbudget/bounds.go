// Package sendbudget accounts for every message that a controller sends to its proxies, against the limit of the channel
// that the proxies share and against the message cap of each proxy. A message is charged before it is sent. The charge is
// released only on evidence that the message has left the channel, so the limits hold no matter how slow the channel, the
// proxies and the controller are and which acks are lost.
//
// Package policy/pacing has a second account of the same channel, with which the module plans how many cost units its
// commands may use in a turn. The account here is charged for each message when it is sent and has the final decision: a
// message for which it has no room waits, even if the module planned for it.
//
// The package has no I/O and no clock and starts no goroutines. Costs are in units of the channel, and times are in
// nanoseconds of one monotonic clock.
package sendbudget

import "time"

// Bounds are the limits and properties of the channel as stated by the platform.
type Bounds struct {
	ChannelLimit    int     // cost units that may wait in the channel, including overheads; 0 means no limit
	ChannelRate     float64 // units per second that the channel normally sends
	MessageOverhead int     // units that each message costs in addition to the units of its content
	MaxMessages     int     // message cap: messages to one proxy within MessageWindow; 0 means no limit
	MessageWindow   int64
	MaxTransit      int64 // the longest transit time from the channel to a proxy
	DrainGrace      int64 // time within which a message that stops a proxy from using a replica must arrive; 0 if unknown
}

const (
	// reservedDivisor determines how many units are reserved for urgent messages: the channel's limit without the reserve
	// for ack requests, divided by reservedDivisor. That is about the cost of ejecting one replica at all proxies of a
	// controller. The reserve for ack requests is at most the channel's limit divided by reservedDivisor.
	reservedDivisor = 16
	// reservedAckRequests is the number of ack requests that still fit into a channel that is otherwise full.
	reservedAckRequests = 4
	// busyTransits is the time for which normal messages may keep the channel busy, as a multiple of MaxTransit: two round
	// trips, one of the messages in the channel and one of the acks to the messages before them.
	busyTransits = 4
	// busyGraceDivisor also limits the time given by busyTransits: it is at most the drain grace divided by
	// busyGraceDivisor, since urgent messages wait behind all messages that are already in the channel.
	busyGraceDivisor = 4
	// urgentBusyFactor is the factor by which urgent messages may keep the channel busy for longer than normal ones.
	urgentBusyFactor = 2
)

const (
	// likelyLeftSlowdown is the factor by which the channel may be slower than its stated rate before an unacknowledged
	// message counts as likely to have left. Such a message does not count as keeping the channel busy, since
	// its ack may be lost.
	likelyLeftSlowdown = 4
	// maxSlowdown and lostAckDelay determine when an unacknowledged message counts as having left: lostAckDelay after the
	// time at which a channel slower than its stated rate by the factor maxSlowdown would have sent it and all messages that
	// waited before it.
	maxSlowdown  = 24
	lostAckDelay = int64(30 * time.Second)
	// reorderWindow is the time, in nanoseconds, within which messages of different streams may change their order. A
	// message is written in pieces and enters the channel with its last piece, so the longest transit time alone would be
	// too short.
	reorderWindow = int64(2 * time.Second)
)

const (
	// countedTransits is the time beyond the window for which a message counts against a proxy's cap, as a multiple of
	// MaxTransit.
	countedTransits = 4
	// spacingGraceDivisor determines the longest time between two spaced messages: the drain grace minus the longest
	// transit time, divided by spacingGraceDivisor.
	spacingGraceDivisor = 2
	// spacedDivisor determines how many of a proxy's messages are not spaced if the drain grace is unknown: the message cap
	// divided by spacedDivisor.
	spacedDivisor = 2
)

// ackRequestReserve returns the units of the channel that are reserved for ack requests: no other message may use them.
func (b *Bounds) ackRequestReserve() int {
	return min(reservedAckRequests*(b.MessageOverhead+1), b.ChannelLimit/reservedDivisor)
}

// messageLimit returns the limit of the units in the channel, including a message that is about to be charged.
func (b *Bounds) messageLimit(urgent bool) int {
	limit := b.ChannelLimit - b.ackRequestReserve()
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

// sendTime returns how long the channel takes to send units at its stated rate.
func (b *Bounds) sendTime(units int) int64 {
	if b.ChannelRate <= 0 {
		return 0
	}
	return int64(float64(units) / b.ChannelRate * float64(time.Second))
}

// countedWindow returns how long a message counts against a proxy's cap: until a window has passed since its ack, which
// arrives after the transits of the message and of the ack.
func (b *Bounds) countedWindow() int64 { return b.MessageWindow + countedTransits*b.MaxTransit }

// spacedMessages returns how many of the messages that a proxy may get within a window are spaced. These are the last
// messages of the window, as many as are needed to make the spacing short enough for the drain grace.
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

// spacing returns the minimum time between two spaced messages to a proxy. Without spacing, a proxy that is sent many
// changes in a message each would use up its cap, and would get no ejection until its first messages are a window old.
func (b *Bounds) spacing() int64 { return b.countedWindow() / int64(b.spacedMessages()) }
