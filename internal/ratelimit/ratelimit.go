// Package ratelimit bounds how fast one connection may send messages: a connection over its rate is read more slowly, so that
// its sender is held back by flow control and nothing is lost. The package does no I/O and reads no clock.
package ratelimit

import "time"

// Rate is a sustained rate and what may come at once, for example because the process stood still and then reads what has
// arrived in the meantime.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Limiter is a token bucket. It is not safe for concurrent use; each connection has its own.
type Limiter struct {
	tokens  float64
	updated time.Time // zero: the bucket was not used yet
}

// Take takes a token for one message at a time, and returns how long to wait before the next message is read. The rate may
// change between two calls.
func (l *Limiter) Take(now time.Time, rate Rate) (wait time.Duration) {
	l.refill(now, rate)
	l.tokens--
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens / rate.PerSecond * float64(time.Second))
}

// refill adds the tokens since the last call, up to the burst. A new bucket is full.
func (l *Limiter) refill(now time.Time, rate Rate) {
	if l.updated.IsZero() {
		l.tokens = rate.Burst
	} else {
		l.tokens = min(rate.Burst, l.tokens+now.Sub(l.updated).Seconds()*rate.PerSecond)
	}
	l.updated = now
}
