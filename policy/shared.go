package policy

import (
	"fmt"
	"math"

	"lilacbend/control"
)

// minPlacementWeight stands for a listed weight of 0 in the draw of placement keys.
const minPlacementWeight = 1e-6

// sharedState is what all components share: the settings, the time and the commands of this turn, and the queues.
type sharedState struct {
	control.Settings
	now      int64 // of this turn, in nanoseconds
	draws    uint64
	commands []control.Command // of this turn
	queues   []*queue
	pending  []int // for each message that waits, its queue, in the order in which they were enqueued
}

// tickInterval returns the time between two ticks, in nanoseconds.
func (s *sharedState) tickInterval() int64 {
	return max(1, min(s.ReportInterval/ticksPerReport, maxTickInterval))
}

// logf writes a line for on-call engineers.
func (s *sharedState) logf(format string, args ...any) {
	s.commands = append(s.commands, control.Log{Text: fmt.Sprintf(format, args...)})
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
