package pacing

import (
	"math"
	"slices"
	"time"
)

// lostAfter is how long after its expected ack a message still counts as waiting. It is long, so that a slow channel is not taken
// for an empty one, and it bounds how long acks that never come hold up everything else.
const lostAfter = 30 * time.Second

// channelAccount is the account of what may still wait in the channel. Nothing reports that a message has left the channel
// except acks. The channel keeps the order of messages, so an ack clears all that was sent before its own nonce; its own
// batch is cleared when all proxies concerned have acknowledged it. Everything else counts as waiting: a slow channel is sent less.
//
// Proxies that disconnect clear nothing, as their messages may wait in the channel all the same. Otherwise a reconnect storm
// would fill it twice.
type channelAccount struct {
	outstanding []batch // by nonce
	lateness    float64 // see latenessFactor; 0: no ack so far
}

// batch is what one turn has sent.
type batch struct {
	nonce    uint64
	units    float64 // cost units, message overheads included
	sent     time.Duration
	due      time.Duration // when it is acknowledged if the channel keeps its rate
	orphaned bool          // nobody is left to acknowledge it
}

// add charges a batch to the channel.
func (c *channelAccount) add(b batch) { c.outstanding = append(c.outstanding, b) }

// waiting drops what counts as lost and returns how many cost units may still wait in the channel. A batch is lost when it is
// overdue by lostAfter, or as soon as it is overdue if nobody is left to acknowledge it.
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

// acknowledge clears what an ack clears: all batches before its nonce, and with all that of the nonce itself.
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

// abandon notes that nobody is left to acknowledge a nonce.
func (c *channelAccount) abandon(nonce uint64) {
	for k := range c.outstanding {
		if c.outstanding[k].nonce == nonce {
			c.outstanding[k].orphaned = true
		}
	}
}

// overdue says whether the ack of the oldest batch should have come: the channel is slower than its rate.
func (c *channelAccount) overdue(now time.Duration) bool {
	return len(c.outstanding) > 0 && now > c.outstanding[0].due
}

// latenessFactor is how many times its expected time the last batch that was cleared took, at least 1.
func (c *channelAccount) latenessFactor() float64 { return math.Max(1, c.lateness) }
