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

func sections(t *testing.T) map[string]string {
	t.Helper()
	all, err := defaultModel(t).Sections()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func page(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestThePageIsWhatTheTableGives(t *testing.T) {
	where, err := Difference(page(t), sections(t))
	if err != nil || where != "" {
		t.Errorf("docs/CAPACITY.md: %v %s\nrun: bin/experiment capacity --write docs/CAPACITY.md", err, where)
	}
}

func TestAPageThatDiffersIsFound(t *testing.T) {
	right, all := page(t), sections(t)
	for name, wrong := range map[string]string{
		"a figure":         strings.Replace(right, "9,500", "9,501", 1),
		"a row":            strings.Replace(right, "| `tenants` |", "| `tenant` |", 1),
		"a line more":      strings.Replace(right, "<!-- /capacity:sizes -->", "\n<!-- /capacity:sizes -->", 1),
		"a section fewer":  strings.Replace(right, "capacity:sizes", "capacity", 2),
		"a section twice":  right + "<!-- capacity:sizes -->\n<!-- /capacity:sizes -->\n",
		"an unknown one":   right + "<!-- capacity:more -->\n<!-- /capacity:more -->\n",
		"one that goes on": strings.Replace(right, "<!-- /capacity:sizes -->", "<!-- /capacity:ranking -->", 1),
	} {
		if wrong == right {
			t.Fatalf("%s: nothing was changed", name)
		}
		if where, err := Difference(wrong, all); err == nil && where == "" {
			t.Errorf("%s is not found", name)
		}
	}
}

// Every figure that a formula could use is used by one, so that nothing on the page is without effect.
func TestEveryInputIsUsed(t *testing.T) {
	m := defaultModel(t)
	used := map[string]bool{}
	formulas := []string{}
	for _, r := range m.Readings {
		formulas = append(formulas, r.Service)
	}
	for _, d := range m.Derived {
		formulas = append(formulas, d.Formula)
	}
	for _, p := range m.rows() {
		formulas = append(formulas, p.Formula)
		used[p.Bound] = true
	}
	for _, c := range m.Claims {
		formulas = append(formulas, c.Formula)
	}
	for _, f := range formulas {
		for _, name := range identifiers(f) {
			used[name] = true
		}
	}
	for _, s := range m.Sizes {
		if !used[s.Name] {
			t.Errorf("size %s is used by no formula", s.Name)
		}
	}
	for _, c := range slices.Concat(m.Constants, m.Bounds) {
		if !used[c.Name] {
			t.Errorf("constant %s is used by no formula", c.Name)
		}
	}
	for _, d := range m.Measurements {
		if !used[d.Name] {
			t.Errorf("measurement %s is used by no formula", d.Name)
		}
	}
}

type identifierVisitor struct{ names map[string]bool }

func (v identifierVisitor) Visit(node *ast.Node) {
	if id, ok := (*node).(*ast.IdentifierNode); ok {
		v.names[id.Value] = true
	}
}

// identifiers are the names that a formula uses.
func identifiers(formula string) []string {
	tree, err := parser.Parse(formula)
	if err != nil {
		return nil
	}
	v := identifierVisitor{map[string]bool{}}
	ast.Walk(&tree.Node, v)
	return slices.Sorted(maps.Keys(v.names))
}

// A mechanism is a package of this repository, or said to be outside of it.
func TestMechanismsAreThere(t *testing.T) {
	m := defaultModel(t)
	for _, p := range m.rows() {
		for _, at := range p.Mechanism {
			if at == "discovery's agent" {
				continue
			}
			if files, err := filepath.Glob(filepath.Join(root, at, "*.go")); err != nil || len(files) == 0 {
				t.Errorf("%s: mechanism %s is no package here", p.Name, at)
			}
		}
	}
}

// No row is below nothing at the target's size, as a line could be that is drawn out past its points.
func TestNoResultIsNegative(t *testing.T) {
	m := defaultModel(t)
	values, err := m.atTarget()
	if err != nil {
		t.Fatal(err)
	}
	for k, reading := range m.Readings {
		for name, v := range values[k] {
			if v < 0 {
				t.Errorf("%s, %s: %v", reading.Name, name, v)
			}
		}
	}
}

func TestReadingsOfTheTarget(t *testing.T) {
	m := defaultModel(t)
	for reading, want := range map[string]Values{
		"cells": {"tier_governors": 1600.0 / 290, "tier_replicas": 9500.0 / 290, "tier_classes": 14000.0 / 290, "tier_requests": 310000.0 / 290, "tier_zones": 3},
		"skew":  {"tier_governors": 20 * 1600.0 / 290, "tier_replicas": 20 * 9500.0 / 290, "tier_zones": 54},
		"flat":  {"tier_governors": 1600, "tier_replicas": 9500, "tier_classes": 14000, "tier_entries": 88000, "tier_zones": 54},
	} {
		s, err := m.target(reading)
		if err != nil {
			t.Fatal(err)
		}
		values, err := m.Evaluate(s)
		if err != nil {
			t.Fatal(err)
		}
		for name, v := range want {
			if math.Abs(values[name]-v) > 1e-6*v {
				t.Errorf("%s: %s is %v, want %v", reading, name, values[name], v)
			}
		}
	}
}

// small is a table of one file in which the rows' crossings can be worked out by hand.
const small = `
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

func load(t *testing.T, text string) (*Model, error) {
	t.Helper()
	table, err := Load(fstest.MapFS{"small.yaml": {Data: []byte(text)}})
	if err != nil {
		return nil, err
	}
	return NewModel(table)
}

func TestCrossings(t *testing.T) {
	m, err := load(t, small)
	if err != nil {
		t.Fatal(err)
	}
	never := math.Inf(1)
	for reading, want := range map[string]map[string]float64{
		// Flat: replicas grow by 10 a governor from 10, so 500 is passed with 5 + 49 + 1, and 250 with 5 + 24 + 1. What falls
		// is over with today's ten alone; what peaks is 600 at 5 + 20 governors and over 500 from 5 + 17 to 5 + 23.
		"flat": {"holds": 55, "doubles": 30, "spends": never, "missing": 5, "falls": 5, "peaks": 22},
		// Cells: replicas / services tends to 100 and passes neither 500 nor 250.
		"cells": {"holds": never, "doubles": never, "spends": never, "missing": 5, "falls": 5, "peaks": 22},
	} {
		if got, err := m.Crossings(reading); err != nil || !maps.Equal(got, want) {
			t.Errorf("%s: %v %v, want %v", reading, got, err, want)
		}
	}
	// With 105 governors the mean service has 1010/11 replicas: 500 are 5.44 times that, 250 are 2.72 times.
	want := map[string]float64{"holds": 5.4, "doubles": 2.7, "spends": never, "missing": never, "falls": never, "peaks": never}
	if got, err := m.LargestServices(); err != nil || !maps.Equal(got, want) {
		t.Errorf("largest services %v %v, want %v", got, err, want)
	}
	ranking, err := m.Ranking()
	var names []string
	for _, p := range ranking {
		names = append(names, p.Name)
	}
	if want := []string{"missing", "falls", "peaks", "doubles", "holds"}; err != nil || !slices.Equal(names, want) {
		t.Errorf("ranked %v, %v, want %v", names, err, want)
	}
	if f := m.fits["each"]; math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-1) > 1e-9 || f.Worst > 1e-9 {
		t.Errorf("fitted %+v", f)
	}
}

// A point far from the others is told by the largest residual, as a share of the point.
func TestResiduals(t *testing.T) {
	f := FitLine([][2]float64{{10, 10}, {100, 100}, {1000, 1500}})
	if f.Worst < 0.1 || f.Worst > 0.5 {
		t.Errorf("%+v", f)
	}
}

func TestWhatIsWrongIsNamed(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"name: here,", "nam: here,", "small.yaml: yaml: unmarshal errors:\n  line"},
		{"formula: here,", "formula: there,", "paths: holds: formula"},
		{"formula: here,", "formula: 'here +',", "paths: holds: formula"},
		{`"2 * holds"`, `"2 * spends"`, "paths: doubles: formula"}, // a later row
		{"service: services", "service: serves", "readings: flat"},
		{"bound: most, mechanism: []", "bound: least, mechanism: []", `missing: no bound "least"`},
		{"kind: time, text: t, formula: \"1\"", "kind: times, text: t, formula: \"1\"", `missing: kind "times"`},
		{"name: doubles", "name: holds", "holds is there twice"},
		{"name: doubles", "name: Doubles", `"Doubles" is no identifier`},
		{"commit: abc, ", "", "each: commit is missing"},
		{"command: c, ", "", "each: command is missing"},
		{"machine: m1", "machine: m2", `each: no machine "m2"`},
		{"runs: 1", "runs: 0", "each: runs is 0"},
		{"[[1, 3], [2, 5], [4, 9]]", "[[1, 3]]", "each: 1 points give no line"},
		{"x: replica, ", "", "each: points without x"},
		{"source: test", "source: ''", "most: source is missing"},
		{"name: governors,", "name: governor,", "governors is missing"},
	} {
		text := strings.Replace(small, c.old, c.new, 1)
		if text == small {
			t.Fatalf("%q is not in the table", c.old)
		}
		if _, err := load(t, text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

func TestFigures(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 1600: "1,600", 1234567: "1,230,000", 0.04912: "0.0491", 0.00001234: "1.23e-05", 5.517: "5.52", -3.2: "-3.2", 99.96: "100"} {
		if got := figure(v); got != want {
			t.Errorf("%v is %q, want %q", v, got, want)
		}
	}
}
