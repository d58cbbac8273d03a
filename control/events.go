package control

// State is the state of a replica in the endpoint list.
type State int

// The states of a replica.
const (
	Ready State = iota
	Draining
	Gone
)

// Event is anything that a controller reports to the decision module. The set of events is closed: only types of this
// package implement it.
type Event interface{ event() }

// ListedReplica is one replica of the endpoint list.
type ListedReplica struct {
	Replica       uint32
	Zone          int
	HardwareClass int
	State         State
	Weight        float64 // relative capacity as listed
	Start         int64   // when its process started, in nanoseconds; 0: long ago
}

// ReplicasListed brings the endpoint list, complete or as changes. With Failed it brings nothing.
type ReplicasListed struct {
	Full    bool
	Failed  bool
	Entries []ListedReplica
}

// StreamOpened reports that a proxy has a stream to this controller now, and is bound to no table.
type StreamOpened struct {
	Proxy int
	Zone  int
	Rate  float64 // a rough forecast of its requests a second
}

// StreamClosed reports that the stream of a proxy has ended.
type StreamClosed struct{ Proxy int }

// Outcomes sums the attempts of a zone's proxies at a replica.
type Outcomes struct {
	Replica      uint32
	Zone         int // not used by package policy
	Attempts     int
	Failures     int     // attempts without a successful response
	ResponseTime int64   // mean of the successful responses, in nanoseconds
	Period       int64   // in which the attempts were made, in nanoseconds; not used by package policy
	InFlight     float64 // requests at the replica; below 0: not known; not used by package policy
}

// Demand sums the requests of a traffic class that arrived at a proxy.
type Demand struct {
	Proxy    int
	Class    int
	Requests int
	Failures int
	Period   int64 // in which they arrived, in nanoseconds
}

// Ack reports that the proxy has applied everything up to the nonce.
type Ack struct {
	Proxy int
	Nonce uint64
	Delay int64 // what the proxy took to apply it, in nanoseconds; not used by package policy
}

// HealthCheckFinished ends a HealthCheck. Not used by package policy.
type HealthCheckFinished struct {
	Replica   uint32
	Succeeded bool
	Delay     int64 // nanoseconds
}

// TimerFired ends a SetTimer.
type TimerFired struct{ Timer uint64 }

// SettingsChanged reports that the settings have changed, and with them the numbers of traffic classes, hardware classes and
// zones. Learned state, tables and bindings are kept. Events after this one use the new numbers.
type SettingsChanged struct {
	Settings
	NewClasses         []int           // the new number of each traffic class; below 0: it no longer exists
	NewHardwareClasses []int           // likewise of each hardware class
	Replicas           []ListedReplica // all that are listed, by the new numbers
	Proxies            []StreamOpened  // all that have a stream, by the new numbers
}

// SnapshotRequested asks for a Snapshot among this turn's commands.
type SnapshotRequested struct{}

// ReplicaRestored brings what an earlier controller had learned of a replica that is listed now and has not started since.
type ReplicaRestored struct {
	LearnedReplica
	Weight float64 // confidence left by its age, above 0 up to 1
	Age    int64   // of its last sample, in nanoseconds
}

// FleetRestored brings what an earlier controller had learned of the fleet as a whole. It precedes the first list.
type FleetRestored struct {
	LearnedFleet
	Weight float64 // as for ReplicaRestored
}

func (ReplicasListed) event()      {}
func (StreamOpened) event()        {}
func (StreamClosed) event()        {}
func (Outcomes) event()            {}
func (Demand) event()              {}
func (Ack) event()                 {}
func (HealthCheckFinished) event() {}
func (TimerFired) event()          {}
func (SettingsChanged) event()     {}
func (SnapshotRequested) event()   {}
func (ReplicaRestored) event()     {}
func (FleetRestored) event()       {}
