package dispatch

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"lilacbend/control"
)

// Update is one part of a controller's update.
type Update struct {
	Classes  []string           // the traffic classes that it is for; none: all
	Full     bool               // it replaces the tables and settings of its classes
	Weights  map[string]float64 // by replica; 0 removes it
	Settings []ClassSettings    // the last one holds; none: unchanged
	Eject    []string           // replicas that must not be picked
	Uneject  []string           // replicas that may be picked again
}

// ClassSettings are a controller's settings of a traffic class.
type ClassSettings struct {
	Admission float64 // by the admission mode: a fraction of the requests, or requests a second
	Retry     control.RetryPolicy
}

// ErrInvalidUpdate is returned for an update that cannot be applied. Nothing of it has been applied, so its stream has
// to be reset.
var ErrInvalidUpdate = errors.New("update cannot be applied")

const (
	// maxUpdateEndpoints is more than any installation lists: a controller that sends more is broken.
	maxUpdateEndpoints = 1 << 14
	// maxAdmission bounds the admission setting, in requests a second.
	maxAdmission = 1e6
	// maxUnlistedEjections bounds how many ejections are kept for replicas that no table names.
	maxUnlistedEjections = 1024
)

// Apply applies the parts of one update in their order: all of them, or nothing.
func (d *Dispatcher) Apply(now int64, parts ...Update) error {
	for _, part := range parts {
		if err := d.validate(part); err != nil {
			return err
		}
	}
	for _, part := range parts {
		d.applyPart(now, part)
	}
	return nil
}

// validate checks one part of an update.
func (d *Dispatcher) validate(part Update) error {
	if _, err := d.classIndexes(part.Classes); err != nil {
		return err
	}
	if len(part.Weights) > maxUpdateEndpoints {
		return fmt.Errorf("%w: %d endpoints", ErrInvalidUpdate, len(part.Weights))
	}
	for _, replica := range slices.Sorted(maps.Keys(part.Weights)) {
		weight := part.Weights[replica]
		if replica == "" || !isValidWeight(weight) {
			return fmt.Errorf("%w: endpoint %.40q of weight %v", ErrInvalidUpdate, replica, weight)
		}
	}
	for _, settings := range part.Settings {
		if !settings.valid() {
			return fmt.Errorf("%w: admission %v, retry policy %d", ErrInvalidUpdate, settings.Admission, settings.Retry)
		}
	}
	return nil
}

// isValidWeight reports whether a weight is a finite number that is not negative.
func isValidWeight(weight float64) bool {
	return weight >= 0 && !math.IsInf(weight, 0) // a NaN is not >= 0
}

// valid reports whether both settings are in their range.
func (s ClassSettings) valid() bool {
	admissionValid := s.Admission >= 0 && s.Admission <= maxAdmission // false for a NaN
	return admissionValid && s.Retry >= control.NoRetry && s.Retry <= control.RetryTwice
}

// applyPart applies one part of an update, which has been validated.
func (d *Dispatcher) applyPart(now int64, part Update) {
	classes, _ := d.classIndexes(part.Classes)
	for _, class := range classes {
		d.tables[class].apply(part)
	}
	for _, replica := range part.Eject {
		d.ejectedByController[replica] = true
	}
	for _, replica := range part.Uneject {
		delete(d.ejectedByController, replica)
	}
	if part.Full || len(part.Weights) > 0 {
		d.hasTables = true
		d.evictUnlisted(now)
	}
}

// apply applies one part of an update to the table of a class.
func (t *table) apply(part Update) {
	if part.Full {
		t.clear()
	}
	for _, replica := range slices.Sorted(maps.Keys(part.Weights)) {
		t.setWeight(replica, part.Weights[replica])
	}
	for _, settings := range part.Settings {
		t.settings = settings
		t.hasSettings = true
	}
}

// classIndexes returns the indexes of traffic classes by their names; all of them if there are no names.
func (d *Dispatcher) classIndexes(names []string) ([]int, error) {
	var classes []int
	if len(names) == 0 {
		for class := range d.config.Classes {
			classes = append(classes, class)
		}
		return classes, nil
	}
	for _, name := range names {
		class := d.Class(name)
		if class < 0 {
			return nil, fmt.Errorf("%w: no traffic class %.40q", ErrInvalidUpdate, name)
		}
		classes = append(classes, class)
	}
	return classes, nil
}

// HasTables reports whether a controller has sent a table.
func (d *Dispatcher) HasTables() bool { return d.hasTables }
