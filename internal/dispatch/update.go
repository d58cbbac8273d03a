package dispatch

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"lilacbend/control"
)

// UpdatePart is one part of a controller's update.
type UpdatePart struct {
	Classes  []string           // the traffic classes that the part applies to; empty: all
	Replace  bool               // the part replaces the tables and settings of its classes
	Weights  map[string]float64 // by replica; 0 removes the replica
	Settings []ClassSettings    // the last element applies; empty: settings are unchanged
	Eject    []string           // replicas that must not be picked
	Uneject  []string           // replicas that may be picked again
}

// ClassSettings are a controller's settings of a traffic class.
type ClassSettings struct {
	Admission float64 // depends on the admission mode: a fraction of the requests, or requests per second
	Retry     control.RetryPolicy
}

// ErrInvalidUpdate is returned for an update that cannot be applied. No part of the update has been applied, so
// the stream that carried it has to be reset.
var ErrInvalidUpdate = errors.New("invalid update")

const (
	// maxUpdateEndpoints bounds the endpoints of one part. No installation reaches this number of endpoints, so a controller
	// that sends more is faulty.
	maxUpdateEndpoints = 1 << 14
	// maxAdmission bounds the admission setting, in requests per second.
	maxAdmission = 1e6
	// maxUnreferencedEjections is the number of controller ejections above which the ejections of replicas in no table are
	// dropped.
	maxUnreferencedEjections = 1024
)

// Apply applies the parts of one update in their order: all of them or none.
func (d *Dispatcher) Apply(now int64, parts ...UpdatePart) error {
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
func (d *Dispatcher) validate(part UpdatePart) error {
	if _, err := d.classIndexes(part.Classes); err != nil {
		return err
	}
	if len(part.Weights) > maxUpdateEndpoints {
		return fmt.Errorf("%w: %d endpoints exceed the limit of %d", ErrInvalidUpdate, len(part.Weights), maxUpdateEndpoints)
	}
	for _, replica := range slices.Sorted(maps.Keys(part.Weights)) {
		weight := part.Weights[replica]
		if replica == "" || !isValidWeight(weight) {
			return fmt.Errorf("%w: endpoint %.40q has weight %v, want an id and a finite weight of at least 0", ErrInvalidUpdate, replica, weight)
		}
	}
	for _, settings := range part.Settings {
		if !settings.valid() {
			return fmt.Errorf("%w: admission %v or retry policy %d is out of range, want 0 to %v and %d to %d",
				ErrInvalidUpdate, settings.Admission, settings.Retry, maxAdmission, control.NoRetry, control.RetryTwice)
		}
	}
	return nil
}

// isValidWeight reports whether a weight is a finite number that is not negative.
func isValidWeight(weight float64) bool {
	return weight >= 0 && !math.IsInf(weight, 0) // a NaN is not >= 0
}

// valid reports whether both settings are within their limits.
func (s ClassSettings) valid() bool {
	admissionValid := s.Admission >= 0 && s.Admission <= maxAdmission // false for a NaN
	return admissionValid && s.Retry >= control.NoRetry && s.Retry <= control.RetryTwice
}

// applyPart applies one part of an update, which has been validated.
func (d *Dispatcher) applyPart(now int64, part UpdatePart) {
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
	if part.Replace || len(part.Weights) > 0 {
		d.hasTables = true
		d.evictUnreferenced(now)
	}
}

// apply applies one part of an update to the table of a class.
func (t *table) apply(part UpdatePart) {
	if part.Replace {
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

// classIndexes returns the indexes of the traffic classes with the given names, or all indexes if there are no names.
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
			return nil, fmt.Errorf("%w: unknown traffic class %.40q", ErrInvalidUpdate, name)
		}
		classes = append(classes, class)
	}
	return classes, nil
}

// HasTables reports whether a controller has sent a table.
func (d *Dispatcher) HasTables() bool { return d.hasTables }
