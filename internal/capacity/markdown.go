package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
)

// significantDigits are printed of each figure: no slope here is known better.
const significantDigits = 3

// figure prints a number with few digits and with commas between thousands.
func figure(v float64) string {
	if v == 0 || math.IsInf(v, 0) {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'e', significantDigits-1, 64), 64)
	if err != nil {
		return err.Error()
	}
	if math.Abs(rounded) < 1e-3 {
		return strconv.FormatFloat(rounded, 'g', -1, 64)
	}
	return humanize.Commaf(rounded)
}

// exact prints a number that was stated, not measured.
func exact(v float64) string { return humanize.Commaf(v) }

// markdownTable prints a table with a header row.
func markdownTable(header []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) {
		for k, cell := range cells {
			cells[k] = strings.ReplaceAll(cell, "|", `\|`)
		}
		fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | "))
	}
	line(header)
	line(slices.Repeat([]string{"---"}, len(header)))
	for _, r := range rows {
		line(r)
	}
	return b.String()
}

// Sections are the generated parts of the page by name.
func (m *Model) Sections() (map[string]string, error) {
	sections := map[string]string{"sizes": m.sizesTable(), "constants": m.constantsTable(), "measurements": m.measurementsTable()}
	services, err := m.tolerances()
	if err != nil {
		return nil, err
	}
	sections["services"] = m.servicesTable(services)
	if sections["summary"], err = m.summary(services); err != nil {
		return nil, err
	}
	for name, print := range map[string]func() (string, error){"readings": m.readingsTable, "claims": m.claimsTable, "ranking": m.rankingTable} {
		text, err := print()
		if err != nil {
			return nil, err
		}
		sections[name] = text
	}
	for _, role := range distinct(m.Paths, func(p Path) string { return p.Role }) {
		if sections["role-"+role], err = m.rowsTable(filter(m.Paths, func(p Path) bool { return p.Role == role })); err != nil {
			return nil, err
		}
	}
	for _, event := range distinct(m.Incidents, func(p Path) string { return p.Event }) {
		if sections["incident-"+event], err = m.rowsTable(filter(m.Incidents, func(p Path) bool { return p.Event == event })); err != nil {
			return nil, err
		}
	}
	return sections, nil
}

func filter(all []Path, want func(Path) bool) []Path {
	return slices.DeleteFunc(slices.Clone(all), func(p Path) bool { return !want(p) })
}

// distinct are the values of a key in the order of their first row.
func distinct(all []Path, key func(Path) string) (values []string) {
	for _, p := range all {
		if !slices.Contains(values, key(p)) {
			values = append(values, key(p))
		}
	}
	return values
}

func (m *Model) sizesTable() string {
	var rows [][]string
	for _, s := range m.Sizes {
		rows = append(rows, []string{"`" + s.Name + "`", s.Text, exact(s.Today), exact(s.Target)})
	}
	return markdownTable([]string{"name", "what", "today", "target"}, rows)
}

func (m *Model) constantsTable() string {
	var rows [][]string
	for _, c := range slices.Concat(m.Constants, m.Bounds) {
		rows = append(rows, []string{"`" + c.Name + "`", exact(c.Value) + " " + c.Unit, c.Source})
	}
	return markdownTable([]string{"name", "value", "by"}, rows)
}

func (m *Model) measurementsTable() string {
	var rows [][]string
	for _, d := range m.Measurements {
		result, spread := figure(d.Value)+" "+d.Unit, ""
		if d.X != "" {
			f := m.fits[d.Name]
			result = fmt.Sprintf("%s + %s a %s, %s", figure(f.Intercept), figure(f.Slope), d.X, d.Unit)
			first, last := d.Points[0], d.Points[len(d.Points)-1]
			spread = fmt.Sprintf("%d points from %s to %s, worst %s%%", len(d.Points), exact(first[0]), exact(last[0]), figure(100*f.Worst))
		}
		rows = append(rows, []string{"`" + d.Name + "`", d.Text, result, spread, "`" + d.Command + "`", d.Commit + ", " + d.Machine + ", " + d.Date,
			strconv.Itoa(d.Runs)})
	}
	return markdownTable([]string{"name", "what", "intercept and slope, or value", "points, largest residual", "command", "commit, machine, date", "runs"}, rows)
}

// target is the scenario of a reading at the target's size.
func (m *Model) target(reading string) (Scenario, error) {
	governors := m.size(governorsSize).Target
	service, err := m.Service(reading, governors)
	return Scenario{governors, service}, err
}

// atTarget evaluates all rows at the target's size in each reading.
func (m *Model) atTarget() ([]Values, error) {
	var all []Values
	for _, r := range m.Readings {
		s, err := m.target(r.Name)
		if err != nil {
			return nil, err
		}
		v, err := m.Evaluate(s)
		if err != nil {
			return nil, err
		}
		all = append(all, v)
	}
	return all, nil
}

// readingNames head one column each.
func (m *Model) readingNames() (names []string) {
	for _, r := range m.Readings {
		names = append(names, r.Name)
	}
	return names
}

func (m *Model) readingsTable() (string, error) {
	values, err := m.atTarget()
	if err != nil {
		return "", err
	}
	rows := [][]string{{"", "times the mean service", "`" + serviceSize + "`"}}
	for _, r := range m.Readings {
		s, err := m.target(r.Name)
		if err != nil {
			return "", err
		}
		rows[0] = append(rows[0], figure(s.Service))
	}
	for _, d := range m.Derived {
		row := []string{"`" + d.Name + "`", d.Text, "`" + d.Formula + "`"}
		for _, v := range values {
			row = append(row, figure(v[d.Name]))
		}
		rows = append(rows, row)
	}
	return markdownTable(append([]string{"name", "what", "formula"}, m.readingNames()...), rows), nil
}

// rowsTable prints rows with their results at the target's size, and by how many times each is over or under its bound.
func (m *Model) rowsTable(paths []Path) (string, error) {
	values, err := m.atTarget()
	if err != nil {
		return "", err
	}
	var rows [][]string
	for _, p := range paths {
		row := []string{p.Kind, "`" + p.Name + "`: " + p.Text, "`" + p.Formula + "`"}
		for _, v := range values {
			row = append(row, m.result(p, v[p.Name]))
		}
		bound := "none is stated"
		if p.Bound != "" {
			bound = fmt.Sprintf("`%s` %s", p.Bound, exact(m.bound(p.Bound)))
		}
		rows = append(rows, append(row, p.Unit, bound, mechanism(p)))
	}
	header := append([]string{"kind", "path", "formula"}, m.readingNames()...)
	return markdownTable(append(header, "unit", "bound", "mechanism"), rows), nil
}

// result prints a figure and how it stands to its bound.
func (m *Model) result(p Path, v float64) string {
	bound := m.bound(p.Bound)
	switch {
	case p.Bound == "" || v == 0:
		return figure(v)
	case exceeds(v, bound):
		return fmt.Sprintf("%s, **%s times over**", figure(v), figure(v/bound))
	}
	return fmt.Sprintf("%s, %s times under", figure(v), figure(bound/v))
}

func mechanism(p Path) string {
	if len(p.Mechanism) == 0 {
		return "**none**"
	}
	return strings.Join(p.Mechanism, ", ")
}

// claimsTable prints what was claimed beside what the table gives.
func (m *Model) claimsTable() (string, error) {
	var rows [][]string
	for _, c := range m.Claims {
		s, err := m.target(c.Reading)
		if err != nil {
			return "", err
		}
		values, err := m.Evaluate(s)
		if err != nil {
			return "", err
		}
		rows = append(rows, []string{c.Text, c.Reading, exact(c.Claimed), figure(values[c.Name]), c.Unit, "`" + c.Formula + "`"})
	}
	return markdownTable([]string{"what", "reading", "first figure", "now", "unit", "formula"}, rows), nil
}
