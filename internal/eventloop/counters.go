package eventloop

import "sync/atomic"

// Counters holds a controller's counters of peers, messages, discovery calls, dropped inputs and reloads.
type Counters struct {
	// Connections of peers.
	ConnectionsAccepted atomic.Int64
	ConnectionsRefused  atomic.Int64
	ConnectionsEvicted  atomic.Int64 // connections closed to accept another one
	ConnectionsEnded    atomic.Int64
	InvalidJoins        atomic.Int64 // connections closed, as the first message was not a valid join
	JoinTimeouts        atomic.Int64 // connections closed, as no join arrived in time

	// Messages received from peers.
	MessagesSkipped   atomic.Int64 // complete messages that cannot be used
	MalformedMessages atomic.Int64 // connections closed, as the start of the next message is unknown
	PeersHeldBack     atomic.Int64 // connections that were read more slowly, as they sent too many messages
	Panics            atomic.Int64 // recovered in the goroutine of a connection

	// Messages sent to peers.
	UpdatesSent        atomic.Int64 // updates whose writing has begun
	UpdateBytes        atomic.Int64
	SendQueueOverflows atomic.Int64 // how often a full send queue has dropped its updates
	WriteErrors        atomic.Int64
	HealthChecks       atomic.Int64 // health checks answered

	// Calls of service discovery.
	DiscoveryCalls    atomic.Int64
	DiscoveryAnswers  atomic.Int64
	DiscoveryDials    atomic.Int64
	DiscoveryErrors   atomic.Int64
	InvalidLists      atomic.Int64
	DiscoveryTimeouts atomic.Int64

	InputsDropped atomic.Int64 // inputs dropped because the queue of inputs was full

	// Reloads of the configuration file.
	ReloadsApplied atomic.Int64 // reloads applied
	ReloadsFailed  atomic.Int64 // reloads rejected, as the file could not be used
}
