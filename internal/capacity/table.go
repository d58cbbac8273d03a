// Package capacity works out what each role of the product holds, sends and spends at a given size of fleet, from a table
// of sizes, measured slopes and formulas, and prints the result as the tables of docs/CAPACITY.md. It is pure: the table
// is embedded, and nothing is measured here.
package capacity

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"reflect"
	"regexp"
	"slices"

	"go.yaml.in/yaml/v3"
)

//go:embed table/*.yaml
var files embed.FS

// Table is the data behind the page: its inputs, what was measured, and the rows.
type Table struct {
	Sizes        []Size        `yaml:"sizes"`
	Constants    []Constant    `yaml:"constants"`
	Bounds       []Constant    `yaml:"bounds"`
	Readings     []Reading     `yaml:"readings"`
	Derived      []Derived     `yaml:"derived"`
	Machines     []Machine     `yaml:"machines"`
	Measurements []Measurement `yaml:"measurements"`
	Paths        []Path        `yaml:"paths"`
	Incidents    []Path        `yaml:"incidents"`
	Claims       []Claim       `yaml:"claims"`
}

// Size is a quantity that grows with the fleet, evenly from today's to the target's.
type Size struct {
	Name   string  `yaml:"name"`
	Today  float64 `yaml:"today"`
	Target float64 `yaml:"target"`
	Text   string  `yaml:"text"`
}

// Constant is a quantity that does not grow with the fleet. Source says who states it, or that it is an assumption.
type Constant struct {
	Name   string  `yaml:"name"`
	Value  float64 `yaml:"value"`
	Unit   string  `yaml:"unit"`
	Source string  `yaml:"source"`
}

// Reading says how much of the fleet one governor hears of: Service is the size of its service, as a multiple of the mean.
type Reading struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Text    string `yaml:"text"`
}

// Derived is a quantity that follows from sizes, constants and the size of the service.
type Derived struct {
	Name    string `yaml:"name"`
	Formula string `yaml:"formula"`
	Text    string `yaml:"text"`
}

// Machine is what a measurement ran on.
type Machine struct {
	Name string `yaml:"name"`
	Text string `yaml:"text"`
}

// Measurement is either one value or points that a line is fitted to.
type Measurement struct {
	Name    string       `yaml:"name"`
	Text    string       `yaml:"text"`
	X       string       `yaml:"x"` // what the points vary; empty: one value
	Unit    string       `yaml:"unit"`
	Value   float64      `yaml:"value"`
	Points  [][2]float64 `yaml:"points,flow"`
	Command string       `yaml:"command"`
	Commit  string       `yaml:"commit"`
	Machine string       `yaml:"machine"`
	Date    string       `yaml:"date"`
	Runs    int          `yaml:"runs"` // of which the points are medians
}

// Path is one row: something that a role holds, sends or spends, and what carries it. An empty mechanism means that
// nothing does.
type Path struct {
	Name      string   `yaml:"name"`
	Role      string   `yaml:"role"`
	Event     string   `yaml:"event"` // of an incident
	Kind      string   `yaml:"kind"`
	Text      string   `yaml:"text"`
	Formula   string   `yaml:"formula"`
	Unit      string   `yaml:"unit"`
	Bound     string   `yaml:"bound"` // a name; empty: none is stated
	Mechanism []string `yaml:"mechanism,flow"`
}

// Claim is a figure that was stated before it was measured, and the formula that checks it.
type Claim struct {
	Name    string  `yaml:"name"`
	Text    string  `yaml:"text"`
	Claimed float64 `yaml:"claimed"`
	Unit    string  `yaml:"unit"`
	Reading string  `yaml:"reading"`
	Formula string  `yaml:"formula"`
}

// kinds are what a row can be about.
var kinds = map[string]bool{"state": true, "messages": true, "processor": true, "memory": true, "time": true}

// Default reads the embedded table.
func Default() (Table, error) {
	sub, err := fs.Sub(files, "table")
	if err != nil {
		return Table{}, err
	}
	return Load(sub)
}

// Load reads the table from all YAML files of a folder. The error names the file and what is wrong in it.
func Load(folder fs.FS) (Table, error) {
	var t Table
	names, err := fs.Glob(folder, "*.yaml")
	if err != nil {
		return t, err
	}
	for _, name := range names {
		raw, err := fs.ReadFile(folder, name)
		if err != nil {
			return t, err
		}
		var part Table
		decoder := yaml.NewDecoder(bytes.NewReader(raw))
		decoder.KnownFields(true)
		if err := decoder.Decode(&part); err != nil && !errors.Is(err, io.EOF) {
			return t, fmt.Errorf("%s: %w", name, err)
		}
		t.merge(part)
	}
	return t, t.check()
}

// merge appends each list of another part of the table.
func (t *Table) merge(part Table) {
	all, more := reflect.ValueOf(t).Elem(), reflect.ValueOf(part)
	for k := range all.NumField() {
		all.Field(k).Set(reflect.AppendSlice(all.Field(k), more.Field(k)))
	}
}

var identifier = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// check returns all that is wrong with the table except with its formulas, in the order of its lists.
func (t Table) check() error {
	names := nameChecker{}
	var errs []error
	for _, size := range t.Sizes {
		errs = append(errs, names.check("sizes", size.Name))
	}
	for _, constant := range slices.Concat(t.Constants, t.Bounds) {
		errs = append(errs, names.check("constants", constant.Name))
		if constant.Source == "" {
			errs = append(errs, fmt.Errorf("constants: %s: source is missing", constant.Name))
		}
	}
	for _, derived := range t.Derived {
		errs = append(errs, names.check("derived", derived.Name))
	}
	machines := map[string]bool{}
	for _, machine := range t.Machines {
		machines[machine.Name] = true
	}
	for _, measurement := range t.Measurements {
		errs = append(errs, names.check("measurements", measurement.Name), measurement.check(machines))
	}
	errs = append(errs, t.checkPaths(names)...)
	for _, claim := range t.Claims {
		errs = append(errs, names.check("claims", claim.Name))
	}
	return errors.Join(errs...)
}

// checkPaths returns what is wrong with the rows of paths and incidents.
func (t Table) checkPaths(names nameChecker) []error {
	bounds := map[string]bool{"": true}
	for _, bound := range t.Bounds {
		bounds[bound.Name] = true
	}
	var errs []error
	for _, path := range slices.Concat(t.Paths, t.Incidents) {
		errs = append(errs, names.check("paths", path.Name))
		if !kinds[path.Kind] {
			errs = append(errs, fmt.Errorf("paths: %s: kind %q is none of state, messages, processor, memory, time", path.Name, path.Kind))
		}
		if !bounds[path.Bound] {
			errs = append(errs, fmt.Errorf("paths: %s: no bound %q", path.Name, path.Bound))
		}
	}
	return errs
}

// nameChecker holds the names seen so far: each name of the table is an identifier and is there once.
type nameChecker map[string]bool

func (seen nameChecker) check(list, name string) error {
	switch {
	case !identifier.MatchString(name):
		return fmt.Errorf("%s: name %q is no identifier", list, name)
	case seen[name]:
		return fmt.Errorf("%s: name %s is there twice", list, name)
	}
	seen[name] = true
	return nil
}

// check returns what the measurement lacks: no figure stands on the page without the run that gave it.
func (m Measurement) check(machines map[string]bool) error {
	for key, value := range map[string]string{"text": m.Text, "unit": m.Unit, "command": m.Command, "commit": m.Commit, "date": m.Date} {
		if value == "" {
			return fmt.Errorf("measurements: %s: %s is missing", m.Name, key)
		}
	}
	switch {
	case !machines[m.Machine]:
		return fmt.Errorf("measurements: %s: no machine %q", m.Name, m.Machine)
	case m.Runs < 1:
		return fmt.Errorf("measurements: %s: runs is %d", m.Name, m.Runs)
	case m.X != "" && len(m.Points) < 2:
		return fmt.Errorf("measurements: %s: %d points give no line", m.Name, len(m.Points))
	case m.X == "" && len(m.Points) > 0:
		return fmt.Errorf("measurements: %s: points without x", m.Name)
	}
	return nil
}
