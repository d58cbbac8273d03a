package policy

import "lilacbend/control"

// message is anything that one component tells another. Each message names its sender and receivers; a component panics on a
// message that is not for it.
type message interface{ message() }

// Messages that carry an event from the turn to the components that it concerns.
type (
	replicaListed    struct{ control.ListedReplica }
	outcomesReported struct{ control.Outcomes }
	replicaRestored  struct{ control.ReplicaRestored }
	fleetRestored    struct{ control.FleetRestored }
	streamOpened     struct{ control.StreamOpened }
	streamClosed     struct{ control.StreamClosed }
	demandReported   struct{ control.Demand }
	ackReceived      struct{ control.Ack }
)

// Messages that ask for a command.
type (
	ejectionDue      struct{ replica uint32 }       // placement to pacing
	bindRequested    struct{ control.Bind }         // binding to pacing (first bind) or update (move)
	admissionChanged struct{ control.SetAdmission } // admission to pacing
)

// Messages with what a component has worked out.
type (
	tablesAssigned   struct{ tables []int }   // placement to binding: the table that serves the proxies of each table
	proxyBound       struct{ connectedProxy } // binding to placement
	tickStarted      struct{}
	replicaForgotten struct{ id uint32 } // a replica is long gone
	placementDue     struct{}            // the planner has heard from all replicas
	turnEnding       struct{}            // the turn ends: the pacer sends
	fleetBaseline    struct {            // planner to replica: of its kind, its own goal, of all: missed, lost
		late, good, goal, bad, lost float64
	}
	replicaStatus struct { // replica to planner: what it can bear and what it was met with lately
		control.ListedReplica
		box                                      int
		weight, size, ticket, tries, bad, answer float64
		prior, confidence                        float64 // remembered speed, and how many tries it counts for
		penalty                                  float64 // part of its weight that it lacks as it was sick by memory alone
		able                                     float64 // part of its usual work that it can do, if it is cold
		cold, sick, trial                        bool
	}
	fleetLoad struct { // planner to levels: tries a second, parts missed, of all and of most, answer times
		tries, bad, most, answer, serves, calm float64
	}
	targetTables struct { // planner to sequence: weights, below 0: stays as it is
		lines map[tableEndpoint]float64
		out   map[uint32]bool
	}
	demandSummary struct { // levels to planner: part of the flows that got no answer; flows that came, by proxy
		lost         float64
		flows, fresh map[int]float64 // in the last few seconds; the newest, as of so long
	}
	warmingReplicas struct { // planner to pacer: the replicas that are cold, and whether they must be let in together
		replicas map[uint32]bool
		together bool
	}
	updateStep struct { // update to pacing: what the open step has to send
		additions int // so many of the first commands are additions
		commands  []control.Command
	}
	messagesSent struct { // pacing to update and binding: what a turn has sent
		nonce    uint64            // that the proxies are asked to acknowledge; 0: there are none
		proxies  []int             // that got messages, ascending
		commands []control.Command // of the update's step
	}
	acknowledged struct { // registry to pacer and sequence: somebody applied all up to the mark, or all have, or have left
		mark      uint64
		all, gone bool
	}
	tableEndpoint struct {
		table int
		id    uint32
	}
)

func (replicaListed) message()    {}
func (outcomesReported) message() {}
func (replicaRestored) message()  {}
func (fleetRestored) message()    {}
func (streamOpened) message()     {}
func (streamClosed) message()     {}
func (demandReported) message()   {}
func (ackReceived) message()      {}
func (ejectionDue) message()      {}
func (bindRequested) message()    {}
func (admissionChanged) message() {}
func (tablesAssigned) message()   {}
func (proxyBound) message()       {}
func (tickStarted) message()      {}
func (replicaForgotten) message() {}
func (placementDue) message()     {}
func (turnEnding) message()       {}
func (fleetBaseline) message()    {}
func (replicaStatus) message()    {}
func (fleetLoad) message()        {}
func (targetTables) message()     {}
func (demandSummary) message()    {}
func (warmingReplicas) message()  {}
func (updateStep) message()       {}
func (messagesSent) message()     {}
func (acknowledged) message()     {}
