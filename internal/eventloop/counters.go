package eventloop

import "sync/atomic"

// Counters count what passes a controller's connections.
type Counters struct {
	// Connections of peers.
	Accepted          atomic.Int64
	Refused           atomic.Int64
	Evicted           atomic.Int64 // to make room for others
	Ended             atomic.Int64
	UnidentifiedPeers atomic.Int64 // closed, as their first message was no valid join
	JoinTimeouts      atomic.Int64 // closed, as they have not said in time who they are

	// Messages of peers.
	Skipped   atomic.Int64 // complete messages that cannot be used
	Malformed atomic.Int64 // connections closed, as it is not known where the next message begins
	Panics    atomic.Int64

	// Messages to peers.
	UpdatesSent   atomic.Int64 // updates whose writing has begun
	UpdateBytes   atomic.Int64
	QueuesDropped atomic.Int64 // times that a send queue was full and has dropped its updates
	WriteErrors   atomic.Int64
	HealthChecks  atomic.Int64 // replied to

	// Discovery.
	DiscoveryCalls   atomic.Int64
	DiscoveryAnswers atomic.Int64
	Dials            atomic.Int64
	DiscoveryErrors  atomic.Int64
	InvalidLists     atomic.Int64
	Timeouts         atomic.Int64

	InputsDropped atomic.Int64 // as the queue of inputs was full

	// The configuration file.
	Reloads       atomic.Int64 // put in force
	ReloadsFailed atomic.Int64 // not usable
}
