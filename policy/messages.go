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
	outcomesReported struct{ control.OutcomeReport }   // to the replica
	replicaRestored  struct{ control.ReplicaRestored } // to the replica and placement
	fleetRestored    struct{ control.FleetRestored }   // to binding, placement and admission
	streamOpened     struct{ control.StreamOpened }    // to binding and pacing
	streamClosed     struct{ control.StreamClosed }    // to binding, placement and pacing
	demandReported   struct{ control.DemandReport }    // to admission
	ackReceived      struct{ control.Ack }             // to binding
)

// Messages by which the turn starts a phase or evicts a replica.
type (
	tickStarted    struct{}                 // to placement and update: the tick interval has passed
	placementDue   struct{}                 // to placement: all replicas have reported their status
	turnEnding     struct{}                 // to pacing: the commands that the budget allows are sent now
	replicaEvicted struct{ replica uint32 } // to placement, update and pacing: replica in state Gone longer than evictAfter
)

// Messages that request a command.
type (
	replicaExcluded  struct{ replica uint32 }       // from placement to pacing: newly excluded replica to eject at the proxies
	bindRequested    struct{ control.Bind }         // from binding to pacing (first bind) or update (move)
	admissionChanged struct{ control.SetAdmission } // from admission to pacing
)

// Messages that carry a result of a component.
type (
	tablesAssigned    struct{ servingTables []int } // from placement to binding: by table, the table that serves its proxies
	proxyBound        struct{ proxy binding.Proxy } // from binding to placement: a proxy whose table or zone was set
	replicaEvaluation struct {                      // from placement to the replica
		health       outlier.Fleet // values that the replica's health is compared with
		weightGoal   float64       // goal of the replica's weight, relative to its listed weight
		lostFraction float64       // see slowstart.Recovery.LostFraction
	}
	replicaStatus struct { // from the replica to placement
		control.ListedReplica
		queue            int     // index of the replica's queue
		weight           float64 // weight of the replica's endpoints, according to its estimated speed
		capacity         float64 // weight that its endpoints have once its estimated speed has reached the weight goal
		placementKey     float64
		window           outlier.Window
		learnedSpeed     float64 // speed that was restored from an earlier controller
		confidence       float64 // weight of learnedSpeed, as a number of attempts
		penalty          float64 // fraction by which its weight is reduced while it is on probation because of learned state
		capacityFraction float64 // fraction of its usual capacity that it certainly has while it warms up
		warmingUp        bool
		heldBack         bool // the replica gets no requests for now because it is warming up
		ejected          bool // outlier detection has ejected the replica
		onProbation      bool // the replica is on probation after an ejection by this controller, not from learned state
	}
	fleetLoad       admission.Load    // from placement to admission
	targetTables    update.Target     // from placement to update
	demandSummary   admission.Summary // from admission to placement
	warmingReplicas pacing.Warming    // from placement to pacing
	updateStep      pacing.Step       // from update to pacing
)

// Reports of sent messages and of acks.
type (
	messagesSent struct { // from pacing to update and binding: the messages of one turn
		nonce    uint64            // nonce that the proxies are asked to acknowledge; 0: no proxy was sent a message
		proxies  []int             // proxies that were sent messages, in ascending order
		commands []control.Command // sent commands of the update's step
	}
	acknowledged struct { // from binding to pacing and update
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
