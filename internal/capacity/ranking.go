package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// ranked is one row of the ranking: the sizes at which it crosses, by reading.
type ranked struct {
	path    Path
	crosses []float64
	over    []bool  // at the target's size
	ratio   float64 // of result to bound at the target's size, in the first reading
}

// compare puts rows without a mechanism first, then those that cross with fewer governors in the first reading, in the
// second, and so on, then those that are farther over their bound.
func (r ranked) compare(o ranked) int {
	order := cmp.Compare(min(len(r.path.Mechanism), 1), min(len(o.path.Mechanism), 1))
	return cmp.Or(order, slices.Compare(r.crosses, o.crosses), cmp.Compare(o.ratio, r.ratio))
}

// Ranking orders all rows that have a bound or lack a mechanism by the size of fleet at which they cross.
func (m *Model) Ranking() ([]Path, error) {
	all, err := m.ranking()
	var paths []Path
	for _, r := range all {
		paths = append(paths, r.path)
	}
	return paths, err
}

func (m *Model) ranking() ([]ranked, error) {
	values, err := m.atTarget()
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
	var all []ranked
	for _, p := range m.rows() {
		if p.Bound == "" && len(p.Mechanism) > 0 {
			continue
		}
		r := ranked{path: p, ratio: values[0][p.Name] / m.bound(p.Bound)}
		for k, first := range crossings {
			r.crosses = append(r.crosses, first[p.Name])
			r.over = append(r.over, exceeds(values[k][p.Name], m.bound(p.Bound)))
		}
		all = append(all, r)
	}
	slices.SortStableFunc(all, ranked.compare)
	return all, nil
}

func (m *Model) rankingTable() (string, error) {
	all, err := m.ranking()
	if err != nil {
		return "", err
	}
	size := m.size(governorsSize)
	var rows [][]string
	for k, r := range all {
		row := []string{strconv.Itoa(k + 1), subject(r.path), r.path.Kind, "`" + r.path.Name + "`: " + r.path.Text, mechanism(r.path)}
		for k, c := range r.crosses {
			switch {
			case len(r.path.Mechanism) == 0:
				row = append(row, "at once")
			case math.IsInf(c, 0):
				row = append(row, "not by "+exact(fleetsMost*size.Target))
			case c <= size.Target && !r.over[k]:
				row = append(row, exact(c)+", under it again at "+exact(size.Target))
			case c <= size.Today:
				row = append(row, "today's "+exact(c))
			default:
				row = append(row, exact(c))
			}
		}
		rows = append(rows, row)
	}
	return markdownTable(append([]string{"rank", "role or event", "kind", "path", "mechanism"}, m.readingNames()...), rows), nil
}

// subject is what a row is about: the role, and of an incident the event too.
func subject(p Path) string {
	if p.Event == "" {
		return p.Role
	}
	return p.Event + ", " + p.Role
}

// tolerated is a row and the largest service, in times the mean, at which the target's fleet keeps its bound.
type tolerated struct {
	path    Path
	service float64
}

// tolerances are those of all rows that have a bound and a mechanism, the least first.
func (m *Model) tolerances() ([]tolerated, error) {
	var all []tolerated
	largest, err := m.LargestServices()
	if err != nil {
		return nil, err
	}
	for _, p := range m.rows() {
		if p.Bound != "" && len(p.Mechanism) > 0 {
			all = append(all, tolerated{p, largest[p.Name]})
		}
	}
	slices.SortStableFunc(all, func(a, b tolerated) int { return cmp.Compare(a.service, b.service) })
	return all, nil
}

// servicesTable prints up to which size of one service each row of the target's fleet holds.
func (m *Model) servicesTable(all []tolerated) string {
	target := m.sizes(m.size(governorsSize).Target)
	var rows [][]string
	for _, h := range all {
		row := []string{subject(h.path), "`" + h.path.Name + "`"}
		switch part := h.service / target["services"]; {
		case math.IsInf(h.service, 0):
			row = append(row, "all of the fleet", "", "")
		case h.service == 0:
			row = append(row, "**over at the mean already**", "", "")
		default:
			row = append(row, exact(h.service), exact(math.Floor(part*target[governorsSize])), exact(math.Floor(part*target["replicas"])))
		}
		rows = append(rows, row)
	}
	return markdownTable([]string{"role or event", "path", "times the mean service", "its governors", "its replicas"}, rows)
}

// summary says in few lines how many rows hold in each reading, and up to which size of one service.
func (m *Model) summary(all []tolerated) (string, error) {
	values, err := m.atTarget()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for k, r := range m.Readings {
		none, over, under := 0, []string{}, 0
		for _, p := range m.rows() {
			switch {
			case len(p.Mechanism) == 0:
				none++
			case p.Bound == "":
			case exceeds(values[k][p.Name], m.bound(p.Bound)):
				over = append(over, "`"+p.Name+"`")
			default:
				under++
			}
		}
		fmt.Fprintf(&b, "- %s (%s): rows without a mechanism %d; over their bound %d (%s); within it %d.\n", r.Name, r.Text, none, len(over),
			strings.Join(over, ", "), under)
	}
	first := slices.IndexFunc(all, func(h tolerated) bool { return h.service > 0 })
	var next []string
	for _, h := range all[first:min(first+3, len(all))] {
		next = append(next, fmt.Sprintf("`%s` to %s times the mean", h.path.Name, exact(h.service)))
	}
	fmt.Fprintf(&b, "- Of the rows that hold for a mean service, the first to end with its size: %s.\n", strings.Join(next, ", "))
	return b.String(), nil
}
