package controller

import (
	"lilacbend/control"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/revision"
	"lilacbend/settings"
)

// Input is one input of a turn. It refers to replicas, zones and classes by the names that the peers use. The set of inputs
// is closed: only types of this package implement the interface.
type Input interface{ input() }

// StreamID identifies one connection of one proxy. The server that accepts connections assigns increasing numbers.
type StreamID uint64

// StreamOpened reports that a proxy has opened a stream.
type StreamOpened struct {
	Stream      StreamID
	Proxy       int
	Zone        string
	RequestRate float64 // a rough forecast of the proxy's requests per second
	// WithoutTable means that the proxy holds no table assigned by a controller, and hence no ejected replicas.
	WithoutTable bool
}

// StreamClosed reports that a stream has been closed.
type StreamClosed struct{ Stream StreamID }

// Ack reports that the proxy of a stream has applied all updates up to the one with the nonce.
type Ack struct {
	Stream StreamID
	Nonce  uint64
	Delay  int64 // the time that the proxy took to apply the update, in nanoseconds
}

// OutcomeReport sums the attempts that the proxies of a zone made at a replica.
type OutcomeReport struct {
	Zone    string
	Replica string
	control.OutcomeReport
}

// Demand sums the requests that arrived at a proxy. Stream is 0 if a collector reports them.
type Demand struct {
	Stream StreamID
	Class  string
	control.DemandReport
}

// ReplicaList is a response of discovery.
type ReplicaList struct {
	Revision        int64
	Complete        bool // replicas that are not in the list are gone
	Members         []Member
	ReadAt          int64 // when the list was read, according to the core's clock
	ReadAtWallClock int64 // when the list was read, according to the wall clock
}

// Member is one replica in a ReplicaList.
type Member struct {
	ID              string
	Zone            string
	HardwareClass   string
	Address         string // not used by the core
	Cell            string // not used by the core
	State           control.State
	StateUnreadable bool // the state could not be read
	Weight          float64
	StartedAt       int64 // when the replica's process started, according to the wall clock; 0 means long ago
}

// MessageSkipped reports that a message arrived on a stream but could not be used as any other input. It shows that the
// proxy is alive.
type MessageSkipped struct{ Stream StreamID }

// MessageSent reports that all bytes of an update have been written. ChargeNumber is the update's number in the
// channel's account.
type MessageSent struct{ ChargeNumber uint64 }

// UpdatesDropped reports that a stream's send queue was full and dropped its updates.
type UpdatesDropped struct{ Stream StreamID }

// SnapshotRestored passes in the state that an earlier controller had learned, restricted to this installation. It precedes
// the first ReplicaList.
type SnapshotRestored struct{ Snapshot *learnedstate.AgedState }

// Configure requests that settings be put in force. The settings have passed the same checks as those of a starting
// controller. NewModule creates modules that use them.
type Configure struct {
	Version   revision.Version
	Names     settings.Names
	Settings  control.Settings
	NewModule func() Module
}

func (StreamOpened) input()     {}
func (StreamClosed) input()     {}
func (Ack) input()              {}
func (OutcomeReport) input()    {}
func (Demand) input()           {}
func (ReplicaList) input()      {}
func (MessageSkipped) input()   {}
func (MessageSent) input()      {}
func (UpdatesDropped) input()   {}
func (SnapshotRestored) input() {}
func (Configure) input()        {}
