package loadreport

import "time"

// entry holds the pending outcomes of one key in two sums. Outcomes are added to the newer sum, and the older sum is dropped
// as a whole, so that a report covers at least the last half of the maximum age, and at most the whole maximum age.
type entry struct {
	key        string
	newer      Sum
	newerSince int64
	older      Sum
	olderSince int64
	known      receiverState
	reportedAt int64   // 0: never
	deviation  float64 // see receiverState.deviation; as of the current round
	source     SourceID
}

// pending reports whether there are outcomes to report.
func (e *entry) pending() bool { return !e.newer.empty() || !e.older.empty() }

// sum returns the sum of all pending outcomes.
func (e *entry) sum() Sum { return e.older.plus(e.newer) }

// since returns the start of the period of the pending outcomes.
func (e *entry) since() int64 {
	if e.older.empty() {
		return e.newerSince
	}
	return e.olderSince
}

// add adds outcomes whose period starts at since.
func (e *entry) add(sum Sum, since int64) {
	if e.newer.empty() {
		e.newerSince = since
	}
	e.newer = e.newer.plus(sum)
}

// expire drops outcomes that are older than the maximum age.
func (e *entry) expire(now int64, maxAge time.Duration) {
	if !e.older.empty() && now-e.olderSince > int64(maxAge) {
		e.older = Sum{}
	}
	if e.newer.empty() || now-e.newerSince <= int64(maxAge)/2 {
		return
	}
	e.older, e.olderSince = e.newer, e.newerSince
	e.newer = Sum{}
	if now-e.olderSince > int64(maxAge) {
		e.older = Sum{}
	}
}

// report returns the pending outcomes as a report, clears them, and adds the report to the receiver's state.
func (e *entry) report(now int64) Report {
	report := Report{Key: e.key, Sum: e.sum(), Period: time.Duration(now - e.since())}
	e.older, e.newer = Sum{}, Sum{}
	e.known.add(report.Sum)
	e.reportedAt = now
	return report
}
