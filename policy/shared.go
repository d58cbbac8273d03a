package policy

import (
	"fmt"
	"math"

	"lilacbend/control"
)

const (
	// maxTickInterval is the longest time between two ticks: what changes without a report, such as the end of an ejection, is
	// noticed as late at most.
	maxTickInterval = second / 4
	// ticksPerReport is how many ticks fall into a report interval at least: a report is acted on half an interval after it
	// was received at the latest.
	ticksPerReport = 2
	// minPlacementWeight stands for a listed weight of 0 in the draw of placement keys.
	minPlacementWeight = 1e-6
)

// sharedState is what all components share: the settings, the time and the commands of this turn, and the queues.
type sharedState struct {
	control.Settings
	now     int64 // of this turn, in nanoseconds
	draws   uint64
	out     []control.Command // of this turn
	queues  []*queue
	pending []int // for each message that waits, its queue, in the order in which they were enqueued
}

// tickInterval returns the time between two ticks, in nanoseconds.
func (s *sharedState) tickInterval() int64 {
	return max(1, min(s.ReportInterval/ticksPerReport, maxTickInterval))
}

// say writes a line for on-call engineers.
func (s *sharedState) say(format string, args ...any) {
	s.out = append(s.out, control.Log{Text: fmt.Sprintf(format, args...)})
}

// random draws a number above 0 and up to 1. It depends on the seed and the number of earlier draws alone.
func (s *sharedState) random() float64 {
	s.draws++
	return control.Random(s.Seed, s.draws)
}

// drawPlacementKey draws the rank of a replica in a weighted random order: the highest key comes first, and a replica of twice the
// weight is twice as likely to come before another one.
func (s *sharedState) drawPlacementKey(weight float64) float64 {
	return math.Pow(s.random(), 1/math.Max(weight, minPlacementWeight))
}
