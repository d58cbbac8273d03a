package policy

import "time"

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
