package controller

import (
	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// TurnResult is what a turn asks for.
type TurnResult struct {
	Updates      []OutgoingUpdate
	CloseStreams []StreamID // refused, or replaced by newer streams of the same proxies
	NextTurn     int64      // when the next turn is due at the latest, if above 0
	Logs         []string
	Panic        string // what the module panicked with, and where
	// Snapshot is what the module has learned, now and then. It must not be changed; Controller and Taken are for the caller
	// to fill.
	Snapshot *learnedstate.State
	// Configured says what became of the settings that came with this turn.
	Configured []ConfigurationResult
}

// OutgoingUpdate is an update, the stream it is for, and its number in the channel's account.
type OutgoingUpdate struct {
	Stream StreamID
	Update Update
	Number uint64
}

// Update is one message to one proxy. A full one replaces the table and all admissions.
type Update struct {
	Full       bool
	Resync     bool               // the complete state, as earlier updates were lost
	Endpoints  []WeightedEndpoint // shared between updates: not to be changed
	Ejected    []string
	Unejected  []string
	Admissions []Admission
	WantsAck   bool
	Nonce      uint64
}

// WeightedEndpoint is a replica in the table of a proxy. Weight 0 removes it.
type WeightedEndpoint struct {
	Replica string
	Weight  float64
}

// Admission is which fraction of a traffic class a proxy admits, and when it retries.
type Admission struct {
	Class    string
	Fraction float64
	Retries  control.RetryPolicy
}

// cost returns the cost units of an update in the channel, beside the overhead of the message.
func (u Update) cost() int {
	units := len(u.Endpoints) + len(u.Ejected) + len(u.Unejected) + len(u.Admissions)
	if u.Full {
		units++
	}
	if u.WantsAck {
		units++
	}
	return units
}

// Counters count what the core has done since its start, unless stated otherwise.
type Counters struct {
	Turns int64

	// Inputs taken in.
	StreamsOpened  int64
	StreamsClosed  int64
	Acks           int64
	OutcomeReports int64
	DemandReports  int64
	ReplicaLists   int64
	Invalid        int64 // inputs and commands that cannot be used, as they are malformed or name what is unknown
	Stale          int64 // inputs of streams that have ended, and acks that nothing waits for

	// Streams.
	ProxiesSilent   int64 // reported to the module as disconnected, as an ack was missing for too long
	StreamsReplaced int64 // by another stream of the same proxy

	// Updates sent.
	Updates         int64
	CostRequested   int64 // cost units of the module's commands, for all streams that they reach
	CostSent        int64 // cost units of the updates
	AckRequests     int64 // of the module
	OwnAckRequests  int64 // of the core itself, as acks were missing
	FullTables      int64 // updates that replace the table
	StreamsEnqueued int64 // times that a stream's changes were held back for lack of capacity

	// Module and settings.
	ModuleRestarts        int64 // after a panic
	RestartsWithoutState  int64 // those of them that left the learned state out
	ReplicasRestored      int64 // replicas of which something had been learned before
	ConfigurationsApplied int64
	ConfigurationsRefused int64

	// Now, not sums.
	KnownReplicas    int64
	ConnectedProxies int64
	ChannelCost      int64 // cost units charged to the channel
	PendingStreams   int64 // queue entries of streams with pending changes
}
