// Package backoff computes the waits between tries of something that fails: they grow exponentially up to a cap, and jitter
// keeps those who failed together from trying again together. The package has no clock; Sleep waits for those who want to.
package backoff

import (
	"context"
	"time"

	"lilacbend/control"
)

// Backoff yields the waits of one caller. It is not safe for concurrent use.
type Backoff struct {
	initial, limit time.Duration
	next           time.Duration // the next interval
	jitter         bool
	seed, draws    uint64
}

// New makes a Backoff without jitter: its first wait is initial, and each one after it twice as long, up to limit.
func New(initial, limit time.Duration) *Backoff {
	return &Backoff{initial: initial, limit: limit, next: initial}
}

// NewJittered makes a Backoff whose waits are each drawn from the upper half of an interval that grows as New's waits do. The
// same seed gives the same draws.
func NewJittered(initial, limit time.Duration, seed uint64) *Backoff {
	b := New(initial, limit)
	b.jitter = true
	b.seed = seed
	return b
}

// Next returns the wait before the next try and doubles the interval.
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

// Reset has the next interval be the initial one, after a success.
func (b *Backoff) Reset() { b.next = b.initial }

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
