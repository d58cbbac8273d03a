package capacity

import (
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
)

const (
	root     = "../.."
	pageFile = root + "/docs/CAPACITY.md"
)

func defaultModel(t *testing.T) *Model {
	t.Helper()
	table, err := Default()
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewModel(table)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func generateSections(t *testing.T) map[string]string {
	t.Helper()
	all, err := defaultModel(t).Sections()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func readPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestPageMatchesTable(t *testing.T) {
	difference, err := Difference(readPage(t), generateSections(t))
	if err != nil || difference != "" {
		t.Errorf("docs/CAPACITY.md: %v %s\nrun: bin/experiment capacity --write docs/CAPACITY.md", err, difference)
	}
}

func TestDifferenceReportsChangedPage(t *testing.T) {
	current, generated := readPage(t), generateSections(t)
	for name, changed := range map[string]string{
		"changed figure":           strings.Replace(current, "9,500", "9,501", 1),
		"changed row":              strings.Replace(current, "| `tenants` |", "| `tenant` |", 1),
		"additional line":          strings.Replace(current, "<!-- /capacity:sizes -->", "\n<!-- /capacity:sizes -->", 1),
		"missing section":          strings.Replace(current, "capacity:sizes", "capacity", 2),
		"duplicate section":        current + "<!-- capacity:sizes -->\n<!-- /capacity:sizes -->\n",
		"unknown section":          current + "<!-- capacity:more -->\n<!-- /capacity:more -->\n",
		"section with another end": strings.Replace(current, "<!-- /capacity:sizes -->", "<!-- /capacity:ranking -->", 1),
	} {
		if changed == current {
			t.Fatalf("%s: the page is unchanged", name)
		}
		if difference, err := Difference(changed, generated); err == nil && difference == "" {
			t.Errorf("%s: no difference and no error reported", name)
		}
	}
}

// Each size, constant, bound and measurement has to be used by a formula: any other would be on the page without an effect.
func TestEveryInputIsUsed(t *testing.T) {
	model := defaultModel(t)
	used := map[string]bool{}
	formulas := []string{}
	for _, reading := range model.Readings {
		formulas = append(formulas, reading.Service)
	}
	for _, derived := range model.Derived {
		formulas = append(formulas, derived.Formula)
	}
	for _, row := range model.rows() {
		formulas = append(formulas, row.Formula)
		used[row.Bound] = true
	}
	for _, claim := range model.Claims {
		formulas = append(formulas, claim.Formula)
	}
	for _, formula := range formulas {
		for _, name := range identifiers(formula) {
			used[name] = true
		}
	}
	for _, size := range model.Sizes {
		if !used[size.Name] {
			t.Errorf("size %s is used by no formula", size.Name)
		}
	}
	for _, constant := range slices.Concat(model.Constants, model.Bounds) {
		if !used[constant.Name] {
			t.Errorf("constant %s is used by no formula", constant.Name)
		}
	}
	for _, measurement := range model.Measurements {
		if !used[measurement.Name] {
			t.Errorf("measurement %s is used by no formula", measurement.Name)
		}
	}
}

type identifierVisitor struct{ names map[string]bool }

func (v identifierVisitor) Visit(node *ast.Node) {
	if id, ok := (*node).(*ast.IdentifierNode); ok {
		v.names[id.Value] = true
	}
}

// identifiers returns the names that a formula uses.
func identifiers(formula string) []string {
	tree, err := parser.Parse(formula)
	if err != nil {
		return nil
	}
	v := identifierVisitor{map[string]bool{}}
	ast.Walk(&tree.Node, v)
	return slices.Sorted(maps.Keys(v.names))
}

// Each mechanism has to be a package of this repository, except discovery's agent, which is outside of it.
func TestMechanismsAreExistingPackages(t *testing.T) {
	model := defaultModel(t)
	for _, row := range model.rows() {
		for _, mechanism := range row.Mechanism {
			if mechanism == "discovery's agent" {
				continue
			}
			if files, err := filepath.Glob(filepath.Join(root, mechanism, "*.go")); err != nil || len(files) == 0 {
				t.Errorf("%s: mechanism %s is not a package of this repository", row.Name, mechanism)
			}
		}
	}
}

// A fitted line that is extrapolated beyond its points could give negative results at the target's size.
func TestNoResultIsNegative(t *testing.T) {
	model := defaultModel(t)
	values, err := model.evaluateAtTarget()
	if err != nil {
		t.Fatal(err)
	}
	for k, reading := range model.Readings {
		for name, value := range values[k] {
			if value < 0 {
				t.Errorf("%s, %s: negative result %v", reading.Name, name, value)
			}
		}
	}
}

func TestDerivedQuantitiesAtTarget(t *testing.T) {
	model := defaultModel(t)
	for reading, want := range map[string]Values{
		"cells": {"tier_governors": 1600.0 / 290, "tier_replicas": 9500.0 / 290, "tier_classes": 14000.0 / 290, "tier_requests": 310000.0 / 290, "tier_zones": 3},
		"skew":  {"tier_governors": 20 * 1600.0 / 290, "tier_replicas": 20 * 9500.0 / 290, "tier_zones": 54},
		"flat":  {"tier_governors": 1600, "tier_replicas": 9500, "tier_classes": 14000, "tier_entries": 88000, "tier_zones": 54},
	} {
		scenario, err := model.targetScenario(reading)
		if err != nil {
			t.Fatal(err)
		}
		values, err := model.Evaluate(scenario)
		if err != nil {
			t.Fatal(err)
		}
		for name, wantValue := range want {
			if math.Abs(values[name]-wantValue) > 1e-6*wantValue {
				t.Errorf("%s: %s is %v, want %v", reading, name, values[name], wantValue)
			}
		}
	}
}

// smallTable is the only file of a table whose crossings can be computed by hand.
const smallTable = `
sizes:
  - {name: governors, today: 5, target: 105, text: g}
  - {name: services, today: 1, target: 11, text: s}
  - {name: replicas, today: 10, target: 1010, text: r}
bounds: [{name: most, value: 500, unit: r, source: test}]
readings: [{name: cells, service: "1"}, {name: flat, service: services}]
derived: [{name: here, formula: "replicas * min(1, service / services)", text: h}]
machines: [{name: m1, text: a machine}]
measurements: [{name: each, text: e, x: replica, unit: ms, points: [[1, 3], [2, 5], [4, 9]], command: c, commit: abc, machine: m1, date: 2026-12-02, runs: 1}]
paths:
  - {name: holds, role: governor, kind: state, text: t, formula: here, unit: r, bound: most, mechanism: [internal/controller]}
  - {name: doubles, role: governor, kind: state, text: t, formula: "2 * holds", unit: r, bound: most, mechanism: [internal/controller]}
  - {name: spends, role: governor, kind: processor, text: t, formula: "each.intercept + each.slope * here", unit: ms, mechanism: [internal/controller]}
  - {name: missing, role: change, kind: time, text: t, formula: "1", unit: r, bound: most, mechanism: []}
incidents:
  - {name: falls, event: zone, role: governor, kind: time, text: t, formula: "10000 / here", unit: r, bound: most, mechanism: [internal/controller]}
  - {name: peaks, event: zone, role: governor, kind: time, text: t, formula: "600 - 33 * abs(governors - 25)", unit: r, bound: most, mechanism: [internal/controller]}
`

func loadModel(t *testing.T, text string) (*Model, error) {
	t.Helper()
	table, err := Load(fstest.MapFS{"small.yaml": {Data: []byte(text)}})
	if err != nil {
		return nil, err
	}
	return NewModel(table)
}

func TestCrossings(t *testing.T) {
	model, err := loadModel(t, smallTable)
	if err != nil {
		t.Fatal(err)
	}
	never := math.Inf(1)
	for reading, want := range map[string]map[string]float64{
		// Flat: there are 10 replicas at 5 controllers, and 10 more for each further controller. They exceed 500 at 5 + 49 + 1
		// controllers, and 250 at 5 + 24 + 1. Row "falls" exceeds its bound only at today's 10 replicas. Row "peaks" is 600 at
		// 5 + 20 controllers, and exceeds its bound of 500 from 5 + 17 to 5 + 23.
		"flat": {"holds": 55, "doubles": 30, "spends": never, "missing": 5, "falls": 5, "peaks": 22},
		// Cells: replicas / services tends to 100 and exceeds neither 500 nor 250.
		"cells": {"holds": never, "doubles": never, "spends": never, "missing": 5, "falls": 5, "peaks": 22},
	} {
		if got, err := model.Crossings(reading); err != nil || !maps.Equal(got, want) {
			t.Errorf("reading %s: crossings %v, error %v, want %v", reading, got, err, want)
		}
	}
	// With 105 controllers the mean service has 1010/11 replicas: 500 is 5.44 times that, 250 is 2.72 times that.
	want := map[string]float64{"holds": 5.4, "doubles": 2.7, "spends": never, "missing": never, "falls": never, "peaks": never}
	if got, err := model.LargestServices(); err != nil || !maps.Equal(got, want) {
		t.Errorf("largest services %v, error %v, want %v", got, err, want)
	}
	ranking, err := model.Ranking()
	var names []string
	for _, path := range ranking {
		names = append(names, path.Name)
	}
	if want := []string{"missing", "falls", "peaks", "doubles", "holds"}; err != nil || !slices.Equal(names, want) {
		t.Errorf("ranking %v, error %v, want %v", names, err, want)
	}
	if fit := model.fits["each"]; math.Abs(fit.Slope-2) > 1e-9 || math.Abs(fit.Intercept-1) > 1e-9 || fit.Worst > 1e-9 {
		t.Errorf("fit %+v, want slope 2, intercept 1 and no residual", fit)
	}
}

// The largest residual, as a fraction of the point's value, reveals a point that is far from the line of the others.
func TestResiduals(t *testing.T) {
	fit := FitLine([][2]float64{{10, 10}, {100, 100}, {1000, 1500}})
	if fit.Worst < 0.1 || fit.Worst > 0.5 {
		t.Errorf("fit %+v, want a largest residual from 0.1 to 0.5", fit)
	}
}

func TestErrorsNameInvalidEntry(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"name: here,", "nam: here,", "small.yaml: yaml: unmarshal errors:\n  line"},
		{"formula: here,", "formula: there,", "paths: holds: formula"},
		{"formula: here,", "formula: 'here +',", "paths: holds: formula"},
		{`"2 * holds"`, `"2 * spends"`, "paths: doubles: formula"}, // the formula uses the result of a later row
		{"service: services", "service: serves", "readings: flat"},
		{"bound: most, mechanism: []", "bound: least, mechanism: []", `missing: unknown bound "least"`},
		{"kind: time, text: t, formula: \"1\"", "kind: times, text: t, formula: \"1\"", `missing: unknown kind "times"`},
		{"name: doubles", "name: holds", "paths: duplicate name holds"},
		{"name: doubles", "name: Doubles", `"Doubles" is not an identifier`},
		{"commit: abc, ", "", "each: commit is missing"},
		{"command: c, ", "", "each: command is missing"},
		{"machine: m1", "machine: m2", `each: unknown machine "m2"`},
		{"runs: 1", "runs: 0", "each: runs is 0, want at least 1"},
		{"[[1, 3], [2, 5], [4, 9]]", "[[1, 3]]", "each: 1 points, want at least 2 for a line"},
		{"x: replica, ", "", "each: points without x"},
		{"source: test", "source: ''", "most: source is missing"},
		{"name: governors,", "name: governor,", "governors is missing"},
	} {
		text := strings.Replace(smallTable, c.old, c.new, 1)
		if text == smallTable {
			t.Fatalf("the table does not contain %q", c.old)
		}
		if _, err := loadModel(t, text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q in place of %q: error %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

func TestFormatRounded(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 1600: "1,600", 1234567: "1,230,000", 0.04912: "0.0491", 0.00001234: "1.23e-05", 5.517: "5.52", -3.2: "-3.2", 99.96: "100"} {
		if got := formatRounded(v); got != want {
			t.Errorf("formatRounded(%v) is %q, want %q", v, got, want)
		}
	}
}
