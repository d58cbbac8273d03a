package controller

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// ejectionAffects reports whether the ejection of a replica affects a stream. It does if the stream has the replica in its
// table or subset, and if the stream is unbound, because then it is not known which replicas its proxy holds.
func (c *Core) ejectionAffects(s *stream, replica uint32) bool {
	if s.binding.table < 0 {
		return true
	}
	if _, listed := c.routing.tables[s.binding.table][replica]; !listed {
		return false
	}
	return s.binding.subset == nil || s.binding.subset.replicas[replica]
}

// maxCost returns an upper bound of the cost units of a stream's next update. It counts all admissions, since any update may
// carry them.
func (c *Core) maxCost(s *stream, changes *turnChanges, urgent bool) int {
	fixed := 1 + len(c.names.Classes) + 1 // the full flag, one admission per class and the ack request
	boundSubset := s.binding.subset
	if s.binding.needsFull && boundSubset != nil {
		return fixed + len(boundSubset.replicas) + boundSubset.confirmedCount
	}
	return fixed + c.maxEndpointCost(s, changes, urgent) + c.maxEjectionCost(s, changes) + len(s.delivered.cancelledAdmissions)
}

// maxEndpointCost counts the endpoints of the next update and the ejections or unejections of these endpoints.
func (c *Core) maxEndpointCost(s *stream, changes *turnChanges, urgent bool) int {
	changed := changes.endpoints[s.binding.table]
	units := len(changed)
	if s.binding.needsFull || c.sendsRest(s, urgent) {
		table := c.routing.tables[s.binding.table]
		units = len(table)
		for replica := range table {
			units += c.ejectionCost(s, replica)
		}
	}
	if s.binding.needsFull {
		return units
	}
	for replica := range changed {
		units += c.ejectionCost(s, replica)
	}
	return units
}

// maxEjectionCost counts the ejections and unejections of the next update that maxEndpointCost has not counted.
func (c *Core) maxEjectionCost(s *stream, changes *turnChanges) int {
	ejections := changes.ejections
	if s.binding.needsFull && s.binding.table < 0 {
		ejections = c.routing.ejected
	}
	units := 0
	for replica := range ejections {
		if _, counted := changes.endpoints[s.binding.table][replica]; !counted || s.binding.needsFull {
			units += c.ejectionCost(s, replica)
		}
	}
	return units
}

// ejectionCost returns 1 if an update has to state whether a replica is ejected, because the proxy may assume the opposite,
// and 0 otherwise.
func (c *Core) ejectionCost(s *stream, replica uint32) int {
	if s.delivered.mayDiffer(replica, c.routing.ejected[replica]) {
		return 1
	}
	return 0
}

// buildUpdate builds the next update of a stream and records its content as delivered. It also reports whether the turn's
// commands affect the stream, which is possible even if the update is empty. If the stream has only a subset of its table,
// an urgent update omits the rest of the table unless no replica of the subset is usable.
func (c *Core) buildUpdate(s *stream, changes *turnChanges, urgent bool) (update Update, affected bool) {
	needsFull := s.binding.needsFull
	s.binding.needsFull = false
	update.FullTable = needsFull && s.binding.table >= 0
	update.Resync = s.binding.needsResync
	s.binding.needsResync = false
	if update.FullTable {
		c.Counters.FullTables++
		s.delivered.admissions = map[int]Admission{}
	}
	c.addEndpoints(s, c.dueEndpoints(s, changes, update.FullTable, urgent), &update)
	if !update.FullTable { // a full update contains the ejections of its table and replaces all admissions
		ejections := changes.ejections
		if needsFull { // the stream is unbound and its updates were lost
			ejections = c.routing.ejected
		}
		affected = c.addEjections(s, ejections, &update)
		update.Admissions = append(update.Admissions, s.delivered.cancelledAdmissions...)
	}
	s.delivered.cancelledAdmissions = nil
	c.addAdmissions(s, &update)
	if s.binding.subset != nil && s.binding.subset.restDue {
		c.delivery.markDue(s)
	}
	return update, affected || update.cost() > 0 || changes.affects(s.binding)
}

// affects reports whether the changed endpoints or admissions affect a binding.
func (t *turnChanges) affects(b binding) bool {
	tableChanged := b.subset == nil && len(t.endpoints[b.table]) > 0
	return tableChanged || t.admissions[control.AllTables] || t.admissions[b.table]
}

// dueEndpoints returns the endpoints of the next update: the whole table, the subset, the rest of the table outside the
// subset, or the changed endpoints.
func (c *Core) dueEndpoints(s *stream, changes *turnChanges, full, urgent bool) endpointList {
	table := s.binding.table
	switch {
	case full && c.hasUsableSubset(s):
		return c.subsetEndpoints(s)
	case full:
		s.binding.subset = nil
		return sharedEndpoints(c, table, c.routing.tables[table], changes.fullTables)
	case c.sendsRest(s, urgent):
		return c.restEndpoints(s, changes)
	case s.binding.subset != nil:
		return c.subsetChanges(s, changes)
	}
	return sharedEndpoints(c, table, changes.endpoints[table], changes.changedTables)
}

// addEndpoints adds endpoints to an update, together with their ejections and unejections. The first update of a subset
// states these only for the first subset.confirmedCount replicas.
func (c *Core) addEndpoints(s *stream, list endpointList, update *Update) {
	update.Endpoints = list.endpoints
	confirmed := len(list.replicas)
	if update.FullTable && s.binding.subset != nil {
		confirmed = s.binding.subset.confirmedCount
	}
	for k, replica := range list.replicas {
		if k < confirmed && c.routing.tables[s.binding.table][replica] > 0 {
			c.addEjection(s, replica, update)
		}
	}
}

// addEjections adds the ejections and unejections of replicas to an update and reports whether any of them affects the
// stream.
func (c *Core) addEjections(s *stream, replicas map[uint32]bool, update *Update) (affected bool) {
	for _, replica := range slices.Sorted(maps.Keys(replicas)) {
		if c.ejectionAffects(s, replica) {
			affected = true
			c.addEjection(s, replica, update)
		}
	}
	return affected
}

// addEjection adds the ejection or unejection of a replica to an update if the proxy may assume the opposite.
func (c *Core) addEjection(s *stream, replica uint32, update *Update) {
	ejected := c.routing.ejected[replica]
	if !s.delivered.mayDiffer(replica, ejected) {
		return
	}
	s.delivered.ejections[replica] = ejected
	name := c.replicas.byNumber[replica].name
	if ejected {
		update.Ejected = append(update.Ejected, name)
	} else {
		update.Unejected = append(update.Unejected, name)
	}
}

// addAdmissions adds the admissions that have not been delivered. An admission for all tables reaches a stream with the next
// update that is sent on it for any reason.
func (c *Core) addAdmissions(s *stream, update *Update) {
	for class, name := range c.names.Classes {
		command, set := c.routing.admission(s.binding.table, class)
		if !set {
			continue
		}
		admission := Admission{Class: name, Fraction: command.Fraction, Retries: command.Retries}
		if delivered, known := s.delivered.admissions[class]; !known || delivered != admission {
			update.Admissions = append(update.Admissions, admission)
			s.delivered.admissions[class] = admission
		}
	}
}

// sharedEndpoints returns the endpoints of a table for the given replicas. The list is made once and shared by all streams
// of the table: made holds the lists made so far, by table.
func sharedEndpoints[V any](c *Core, table int, replicas map[uint32]V, made map[int]endpointList) endpointList {
	list, isMade := made[table]
	if !isMade {
		list = c.endpointsIn(table, slices.Sorted(maps.Keys(replicas)))
		made[table] = list
	}
	return list
}

// endpointsIn returns the endpoints of replicas with their weights in a table.
func (c *Core) endpointsIn(table int, replicas []uint32) endpointList {
	list := endpointList{replicas: replicas}
	for _, replica := range replicas {
		endpoint := WeightedEndpoint{Replica: c.replicas.byNumber[replica].name, Weight: c.routing.tables[table][replica]}
		list.endpoints = append(list.endpoints, endpoint)
	}
	return list
}
