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
	// serviceSize is the name, in formulas, of the size of a controller's service as a multiple of the mean.
	serviceSize = "service"
	// controllersSize is the name, in formulas, of the number of controllers, which is the size of a fleet.
	controllersSize = "governors"
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

// Scenario is the size of a fleet, in controllers, and the size of the service that a controller belongs to, as a multiple
// of the mean.
type Scenario struct {
	Controllers float64
	Service     float64
}

// NewModel compiles all formulas of a table and fits its lines. The error names the row whose formula is invalid.
func NewModel(t Table) (*Model, error) {
	m := &Model{Table: t, fits: map[string]Fit{}, readings: map[string]*vm.Program{}}
	known, err := m.knownSizes()
	if err != nil {
		return nil, err
	}
	if err := m.compileReadings(known); err != nil {
		return nil, err
	}
	m.addInputs(known)
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
	if _, ok := known[controllersSize]; !ok {
		return nil, fmt.Errorf("sizes: %s is missing", controllersSize)
	}
	return known, nil
}

// compileReadings compiles the formulas of the size of a service. They may use sizes only.
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

// addInputs adds constants, bounds and measurements to the known names. A measurement with points is a fitted line.
func (m *Model) addInputs(known map[string]any) {
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

// formulaLists returns all formulas in the order of evaluation. A formula may use the results of earlier ones.
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

// compile compiles and adds a formula. Later formulas may use its result by its name.
func (m *Model) compile(list, name, text string, known map[string]any) error {
	program, err := expr.Compile(text, expr.Env(maps.Clone(known)), expr.AsFloat64())
	if err != nil {
		return fmt.Errorf("%s: %s: formula: %w", list, name, err)
	}
	m.formulas = append(m.formulas, formula{name, program})
	known[name] = 0.0
	return nil
}

// sizesOf returns the sizes of a fleet with a number of controllers. Each is on the line through today's and the target's
// value.
func (m *Model) sizesOf(controllers float64) Values {
	values := Values{}
	growth := 1.0
	for _, s := range m.Sizes {
		if s.Name == controllersSize {
			growth = (controllers - s.Today) / (s.Target - s.Today)
		}
	}
	for _, s := range m.Sizes {
		values[s.Name] = s.Today + growth*(s.Target-s.Today)
	}
	return values
}

// Service returns the size of a service in a reading, for a fleet with a number of controllers.
func (m *Model) Service(reading string, controllers float64) (float64, error) {
	env := map[string]any{serviceSize: 0.0}
	for name, v := range m.sizesOf(controllers) {
		env[name] = v
	}
	size, err := expr.Run(m.readings[reading], env)
	if err != nil {
		return 0, fmt.Errorf("readings: %s: %w", reading, err)
	}
	return size.(float64), nil
}

// Evaluate computes all derived quantities, rows and claims of a scenario.
func (m *Model) Evaluate(scenario Scenario) (Values, error) {
	env := map[string]any{serviceSize: scenario.Service}
	for name, v := range m.sizesOf(scenario.Controllers) {
		env[name] = v
	}
	for _, constant := range slices.Concat(m.Constants, m.Bounds) {
		env[constant.Name] = constant.Value
	}
	for _, measurement := range m.Measurements {
		env[measurement.Name] = measurement.Value
		if measurement.X != "" {
			env[measurement.Name] = m.fits[measurement.Name]
		}
	}
	results := Values{}
	for _, f := range m.formulas {
		output, err := expr.Run(f.program, env)
		if err != nil {
			return nil, fmt.Errorf("evaluating formula %s: %w", f.name, err)
		}
		result := output.(float64)
		if math.IsNaN(result) || math.IsInf(result, 0) {
			return nil, fmt.Errorf("evaluating formula %s: result %v in scenario %+v is not finite", f.name, result, scenario)
		}
		env[f.name], results[f.name] = result, result
	}
	return results, nil
}

// roundingTolerance is the relative error that rounding can cause, depending on the order of the operations of a formula. A
// result that equals its bound within this error does not exceed it.
const roundingTolerance = 1e-9

// exceeds reports whether a result is over a bound by more than roundingTolerance.
func exceeds(result, bound float64) bool { return result > bound*(1+roundingTolerance) }

// bound returns the value of the bound with a name; +Inf if there is none.
func (m *Model) bound(name string) float64 {
	for _, b := range m.Bounds {
		if b.Name == name {
			return b.Value
		}
	}
	return math.Inf(1)
}

// size returns the size with a name, today's and the target's; zero if there is none.
func (m *Model) size(name string) Size {
	for _, s := range m.Sizes {
		if s.Name == name {
			return s
		}
	}
	return Size{}
}
