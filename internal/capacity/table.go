// Package capacity computes the resource usage of each role of the product (state, messages, processor time, memory and
// delays) at a given size of the fleet. It evaluates a table of sizes, measured slopes and formulas, and formats the results
// as the tables of docs/CAPACITY.md. It is pure: the table is embedded, and the package measures nothing.
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
var tableFiles embed.FS

// Table is the data behind the page: inputs, measurements, and rows with their formulas.
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

// Size is a quantity that grows with the fleet, linearly from today's value to the target's.
type Size struct {
	Name   string  `yaml:"name"`
	Today  float64 `yaml:"today"`
	Target float64 `yaml:"target"`
	Text   string  `yaml:"text"`
}

// Constant is a quantity that does not grow with the fleet. Source names who states it, or says that it is an assumption.
type Constant struct {
	Name   string  `yaml:"name"`
	Value  float64 `yaml:"value"`
	Unit   string  `yaml:"unit"`
	Source string  `yaml:"source"`
}

// Reading is one interpretation of the fleet's structure: it determines the part of the fleet that a controller receives
// messages about. Service is the formula of the size of the controller's service, as a multiple of the mean.
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

// Machine describes a machine on which measurements ran.
type Machine struct {
	Name string `yaml:"name"`
	Text string `yaml:"text"`
}

// Measurement is either one value or points that a line is fitted to.
type Measurement struct {
	Name    string       `yaml:"name"`
	Text    string       `yaml:"text"`
	X       string       `yaml:"x"` // quantity that the points vary; empty: a single value
	Unit    string       `yaml:"unit"`
	Value   float64      `yaml:"value"`
	Points  [][2]float64 `yaml:"points,flow"`
	Command string       `yaml:"command"`
	Commit  string       `yaml:"commit"`
	Machine string       `yaml:"machine"`
	Date    string       `yaml:"date"`
	Runs    int          `yaml:"runs"` // each point is the median of this number of runs
}

// Path is one row of the table: a quantity that a role holds, sends or spends, and the packages that implement its
// mechanism. An empty Mechanism means that there is none.
type Path struct {
	Name      string   `yaml:"name"`
	Role      string   `yaml:"role"`
	Event     string   `yaml:"event"` // event of an incident; empty: ordinary operation
	Kind      string   `yaml:"kind"`
	Text      string   `yaml:"text"`
	Formula   string   `yaml:"formula"`
	Unit      string   `yaml:"unit"`
	Bound     string   `yaml:"bound"` // name of the bound; empty: none is stated
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

// kinds are the valid kinds of a row.
var kinds = map[string]bool{"state": true, "messages": true, "processor": true, "memory": true, "time": true}

// Default reads the embedded table.
func Default() (Table, error) {
	sub, err := fs.Sub(tableFiles, "table")
	if err != nil {
		return Table{}, err
	}
	return Load(sub)
}

// Load reads the table from all YAML files of a folder. The error names the file that cannot be decoded, or each invalid
// entry.
func Load(folder fs.FS) (Table, error) {
	var table Table
	names, err := fs.Glob(folder, "*.yaml")
	if err != nil {
		return table, err
	}
	for _, name := range names {
		raw, err := fs.ReadFile(folder, name)
		if err != nil {
			return table, err
		}
		var part Table
		decoder := yaml.NewDecoder(bytes.NewReader(raw))
		decoder.KnownFields(true)
		if err := decoder.Decode(&part); err != nil && !errors.Is(err, io.EOF) {
			return table, fmt.Errorf("%s: %w", name, err)
		}
		table.merge(part)
	}
	return table, table.check()
}

// merge appends each list of another part of the table to the list of the same name.
func (t *Table) merge(part Table) {
	lists, added := reflect.ValueOf(t).Elem(), reflect.ValueOf(part)
	for k := range lists.NumField() {
		lists.Field(k).Set(reflect.AppendSlice(lists.Field(k), added.Field(k)))
	}
}

var identifier = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// check returns all errors of the table except those of its formulas, in the order of its lists.
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

// checkPaths returns the errors of the rows of paths and incidents.
func (t Table) checkPaths(names nameChecker) []error {
	bounds := map[string]bool{"": true}
	for _, bound := range t.Bounds {
		bounds[bound.Name] = true
	}
	var errs []error
	for _, path := range slices.Concat(t.Paths, t.Incidents) {
		errs = append(errs, names.check("paths", path.Name))
		if !kinds[path.Kind] {
			errs = append(errs, fmt.Errorf("paths: %s: unknown kind %q, want state, messages, processor, memory or time", path.Name, path.Kind))
		}
		if !bounds[path.Bound] {
			errs = append(errs, fmt.Errorf("paths: %s: unknown bound %q", path.Name, path.Bound))
		}
	}
	return errs
}

// nameChecker holds the names seen so far. Each name of the table has to be an identifier and to be unique.
type nameChecker map[string]bool

func (seen nameChecker) check(list, name string) error {
	switch {
	case !identifier.MatchString(name):
		return fmt.Errorf("%s: name %q is not an identifier", list, name)
	case seen[name]:
		return fmt.Errorf("%s: duplicate name %s", list, name)
	}
	seen[name] = true
	return nil
}

// check returns an error if the measurement lacks data. Each figure on the page has to name the run that gave it.
func (m Measurement) check(machines map[string]bool) error {
	for key, value := range map[string]string{"text": m.Text, "unit": m.Unit, "command": m.Command, "commit": m.Commit, "date": m.Date} {
		if value == "" {
			return fmt.Errorf("measurements: %s: %s is missing", m.Name, key)
		}
	}
	switch {
	case !machines[m.Machine]:
		return fmt.Errorf("measurements: %s: unknown machine %q", m.Name, m.Machine)
	case m.Runs < 1:
		return fmt.Errorf("measurements: %s: runs is %d, want at least 1", m.Name, m.Runs)
	case m.X != "" && len(m.Points) < 2:
		return fmt.Errorf("measurements: %s: %d points, want at least 2 for a line", m.Name, len(m.Points))
	case m.X == "" && len(m.Points) > 0:
		return fmt.Errorf("measurements: %s: points without x", m.Name)
	}
	return nil
}
