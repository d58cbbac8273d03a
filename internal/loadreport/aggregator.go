// Package loadreport sums outcomes by key, and chooses which sums are reported first where a budget of bytes does not allow all
// of them. Nothing is lost by the choice: what is not reported yet is added to later outcomes. The package does no I/O, reads no
// clock and starts no goroutine; times are nanoseconds of any one clock.
package loadreport

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound an Aggregator.
type Limits struct {
	BytesPerSecond int           // of reports; 0: every sum is reported in every round
	Interval       time.Duration // between two rounds; the budget of one more may be saved
	MaxAge         time.Duration // of outcomes that are reported
	MaxKeys        int           // for which sums are held
}

// Report is a sum that is to be reported now.
type Report struct {
	Key    string
	Sum    Sum
	Period time.Duration // in which the outcomes came
}

// Aggregator holds the outcomes that were not reported to one receiver yet. It is not safe for concurrent use.
//
// A round begins with Begin. Next returns its reports one by one, and Spent takes the size of each from the budget.
type Aggregator struct {
	limits  Limits
	entries map[string]*entry
	budget  float64 // bytes; negative by part of one message at the most
	began   int64   // when the last round did

	// The rest of the round: entries that differ from what the receiver knows, and all entries by the age of their last
	// report. An entry may be in both.
	changed       []*entry
	oldest        []*entry
	changedIsNext bool
}

// New returns an Aggregator without outcomes.
func New(limits Limits, now int64) *Aggregator {
	return &Aggregator{limits: limits, entries: map[string]*entry{}, began: now}
}

// Began returns when the last round began.
func (a *Aggregator) Began() int64 { return a.began }

// Add adds outcomes that came between from and now. Those of more keys than the limit allows are dropped.
func (a *Aggregator) Add(key string, sum Sum, from, now int64) {
	e := a.entries[key]
	if e == nil {
		if len(a.entries) >= a.limits.MaxKeys {
			return
		}
		e = &entry{key: key}
		a.entries[key] = e
	}
	e.expire(now, a.limits.MaxAge)
	e.add(sum, from)
}

// ReceiverRestarted records that the receiver may have lost what was reported to it: all that is pending is a change to it.
func (a *Aggregator) ReceiverRestarted() {
	for _, e := range a.entries {
		e.known = receiverState{}
	}
}

// Begin begins a round: the budget grows, and what is pending is ordered.
func (a *Aggregator) Begin(now int64) {
	a.refill(now)
	a.began = now
	a.changed = a.changed[:0]
	a.oldest = a.oldest[:0]
	for key, e := range a.entries {
		e.expire(now, a.limits.MaxAge)
		switch {
		case e.pending():
			a.enqueue(e)
		case now-e.reportedAt > int64(a.limits.MaxAge): // what was reported says nothing about now
			delete(a.entries, key)
		}
	}
	slices.SortFunc(a.changed, byDeviation)
	slices.SortFunc(a.oldest, byReportTime)
	a.changedIsNext = true
}

// refill lets the budget grow with time. What one interval allows may be saved for the next.
func (a *Aggregator) refill(now int64) {
	perSecond := float64(a.limits.BytesPerSecond)
	grown := a.budget + perSecond*time.Duration(now-a.began).Seconds()
	a.budget = min(grown, 2*perSecond*a.limits.Interval.Seconds())
}

// enqueue puts an entry into the queues of the round.
func (a *Aggregator) enqueue(e *entry) {
	e.deviation = e.known.deviation(e.sum())
	if e.deviation > 0 {
		a.changed = append(a.changed, e)
	}
	a.oldest = append(a.oldest, e)
}

// Next returns the next report of the round; false: there is none, or the budget is spent. Changed entries and the oldest ones come
// by turns: during a failure all entries may have changed in every round, and yet none may wait forever.
func (a *Aggregator) Next(now int64) (Report, bool) {
	if a.limits.BytesPerSecond > 0 && a.budget <= 0 {
		return Report{}, false
	}
	e := a.take()
	if e == nil {
		return Report{}, false
	}
	return e.report(now), true
}

// take takes an entry from the queues by turns; nil: both are empty.
func (a *Aggregator) take() *entry {
	first, second := &a.oldest, &a.changed
	if a.changedIsNext {
		first, second = second, first
	}
	a.changedIsNext = !a.changedIsNext
	if e := takePending(first); e != nil {
		return e
	}
	return takePending(second)
}

// takePending takes the first entry from a queue that was not reported from the other one.
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

// Spent takes the bytes of a report from the budget.
func (a *Aggregator) Spent(bytes int) { a.budget -= float64(bytes) }

// byDeviation orders by the number of attempts that went otherwise than the receiver expects, the largest first.
func byDeviation(a, b *entry) int {
	return cmp.Or(cmp.Compare(b.deviation, a.deviation), cmp.Compare(a.key, b.key))
}

// byReportTime orders by the last report, the oldest first.
func byReportTime(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.reportedAt, b.reportedAt), cmp.Compare(a.key, b.key))
}
