// Package ordered iterates over maps in the order of their keys. Policy decisions are deterministic only if every loop and
// every floating-point sum over a map has a fixed order.
package ordered

import (
	"cmp"
	"maps"
	"slices"
)

// Keys returns the keys of a map in ascending order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Sum returns the sum of a map's values, added in the order of the keys, as the rounding of a floating-point sum depends on
// the order.
func Sum[K cmp.Ordered](m map[K]float64) float64 {
	sum := 0.0
	for _, key := range Keys(m) {
		sum += m[key]
	}
	return sum
}
