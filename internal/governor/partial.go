package governor

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// This file keeps streams that have been given a part of their table. Which part, and when the rest follows, is ordered by
// the module.

// bind puts a stream on a table, or orders the rest of the table that it has a part of.
func (c *Core) bind(s *stream, table int) {
	if s.table == table && s.part != nil && !s.whole {
		s.rest = true
		c.due[s.joined.Proxy] = s
		return
	}
	c.sit(s, table)
	s.whole = true
}

// bindPart puts a stream on a part of a table.
func (c *Core) bindPart(s *stream, order control.BindPart) {
	c.sit(s, order.Table)
	s.whole, s.first, s.sure = true, order.Replicas, order.Restored
	s.part = map[uint32]bool{}
	for _, id := range order.Replicas {
		s.part[id] = true
	}
}

// usable says whether a replica has a line in the stream's table and is not withdrawn.
func (c *Core) usable(s *stream, id uint32) bool { return c.tables[s.table][id] > 0 && !c.out[id] }

// partLeft says whether a stream has a part of its table of which something can still be used.
func (c *Core) partLeft(s *stream) bool {
	for id := range s.part {
		if c.usable(s, id) {
			return true
		}
	}
	return false
}

// bare says whether nothing is left to a stream of the part that it has.
func (c *Core) bare(s *stream) bool { return s.part != nil && !c.partLeft(s) }

// restGoes says whether the rest of a table goes with the next message.
func (c *Core) restGoes(s *stream, urgent bool) bool { return s.rest && (!urgent || c.bare(s)) }

// firstPart makes the first message of a part, in the order in which it was given: what has been withdrawn or removed
// since is left out.
func (c *Core) firstPart(s *stream) sheet {
	var usable []uint32
	s.part = map[uint32]bool{}
	for _, id := range s.first {
		if c.usable(s, id) {
			usable = append(usable, id)
			s.part[id] = true
		}
	}
	return c.sheetOf(s.table, usable)
}

// remaining makes the rest of a table, with what is new of the part; from then on the stream has the whole table.
func (c *Core) remaining(s *stream, n *news) sheet {
	ids := map[uint32]bool{}
	for id := range c.tables[s.table] {
		if _, sure := s.told[id]; !s.part[id] || n.lines[s.table][id] || !sure && !s.blank {
			ids[id] = true
		}
	}
	for id := range n.lines[s.table] {
		if s.part[id] {
			ids[id] = true
		}
	}
	s.part, s.rest = nil, false
	return c.sheetOf(s.table, slices.Sorted(maps.Keys(ids)))
}

// changed makes what is new of a part.
func (c *Core) changed(s *stream, n *news) sheet {
	ids := map[uint32]bool{}
	for id := range n.lines[s.table] {
		if s.part[id] {
			ids[id] = true
		}
	}
	return c.sheetOf(s.table, slices.Sorted(maps.Keys(ids)))
}

// sheetOf lists replicas with their weights in a table.
func (c *Core) sheetOf(table int, ids []uint32) sheet {
	t := sheet{ids: ids}
	for _, id := range ids {
		t.lines = append(t.lines, Line{c.roster.known[id].name, c.tables[table][id]})
	}
	return t
}
