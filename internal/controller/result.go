package controller

import (
	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// TurnResult is the result of a turn: the actions that the caller has to carry out.
type TurnResult struct {
	Updates      []OutgoingUpdate
	CloseStreams []StreamID // refused streams, and streams replaced by newer ones of the same proxies
	NextTurn     int64      // the latest time at which the next turn is due; 0 if none is due before the next input
	LogLines     []string
	PanicMessage string // the message and the stack of the module's panic
	// Snapshot is the learned state. It is set only in turns in which the module returned a snapshot. It must not be
	// modified, except that the caller fills in Controller and Taken.
	Snapshot *learnedstate.State
	// ConfigurationResults holds the results of the Configure inputs of this turn.
	ConfigurationResults []ConfigurationResult
}

// OutgoingUpdate is an update with the stream to send it on and its number in the channel's account.
type OutgoingUpdate struct {
	Stream       StreamID
	Update       Update
	ChargeNumber uint64
}

// Update is one message to one proxy. A full update replaces the table and all admissions.
type Update struct {
	FullTable  bool
	Resync     bool               // the update restores the complete state because earlier updates were lost
	Endpoints  []WeightedEndpoint // shared between updates: must not be modified
	Ejected    []string
	Unejected  []string
	Admissions []Admission
	WantsAck   bool
	Nonce      uint64
}

// WeightedEndpoint is a replica in the table of a proxy. Weight 0 removes the replica.
type WeightedEndpoint struct {
	Replica string
	Weight  float64
}

// Admission states which fraction of a traffic class a proxy admits and when it retries.
type Admission struct {
	Class    string
	Fraction float64
	Retries  control.RetryPolicy
}

// cost returns the cost units of an update in the channel, without the overhead of the message.
func (u Update) cost() int {
	units := len(u.Endpoints) + len(u.Ejected) + len(u.Unejected) + len(u.Admissions)
	if u.FullTable {
		units++
	}
	if u.WantsAck {
		units++
	}
	return units
}

// Counters are the counters of a core since its start, unless stated otherwise.
type Counters struct {
	Turns int64

	// Inputs processed.
	StreamsOpened  int64
	StreamsClosed  int64
	Acks           int64
	OutcomeReports int64
	DemandReports  int64
	ReplicaLists   int64
	InvalidInputs  int64 // inputs and commands that are malformed or refer to unknown names or numbers
	StaleInputs    int64 // inputs of closed streams; acks that match no message, come too late or have an impossible delay

	// Streams.
	ProxiesUnresponsive int64 // proxies reported to the module as disconnected because their ack was overdue
	StreamsReplaced     int64 // streams closed in favor of another stream of the same proxy

	// Updates sent.
	Updates         int64
	CostRequested   int64 // cost units of the module's commands, for all streams that they affect
	CostSent        int64 // cost units of the updates sent
	AckRequests     int64 // ack requests of the module
	CoreAckRequests int64 // ack requests of the core for missing acks
	FullTables      int64 // updates that replace the table
	StreamsEnqueued int64 // times that a stream's changes were held back for lack of capacity

	// Module and settings.
	ModuleRestarts              int64 // module restarts after a panic
	RestartsWithoutLearnedState int64 // times that the learned state was discarded because new modules panicked as well
	ReplicasRestored            int64 // replicas whose learned state was restored
	ConfigurationsApplied       int64
	ConfigurationsRefused       int64

	// Current values, not sums.
	KnownReplicas    int64
	ConnectedProxies int64
	ChannelCost      int64 // cost units charged to the channel
	PendingStreams   int64 // entries of both queues of streams with pending changes
}
