package configstore

const (
	// initialCopyDuration is the assumed time to send a complete copy before any was measured, in nanoseconds.
	initialCopyDuration = int64(50 * 1e6)
	// minRetryAfter and maxRetryAfter bound the time after which a rejected follower polls again, in nanoseconds.
	minRetryAfter = int64(100 * 1e6)
	maxRetryAfter = int64(5 * 1e9)
	// durationWeight is the divisor of the exponential moving average of durations: a new one has a weight of
	// 1/durationWeight.
	durationWeight = 8
)

// CopyLimiter limits how many complete copies are sent at once, and thereby their memory: a copy takes one slot for each
// MaxSettingsSize bytes or part of them. A rejected follower is given a time to poll again. These times are spaced at the
// rate at which copies were recently sent.
type CopyLimiter struct {
	slots         int
	used          int
	meanDuration  int64 // moving average of the time to send a copy, in nanoseconds
	reservedUntil int64 // estimated time at which all rejected followers can be served, in nanoseconds
}

// Slots returns how many slots a copy takes, given its size in bytes.
func Slots(bytes int) int { return 1 + max(0, bytes-1)/MaxSettingsSize }

// NewCopyLimiter returns a limiter with the given number of slots, but at least one.
func NewCopyLimiter(slots int) *CopyLimiter {
	return &CopyLimiter{slots: max(1, slots), meanDuration: initialCopyDuration}
}

// Acquire takes the slots of a copy. If too few are free, it returns after how many nanoseconds to try again. A copy that
// needs more slots than the limiter has is admitted while no other copy is being sent.
func (l *CopyLimiter) Acquire(slots int, now int64) (ok bool, retryAfter int64) {
	if l.used == 0 || l.used+slots <= l.slots {
		l.used += slots
		return true, 0
	}
	l.reservedUntil = max(l.reservedUntil, now) + l.meanDuration*int64(slots)/int64(l.slots)
	return false, min(max(minRetryAfter, l.reservedUntil-now+l.meanDuration), maxRetryAfter)
}

// Release frees the slots of a copy and records how many nanoseconds sending it took.
func (l *CopyLimiter) Release(slots int, duration int64) {
	l.used = max(0, l.used-slots)
	l.meanDuration += (max(0, duration) - l.meanDuration) / durationWeight
}

// Used returns how many slots are taken.
func (l *CopyLimiter) Used() int { return l.used }
