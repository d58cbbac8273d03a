// Package loadreport sums outcomes by key, and chooses which sums are reported first where a budget of bytes does not allow all
// of them. Nothing is lost by the choice: what is not reported yet is summed on. The package has no I/O, no clock and no
// goroutine: times (nanoseconds of any one clock) and outcomes go in, reports come out.
package loadreport

import (
	"cmp"
	"slices"
	"time"
)

// Limits are what an aggregator keeps to.
type Limits struct {
	BytesPerSecond int           // that reports may take; 0: every sum is reported in every round
	Interval       time.Duration // between two rounds; the budget of one more may be saved
	MaxAge         time.Duration // of outcomes that are still reported
	MaxKeys        int           // of which sums are held
}

// Report is a sum that is to be reported now.
type Report struct {
	Key    string
	Sum    Sum
	Period time.Duration // in which the sum came
}

// Aggregator holds what one receiver has not been told yet. It is not safe for concurrent use.
//
// A round begins with Begin. Next gives its reports one by one, and Spent notes what each has taken of the budget.
type Aggregator struct {
	limits  Limits
	entries map[string]*entry
	budget  float64 // bytes; below 0 by part of one message at the most
	began   int64   // the last round

	// What is left of the round.
	news       []*entry
	oldest     []*entry
	newsIsNext bool
}

// New makes an aggregator without outcomes.
func New(limits Limits, now int64) *Aggregator {
	return &Aggregator{limits: limits, entries: map[string]*entry{}, began: now}
}

// Began is when the last round began.
func (a *Aggregator) Began() int64 { return a.began }

// Add adds outcomes that came between from and now. Those of further keys than the limit allows are dropped.
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

// ReceiverRestarted notes that the receiver may know nothing of what it was told: all that is pending is news to it.
func (a *Aggregator) ReceiverRestarted() {
	for _, e := range a.entries {
		e.known = knowledge{}
	}
}

// Begin begins a round: the budget grows, and what is pending is ordered.
func (a *Aggregator) Begin(now int64) {
	a.refill(now)
	a.began = now
	a.news = a.news[:0]
	a.oldest = a.oldest[:0]
	for key, e := range a.entries {
		e.expire(now, a.limits.MaxAge)
		switch {
		case e.pending():
			a.enqueue(e)
		case now-e.reportedAt > int64(a.limits.MaxAge): // what was reported tells nothing of now
			delete(a.entries, key)
		}
	}
	slices.SortFunc(a.news, byDeviation)
	slices.SortFunc(a.oldest, byReportTime)
	a.newsIsNext = true
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
		a.news = append(a.news, e)
	}
	a.oldest = append(a.oldest, e)
}

// Next gives the next report of the round; false: there is none, or the budget is spent. News and what was not reported for
// longest come by turns: all can be news for as long as a failure lasts, and nothing is to wait for ever.
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

// take takes an entry out of the queues by turns; nil: both are empty.
func (a *Aggregator) take() *entry {
	first, second := &a.oldest, &a.news
	if a.newsIsNext {
		first, second = second, first
	}
	a.newsIsNext = !a.newsIsNext
	if e := takePending(first); e != nil {
		return e
	}
	return takePending(second)
}

// takePending takes the first entry out of a queue that was not reported through the other one.
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

// Spent notes the bytes that a report has taken.
func (a *Aggregator) Spent(bytes int) { a.budget -= float64(bytes) }

// byDeviation orders by what is news to most attempts.
func byDeviation(a, b *entry) int {
	return cmp.Or(cmp.Compare(b.deviation, a.deviation), cmp.Compare(a.key, b.key))
}

// byReportTime orders by what was not reported for longest.
func byReportTime(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.reportedAt, b.reportedAt), cmp.Compare(a.key, b.key))
}
