package capacity

import (
	"math"
	"slices"
)

const (
	// Crossings are looked for up to so many times the target.
	fleetsMost = 100
	// Sizes are looked at in steps of this share, the smallest one at least, and within the step that has a crossing by
	// halves: a row that is over its bound for a narrower span of sizes alone could be missed.
	scanStep = 0.01
	// The smallest step of the size of a service is the mean by so many.
	serviceSteps = 10
)

// rows are all rows of the table, ordinary and bad days.
func (m *Model) rows() []Path { return slices.Concat(m.Paths, m.Incidents) }

// overFunc says which rows are over their bounds at a size, counted in smallest steps.
type overFunc func(size int) (map[string]bool, error)

// over says which rows are over their bounds in a scenario.
func (m *Model) over(s Scenario) (map[string]bool, error) {
	values, err := m.Evaluate(s)
	if err != nil {
		return nil, err
	}
	all := map[string]bool{}
	for _, p := range m.rows() {
		all[p.Name] = p.Bound != "" && exceeds(values[p.Name], m.bound(p.Bound))
	}
	return all, nil
}

// firstOver finds, by row, the smallest size at which it is over its bound. Rows that never are have no entry.
func firstOver(from, to int, over overFunc) (map[string]int, error) {
	first := map[string]int{}
	before := from
	for size := from; size <= to; size = max(size+1, int(float64(size)*(1+scanStep))) {
		all, err := over(size)
		if err != nil {
			return nil, err
		}
		for name, crossed := range all {
			if _, known := first[name]; known || !crossed {
				continue
			}
			if first[name], err = between(name, before, size, over); err != nil {
				return nil, err
			}
		}
		before = size
	}
	return first, nil
}

// between is the smallest size at which a row is over, which it is not with the smaller of two and is with the larger.
func between(name string, within, beyond int, over overFunc) (int, error) {
	for beyond-within > 1 {
		middle := within + (beyond-within)/2
		all, err := over(middle)
		if err != nil {
			return 0, err
		}
		if all[name] {
			beyond = middle
		} else {
			within = middle
		}
	}
	return beyond, nil
}

// Crossings are, by row, the smallest fleets at which they are over their bounds in a reading, in governors. A row without a
// mechanism crosses at once, with today's fleet; one that stays within its bound up to fleetsMost times the target has the
// value +Inf.
func (m *Model) Crossings(reading string) (map[string]float64, error) {
	size := m.size(governorsSize)
	first, err := firstOver(int(size.Today), int(fleetsMost*size.Target), func(governors int) (map[string]bool, error) {
		service, err := m.Service(reading, float64(governors))
		if err != nil {
			return nil, err
		}
		return m.over(Scenario{float64(governors), service})
	})
	if err != nil {
		return nil, err
	}
	all := map[string]float64{}
	for _, p := range m.rows() {
		at, crosses := first[p.Name]
		switch {
		case len(p.Mechanism) == 0:
			all[p.Name] = size.Today
		case crosses:
			all[p.Name] = float64(at)
		default:
			all[p.Name] = math.Inf(1)
		}
	}
	return all, nil
}

// LargestServices are, by row, the sizes that a service of the target's fleet can grow to, as multiples of the mean, before
// the row is over its bound: 0 when it is over it at the mean already, +Inf when the whole fleet may be one service.
func (m *Model) LargestServices() (map[string]float64, error) {
	governors := m.size(governorsSize).Target
	services := int(m.sizes(governors)["services"])
	first, err := firstOver(serviceSteps, serviceSteps*services, func(steps int) (map[string]bool, error) {
		return m.over(Scenario{governors, float64(steps) / serviceSteps})
	})
	if err != nil {
		return nil, err
	}
	all := map[string]float64{}
	for _, p := range m.rows() {
		at, crosses := first[p.Name]
		switch {
		case !crosses:
			all[p.Name] = math.Inf(1)
		case at > serviceSteps:
			all[p.Name] = float64(at-1) / serviceSteps
		}
	}
	return all, nil
}
