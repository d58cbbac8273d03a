package ratelimit

import (
	"testing"
	"time"
)

func TestLimiterAllowsBurstAndThenTheRate(t *testing.T) {
	rate := Rate{PerSecond: 100, Burst: 10}
	now := time.Unix(1000, 0)
	var limiter Limiter
	for k := range 10 {
		if wait := limiter.Take(now, rate); wait != 0 {
			t.Fatalf("message %d of the burst waits %v", k, wait)
		}
	}
	const messages = 1000
	start := now
	for range messages {
		now = now.Add(limiter.Take(now, rate)) // a reader that waits as it is told
	}
	if took, want := now.Sub(start), 10*time.Second; (took - want).Abs() > 20*time.Millisecond {
		t.Errorf("%d messages after the burst took %v, want %v", messages, took, want)
	}
}

func TestLimiterRefillsNoMoreThanTheBurst(t *testing.T) {
	rate := Rate{PerSecond: 100, Burst: 10}
	now := time.Unix(1000, 0)
	var limiter Limiter
	limiter.Take(now, rate)
	now = now.Add(time.Hour)
	for k := range 10 {
		if wait := limiter.Take(now, rate); wait != 0 {
			t.Fatalf("message %d after an hour waits %v", k, wait)
		}
	}
	if wait := limiter.Take(now, rate); wait != 10*time.Millisecond {
		t.Errorf("the message after the burst waits %v, want 10ms", wait)
	}
}
