package update

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/placement"
)

// minWeightChange is the relative change below which a weight is not overwritten: each change costs a message to each proxy
// of the table, and weights are estimates that vary a little with each load report.
const minWeightChange = 0.15

// weightChange is an endpoint whose current weight differs from its target.
type weightChange struct {
	endpoint Endpoint
	current  float64 // 0: the table lacks the endpoint
	target   float64 // 0: the endpoint is to be removed; or placement.KeepCurrentWeight
}

// size is the change in relation to the larger of the current and the target weight: from 0 to 1.
func (c weightChange) size() float64 {
	return math.Abs(c.target-c.current) / math.Max(c.current, c.target)
}

func (c weightChange) command() control.Command {
	return control.SetEndpoint{Table: c.endpoint.Table, Replica: c.endpoint.Replica, Weight: c.target}
}

// endpointCommands returns the commands of a step that set weights and, in step Add, those that uneject replicas.
//
// Proxies pick an unejected replica according to the weights that they hold, which may date from a time when the replica
// could serve more requests. So all changes of its endpoints, removals included, belong to the step that unejects it.
// Changes that lower a weight or add an endpoint come before the unejection. Changes that raise a weight come after it: too
// low a weight does no harm, so the unejection need not wait for them.
func (s *Sequence) endpointCommands(step Step) []control.Command {
	var before, after []control.Command
	for _, change := range s.weightChanges(step) {
		if s.ejected[change.endpoint.Replica] && change.current > 0 && change.target > change.current {
			after = append(after, change.command())
		} else {
			before = append(before, change.command())
		}
	}
	if step == Add {
		before = append(before, s.unejections()...)
	}
	return append(before, after...)
}

// unejections returns the commands that uneject replicas, sorted by replica.
func (s *Sequence) unejections() []control.Command {
	var commands []control.Command
	for _, replica := range ordered.Keys(s.ejected) {
		if s.mustUneject(replica) {
			commands = append(commands, control.SetEjected{Replica: replica})
		}
	}
	return commands
}

// mustUneject reports whether a replica is ejected at the proxies and the target does not eject it.
func (s *Sequence) mustUneject(replica uint32) bool {
	return s.ejected[replica] && !s.target.Ejected[replica]
}

// weightChanges returns the changes of a step, in the order in which they are to be sent.
func (s *Sequence) weightChanges(step Step) []weightChange {
	all := maps.Clone(s.current)
	maps.Copy(all, s.target.Weights)
	var changes []weightChange
	for endpoint := range all {
		change := weightChange{endpoint, s.current[endpoint], s.target.Weights[endpoint]}
		if s.stepOf(change) == step && mustSend(change, step) {
			changes = append(changes, change)
		}
	}
	sortBySize(changes)
	return changes
}

// stepOf returns the step that a change of weight belongs to.
func (s *Sequence) stepOf(change weightChange) Step {
	switch {
	case change.current == 0 || s.mustUneject(change.endpoint.Replica):
		return Add
	case change.target == 0:
		return Remove
	default:
		return Overwrite
	}
}

// mustSend reports whether a change is to be sent. Changes of the step Add are sent however small they are.
func mustSend(change weightChange, step Step) bool {
	if placement.KeepsCurrentWeight(change.target) || change.target == change.current {
		return false
	}
	return step == Add || change.size() >= minWeightChange
}

// sortBySize sorts changes by table, the table with the largest change first, and within a table by size, the largest first:
// the changes with the most effect are sent first, and changes of one table share the overhead of one message to each of its
// proxies.
func sortBySize(changes []weightChange) {
	largest := map[int]float64{} // by table
	for _, change := range changes {
		table := change.endpoint.Table
		largest[table] = math.Max(largest[table], change.size())
	}
	slices.SortFunc(changes, func(a, b weightChange) int {
		return cmp.Or(
			cmp.Compare(largest[b.endpoint.Table], largest[a.endpoint.Table]),
			cmp.Compare(a.endpoint.Table, b.endpoint.Table),
			cmp.Compare(b.size(), a.size()),
			cmp.Compare(a.endpoint.Replica, b.endpoint.Replica),
		)
	})
}
