package policy

import "lilacbend/control"

// Notes between the parts; events and orders go from part to part as they are.
type (
	tick    struct{}
	forget  struct{ id uint32 } // a replica is long gone
	redraw  struct{}            // the planner has heard from all replicas
	closing struct{}            // the turn ends: the pacer sends
	norm    struct {            // planner to replica: of its kind, its own goal, of all: missed, lost
		late, good, goal, bad, lost float64
	}
	offer struct { // replica to planner: what it can bear and what it was met with lately
		control.ListedReplica
		box                                      int
		weight, size, ticket, tries, bad, answer float64
		prior, confidence                        float64 // remembered speed, and how many tries it counts for
		penalty                                  float64 // part of its weight that it lacks as it was sick by memory alone
		able                                     float64 // part of its usual work that it can do, if it is cold
		cold, sick, trial                        bool
	}
	fleet struct { // planner to levels: tries a second, parts missed, of all and of most, answer times
		tries, bad, most, answer, serves, calm float64
	}
	target struct { // planner to sequence: weights, below 0: stays as it is
		lines map[line]float64
		out   map[uint32]bool
	}
	demand struct { // levels to planner: part of the flows that got no answer; flows that came, by proxy
		lost         float64
		flows, fresh map[int]float64 // in the last few seconds; the newest, as of so long
	}
	coldSet struct { // planner to pacer: the replicas that are cold, and whether they must be let in together
		replicas map[uint32]bool
		together bool
	}
	step struct { // sequence to pacer: what the open step still has to send
		adds   int // the first so many are additions
		orders []control.Command
	}
	marked struct { // pacer to registry and sequence: what went out, to whom, under which mark
		mark    uint64
		proxies []int
		orders  []control.Command
	}
	acked struct { // registry to pacer and sequence: somebody applied all up to the mark, or all have, or have left
		mark      uint64
		all, gone bool
	}
	line struct {
		table int
		id    uint32
	}
)
