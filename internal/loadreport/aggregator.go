// Package loadreport sums the outcomes of attempts by key, and selects which sums are reported first if a budget of bytes
// does not allow all of them. The selection loses nothing: a sum that is not reported yet is added to later outcomes. The
// package does no I/O, reads no clock and starts no goroutine; callers pass times in nanoseconds of one clock of their
// choice.
package loadreport

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound an Aggregator.
type Limits struct {
	BytesPerSecond int           // limit for the bytes of all reports; 0: no limit, each sum is reported in each round
	Interval       time.Duration // time between two rounds; the unused budget of one interval is kept for the next
	MaxAge         time.Duration // outcomes older than MaxAge are not reported
	MaxKeys        int           // number of keys whose sums are held
}

// Report is a sum that is to be reported now.
type Report struct {
	Key    string
	Sum    Sum
	Period time.Duration // period in which the outcomes occurred
}

// Aggregator holds the outcomes that have not been reported to one receiver yet. It is not safe for concurrent use.
//
// BeginRound begins a round of reports. Next returns the reports of the round one by one, and RecordSent subtracts the size
// of each from the budget.
type Aggregator struct {
	limits         Limits
	entries        map[string]*entry
	budget         float64 // bytes that may still be sent; below 0 by less than the size of one message
	roundStartedAt int64   // when the last round began

	// The queues of the rest of the round: changed holds the entries that deviate from the earlier reports to the receiver,
	// and oldest holds all pending entries by the age of their last report. An entry may be in both.
	changed       []*entry
	oldest        []*entry
	changedIsNext bool
}

// New returns an Aggregator without outcomes.
func New(limits Limits, now int64) *Aggregator {
	return &Aggregator{limits: limits, entries: map[string]*entry{}, roundStartedAt: now}
}

// RoundStartedAt returns when the last round began.
func (a *Aggregator) RoundStartedAt() int64 { return a.roundStartedAt }

// Add adds outcomes that occurred between since and now. Outcomes of a new key are dropped if the limit of keys is reached.
func (a *Aggregator) Add(key string, sum Sum, since, now int64) {
	e := a.entries[key]
	if e == nil {
		if len(a.entries) >= a.limits.MaxKeys {
			return
		}
		e = &entry{key: key}
		a.entries[key] = e
	}
	e.expire(now, a.limits.MaxAge)
	e.add(sum, since)
}

// ReceiverRestarted records that the receiver may have lost all earlier reports, so that every pending sum is a change to
// it.
func (a *Aggregator) ReceiverRestarted() {
	for _, e := range a.entries {
		e.known = receiverState{}
	}
}

// BeginRound begins a round: it refills the budget and orders the pending entries.
func (a *Aggregator) BeginRound(now int64) {
	a.refill(now)
	a.roundStartedAt = now
	a.changed = a.changed[:0]
	a.oldest = a.oldest[:0]
	for key, e := range a.entries {
		e.expire(now, a.limits.MaxAge)
		switch {
		case e.pending():
			a.enqueue(e)
		case now-e.reportedAt > int64(a.limits.MaxAge): // the last report is too old to describe the current state
			delete(a.entries, key)
		}
	}
	slices.SortFunc(a.changed, byDeviation)
	slices.SortFunc(a.oldest, byReportTime)
	a.changedIsNext = true
}

// refill adds the budget of the time since the last round. At most the budget of two intervals accumulates.
func (a *Aggregator) refill(now int64) {
	perSecond := float64(a.limits.BytesPerSecond)
	budget := a.budget + perSecond*time.Duration(now-a.roundStartedAt).Seconds()
	a.budget = min(budget, 2*perSecond*a.limits.Interval.Seconds())
}

// enqueue puts an entry into the queues of the round.
func (a *Aggregator) enqueue(e *entry) {
	e.deviation = e.known.deviation(e.sum())
	if e.deviation > 0 {
		a.changed = append(a.changed, e)
	}
	a.oldest = append(a.oldest, e)
}

// Next returns the next report of the round, or false if no report is left or the budget is spent. It alternates between
// changed entries and the oldest entries, so that no entry waits forever even if all entries change in each round, as in an
// outage.
func (a *Aggregator) Next(now int64) (Report, bool) {
	if a.limits.BytesPerSecond > 0 && a.budget <= 0 {
		return Report{}, false
	}
	e := a.takeNext()
	if e == nil {
		return Report{}, false
	}
	return e.report(now), true
}

// takeNext takes an entry from the two queues alternately, and returns nil if both are empty.
func (a *Aggregator) takeNext() *entry {
	preferred, other := &a.oldest, &a.changed
	if a.changedIsNext {
		preferred, other = other, preferred
	}
	a.changedIsNext = !a.changedIsNext
	if e := takePending(preferred); e != nil {
		return e
	}
	return takePending(other)
}

// takePending takes the first entry of a queue that has not been reported from the other queue in this round.
func takePending(queue *[]*entry) *entry {
	for len(*queue) > 0 {
		e := (*queue)[0]
		*queue = (*queue)[1:]
		if e.pending() {
			return e
		}
	}
	return nil
}

// RecordSent subtracts the bytes of a sent report from the budget.
func (a *Aggregator) RecordSent(bytes int) { a.budget -= float64(bytes) }

// byDeviation orders entries by deviation, the largest first.
func byDeviation(a, b *entry) int {
	return cmp.Or(cmp.Compare(b.deviation, a.deviation), cmp.Compare(a.key, b.key))
}

// byReportTime orders entries by the time of their last report, the oldest first.
func byReportTime(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.reportedAt, b.reportedAt), cmp.Compare(a.key, b.key))
}
