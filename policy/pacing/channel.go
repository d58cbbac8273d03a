package pacing

import (
	"math"
	"slices"
	"time"
)

// lostAfter is how long after the expected time of its ack a message still counts as waiting. It is long, so that a slow
// channel does not count as empty, and it bounds how long acks that never arrive hold back all other commands.
const lostAfter = 30 * time.Second

// channelAccount keeps account of the messages that may still wait in the channel. Only acks show that a message has left
// the channel. The channel keeps the order of messages, so an ack clears all batches that were sent before its own nonce;
// the batch of the nonce itself is cleared when all proxies that were sent it have acknowledged it. All other batches count
// as waiting, so fewer commands are sent into a slow channel.
//
// A proxy that disconnects clears nothing, as the messages to it may still wait in the channel. Otherwise a reconnect storm
// would fill the channel twice.
type channelAccount struct {
	outstanding []batch // in ascending order of nonces
	lateness    float64 // see latenessFactor; 0: no batch was cleared yet
}

// batch holds the messages that one turn has sent.
type batch struct {
	nonce    uint64
	units    float64 // cost units, message overheads included
	sent     time.Duration
	due      time.Duration // when the batch will be acknowledged if the channel keeps its rate
	orphaned bool          // all proxies that have not acknowledged the batch have disconnected
}

// add charges a batch to the channel.
func (c *channelAccount) add(b batch) { c.outstanding = append(c.outstanding, b) }

// waiting drops the batches that count as lost and returns how many cost units may still wait in the channel. A batch is
// lost when it is overdue by more than lostAfter, or as soon as it is overdue if no proxy is left to acknowledge it.
func (c *channelAccount) waiting(now time.Duration) float64 {
	c.outstanding = slices.DeleteFunc(c.outstanding, func(b batch) bool {
		return now > b.due+lostAfter || b.orphaned && now > b.due
	})
	units := 0.0
	for _, b := range c.outstanding {
		units += b.units
	}
	return units
}

// acknowledge clears all batches before a nonce, and also the batch of the nonce itself if all of its proxies have
// acknowledged it.
func (c *channelAccount) acknowledge(now time.Duration, nonce uint64, all bool) {
	for len(c.outstanding) > 0 && c.outstanding[0].clearedBy(nonce, all) {
		first := c.outstanding[0]
		c.lateness = float64(now-first.sent) / float64(first.due-first.sent)
		c.outstanding = c.outstanding[1:]
	}
}

func (b batch) clearedBy(nonce uint64, all bool) bool {
	return b.nonce < nonce || all && b.nonce == nonce
}

// abandon records that no proxy is left to acknowledge a nonce.
func (c *channelAccount) abandon(nonce uint64) {
	for k := range c.outstanding {
		if c.outstanding[k].nonce == nonce {
			c.outstanding[k].orphaned = true
		}
	}
}

// overdue reports whether the ack of the oldest batch is late, which means that the channel is slower than its configured
// rate.
func (c *channelAccount) overdue(now time.Duration) bool {
	return len(c.outstanding) > 0 && now > c.outstanding[0].due
}

// latenessFactor returns the ratio of the actual to the expected ack time of the batch that was cleared last, at least 1.
func (c *channelAccount) latenessFactor() float64 { return math.Max(1, c.lateness) }
