package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

const (
	// serviceSize is the name of the size of a governor's service, as a multiple of the mean.
	serviceSize = "service"
	// governorsSize is the name of the size that fleets are ranked by.
	governorsSize = "governors"
)

// Values are quantities by name.
type Values map[string]float64

// Model is a table with its formulas compiled and its lines fitted.
type Model struct {
	Table
	fits     map[string]Fit
	readings map[string]*vm.Program
	formulas []formula // in the order of evaluation: derived, paths, incidents, claims
}

type formula struct {
	name    string
	program *vm.Program
}

// Scenario is a size of fleet, by governors, and the size of the service that a governor belongs to.
type Scenario struct {
	Governors float64
	Service   float64
}

// NewModel compiles all formulas. The error names the row whose formula cannot be used.
func NewModel(t Table) (*Model, error) {
	m := &Model{Table: t, fits: map[string]Fit{}, readings: map[string]*vm.Program{}}
	known, err := m.knownSizes()
	if err != nil {
		return nil, err
	}
	if err := m.compileReadings(known); err != nil {
		return nil, err
	}
	m.addFigures(known)
	for _, list := range m.formulaLists() {
		for _, row := range list.rows {
			if err := m.compile(list.name, row.name, row.text, known); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

// knownSizes returns the names that every formula may use, each with a value of its type.
func (m *Model) knownSizes() (map[string]any, error) {
	known := map[string]any{serviceSize: 0.0}
	for _, size := range m.Sizes {
		known[size.Name] = 0.0
	}
	if _, ok := known[governorsSize]; !ok {
		return nil, fmt.Errorf("sizes: %s is missing", governorsSize)
	}
	return known, nil
}

// compileReadings compiles what a service has of each size. Only sizes are known there.
func (m *Model) compileReadings(known map[string]any) error {
	for _, reading := range m.Readings {
		program, err := expr.Compile(reading.Service, expr.Env(maps.Clone(known)), expr.AsFloat64())
		if err != nil {
			return fmt.Errorf("readings: %s: service: %w", reading.Name, err)
		}
		m.readings[reading.Name] = program
	}
	return nil
}

// addFigures adds constants, bounds and measurements to the known names; a measurement over a size is a fitted line.
func (m *Model) addFigures(known map[string]any) {
	for _, constant := range slices.Concat(m.Constants, m.Bounds) {
		known[constant.Name] = 0.0
	}
	for _, measurement := range m.Measurements {
		if measurement.X == "" {
			known[measurement.Name] = 0.0
			continue
		}
		m.fits[measurement.Name] = FitLine(measurement.Points)
		known[measurement.Name] = m.fits[measurement.Name]
	}
}

// formulaList is a list of the table with the formulas of its rows.
type formulaList struct {
	name string
	rows []formulaRow
}

type formulaRow struct{ name, text string }

// formulaLists returns all formulas in the order in which they may use each other.
func (m *Model) formulaLists() []formulaList {
	derived := formulaList{name: "derived"}
	for _, row := range m.Derived {
		derived.rows = append(derived.rows, formulaRow{row.Name, row.Formula})
	}
	paths := formulaList{name: "paths"}
	for _, row := range slices.Concat(m.Paths, m.Incidents) {
		paths.rows = append(paths.rows, formulaRow{row.Name, row.Formula})
	}
	claims := formulaList{name: "claims"}
	for _, row := range m.Claims {
		claims.rows = append(claims.rows, formulaRow{row.Name, row.Formula})
	}
	return []formulaList{derived, paths, claims}
}

// compile adds a formula, which later ones may use by its name.
func (m *Model) compile(list, name, text string, known map[string]any) error {
	program, err := expr.Compile(text, expr.Env(maps.Clone(known)), expr.AsFloat64())
	if err != nil {
		return fmt.Errorf("%s: %s: formula: %w", list, name, err)
	}
	m.formulas = append(m.formulas, formula{name, program})
	known[name] = 0.0
	return nil
}

// sizes are the quantities of a fleet of so many governors, grown evenly from today's to the target's and on.
func (m *Model) sizes(governors float64) Values {
	v := Values{}
	part := 1.0
	for _, s := range m.Sizes {
		if s.Name == governorsSize {
			part = (governors - s.Today) / (s.Target - s.Today)
		}
	}
	for _, s := range m.Sizes {
		v[s.Name] = s.Today + part*(s.Target-s.Today)
	}
	return v
}

// Service is the size of a service in a reading, for a fleet of so many governors.
func (m *Model) Service(reading string, governors float64) (float64, error) {
	env := map[string]any{serviceSize: 0.0}
	for name, v := range m.sizes(governors) {
		env[name] = v
	}
	size, err := expr.Run(m.readings[reading], env)
	if err != nil {
		return 0, fmt.Errorf("readings: %s: %w", reading, err)
	}
	return size.(float64), nil
}

// Evaluate works out all derived quantities and rows of a scenario.
func (m *Model) Evaluate(s Scenario) (Values, error) {
	env := map[string]any{serviceSize: s.Service}
	for name, v := range m.sizes(s.Governors) {
		env[name] = v
	}
	for _, c := range slices.Concat(m.Constants, m.Bounds) {
		env[c.Name] = c.Value
	}
	for _, d := range m.Measurements {
		env[d.Name] = d.Value
		if d.X != "" {
			env[d.Name] = m.fits[d.Name]
		}
	}
	out := Values{}
	for _, f := range m.formulas {
		v, err := expr.Run(f.program, env)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.name, err)
		}
		result := v.(float64)
		if math.IsNaN(result) || math.IsInf(result, 0) {
			return nil, fmt.Errorf("%s: the result is %v at %+v", f.name, result, s)
		}
		env[f.name], out[f.name] = result, result
	}
	return out, nil
}

// rounding is the share by which a result may be off for the order of its operations: what equals its bound is not over it.
const rounding = 1e-9

// exceeds says whether a result is over a bound.
func exceeds(result, bound float64) bool { return result > bound*(1+rounding) }

// bound is the value of a named bound.
func (m *Model) bound(name string) float64 {
	for _, b := range m.Bounds {
		if b.Name == name {
			return b.Value
		}
	}
	return math.Inf(1)
}

// size is a quantity that grows with the fleet.
func (m *Model) size(name string) Size {
	for _, s := range m.Sizes {
		if s.Name == name {
			return s
		}
	}
	return Size{}
}
