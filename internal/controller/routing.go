package controller

import (
	"math"

	"lilacbend/control"
)

// routingState is the state set by the commands of the running module: weights by table, ejections and admissions.
type routingState struct {
	tables     map[int]map[uint32]float64 // weight by table and replica; all weights are positive
	ejected    map[uint32]bool            // contains only true values
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

// setWeight sets the weight of a replica in a table. A weight of 0 or less removes the replica.
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

// usable reports whether a replica is in a table and is not ejected.
func (r *routingState) usable(table int, replica uint32) bool {
	return r.tables[table][replica] > 0 && !r.ejected[replica]
}

// tablesWith returns the tables whose streams the ejection of a replica affects, in no particular order. The result always
// contains unbound, since it is not known which replicas unbound proxies hold.
func (r *routingState) tablesWith(replica uint32) []int {
	tables := []int{unbound}
	for table, weights := range r.tables {
		if _, listed := weights[replica]; listed {
			tables = append(tables, table)
		}
	}
	return tables
}

// admission returns the effective admission of a traffic class in a table, or false if none is set. If the table has an
// admission of its own and there is one for all tables, the lower fraction of the two applies, with the retry policy of the
// table's own admission.
func (r *routingState) admission(table, class int) (control.SetAdmission, bool) {
	own, hasOwn := r.admissions[tableClass{table, class}]
	allTables, hasAllTables := r.admissions[tableClass{control.AllTables, class}]
	switch {
	case hasOwn && hasAllTables:
		own.Fraction = math.Min(own.Fraction, allTables.Fraction)
		return own, true
	case hasAllTables:
		return allTables, true
	}
	return own, hasOwn
}

// tableCost returns the cost units of an update with a whole table, its ejections and its admissions.
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

// renumberClasses moves the admissions to the new numbers of their traffic classes and drops the admissions of classes whose
// new number is negative: these classes no longer exist.
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
