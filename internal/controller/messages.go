package controller

import (
	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// This file holds what comes in and what goes out, with names as the peers write them.

// StreamID is one connection of one proxy, numbered by whoever took it in.
type StreamID uint64

// Inputs of a turn.
type (
	// StreamOpened: a proxy has joined by this stream; Blank: it holds no assigned table.
	StreamOpened struct {
		Stream       StreamID
		Proxy        int
		Zone         string
		Rate         float64
		WithoutTable bool
	}
	// StreamClosed: the stream has ended.
	StreamClosed struct{ Stream StreamID }
	// Ack: the proxy of the stream has applied all up to the nonce.
	Ack struct {
		Stream StreamID
		Nonce  uint64
		Delay  int64
	}
	// Outcomes sums the attempts of a zone's proxies at a replica.
	Outcomes struct {
		Zone, Replica string
		control.Outcomes
	}
	// Demand sums the requests that came to a proxy; Stream is 0 when a collector told it.
	Demand struct {
		Stream StreamID
		Class  string
		control.Demand
	}
	// ReplicaList is an answer of discovery, read at a time that both clocks showed as At and Wall.
	ReplicaList struct {
		Revision           int64
		Complete           bool
		Members            []Member
		ReadAt, ReadAtWall int64
	}
	// Member is one replica of a list.
	Member struct {
		ID, Zone, HardwareClass string
		Address, Cell           string // not for the core
		State                   control.State
		Unusable                bool // its state could not be read
		Weight                  float64
		UpSince                 int64 // by the wall clock; 0: long ago
	}
	// StreamActive: something came on the stream that could not be used.
	StreamActive struct{ Stream StreamID }
	// MessageSent: all of the message of so many has gone out on the stream.
	MessageSent struct{ Number uint64 }
	// OutboxDrained: a stream's outbox was full, and has been emptied.
	OutboxDrained struct{ Stream StreamID }
)

// Update is one message to one proxy. A full one replaces the table and all admissions.
type Update struct {
	Full       bool
	Resync     bool               // the whole state, as earlier updates were lost
	Endpoints  []WeightedEndpoint // shared between updates: not to be changed
	Ejected    []string
	Restored   []string
	Admissions []Admission
	WantsAck   bool
	Nonce      uint64
}

// WeightedEndpoint is a replica in the table of a proxy. Weight 0 removes it.
type WeightedEndpoint struct {
	Replica string
	Weight  float64
}

// Admission is how much of a traffic class a proxy admits, and when it retries.
type Admission struct {
	Class    string
	Fraction float64
	Retries  control.RetryPolicy
}

// OutgoingUpdate is an update, the stream it is for, and its number in the channel's account.
type OutgoingUpdate struct {
	Stream StreamID
	Update Update
	Number uint64
}

// TurnResult is what a turn asks for.
type TurnResult struct {
	Updates      []OutgoingUpdate
	CloseStreams []StreamID // replaced by newer streams of the same proxies
	NextTurn     int64      // when the next turn is due at the latest, if above 0
	Logs         []string
	Panic        string // the module panicked: what it said
	// What the module has learned, now and then. Not to be changed; Governor and Taken are for the caller to fill.
	Snapshot *learnedstate.State
	// What became of the settings that came with this turn.
	Configured []ConfigurationResult
}

// Counters is what the core has counted so far.
type Counters struct {
	Turns, StreamsOpened, StreamsClosed, Acks, OutcomeReports, DemandReports, ReplicaLists          int64 // taken in
	Updates, CostRequested, CostSent, AckRequests, FullTables                                       int64 // sent; FullTables: as bindings or once more
	Invalid, Stale, ProxiesSilent, StreamsReplaced, ModuleRestarts, KnownReplicas, ConnectedProxies int64
	ReplicasRestored                                                                                int64 // replicas of which something was remembered
	OwnAckRequests                                                                                  int64 // nonces of the core's own, as answers were missing
	StreamsEnqueued                                                                                 int64 // messages that waited for room in the channel or under a proxy's cap
	ChannelCost, PendingStreams                                                                     int64 // now: lines charged to the channel, streams with pending changes
	ConfigurationsApplied, ConfigurationsRefused                                                    int64 // put in force, not
	RestartsWithoutState                                                                            int64 // modules started once more, without what was learned
}
