// Package ordered visits maps in the order of their keys. The decisions are deterministic only if every loop and every
// floating-point sum over a map has a fixed order.
package ordered

import (
	"cmp"
	"maps"
	"slices"
)

// Keys returns the keys of a map in ascending order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Sum adds the values of a map in the order of its keys, as the last digit of a floating-point sum depends on the order.
func Sum[K cmp.Ordered](m map[K]float64) float64 {
	sum := 0.0
	for _, key := range Keys(m) {
		sum += m[key]
	}
	return sum
}
