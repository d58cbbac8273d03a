package controller

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// concerns reports whether an ejection concerns a stream: the replica is in what the stream has of its table, or the stream
// is bound to none, so that what its proxy holds is not known.
func (c *Core) concerns(s *stream, replica uint32) bool {
	if s.binding.table < 0 {
		return true
	}
	if _, listed := c.routing.tables[s.binding.table][replica]; !listed {
		return false
	}
	return s.binding.subset == nil || s.binding.subset.replicas[replica]
}

// maxCost returns the most cost units that the next update of a stream can have. All admissions count, as they may go with
// any update.
func (c *Core) maxCost(s *stream, changes *turnChanges, urgent bool) int {
	fixed := 1 + len(c.names.Classes) + 1 // full, an admission for each class, and the ack request
	part := s.binding.subset
	if s.binding.needsFull && part != nil {
		return fixed + len(part.replicas) + part.confirmed
	}
	return fixed + c.maxEndpointCost(s, changes, urgent) + c.maxEjectionCost(s, changes) + len(s.delivered.cancelledAdmissions)
}

// maxEndpointCost counts the endpoints of the next update, and with each whether it is ejected.
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

// maxEjectionCost counts the ejections of the next update that do not go with an endpoint.
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

// ejectionCost is 1 if an update has to say whether a replica is ejected, as the proxy may hold otherwise, else 0.
func (c *Core) ejectionCost(s *stream, replica uint32) int {
	if s.delivered.mayDiffer(replica, c.routing.ejected[replica]) {
		return 1
	}
	return 0
}

// buildUpdate builds the next update of a stream and records what it says as delivered. It reports whether the turn's
// commands reach the stream, even if the update says nothing. An urgent update leaves out the rest of a table that the
// stream has a subset of, unless nothing of the subset can be used.
func (c *Core) buildUpdate(s *stream, changes *turnChanges, urgent bool) (update Update, reached bool) {
	needsFull := s.binding.needsFull
	s.binding.needsFull = false
	update.Full = needsFull && s.binding.table >= 0
	update.Resync = s.binding.needsResync
	s.binding.needsResync = false
	if update.Full {
		c.Counters.FullTables++
		s.delivered.admissions = map[int]Admission{}
	}
	c.addEndpoints(s, c.dueEndpoints(s, changes, update.Full, urgent), &update)
	if !update.Full { // a full update has the ejections of its table and replaces all admissions
		ejections := changes.ejections
		if needsFull { // the updates that were lost went to a proxy bound to no table
			ejections = c.routing.ejected
		}
		reached = c.addEjections(s, ejections, &update)
		update.Admissions = append(update.Admissions, s.delivered.cancelledAdmissions...)
	}
	s.delivered.cancelledAdmissions = nil
	c.addAdmissions(s, &update)
	if s.binding.subset != nil && s.binding.subset.restDue {
		c.delivery.markDue(s)
	}
	return update, reached || update.cost() > 0 || changes.reach(s.binding)
}

// reach reports whether the changes of endpoints and admissions concern a binding.
func (t *turnChanges) reach(b binding) bool {
	tableChanged := b.subset == nil && len(t.endpoints[b.table]) > 0
	return tableChanged || t.admissions[control.AllTables] || t.admissions[b.table]
}

// dueEndpoints returns the endpoints that go with the next update: all of the table, a subset of it, or what has changed.
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

// addEndpoints adds endpoints to an update, and whether they are ejected. The first update of a subset confirms only its
// first replicas.
func (c *Core) addEndpoints(s *stream, list endpointList, update *Update) {
	update.Endpoints = list.endpoints
	confirmed := len(list.replicas)
	if update.Full && s.binding.subset != nil {
		confirmed = s.binding.subset.confirmed
	}
	for k, replica := range list.replicas {
		if k < confirmed && c.routing.tables[s.binding.table][replica] > 0 {
			c.addEjection(s, replica, update)
		}
	}
}

// addEjections adds whether replicas are ejected, and reports whether any of that concerns the stream.
func (c *Core) addEjections(s *stream, replicas map[uint32]bool, update *Update) (concerned bool) {
	for _, replica := range slices.Sorted(maps.Keys(replicas)) {
		if c.concerns(s, replica) {
			concerned = true
			c.addEjection(s, replica, update)
		}
	}
	return concerned
}

// addEjection adds whether a replica is ejected, if the proxy may hold otherwise.
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

// addAdmissions adds the admissions that were not delivered. Those of all tables reach a stream with its next update
// for any reason.
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

// sharedEndpoints returns the endpoints of a table for some replicas, made once for all its streams: made holds those that
// are made already.
func sharedEndpoints[V any](c *Core, table int, replicas map[uint32]V, made map[int]endpointList) endpointList {
	list, isMade := made[table]
	if !isMade {
		list = c.endpointsIn(table, slices.Sorted(maps.Keys(replicas)))
		made[table] = list
	}
	return list
}

// endpointsIn lists replicas with their names and their weights in a table.
func (c *Core) endpointsIn(table int, replicas []uint32) endpointList {
	list := endpointList{replicas: replicas}
	for _, replica := range replicas {
		endpoint := WeightedEndpoint{Replica: c.replicas.byNumber[replica].name, Weight: c.routing.tables[table][replica]}
		list.endpoints = append(list.endpoints, endpoint)
	}
	return list
}
