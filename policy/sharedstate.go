package policy

import (
	"fmt"

	"lilacbend/control"
)

// sharedState is the state that all components share: the settings, the time and the commands of this turn, the queues, and
// the number of random draws.
type sharedState struct {
	control.Settings
	now      int64             // time of this turn, in nanoseconds
	draws    uint64            // number of random numbers drawn so far
	commands []control.Command // commands of this turn
	queues   []*queue
	pending  []int // the queue of each message not delivered yet, in the order of enqueuing
}

// logf adds a log line for on-call engineers to the turn's commands.
func (s *sharedState) logf(format string, args ...any) {
	s.commands = append(s.commands, control.Log{Text: fmt.Sprintf(format, args...)})
}

// random draws a number above 0 and up to 1, which depends only on the seed and the number of earlier draws.
func (s *sharedState) random() float64 {
	s.draws++
	return control.Random(s.Seed, s.draws)
}
