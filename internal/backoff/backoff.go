// Package backoff computes the waits between retries. They grow exponentially up to a limit, and jitter keeps callers that
// failed at the same time from retrying at the same time. Only Sleep uses a clock.
package backoff

import (
	"context"
	"time"

	"lilacbend/control"
)

// Backoff computes the waits of one caller. It is not safe for concurrent use.
type Backoff struct {
	initial time.Duration
	limit   time.Duration
	next    time.Duration // the next interval
	jitter  bool
	seed    uint64
	draws   uint64 // random numbers drawn so far
}

// New returns a Backoff without jitter: its first wait is initial, and each one after it is twice as long, up to limit.
func New(initial, limit time.Duration) *Backoff {
	return &Backoff{initial: initial, limit: limit, next: initial}
}

// NewJittered returns a Backoff with jitter: each wait is drawn from the upper half of an interval that grows as the waits
// of New do. The same seed gives the same waits.
func NewJittered(initial, limit time.Duration, seed uint64) *Backoff {
	b := New(initial, limit)
	b.jitter = true
	b.seed = seed
	return b
}

// Next returns the wait before the next retry and doubles the interval.
func (b *Backoff) Next() time.Duration {
	interval := b.next
	b.next = min(2*interval, b.limit)
	if !b.jitter {
		return interval
	}
	b.draws++
	half := interval / 2
	return half + time.Duration(control.Random(b.seed, b.draws)*float64(half))
}

// Reset sets the next interval to the initial one, as after a success.
func (b *Backoff) Reset() { b.next = b.initial }

// Sleep blocks for a duration, or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
