package controller

import (
	"math"

	"lilacbend/control"
)

// routingState is what the running module's commands have set: weights by table, ejections and admissions.
type routingState struct {
	tables     map[int]map[uint32]float64 // weight by replica; one that is not in a table has no entry
	ejected    map[uint32]bool            // holds no false
	admissions map[tableClass]control.SetAdmission
}

// tableClass is a traffic class in one table, or in control.AllTables.
type tableClass struct {
	table int
	class int
}

func newRoutingState() routingState {
	return routingState{
		tables:     map[int]map[uint32]float64{},
		ejected:    map[uint32]bool{},
		admissions: map[tableClass]control.SetAdmission{},
	}
}

// setWeight sets the weight of a replica in a table; one of 0 or less removes it.
func (r *routingState) setWeight(table int, replica uint32, weight float64) {
	if r.tables[table] == nil {
		r.tables[table] = map[uint32]float64{}
	}
	if weight <= 0 {
		delete(r.tables[table], replica)
		return
	}
	r.tables[table][replica] = weight
}

// setEjected ejects a replica or unejects it.
func (r *routingState) setEjected(replica uint32, ejected bool) {
	if ejected {
		r.ejected[replica] = true
		return
	}
	delete(r.ejected, replica)
}

// usable reports whether a replica is in a table and not ejected.
func (r *routingState) usable(table int, replica uint32) bool {
	return r.tables[table][replica] > 0 && !r.ejected[replica]
}

// tablesWith returns the tables whose streams an ejection concerns, in no order: unbound is among them, as what unbound
// proxies hold is not known.
func (r *routingState) tablesWith(replica uint32) []int {
	tables := []int{unbound}
	for table, weights := range r.tables {
		if _, listed := weights[replica]; listed {
			tables = append(tables, table)
		}
	}
	return tables
}

// admission returns what holds for a traffic class in a table: the lower fraction of the table's own admission and the one
// for all tables, and the retry policy of its own; false: neither is set.
func (r *routingState) admission(table, class int) (control.SetAdmission, bool) {
	own, hasOwn := r.admissions[tableClass{table, class}]
	general, hasGeneral := r.admissions[tableClass{control.AllTables, class}]
	switch {
	case hasOwn && hasGeneral:
		own.Fraction = math.Min(own.Fraction, general.Fraction)
		return own, true
	case hasGeneral:
		return general, true
	}
	return own, hasOwn
}

// tableCost returns the cost units of an update that brings all of a table, with its ejections and admissions.
func (r *routingState) tableCost(table, classes int) int {
	units := 1 + len(r.tables[table])
	for replica := range r.tables[table] {
		if r.ejected[replica] {
			units++
		}
	}
	for class := range classes {
		if _, set := r.admission(table, class); set {
			units++
		}
	}
	return units
}

// renumberClasses keeps the admissions under the new numbers of their traffic classes; a class whose number is below 0 no
// longer exists.
func (r *routingState) renumberClasses(numbers []int) {
	renumbered := map[tableClass]control.SetAdmission{}
	for key, admission := range r.admissions {
		admission.Class = numbers[key.class]
		if admission.Class >= 0 {
			renumbered[tableClass{key.table, admission.Class}] = admission
		}
	}
	r.admissions = renumbered
}
