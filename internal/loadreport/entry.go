package loadreport

import "time"

// entry is what is held of one key. Outcomes come into the newer of two sums; the older one is dropped whole, so that what is
// reported is of the last half of the longest age at least, and of all of it at the most.
type entry struct {
	key        string
	newer      Sum
	newerFrom  int64
	older      Sum
	olderFrom  int64
	known      knowledge // of the receiver
	reportedAt int64     // 0: never
	deviation  float64   // in this round
}

// pending says whether there is something to report.
func (e *entry) pending() bool { return !e.newer.empty() || !e.older.empty() }

// sum is all that is pending.
func (e *entry) sum() Sum { return e.older.plus(e.newer) }

// from is since when what is pending came.
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

// report empties the sums and notes what the receiver knows then.
func (e *entry) report(now int64) Report {
	report := Report{Key: e.key, Sum: e.sum(), Period: time.Duration(now - e.from())}
	e.older, e.newer = Sum{}, Sum{}
	e.known.learn(report.Sum)
	e.reportedAt = now
	return report
}
