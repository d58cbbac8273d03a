package policy

import (
	"fmt"

	"lilacbend/control"
)

// sharedState is what all components share: the settings, the time and the commands of this turn, and the queues.
type sharedState struct {
	control.Settings
	now      int64 // of this turn, in nanoseconds
	draws    uint64
	commands []control.Command // of this turn
	queues   []*queue
	pending  []int // for each message that waits, its queue, in the order in which they were enqueued
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
