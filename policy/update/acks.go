package update

import (
	"maps"
	"time"
)

// ackTimeout is how long a step waits for an ack after the nonce was sent: a proxy that has stalled delays the update of all
// others by this much and no more.
const ackTimeout = 2 * time.Second

// pendingAcks are the nonces of the open step that are not acknowledged yet, and when each was sent.
type pendingAcks map[uint64]time.Duration

func (a pendingAcks) expire(now time.Duration) {
	maps.DeleteFunc(a, func(_ uint64, sent time.Duration) bool { return now-sent > ackTimeout })
}
