package policy

import (
	"fmt"
	"iter"
	"lilacbend/control"
	"math"
)

// sharedState is what the parts share: the clock, the settings, the queues and the commands of this turn.
type sharedState struct {
	control.Settings
	now    int64
	draws  uint64
	out    []control.Command
	queues []*queue
	due    []int // the queue of each note that waits, in turn
}

func (d *sharedState) pause() int64 { return max(1, min(d.ReportInterval/2, beat)) }

func (d *sharedState) say(f string, args ...any) {
	d.out = append(d.out, control.Log{Text: fmt.Sprintf(f, args...)})
}

// chance draws from 0 to 1, the same for the same seed and count of draws.
func (d *sharedState) chance() float64 {
	d.draws++
	return control.Random(d.Seed, d.draws)
}

// draw gives a replica its ticket in the draw of tables, by listed weight: the highest are drawn first.
func (d *sharedState) draw(weight float64) float64 {
	return math.Pow(d.chance(), 1/math.Max(weight, 1e-6))
}

// numbers counts from 0.
func numbers(count int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for k := range count {
			if !yield(k) {
				return
			}
		}
	}
}
