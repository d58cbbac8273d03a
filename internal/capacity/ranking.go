package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// rankedPath is a row of the ranking. Its slices have one element for each reading, in the order of Model.Readings.
type rankedPath struct {
	path            Path
	crossings       []float64 // smallest numbers of controllers at which the row exceeds its bound, see Model.Crossings
	exceedsAtTarget []bool    // whether the row exceeds its bound at the target's size
	ratio           float64   // ratio of result to bound at the target's size, in the first reading
}

// compare orders rows without a mechanism first, then by the number of controllers at which they cross in the first reading,
// in the second, and so on, then by descending ratio to the bound.
func (r rankedPath) compare(other rankedPath) int {
	order := cmp.Compare(min(len(r.path.Mechanism), 1), min(len(other.path.Mechanism), 1))
	return cmp.Or(order, slices.Compare(r.crossings, other.crossings), cmp.Compare(other.ratio, r.ratio))
}

// Ranking returns all rows that have a bound or lack a mechanism, ordered by the size of the fleet at which they cross.
func (m *Model) Ranking() ([]Path, error) {
	all, err := m.ranking()
	var paths []Path
	for _, r := range all {
		paths = append(paths, r.path)
	}
	return paths, err
}

func (m *Model) ranking() ([]rankedPath, error) {
	values, err := m.evaluateAtTarget()
	if err != nil {
		return nil, err
	}
	var crossings []map[string]float64
	for _, reading := range m.Readings {
		first, err := m.Crossings(reading.Name)
		if err != nil {
			return nil, err
		}
		crossings = append(crossings, first)
	}
	var all []rankedPath
	for _, p := range m.rows() {
		if p.Bound == "" && len(p.Mechanism) > 0 {
			continue
		}
		row := rankedPath{path: p, ratio: values[0][p.Name] / m.bound(p.Bound)}
		for k, first := range crossings {
			row.crossings = append(row.crossings, first[p.Name])
			row.exceedsAtTarget = append(row.exceedsAtTarget, exceeds(values[k][p.Name], m.bound(p.Bound)))
		}
		all = append(all, row)
	}
	slices.SortStableFunc(all, rankedPath.compare)
	return all, nil
}

func (m *Model) rankingTable() (string, error) {
	all, err := m.ranking()
	if err != nil {
		return "", err
	}
	size := m.size(controllersSize)
	var rows [][]string
	for k, r := range all {
		row := []string{strconv.Itoa(k + 1), roleOrEvent(r.path), r.path.Kind, "`" + r.path.Name + "`: " + r.path.Text, formatMechanism(r.path)}
		for k, crossing := range r.crossings {
			switch {
			case len(r.path.Mechanism) == 0:
				row = append(row, "at once")
			case math.IsInf(crossing, 0):
				row = append(row, "not by "+formatExact(maxTargetMultiple*size.Target))
			case crossing <= size.Target && !r.exceedsAtTarget[k]:
				row = append(row, formatExact(crossing)+", under it again at "+formatExact(size.Target))
			case crossing <= size.Today:
				row = append(row, "today's "+formatExact(crossing))
			default:
				row = append(row, formatExact(crossing))
			}
		}
		rows = append(rows, row)
	}
	return markdownTable(append([]string{"rank", "role or event", "kind", "path", "mechanism"}, m.readingNames()...), rows), nil
}

// roleOrEvent returns the role of a row, with the event before it if the row belongs to an incident.
func roleOrEvent(p Path) string {
	if p.Event == "" {
		return p.Role
	}
	return p.Event + ", " + p.Role
}

// serviceTolerance is a row and the largest service of the target's fleet, as a multiple of the mean, that keeps the row
// within its bound.
type serviceTolerance struct {
	path    Path
	service float64
}

// tolerances returns the tolerances of all rows that have a bound and a mechanism, in ascending order.
func (m *Model) tolerances() ([]serviceTolerance, error) {
	var all []serviceTolerance
	largest, err := m.LargestServices()
	if err != nil {
		return nil, err
	}
	for _, p := range m.rows() {
		if p.Bound != "" && len(p.Mechanism) > 0 {
			all = append(all, serviceTolerance{p, largest[p.Name]})
		}
	}
	slices.SortStableFunc(all, func(a, b serviceTolerance) int { return cmp.Compare(a.service, b.service) })
	return all, nil
}

// servicesTable formats, by row, the largest service of the target's fleet that keeps the row within its bound.
func (m *Model) servicesTable(tolerances []serviceTolerance) string {
	target := m.sizesOf(m.size(controllersSize).Target)
	var rows [][]string
	for _, tolerance := range tolerances {
		row := []string{roleOrEvent(tolerance.path), "`" + tolerance.path.Name + "`"}
		switch fraction := tolerance.service / target["services"]; {
		case math.IsInf(tolerance.service, 0):
			row = append(row, "all of the fleet", "", "")
		case tolerance.service == 0:
			row = append(row, "**over at the mean already**", "", "")
		default:
			row = append(row, formatExact(tolerance.service), formatExact(math.Floor(fraction*target[controllersSize])), formatExact(math.Floor(fraction*target["replicas"])))
		}
		rows = append(rows, row)
	}
	return markdownTable([]string{"role or event", "path", "times the mean service", "its governors", "its replicas"}, rows)
}

// summary formats how many rows are within their bounds in each reading, and the lowest tolerances of the size of a service.
func (m *Model) summary(tolerances []serviceTolerance) (string, error) {
	values, err := m.evaluateAtTarget()
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for k, reading := range m.Readings {
		noMechanism, over, within := 0, []string{}, 0
		for _, p := range m.rows() {
			switch {
			case len(p.Mechanism) == 0:
				noMechanism++
			case p.Bound == "":
			case exceeds(values[k][p.Name], m.bound(p.Bound)):
				over = append(over, "`"+p.Name+"`")
			default:
				within++
			}
		}
		fmt.Fprintf(&text, "- %s (%s): rows without a mechanism %d; over their bound %d (%s); within it %d.\n", reading.Name, reading.Text, noMechanism, len(over),
			strings.Join(over, ", "), within)
	}
	first := slices.IndexFunc(tolerances, func(tolerance serviceTolerance) bool { return tolerance.service > 0 })
	var lowest []string
	for _, tolerance := range tolerances[first:min(first+3, len(tolerances))] {
		lowest = append(lowest, fmt.Sprintf("`%s` to %s times the mean", tolerance.path.Name, formatExact(tolerance.service)))
	}
	fmt.Fprintf(&text, "- Of the rows that hold for a mean service, the first to end with its size: %s.\n", strings.Join(lowest, ", "))
	return text.String(), nil
}
