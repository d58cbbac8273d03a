package loadreport

import "time"

// entry holds the outcomes of one key. They are added to the newer of two sums. The older one is dropped as a whole, so a report
// covers at least the last half of the longest age, and at most all of it.
type entry struct {
	key        string
	newer      Sum
	newerFrom  int64
	older      Sum
	olderFrom  int64
	known      receiverState
	reportedAt int64   // 0: never
	deviation  float64 // in this round
}

// pending reports whether there is something to report.
func (e *entry) pending() bool { return !e.newer.empty() || !e.older.empty() }

// sum returns all that is pending.
func (e *entry) sum() Sum { return e.older.plus(e.newer) }

// from returns since when the pending outcomes came.
func (e *entry) from() int64 {
	if e.older.empty() {
		return e.newerFrom
	}
	return e.olderFrom
}

// add adds outcomes that came from a time on.
func (e *entry) add(sum Sum, from int64) {
	if e.newer.empty() {
		e.newerFrom = from
	}
	e.newer = e.newer.plus(sum)
}

// expire drops what is older than the longest age.
func (e *entry) expire(now int64, maxAge time.Duration) {
	if !e.older.empty() && now-e.olderFrom > int64(maxAge) {
		e.older = Sum{}
	}
	if e.newer.empty() || now-e.newerFrom <= int64(maxAge)/2 {
		return
	}
	e.older, e.olderFrom = e.newer, e.newerFrom
	e.newer = Sum{}
	if now-e.olderFrom > int64(maxAge) {
		e.older = Sum{}
	}
}

// report empties the sums and records what the receiver knows then.
func (e *entry) report(now int64) Report {
	report := Report{Key: e.key, Sum: e.sum(), Period: time.Duration(now - e.from())}
	e.older, e.newer = Sum{}, Sum{}
	e.known.add(report.Sum)
	e.reportedAt = now
	return report
}
