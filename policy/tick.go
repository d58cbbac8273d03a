package policy

import (
	"time"

	"lilacbend/control"
)

const (
	// second is the unit of durations in package control, which are in nanoseconds, as a number.
	second = int64(time.Second)
	// maxTickInterval is the longest time between two ticks: what changes without a report, such as the end of an ejection, is
	// noticed as late at most.
	maxTickInterval = second / 4
	// ticksPerReport is how many ticks fall into a report interval at least: a report is acted on half an interval after it
	// was received at the latest.
	ticksPerReport = 2
)

// tick sets the next timer and compares the replicas with each other. The messages of evictions are delivered with those of
// placement.
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
