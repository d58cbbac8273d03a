package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
)

// significantDigits is the number of digits of each printed result. No slope of the table is known more precisely.
const significantDigits = 3

// formatRounded formats a number with significantDigits digits and with commas between thousands.
func formatRounded(v float64) string {
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

// formatExact formats a number that was stated, not measured, without rounding it.
func formatExact(v float64) string { return humanize.Commaf(v) }

// markdownTable formats a table with a header row.
func markdownTable(header []string, rows [][]string) string {
	var text strings.Builder
	writeRow := func(cells []string) {
		for k, cell := range cells {
			cells[k] = strings.ReplaceAll(cell, "|", `\|`)
		}
		fmt.Fprintf(&text, "| %s |\n", strings.Join(cells, " | "))
	}
	writeRow(header)
	writeRow(slices.Repeat([]string{"---"}, len(header)))
	for _, r := range rows {
		writeRow(r)
	}
	return text.String()
}

// Sections returns the generated sections of the page by name.
func (m *Model) Sections() (map[string]string, error) {
	sections := map[string]string{"sizes": m.sizesTable(), "constants": m.constantsTable(), "measurements": m.measurementsTable()}
	tolerances, err := m.tolerances()
	if err != nil {
		return nil, err
	}
	sections["services"] = m.servicesTable(tolerances)
	if sections["summary"], err = m.summary(tolerances); err != nil {
		return nil, err
	}
	for name, generate := range map[string]func() (string, error){"readings": m.readingsTable, "claims": m.claimsTable, "ranking": m.rankingTable} {
		text, err := generate()
		if err != nil {
			return nil, err
		}
		sections[name] = text
	}
	for _, role := range distinct(m.Paths, func(p Path) string { return p.Role }) {
		if sections["role-"+role], err = m.rowsTable(selectRows(m.Paths, func(p Path) bool { return p.Role == role })); err != nil {
			return nil, err
		}
	}
	for _, event := range distinct(m.Incidents, func(p Path) string { return p.Event }) {
		if sections["incident-"+event], err = m.rowsTable(selectRows(m.Incidents, func(p Path) bool { return p.Event == event })); err != nil {
			return nil, err
		}
	}
	return sections, nil
}

func selectRows(rows []Path, selected func(Path) bool) []Path {
	return slices.DeleteFunc(slices.Clone(rows), func(p Path) bool { return !selected(p) })
}

// distinct returns each value of a key once, in the order of the first rows with that value.
func distinct(rows []Path, key func(Path) string) (values []string) {
	for _, p := range rows {
		if !slices.Contains(values, key(p)) {
			values = append(values, key(p))
		}
	}
	return values
}

func (m *Model) sizesTable() string {
	var rows [][]string
	for _, s := range m.Sizes {
		rows = append(rows, []string{"`" + s.Name + "`", s.Text, formatExact(s.Today), formatExact(s.Target)})
	}
	return markdownTable([]string{"name", "what", "today", "target"}, rows)
}

func (m *Model) constantsTable() string {
	var rows [][]string
	for _, constant := range slices.Concat(m.Constants, m.Bounds) {
		rows = append(rows, []string{"`" + constant.Name + "`", formatExact(constant.Value) + " " + constant.Unit, constant.Source})
	}
	return markdownTable([]string{"name", "value", "by"}, rows)
}

func (m *Model) measurementsTable() string {
	var rows [][]string
	for _, measurement := range m.Measurements {
		result, spread := formatRounded(measurement.Value)+" "+measurement.Unit, ""
		if measurement.X != "" {
			fit := m.fits[measurement.Name]
			result = fmt.Sprintf("%s + %s a %s, %s", formatRounded(fit.Intercept), formatRounded(fit.Slope), measurement.X, measurement.Unit)
			first, last := measurement.Points[0], measurement.Points[len(measurement.Points)-1]
			spread = fmt.Sprintf("%d points from %s to %s, worst %s%%", len(measurement.Points), formatExact(first[0]), formatExact(last[0]), formatRounded(100*fit.Worst))
		}
		rows = append(rows, []string{"`" + measurement.Name + "`", measurement.Text, result, spread, "`" + measurement.Command + "`", measurement.Commit + ", " + measurement.Machine + ", " + measurement.Date,
			strconv.Itoa(measurement.Runs)})
	}
	return markdownTable([]string{"name", "what", "intercept and slope, or value", "points, largest residual", "command", "commit, machine, date", "runs"}, rows)
}

// targetScenario returns the scenario of a reading at the target's size.
func (m *Model) targetScenario(reading string) (Scenario, error) {
	controllers := m.size(controllersSize).Target
	service, err := m.Service(reading, controllers)
	return Scenario{controllers, service}, err
}

// evaluateAtTarget evaluates all rows at the target's size in each reading.
func (m *Model) evaluateAtTarget() ([]Values, error) {
	var all []Values
	for _, r := range m.Readings {
		scenario, err := m.targetScenario(r.Name)
		if err != nil {
			return nil, err
		}
		values, err := m.Evaluate(scenario)
		if err != nil {
			return nil, err
		}
		all = append(all, values)
	}
	return all, nil
}

// readingNames returns the names of the readings, which are column headings.
func (m *Model) readingNames() (names []string) {
	for _, r := range m.Readings {
		names = append(names, r.Name)
	}
	return names
}

func (m *Model) readingsTable() (string, error) {
	values, err := m.evaluateAtTarget()
	if err != nil {
		return "", err
	}
	rows := [][]string{{"", "times the mean service", "`" + serviceSize + "`"}}
	for _, r := range m.Readings {
		scenario, err := m.targetScenario(r.Name)
		if err != nil {
			return "", err
		}
		rows[0] = append(rows[0], formatRounded(scenario.Service))
	}
	for _, derived := range m.Derived {
		row := []string{"`" + derived.Name + "`", derived.Text, "`" + derived.Formula + "`"}
		for _, v := range values {
			row = append(row, formatRounded(v[derived.Name]))
		}
		rows = append(rows, row)
	}
	return markdownTable(append([]string{"name", "what", "formula"}, m.readingNames()...), rows), nil
}

// rowsTable formats rows with their results at the target's size, and the ratio of each result to its bound.
func (m *Model) rowsTable(paths []Path) (string, error) {
	values, err := m.evaluateAtTarget()
	if err != nil {
		return "", err
	}
	var rows [][]string
	for _, path := range paths {
		row := []string{path.Kind, "`" + path.Name + "`: " + path.Text, "`" + path.Formula + "`"}
		for _, v := range values {
			row = append(row, m.formatResult(path, v[path.Name]))
		}
		bound := "none is stated"
		if path.Bound != "" {
			bound = fmt.Sprintf("`%s` %s", path.Bound, formatExact(m.bound(path.Bound)))
		}
		rows = append(rows, append(row, path.Unit, bound, formatMechanism(path)))
	}
	header := append([]string{"kind", "path", "formula"}, m.readingNames()...)
	return markdownTable(append(header, "unit", "bound", "mechanism"), rows), nil
}

// formatResult formats the result of a row and its ratio to the row's bound.
func (m *Model) formatResult(path Path, v float64) string {
	bound := m.bound(path.Bound)
	switch {
	case path.Bound == "" || v == 0:
		return formatRounded(v)
	case exceeds(v, bound):
		return fmt.Sprintf("%s, **%s times over**", formatRounded(v), formatRounded(v/bound))
	}
	return fmt.Sprintf("%s, %s times under", formatRounded(v), formatRounded(bound/v))
}

func formatMechanism(path Path) string {
	if len(path.Mechanism) == 0 {
		return "**none**"
	}
	return strings.Join(path.Mechanism, ", ")
}

// claimsTable formats the claimed figures beside the results of the table.
func (m *Model) claimsTable() (string, error) {
	var rows [][]string
	for _, claim := range m.Claims {
		scenario, err := m.targetScenario(claim.Reading)
		if err != nil {
			return "", err
		}
		values, err := m.Evaluate(scenario)
		if err != nil {
			return "", err
		}
		rows = append(rows, []string{claim.Text, claim.Reading, formatExact(claim.Claimed), formatRounded(values[claim.Name]), claim.Unit, "`" + claim.Formula + "`"})
	}
	return markdownTable([]string{"what", "reading", "first figure", "now", "unit", "formula"}, rows), nil
}
