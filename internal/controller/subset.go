package controller

import (
	"maps"
	"slices"

	"lilacbend/control"
)

// subset is the part of its table that a stream gets first. The module decides which part this is and when the rest follows.
type subset struct {
	ordered  []uint32        // in the module's order
	replicas map[uint32]bool // replicas in ordered that were sent or are about to be sent
	// confirmedCount is a number of replicas: the first update also states for its first confirmedCount replicas that they
	// are not ejected, if the proxy may assume the opposite.
	confirmedCount int
	restDue        bool // the rest of the table is due
}

func newSubset(command control.BindSubset) *subset {
	s := &subset{ordered: command.Replicas, confirmedCount: command.UnejectedCount, replicas: map[uint32]bool{}}
	for _, replica := range command.Replicas {
		s.replicas[replica] = true
	}
	return s
}

// intersect returns the given replicas that are in the subset.
func (s *subset) intersect(replicas map[uint32]bool) map[uint32]bool {
	changed := map[uint32]bool{}
	for replica := range replicas {
		if s.replicas[replica] {
			changed[replica] = true
		}
	}
	return changed
}

// hasUsableSubset reports whether a stream has a subset with at least one usable replica.
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

// hasUnusableSubset reports whether a stream has a subset without any usable replica.
func (c *Core) hasUnusableSubset(s *stream) bool {
	return s.binding.subset != nil && !c.hasUsableSubset(s)
}

// sendsRest reports whether the next update contains the rest of a table. An urgent update omits it to stay short, unless
// the subset has no usable replica.
func (c *Core) sendsRest(s *stream, urgent bool) bool {
	if s.binding.subset == nil || !s.binding.subset.restDue {
		return false
	}
	return !urgent || c.hasUnusableSubset(s)
}

// subsetEndpoints returns the endpoints of a subset's first update in the module's order. It omits replicas that were
// ejected or removed after the module sent the subset.
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

// restEndpoints returns the endpoints of the table outside the subset, the changed endpoints of the subset, and endpoints
// that the proxy may still hold as ejected. It removes the subset, since the stream has the whole table after this update.
func (c *Core) restEndpoints(s *stream, changes *turnChanges) endpointList {
	boundSubset := s.binding.subset
	due := boundSubset.intersect(changes.endpoints[s.binding.table])
	for replica := range c.routing.tables[s.binding.table] {
		_, reported := s.delivered.ejections[replica]
		if !boundSubset.replicas[replica] || !reported && !s.delivered.ejectsOnlyReported {
			due[replica] = true
		}
	}
	s.binding.subset = nil
	return c.endpointsIn(s.binding.table, slices.Sorted(maps.Keys(due)))
}

// subsetChanges returns the endpoints of the subset that have changed.
func (c *Core) subsetChanges(s *stream, changes *turnChanges) endpointList {
	changed := s.binding.subset.intersect(changes.endpoints[s.binding.table])
	return c.endpointsIn(s.binding.table, slices.Sorted(maps.Keys(changed)))
}
