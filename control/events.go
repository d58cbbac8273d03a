package control

// State is the state of a replica in the endpoint list.
type State int

// The states of a replica.
const (
	Ready    State = iota
	Draining       // the replica is about to end and must get no new requests
	Gone           // the replica has ended or is no longer listed
)

// Event is a report from a controller to its decision module. The set of events is closed: only types of this package
// implement it.
type Event interface{ event() }

// ListedReplica is the entry of one replica in the endpoint list.
type ListedReplica struct {
	Replica       uint32
	Zone          int
	HardwareClass int
	State         State
	Weight        float64 // listed capacity relative to other replicas
	StartedAt     int64   // when the process of the replica started, in nanoseconds; 0: long ago
}

// ReplicasListed reports the endpoint list: all entries if Full is set, otherwise those that have changed. If Failed is set,
// the list could not be read and there are no entries.
type ReplicasListed struct {
	Full    bool
	Failed  bool
	Entries []ListedReplica
}

// StreamOpened reports that a proxy has opened a stream to this controller. The proxy is not bound to a table yet.
type StreamOpened struct {
	Proxy        int
	Zone         int
	ForecastRate float64 // rough forecast of the requests a second that arrive at the proxy
}

// StreamClosed reports that the stream of a proxy has ended.
type StreamClosed struct{ Proxy int }

// OutcomeReport is a load report that sums the attempts of all proxies of a zone at one replica.
type OutcomeReport struct {
	Replica      uint32
	Zone         int // not used by package policy
	Attempts     int
	Failures     int     // attempts without a successful response
	ResponseTime int64   // mean over the successful responses, in nanoseconds
	Period       int64   // length of the period of the attempts, in nanoseconds; not used by package policy
	InFlight     float64 // requests in flight at the replica; below 0: not known; not used by package policy
}

// DemandReport reports the requests of a traffic class that arrived at one proxy.
type DemandReport struct {
	Proxy    int
	Class    int
	Requests int
	Failures int
	Period   int64 // length of the period in which the requests arrived, in nanoseconds
}

// Ack reports that a proxy has applied all commands up to the nonce.
type Ack struct {
	Proxy     int
	Nonce     uint64
	ApplyTime int64 // time that the proxy took to apply the commands, in nanoseconds; not used by package policy
}

// HealthCheckFinished reports the result of a HealthCheck. Not used by package policy.
type HealthCheckFinished struct {
	Replica   uint32
	Succeeded bool
	Delay     int64 // nanoseconds
}

// TimerFired reports that the duration of a SetTimer has passed.
type TimerFired struct{ Timer uint64 }

// SettingsChanged reports changed settings. The numbers that identify traffic classes, hardware classes and zones may have
// changed with them: later events use the new numbers. Learned state, tables and bindings are kept.
type SettingsChanged struct {
	Settings
	ClassNumbers         []int           // the new number of each traffic class; below 0: the class no longer exists
	HardwareClassNumbers []int           // the new number of each hardware class; below 0: the class no longer exists
	Replicas             []ListedReplica // all listed replicas, with the new numbers of their zones and hardware classes
	Proxies              []StreamOpened  // all proxies with a stream, with the new numbers of their zones
}

// SnapshotRequested requests a Snapshot among this turn's commands.
type SnapshotRequested struct{}

// ReplicaRestored provides the state that an earlier controller had learned of a replica. The replica is listed now and has
// not been restarted since.
type ReplicaRestored struct {
	LearnedReplica
	Confidence float64 // confidence in the state, lower the older the state is: above 0, up to 1
	Age        int64   // age of the last sample of the replica's speed, in nanoseconds
}

// FleetRestored provides the state that an earlier controller had learned of the fleet as a whole. It precedes the first
// ReplicasListed.
type FleetRestored struct {
	LearnedFleet
	Confidence float64 // confidence in the state, as in ReplicaRestored
}

func (ReplicasListed) event()      {}
func (StreamOpened) event()        {}
func (StreamClosed) event()        {}
func (OutcomeReport) event()       {}
func (DemandReport) event()        {}
func (Ack) event()                 {}
func (HealthCheckFinished) event() {}
func (TimerFired) event()          {}
func (SettingsChanged) event()     {}
func (SnapshotRequested) event()   {}
func (ReplicaRestored) event()     {}
func (FleetRestored) event()       {}
