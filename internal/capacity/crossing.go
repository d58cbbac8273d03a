package capacity

import (
	"math"
	"slices"
)

const (
	// maxTargetMultiple limits the search for the fleet at which a row exceeds its bound, as a multiple of the target's
	// number of controllers.
	maxTargetMultiple = 100
	// scanStep is the distance between two sizes at which bounds are checked, as a fraction of the size. The distance is at
	// least the smallest step. Within the step in which a row first exceeds its bound, the size is found by bisection. A row
	// that exceeds its bound only in a range of sizes narrower than a step can be missed.
	scanStep = 0.01
	// stepsPerMeanService is the number of smallest steps that make up the size of the mean service.
	stepsPerMeanService = 10
)

// rows returns all rows of the table, of ordinary operation and of incidents.
func (m *Model) rows() []Path { return slices.Concat(m.Paths, m.Incidents) }

// boundsCheck reports for each row, by its name, whether it exceeds its bound at a size. The size is a number of
// smallest steps.
type boundsCheck func(size int) (map[string]bool, error)

// overBound reports for each row, by its name, whether it exceeds its bound in a scenario.
func (m *Model) overBound(scenario Scenario) (map[string]bool, error) {
	values, err := m.Evaluate(scenario)
	if err != nil {
		return nil, err
	}
	over := map[string]bool{}
	for _, row := range m.rows() {
		over[row.Name] = row.Bound != "" && exceeds(values[row.Name], m.bound(row.Bound))
	}
	return over, nil
}

// firstCrossings returns for each row, by its name, the smallest size at which it exceeds its bound. Rows that never exceed
// their bounds have no entry.
func firstCrossings(from, to int, check boundsCheck) (map[string]int, error) {
	first := map[string]int{}
	previous := from
	for size := from; size <= to; size = max(size+1, int(float64(size)*(1+scanStep))) {
		over, err := check(size)
		if err != nil {
			return nil, err
		}
		for name, crossed := range over {
			if _, known := first[name]; known || !crossed {
				continue
			}
			if first[name], err = bisectCrossing(name, previous, size, check); err != nil {
				return nil, err
			}
		}
		previous = size
	}
	return first, nil
}

// bisectCrossing returns the smallest size at which a row exceeds its bound. The row exceeds its bound at the size
// `beyond`, and is within it at the size `within`, unless the two sizes are equal.
func bisectCrossing(name string, within, beyond int, check boundsCheck) (int, error) {
	for beyond-within > 1 {
		middle := within + (beyond-within)/2
		over, err := check(middle)
		if err != nil {
			return 0, err
		}
		if over[name] {
			beyond = middle
		} else {
			within = middle
		}
	}
	return beyond, nil
}

// Crossings returns for each row, by its name, the number of controllers of the smallest fleet at which the row exceeds its
// bound in a reading. For a row without a mechanism this is the number of today's fleet. For a row that stays within its
// bound up to maxTargetMultiple times the target it is +Inf.
func (m *Model) Crossings(reading string) (map[string]float64, error) {
	size := m.size(controllersSize)
	first, err := firstCrossings(int(size.Today), int(maxTargetMultiple*size.Target), func(controllers int) (map[string]bool, error) {
		service, err := m.Service(reading, float64(controllers))
		if err != nil {
			return nil, err
		}
		return m.overBound(Scenario{float64(controllers), service})
	})
	if err != nil {
		return nil, err
	}
	crossings := map[string]float64{}
	for _, row := range m.rows() {
		at, crosses := first[row.Name]
		switch {
		case len(row.Mechanism) == 0:
			crossings[row.Name] = size.Today
		case crosses:
			crossings[row.Name] = float64(at)
		default:
			crossings[row.Name] = math.Inf(1)
		}
	}
	return crossings, nil
}

// LargestServices returns for each row, by its name, the largest size of a service of the target's fleet at which the
// row is within its bound, as a multiple of the mean: 0 if the row exceeds its bound at the mean already, +Inf if the whole
// fleet may be one service.
func (m *Model) LargestServices() (map[string]float64, error) {
	controllers := m.size(controllersSize).Target
	services := int(m.sizesOf(controllers)["services"])
	first, err := firstCrossings(stepsPerMeanService, stepsPerMeanService*services, func(steps int) (map[string]bool, error) {
		return m.overBound(Scenario{controllers, float64(steps) / stepsPerMeanService})
	})
	if err != nil {
		return nil, err
	}
	largest := map[string]float64{}
	for _, row := range m.rows() {
		at, crosses := first[row.Name]
		switch {
		case !crosses:
			largest[row.Name] = math.Inf(1)
		case at > stepsPerMeanService:
			largest[row.Name] = float64(at-1) / stepsPerMeanService
		}
	}
	return largest, nil
}
