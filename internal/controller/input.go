package controller

import (
	"lilacbend/control"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/revision"
	"lilacbend/settings"
)

// Input is one thing that a turn takes in. Names in it are as the peers write them. The set of inputs is closed: only types
// of this package implement it.
type Input interface{ input() }

// StreamID numbers one connection of one proxy. Whoever accepts connections numbers them upwards.
type StreamID uint64

// StreamOpened reports that a proxy has connected by a stream.
type StreamOpened struct {
	Stream StreamID
	Proxy  int
	Zone   string
	Rate   float64 // a rough forecast of its requests a second
	// WithoutTable says that the proxy holds no table that a controller has assigned, and so ejects nobody.
	WithoutTable bool
}

// StreamClosed reports that a stream has ended.
type StreamClosed struct{ Stream StreamID }

// Ack reports that the proxy of a stream has applied everything up to the nonce.
type Ack struct {
	Stream StreamID
	Nonce  uint64
	Delay  int64 // what the proxy took to apply it, in nanoseconds
}

// Outcomes sums the attempts of a zone's proxies at a replica.
type Outcomes struct {
	Zone    string
	Replica string
	control.Outcomes
}

// Demand sums the requests that arrived at a proxy. Stream is 0 if a collector reports it.
type Demand struct {
	Stream StreamID
	Class  string
	control.Demand
}

// ReplicaList is an answer of discovery.
type ReplicaList struct {
	Revision   int64
	Complete   bool // a replica that it does not name is gone
	Members    []Member
	ReadAt     int64 // when it was read, by the core's clock
	ReadAtWall int64 // the same moment by the wall clock
}

// Member is one replica of a list.
type Member struct {
	ID            string
	Zone          string
	HardwareClass string
	Address       string // not for the core
	Cell          string // not for the core
	State         control.State
	Unusable      bool // its state could not be read
	Weight        float64
	UpSince       int64 // when its process started, by the wall clock; 0: long ago
}

// StreamActive reports that something arrived on a stream that could not be used.
type StreamActive struct{ Stream StreamID }

// MessageSent reports that all bytes of an update have been written, by its number in the channel's account.
type MessageSent struct{ Number uint64 }

// UpdatesDropped reports that a stream's send queue was full and has dropped its updates.
type UpdatesDropped struct{ Stream StreamID }

// SnapshotRestored brings what an earlier controller had learned, fitted to this installation. It precedes the first list.
type SnapshotRestored struct{ Snapshot *learnedstate.AgedState }

// Configure brings settings to put in force. They have passed the checks of a controller's start; Start creates modules by
// them.
type Configure struct {
	Version  revision.Version
	Names    settings.Names
	Settings control.Settings
	Start    func() Module
}

func (StreamOpened) input()     {}
func (StreamClosed) input()     {}
func (Ack) input()              {}
func (Outcomes) input()         {}
func (Demand) input()           {}
func (ReplicaList) input()      {}
func (StreamActive) input()     {}
func (MessageSent) input()      {}
func (UpdatesDropped) input()   {}
func (SnapshotRestored) input() {}
func (Configure) input()        {}
