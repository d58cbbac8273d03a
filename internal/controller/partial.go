package controller

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// This file keeps streams that have been given a part of their table. Which part, and when the rest follows, is decided by
// the module.

// bind binds a stream to a table, or has the rest sent of the table that it has a part of.
func (c *Core) bind(s *stream, table int) {
	if s.table == table && s.partial != nil && !s.needsFull {
		s.restDue = true
		c.due[s.opened.Proxy] = s
		return
	}
	c.attach(s, table)
	s.needsFull = true
}

// bindPart binds a stream to a part of a table.
func (c *Core) bindPart(s *stream, order control.BindSubset) {
	c.attach(s, order.Table)
	s.needsFull, s.partOrder, s.restoredCount = true, order.Replicas, order.Unejected
	s.partial = map[uint32]bool{}
	for _, id := range order.Replicas {
		s.partial[id] = true
	}
}

// usable says whether a replica is in the stream's table and is not ejected.
func (c *Core) usable(s *stream, id uint32) bool { return c.tables[s.table][id] > 0 && !c.ejected[id] }

// partUsable says whether a stream has a part of its table of which something can still be used.
func (c *Core) partUsable(s *stream) bool {
	for id := range s.partial {
		if c.usable(s, id) {
			return true
		}
	}
	return false
}

// partUnusable says whether nothing is left to a stream of the part that it has.
func (c *Core) partUnusable(s *stream) bool { return s.partial != nil && !c.partUsable(s) }

// sendsRest says whether the rest of a table goes with the next message.
func (c *Core) sendsRest(s *stream, urgent bool) bool {
	return s.restDue && (!urgent || c.partUnusable(s))
}

// firstOfPart makes the first message of a part, in the order in which it was given: what has been ejected or removed
// since is left out.
func (c *Core) firstOfPart(s *stream) endpointList {
	var usable []uint32
	s.partial = map[uint32]bool{}
	for _, id := range s.partOrder {
		if c.usable(s, id) {
			usable = append(usable, id)
			s.partial[id] = true
		}
	}
	return c.endpointsIn(s.table, usable)
}

// restOfTable makes the rest of a table, with what is new of the part; from then on the stream has the whole table.
func (c *Core) restOfTable(s *stream, n *turnChanges) endpointList {
	ids := changedInPart(s, n)
	for id := range c.tables[s.table] {
		if _, sure := s.toldEjected[id]; !s.partial[id] || !sure && !s.blank {
			ids[id] = true
		}
	}
	s.partial, s.restDue = nil, false
	return c.endpointsIn(s.table, slices.Sorted(maps.Keys(ids)))
}

// changesOfPart makes what is new of a part.
func (c *Core) changesOfPart(s *stream, n *turnChanges) endpointList {
	return c.endpointsIn(s.table, slices.Sorted(maps.Keys(changedInPart(s, n))))
}

// changedInPart are the replicas of a stream's part whose lines have changed or were removed.
func changedInPart(s *stream, n *turnChanges) map[uint32]bool {
	ids := map[uint32]bool{}
	for id := range n.endpoints[s.table] {
		if s.partial[id] {
			ids[id] = true
		}
	}
	return ids
}

// endpointsIn lists replicas with their weights in a table.
func (c *Core) endpointsIn(table int, ids []uint32) endpointList {
	t := endpointList{ids: ids}
	for _, id := range ids {
		t.endpoints = append(t.endpoints, WeightedEndpoint{c.replicas.known[id].name, c.tables[table][id]})
	}
	return t
}
