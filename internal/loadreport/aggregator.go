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

// SourceID identifies a source of outcomes, such as the connection of a sidecar.
type SourceID uint64

// Aggregator holds the outcomes that have not been reported to one receiver yet. It is not safe for concurrent use.
//
// Within a budget, a source that reports more keys than all others together alternates with them, so that it does not delay
// their reports.
//
// BeginRound begins a round of reports. Next returns the reports of the round one by one, and RecordSent subtracts the size
// of each from the budget.
type Aggregator struct {
	limits          Limits
	entries         map[string]*entry
	entriesBySource map[SourceID]int // number of entries that belong to each source
	budget          float64          // bytes that may still be sent; below 0 by less than the size of one message
	roundStartedAt  int64            // when the last round began

	// The queues of the rest of the round: changed holds the entries that deviate from the earlier reports to the receiver,
	// and oldest holds all pending entries by the age of their last report. An entry may be in both.
	changed       []*entry
	oldest        []*entry
	changedIsNext bool
}

// New returns an Aggregator without outcomes.
func New(limits Limits, now int64) *Aggregator {
	return &Aggregator{
		limits:          limits,
		entries:         map[string]*entry{},
		entriesBySource: map[SourceID]int{},
		roundStartedAt:  now,
	}
}

// RoundStartedAt returns when the last round began.
func (a *Aggregator) RoundStartedAt() int64 { return a.roundStartedAt }

// Add adds outcomes of a source that occurred between since and now. Outcomes of a new key are dropped if the limit of keys is
// reached.
func (a *Aggregator) Add(source SourceID, key string, sum Sum, since, now int64) {
	e := a.entries[key]
	if e == nil {
		if len(a.entries) >= a.limits.MaxKeys {
			return
		}
		e = &entry{key: key}
		a.entries[key] = e
		a.assign(e, source)
	}
	if e.source != source && a.entriesBySource[source]+1 < a.entriesBySource[e.source] {
		a.unassign(e)
		a.assign(e, source)
	}
	e.expire(now, a.limits.MaxAge)
	e.add(sum, since)
}

// assign makes an entry belong to a source. An entry belongs to the one of its sources that has the fewest, so that a source
// with very many keys does not take over those of others.
func (a *Aggregator) assign(e *entry, source SourceID) {
	e.source = source
	a.entriesBySource[source]++
}

// unassign makes an entry belong to no source.
func (a *Aggregator) unassign(e *entry) {
	a.entriesBySource[e.source]--
	if a.entriesBySource[e.source] == 0 {
		delete(a.entriesBySource, e.source)
	}
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
			a.unassign(e)
			delete(a.entries, key)
		}
	}
	slices.SortFunc(a.changed, byDeviation)
	slices.SortFunc(a.oldest, byReportTime)
	if a.limits.BytesPerSecond > 0 {
		alternateMajority(a.changed)
		alternateMajority(a.oldest)
	}
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

// alternateMajority reorders a queue in which one source has more entries than all others together: its entries alternate with
// those of the others, which would otherwise wait for all that are more urgent. Any other queue stays as it is.
func alternateMajority(queue []*entry) {
	source, found := majoritySource(queue)
	if !found {
		return
	}
	var own, others []*entry
	for _, e := range queue {
		if e.source == source {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	alternating := queue[:0]
	for k, e := range own { // there are more of them than of the others
		if k < len(others) {
			alternating = append(alternating, others[k])
		}
		alternating = append(alternating, e)
	}
}

// majoritySource returns the source that has more entries of a queue than all others together, if there is one.
func majoritySource(queue []*entry) (source SourceID, found bool) {
	counts := map[SourceID]int{}
	for _, e := range queue {
		counts[e.source]++
	}
	for source, count := range counts {
		if 2*count > len(queue) {
			return source, true
		}
	}
	return 0, false
}

// byDeviation orders entries by deviation, the largest first.
func byDeviation(a, b *entry) int {
	return cmp.Or(cmp.Compare(b.deviation, a.deviation), cmp.Compare(a.key, b.key))
}

// byReportTime orders entries by the time of their last report, the oldest first.
func byReportTime(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.reportedAt, b.reportedAt), cmp.Compare(a.key, b.key))
}
