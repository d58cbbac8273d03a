package update

import (
	"maps"
	"time"
)

// ackTimeout is how long a step waits for an ack after the nonce was sent: a stalled proxy delays the update of all other
// proxies by no more than this time.
const ackTimeout = 2 * time.Second

// pendingAcks maps the nonces of the current step that are not acknowledged yet to the times at which they were sent.
type pendingAcks map[uint64]time.Duration

func (a pendingAcks) expire(now time.Duration) {
	maps.DeleteFunc(a, func(_ uint64, sent time.Duration) bool { return now-sent > ackTimeout })
}
