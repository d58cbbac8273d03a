package policy

import (
	"lilacbend/control"
	"lilacbend/policy/admission"
	"lilacbend/policy/binding"
	"lilacbend/policy/outlier"
	"lilacbend/policy/pacing"
	"lilacbend/policy/update"
)

// message is what one component sends to another. The comment of each message names its sender and its receivers; a component
// panics on a message that is not for it.
type message interface{ message() }

// Messages that carry an event from the turn to the components that it concerns.
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
	turnEnding     struct{}                 // to pacing: send what the budget allows
	replicaEvicted struct{ replica uint32 } // to placement, update and pacing: it has been gone for evictAfter
)

// Messages that ask for a command.
type (
	replicaExcluded  struct{ replica uint32 }       // placement to pacing: newly, so it is to be ejected at the proxies
	bindRequested    struct{ control.Bind }         // binding to pacing (first bind) or update (move)
	admissionChanged struct{ control.SetAdmission } // admission to pacing
)

// Messages with what a component has worked out.
type (
	tablesAssigned    struct{ tables []int }        // placement to binding: the table that serves the proxies of each table
	proxyBound        struct{ proxy binding.Proxy } // binding to placement: a proxy that has a table
	replicaEvaluation struct {                      // placement to replica
		health       outlier.Fleet
		weightGoal   float64 // against its listed weight
		lostFraction float64 // see slowstart.Recovery
	}
	replicaStatus struct { // replica to placement
		control.ListedReplica
		queue            int
		weight           float64 // of its endpoints, as fast as it is taken to be
		capacity         float64 // the same by its weight goal, which weight follows
		placementKey     float64
		window           outlier.Window
		rememberedSpeed  float64
		confidence       float64 // number of attempts that rememberedSpeed counts for
		penalty          float64 // fraction of its weight that it lacks while learned state has it on probation
		capacityFraction float64 // that it surely has while it warms up
		warmingUp        bool
		heldBack         bool // gets no requests as it is warming up
		ejected          bool // by outlier detection
		onProbation      bool // after an ejection by this controller
	}
	fleetLoad       admission.Load    // placement to admission
	targetTables    update.Target     // placement to update
	demandSummary   admission.Summary // admission to placement
	warmingReplicas pacing.Warming    // placement to pacing
	updateStep      pacing.Step       // update to pacing
)

// Reports of what was sent and acknowledged.
type (
	messagesSent struct { // pacing to update and binding: what a turn has sent
		nonce    uint64            // that the proxies are asked to acknowledge; 0: there are none
		proxies  []int             // that got messages, ascending
		commands []control.Command // of the update's step
	}
	acknowledged struct { // binding to pacing and update
		nonce        uint64
		complete     bool // nobody owes an acknowledgement of the nonce any more; else one proxy has acknowledged it
		disconnected bool // the last proxies that owed it have disconnected
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
