package controller

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// This file builds the update of one proxy.

// concerns says whether an ejection concerns the stream: what an unbound proxy brought with it is not known.
func (c *Core) concerns(s *stream, id uint32) bool {
	_, has := c.tables[s.table][id]
	return has && (s.partial == nil || s.partial[id]) || s.table < 0
}

// maxLines is how many lines the next message of a stream could have: all admissions go with some.
func (c *Core) maxLines(s *stream, n *turnChanges, urgent bool) int {
	heads := 1 + len(c.names.Classes) + 1
	if s.needsFull && s.partial != nil {
		return heads + len(s.partial) + s.restoredCount
	}
	return heads + c.maxEndpointLines(s, n, urgent) + c.maxEjectionLines(s, n) + len(s.lifted)
}

// maxEndpointLines counts the endpoints of the next message, with those lines that say whether one is ejected.
func (c *Core) maxEndpointLines(s *stream, n *turnChanges, urgent bool) int {
	changed := n.endpoints[s.table]
	count := len(changed)
	if s.needsFull || c.sendsRest(s, urgent) {
		count = len(c.tables[s.table])
		for id := range c.tables[s.table] {
			count += c.ejectionLines(s, id)
		}
	}
	if s.needsFull {
		return count
	}
	for id := range changed {
		count += c.ejectionLines(s, id)
	}
	return count
}

// maxEjectionLines counts the lines that say whether a replica is ejected, beside those of the endpoints.
func (c *Core) maxEjectionLines(s *stream, n *turnChanges) int {
	ejections := n.ejections
	if s.needsFull && s.table < 0 {
		ejections = c.ejected
	}
	count := 0
	for id := range ejections {
		if _, counted := n.endpoints[s.table][id]; !counted || s.needsFull {
			count += c.ejectionLines(s, id)
		}
	}
	return count
}

// ejectionLines is 1 if a proxy has to be told whether a replica is ejected, as it may hold otherwise, else 0.
func (c *Core) ejectionLines(s *stream, id uint32) int {
	toldEjected, told := s.toldEjected[id]
	if c.ejected[id] != toldEjected || !told && !s.blank {
		return 1
	}
	return 0
}

// lineCount counts as the proxies' channel does.
func (p Update) lineCount() int {
	lines := len(p.Endpoints) + len(p.Ejected) + len(p.Restored) + len(p.Admissions)
	if p.Full {
		lines++
	}
	if p.WantsAck {
		lines++
	}
	return lines
}

// buildUpdate builds the update of a stream, and returns whether the turn's commands reach the stream. An urgent one leaves out
// the rest of a table that the stream has a part of, unless nothing else is left to it.
func (c *Core) buildUpdate(s *stream, n *turnChanges, urgent bool) (u Update, reached bool) {
	needsFull := s.needsFull
	s.needsFull = false
	u.Full = needsFull && s.table >= 0
	u.Resync = s.needsResync
	s.needsResync = false
	if u.Full {
		c.Counters.FullTables++
		s.toldAdmissions = map[int]Admission{}
	}
	c.addEndpoints(s, c.endpointsDue(s, n, u.Full, urgent), &u)
	if !u.Full { // a full one replaces the table and all admissions
		ejections := n.ejections
		if needsFull { // its messages were lost while it was bound to nothing
			ejections = c.ejected
		}
		reached = c.addEjections(s, ejections, &u)
		u.Admissions = append(u.Admissions, s.lifted...)
	}
	s.lifted = nil
	c.addAdmissions(s, &u)
	if s.restDue {
		c.due[s.opened.Proxy] = s
	}
	tableChanged := s.partial == nil && len(n.endpoints[s.table]) > 0
	admissionsChanged := n.admissions[control.AllTables] || n.admissions[s.table]
	return u, reached || u.lineCount() > 0 || tableChanged || admissionsChanged
}

// endpointsDue returns the endpoints that go with the next update: the whole table, a part of it, or what has changed.
func (c *Core) endpointsDue(s *stream, n *turnChanges, full, urgent bool) endpointList {
	switch {
	case full && c.partUsable(s):
		return c.firstOfPart(s)
	case full:
		s.partial = nil
		s.restDue = false
		return endpointsOf(c, s.table, c.tables[s.table], n.fullTables)
	case c.sendsRest(s, urgent):
		return c.restOfTable(s, n)
	case s.partial != nil:
		return c.changesOfPart(s, n)
	}
	return endpointsOf(c, s.table, n.endpoints[s.table], n.changedTables)
}

// addEndpoints adds endpoints to an update, and whether they are ejected. Of the first update of a part only the first
// restoredCount replicas are told not to be ejected.
func (c *Core) addEndpoints(s *stream, list endpointList, u *Update) {
	u.Endpoints = list.endpoints
	for k, id := range list.ids {
		if c.tables[s.table][id] > 0 && (!u.Full || s.partial == nil || k < s.restoredCount) {
			c.addEjection(s, id, u)
		}
	}
}

// addEjections adds whether replicas are ejected, and returns whether that concerns the stream.
func (c *Core) addEjections(s *stream, replicas map[uint32]bool, u *Update) (concerned bool) {
	for _, id := range slices.Sorted(maps.Keys(replicas)) {
		if c.concerns(s, id) {
			concerned = true
			c.addEjection(s, id, u)
		}
	}
	return concerned
}

// addAdmissions adds the admissions that the stream was not told of. Those of all tables go with every later update.
func (c *Core) addAdmissions(s *stream, u *Update) {
	for class := range c.names.Classes {
		admission, set := c.admissionOf(s.table, class)
		if told, has := s.toldAdmissions[class]; set && (!has || told != admission) {
			u.Admissions = append(u.Admissions, admission)
			s.toldAdmissions[class] = admission
		}
	}
}

// addEjection says whether a replica is ejected, if the proxy may think otherwise.
func (c *Core) addEjection(s *stream, id uint32, p *Update) {
	if c.ejectionLines(s, id) > 0 {
		if s.toldEjected[id] = c.ejected[id]; c.ejected[id] {
			p.Ejected = append(p.Ejected, c.replicas.known[id].name)
		} else {
			p.Restored = append(p.Restored, c.replicas.known[id].name)
		}
	}
}

// endpointsOf is a table, or what changed of it, as lines: worked out once for all its proxies.
func endpointsOf[V any](c *Core, table int, ids map[uint32]V, done map[int]endpointList) endpointList {
	t, has := done[table]
	if !has {
		t.ids = slices.Sorted(maps.Keys(ids))
		for _, id := range t.ids {
			t.endpoints = append(t.endpoints, WeightedEndpoint{c.replicas.known[id].name, c.tables[table][id]})
		}
		done[table] = t
	}
	return t
}
