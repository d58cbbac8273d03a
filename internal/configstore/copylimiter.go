package configstore

const (
	// initialCopyDuration is how long a complete copy is taken to last before any was measured, in nanoseconds.
	initialCopyDuration = int64(50 * 1e6)
	// minRetryAfter and maxRetryAfter bound when a rejected follower polls again, in nanoseconds.
	minRetryAfter = int64(100 * 1e6)
	maxRetryAfter = int64(5 * 1e9)
	// durationWeight is the number of earlier copies against which a new duration counts in the mean.
	durationWeight = 8
)

// CopyLimiter limits the complete copies that are sent at once, and with them their memory: a copy takes a slot for each
// MaxSettingsSize of its size. A rejected follower is given a time to poll again; these times follow one another at the rate
// at which copies have lately been sent.
type CopyLimiter struct {
	slots        int
	used         int
	meanDuration int64 // of a copy
	reserved     int64 // the latest time that was given to a rejected follower
}

// Slots returns how many slots a copy of a size takes.
func Slots(bytes int) int { return 1 + max(0, bytes-1)/MaxSettingsSize }

// NewCopyLimiter returns a limiter with so many slots.
func NewCopyLimiter(slots int) *CopyLimiter {
	return &CopyLimiter{slots: max(1, slots), meanDuration: initialCopyDuration}
}

// Acquire takes the slots of a copy. If they are not free it returns when to try again. A copy that needs more slots than
// there are is admitted when no other is being sent.
func (l *CopyLimiter) Acquire(slots int, now int64) (ok bool, retryAfter int64) {
	if l.used == 0 || l.used+slots <= l.slots {
		l.used += slots
		return true, 0
	}
	l.reserved = max(l.reserved, now) + l.meanDuration*int64(slots)/int64(l.slots)
	return false, min(max(minRetryAfter, l.reserved-now+l.meanDuration), maxRetryAfter)
}

// Release frees the slots of a copy and records how long sending it took.
func (l *CopyLimiter) Release(slots int, duration int64) {
	l.used = max(0, l.used-slots)
	l.meanDuration += (max(0, duration) - l.meanDuration) / durationWeight
}

// Used returns how many slots are taken.
func (l *CopyLimiter) Used() int { return l.used }
