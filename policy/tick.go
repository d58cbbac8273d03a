package policy

import (
	"time"

	"lilacbend/control"
)

const (
	// second is one second as a number of nanoseconds, the unit of times and durations in package control.
	second = int64(time.Second)
	// maxTickInterval is the longest time between two ticks, in nanoseconds. A change that no report announces, such as the
	// end of an ejection, is noticed within this time.
	maxTickInterval = second / 4
	// ticksPerReport is the least number of ticks in a report interval: a report takes effect half an interval after it was
	// received at the latest.
	ticksPerReport = 2
)

// tick sets the next timer, has placement compare the replicas with each other and the update stop waiting for overdue acks,
// and evicts replicas. The messages of the evictions are delivered in the placement phase.
func (p *Policy) tick() {
	p.commands = append(p.commands, control.SetTimer{After: p.tickInterval()})
	p.enqueue(placementComponent, tickStarted{})
	p.enqueue(updateComponent, tickStarted{})
	p.deliverAll()
	p.evictReplicas()
}

// tickInterval returns the time between two ticks, in nanoseconds.
func (s *sharedState) tickInterval() int64 {
	return max(1, min(s.ReportInterval/ticksPerReport, maxTickInterval))
}
