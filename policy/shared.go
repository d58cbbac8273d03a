package policy

import (
	"cmp"
	"fmt"
	"iter"
	"lilacbend/control"
	"maps"
	"math"
	"slices"
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

func (d *sharedState) rows(tables int) int { return min(max(1, d.Zones), tables) }

func (d *sharedState) least(zone int, held []float64) int {
	row := d.rows(len(held))
	best := zone % row
	for table := best; table < len(held); table += row {
		if held[table] < held[best] {
			best = table
		}
	}
	return best
}

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

// newest leaves so many of a list, the last.
func newest[T any](most int, all []T) []T { return all[max(0, len(all)-most):] }

// mean of none is 0.
func mean(all []float64) (sum float64) {
	for _, v := range all {
		sum += v / float64(len(all))
	}
	return sum
}

// total adds in the order of the keys: the last digit of a sum goes by its order.
func total[K cmp.Ordered](all map[K]float64) (sum float64) {
	for _, k := range sorted(all) {
		sum += all[k]
	}
	return sum
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

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
