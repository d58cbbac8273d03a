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
	known := map[string]any{serviceSize: 0.0}
	for _, s := range t.Sizes {
		known[s.Name] = 0.0
	}
	if _, ok := known[governorsSize]; !ok {
		return nil, fmt.Errorf("sizes: %s is missing", governorsSize)
	}
	for _, r := range t.Readings {
		program, err := expr.Compile(r.Service, expr.Env(maps.Clone(known)), expr.AsFloat64())
		if err != nil {
			return nil, fmt.Errorf("readings: %s: service: %w", r.Name, err)
		}
		m.readings[r.Name] = program
	}
	for _, c := range slices.Concat(t.Constants, t.Bounds) {
		known[c.Name] = 0.0
	}
	for _, d := range t.Measurements {
		if d.X == "" {
			known[d.Name] = 0.0
			continue
		}
		m.fits[d.Name] = FitLine(d.Points)
		known[d.Name] = m.fits[d.Name]
	}
	for _, d := range t.Derived {
		if err := m.compile("derived", d.Name, d.Formula, known); err != nil {
			return nil, err
		}
	}
	for _, p := range slices.Concat(t.Paths, t.Incidents) {
		if err := m.compile("paths", p.Name, p.Formula, known); err != nil {
			return nil, err
		}
	}
	for _, c := range t.Claims {
		if err := m.compile("claims", c.Name, c.Formula, known); err != nil {
			return nil, err
		}
	}
	return m, nil
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
