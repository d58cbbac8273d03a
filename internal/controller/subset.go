package controller

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// subset is the part of its table that a stream gets first. Which part, and when the rest follows, the module decides.
type subset struct {
	ordered  []uint32        // as the module gave it
	replicas map[uint32]bool // those of ordered that were sent, or are about to be
	// confirmed is how many of the first replicas the first update says are not ejected, if the proxy may hold that they are.
	confirmed int
	restDue   bool // the rest of the table is due
}

func newSubset(command control.BindSubset) *subset {
	s := &subset{ordered: command.Replicas, confirmed: command.Unejected, replicas: map[uint32]bool{}}
	for _, replica := range command.Replicas {
		s.replicas[replica] = true
	}
	return s
}

// changed returns those of some replicas that are in the subset.
func (s *subset) changed(replicas map[uint32]bool) map[uint32]bool {
	changed := map[uint32]bool{}
	for replica := range replicas {
		if s.replicas[replica] {
			changed[replica] = true
		}
	}
	return changed
}

// hasUsableSubset reports whether a stream has a subset of which something can still be used.
func (c *Core) hasUsableSubset(s *stream) bool {
	if s.binding.subset == nil {
		return false
	}
	for replica := range s.binding.subset.replicas {
		if c.routing.usable(s.binding.table, replica) {
			return true
		}
	}
	return false
}

// hasUnusableSubset reports whether a stream has a subset of which nothing can be used any more.
func (c *Core) hasUnusableSubset(s *stream) bool {
	return s.binding.subset != nil && !c.hasUsableSubset(s)
}

// sendsRest reports whether the rest of a table goes with the next update. An urgent one leaves it out, so as to be short,
// unless the stream has nothing else.
func (c *Core) sendsRest(s *stream, urgent bool) bool {
	if s.binding.subset == nil || !s.binding.subset.restDue {
		return false
	}
	return !urgent || c.hasUnusableSubset(s)
}

// subsetEndpoints returns the endpoints of a subset's first update in the module's order. What has been ejected or removed
// since the module gave it is left out.
func (c *Core) subsetEndpoints(s *stream) endpointList {
	var usable []uint32
	s.binding.subset.replicas = map[uint32]bool{}
	for _, replica := range s.binding.subset.ordered {
		if c.routing.usable(s.binding.table, replica) {
			usable = append(usable, replica)
			s.binding.subset.replicas[replica] = true
		}
	}
	return c.endpointsIn(s.binding.table, usable)
}

// restEndpoints returns the endpoints of the table beside the subset, those of the subset that have changed, and those which
// the proxy may still eject. From then on the stream has all of the table.
func (c *Core) restEndpoints(s *stream, changes *turnChanges) endpointList {
	part := s.binding.subset
	due := part.changed(changes.endpoints[s.binding.table])
	for replica := range c.routing.tables[s.binding.table] {
		_, reported := s.delivered.ejections[replica]
		if !part.replicas[replica] || !reported && !s.delivered.ejectsOnlyReported {
			due[replica] = true
		}
	}
	s.binding.subset = nil
	return c.endpointsIn(s.binding.table, slices.Sorted(maps.Keys(due)))
}

// subsetChanges returns the endpoints of the subset that have changed.
func (c *Core) subsetChanges(s *stream, changes *turnChanges) endpointList {
	changed := s.binding.subset.changed(changes.endpoints[s.binding.table])
	return c.endpointsIn(s.binding.table, slices.Sorted(maps.Keys(changed)))
}
