package policy

import (
	"lilacbend/control"
	"lilacbend/policy/admission"
	"lilacbend/policy/binding"
	"lilacbend/policy/outlier"
	"lilacbend/policy/pacing"
	"lilacbend/policy/update"
)

// message is a message from one component to another. The comment of each message type names its sender and its receivers; a
// component panics if it receives a message type that it does not handle.
type message interface{ message() }

// Messages by which the turn passes an event on to the components that handle it.
type (
	replicaListed    struct{ control.ListedReplica }   // to the replica
	outcomesReported struct{ control.Outcomes }        // to the replica
	replicaRestored  struct{ control.ReplicaRestored } // to the replica and placement
	fleetRestored    struct{ control.FleetRestored }   // to binding, placement and admission
	streamOpened     struct{ control.StreamOpened }    // to binding and pacing
	streamClosed     struct{ control.StreamClosed }    // to binding, placement and pacing
	demandReported   struct{ control.Demand }          // to admission
	ackReceived      struct{ control.Ack }             // to binding
)

// Messages by which the turn starts a phase or evicts a replica.
type (
	tickStarted    struct{}                 // to placement and update: the tick interval has passed
	placementDue   struct{}                 // to placement: all replicas have reported their status
	turnEnding     struct{}                 // to pacing: the commands that the budget allows are sent now
	replicaEvicted struct{ replica uint32 } // to placement, update and pacing: in state Gone for longer than evictAfter
)

// Messages that request a command.
type (
	replicaExcluded  struct{ replica uint32 }       // placement to pacing: newly excluded, to be ejected at the proxies
	bindRequested    struct{ control.Bind }         // binding to pacing (first bind) or update (move)
	admissionChanged struct{ control.SetAdmission } // admission to pacing
)

// Messages that carry a result of a component.
type (
	tablesAssigned    struct{ servingTables []int } // placement to binding: the table that serves the proxies of each table
	proxyBound        struct{ proxy binding.Proxy } // binding to placement: a proxy with a table, at each change of it
	replicaEvaluation struct {                      // placement to replica
		health       outlier.Fleet // what its health is compared with
		weightGoal   float64       // relative to its listed weight
		lostFraction float64       // see slowstart.Recovery
	}
	replicaStatus struct { // replica to placement
		control.ListedReplica
		queue            int     // of the replica
		weight           float64 // of its endpoints, by its estimated speed
		capacity         float64 // as weight, but by the weight goal, which the estimated speed follows over time
		placementKey     float64
		window           outlier.Window
		rememberedSpeed  float64 // restored from an earlier controller
		confidence       float64 // number of attempts that rememberedSpeed counts for
		penalty          float64 // fraction that its weight is reduced by while it is on probation because of learned state
		capacityFraction float64 // fraction of its usual capacity that it certainly has while it warms up
		warmingUp        bool
		heldBack         bool // gets no requests for now because it is warming up
		ejected          bool // by outlier detection
		onProbation      bool // after an ejection by this controller, not by learned state
	}
	fleetLoad       admission.Load    // placement to admission
	targetTables    update.Target     // placement to update
	demandSummary   admission.Summary // admission to placement
	warmingReplicas pacing.Warming    // placement to pacing
	updateStep      pacing.Step       // update to pacing
)

// Reports of sent messages and of acks.
type (
	messagesSent struct { // pacing to update and binding: the messages of one turn
		nonce    uint64            // that the proxies are asked to acknowledge; 0: no proxy was sent a message
		proxies  []int             // that were sent messages, in ascending order
		commands []control.Command // those of the update's step
	}
	acknowledged struct { // binding to pacing and update
		nonce        uint64
		complete     bool // no ack of the nonce is outstanding; false: one proxy has acknowledged it
		disconnected bool // complete because the proxies whose acks were outstanding have disconnected
	}
)

func (replicaListed) message()     {}
func (outcomesReported) message()  {}
func (replicaRestored) message()   {}
func (fleetRestored) message()     {}
func (streamOpened) message()      {}
func (streamClosed) message()      {}
func (demandReported) message()    {}
func (ackReceived) message()       {}
func (replicaExcluded) message()   {}
func (bindRequested) message()     {}
func (admissionChanged) message()  {}
func (tablesAssigned) message()    {}
func (proxyBound) message()        {}
func (tickStarted) message()       {}
func (replicaEvicted) message()    {}
func (placementDue) message()      {}
func (turnEnding) message()        {}
func (replicaEvaluation) message() {}
func (replicaStatus) message()     {}
func (fleetLoad) message()         {}
func (targetTables) message()      {}
func (demandSummary) message()     {}
func (warmingReplicas) message()   {}
func (updateStep) message()        {}
func (messagesSent) message()      {}
func (acknowledged) message()      {}
