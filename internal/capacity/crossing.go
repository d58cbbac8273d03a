package capacity

import (
	"math"
	"slices"
)

const (
	// Crossings are looked for up to so many times the target.
	fleetsMost = 100
	// They are looked for in steps of this share, one governor at least, and within the step that has one by halves: a row
	// that is over its bound for a narrower span of sizes alone could be missed.
	fleetStep = 0.01
	// Sizes of a service are looked at in so many steps of the mean.
	serviceSteps = 10
)

// rows are all rows of the table, ordinary and bad days.
func (m *Model) rows() []Path { return slices.Concat(m.Paths, m.Incidents) }

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

// overAt is the same for a fleet of so many governors in a reading.
func (m *Model) overAt(reading string, governors int) (map[string]bool, error) {
	service, err := m.Service(reading, float64(governors))
	if err != nil {
		return nil, err
	}
	return m.over(Scenario{float64(governors), service})
}

// Crossings are, by row, the smallest fleets at which they are over their bounds in a reading, in governors. A row without a
// mechanism crosses at once, with today's fleet; one that stays within its bound up to fleetsMost times the target has the
// value +Inf.
func (m *Model) Crossings(reading string) (map[string]float64, error) {
	size := m.size(governorsSize)
	first := map[string]float64{}
	for _, p := range m.rows() {
		first[p.Name] = math.Inf(1)
		if len(p.Mechanism) == 0 {
			first[p.Name] = size.Today
		}
	}
	before := int(size.Today)
	for n := before; n <= int(fleetsMost*size.Target); n = max(n+1, int(float64(n)*(1+fleetStep))) {
		over, err := m.overAt(reading, n)
		if err != nil {
			return nil, err
		}
		for name, crossed := range over {
			if crossed && math.IsInf(first[name], 1) {
				at, err := m.between(reading, name, before, n)
				if err != nil {
					return nil, err
				}
				first[name] = float64(at)
			}
		}
		before = n
	}
	return first, nil
}

// between is the smallest fleet at which a row is over, which it is not with the smaller of two and is with the larger.
func (m *Model) between(reading, name string, under, over int) (int, error) {
	for over-under > 1 {
		middle := under + (over-under)/2
		all, err := m.overAt(reading, middle)
		if err != nil {
			return 0, err
		}
		if all[name] {
			over = middle
		} else {
			under = middle
		}
	}
	return over, nil
}

// LargestServices are, by row, the sizes that a service of the target's fleet can grow to, as multiples of the mean, before
// the row is over its bound: 0 when it is over it at the mean already, +Inf when the whole fleet may be one service.
func (m *Model) LargestServices() (map[string]float64, error) {
	governors := m.size(governorsSize).Target
	largest := map[string]float64{}
	for _, p := range m.rows() {
		largest[p.Name] = math.Inf(1)
	}
	for k := serviceSteps; k <= int(m.sizes(governors)["services"])*serviceSteps; k++ {
		over, err := m.over(Scenario{governors, float64(k) / serviceSteps})
		if err != nil {
			return nil, err
		}
		for name, crossed := range over {
			if crossed && math.IsInf(largest[name], 1) {
				largest[name] = float64(k-1) / serviceSteps
				if k == serviceSteps {
					largest[name] = 0
				}
			}
		}
	}
	return largest, nil
}
