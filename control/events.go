package control

// State is the state of a replica in the list.
type State int

// The states of a replica.
const (
	Ready State = iota
	Draining
	Gone
)

// Event is anything that a governor is told.
type Event interface{}

type (
	// Entry is one replica of the list.
	Entry struct {
		Replica uint32
		Zone    int
		Kind    int
		State   State
		Weight  float64
		Start   int64 // 0: long ago
	}
	// ReplicasListed brings the list, whole or as changes. With Failed it brings nothing.
	ReplicasListed struct {
		Full    bool
		Failed  bool
		Entries []Entry
	}
	// StreamOpened: a proxy has a stream to this governor now, and is bound to no table.
	StreamOpened struct {
		Proxy int
		Zone  int
		Rate  float64 // requests a second that it expects, roughly
	}
	// StreamClosed: the stream of a proxy has ended.
	StreamClosed struct{ Proxy int }
	// Outcomes sums the attempts of a zone's proxies at a replica.
	Outcomes struct {
		Replica      uint32
		Zone         int
		Attempts     int
		Failures     int     // attempts without a good answer
		ResponseTime int64   // mean, of the good answers
		Period       int64   // in which the attempts were made
		InFlight     float64 // requests at the replica, below 0 when not known
	}
	// Demand sums the requests of a traffic class that came to a proxy.
	Demand struct {
		Proxy    int
		Class    int
		Requests int
		Failures int
		Period   int64 // in which they came
	}
	// Ack: the proxy has applied everything up to the nonce.
	Ack struct {
		Proxy int
		Nonce uint64
		Delay int64 // what the proxy took to apply it
	}
	// ProbeFinished ends a Probe.
	ProbeFinished struct {
		Replica   uint32
		Succeeded bool
		Delay     int64
	}
	// TimerFired ends a SetTimer.
	TimerFired struct{ Timer uint64 }
	// SettingsChanged: the settings have changed, and with them the numbers of traffic classes, kinds and zones. All that was
	// learned, laid out and bound stays. Events after this one use the new numbers.
	SettingsChanged struct {
		Settings
		NewClasses []int          // the new number of each traffic class, below 0: there is none any more
		NewKinds   []int          // likewise of each kind
		Replicas   []Entry        // all that are listed, by the new numbers
		Proxies    []StreamOpened // all that have a stream, by the new numbers
	}
	// SnapshotRequested asks for a Snapshot among this turn's commands.
	SnapshotRequested struct{}
	// ReplicaRestored tells what an earlier governor had learned of a replica that was listed just now, and that has not
	// started since.
	ReplicaRestored struct {
		LearnedReplica
		Weight float64 // what is left of it by its age, above 0 to 1
		Age    int64   // of its last sample
	}
	// FleetRestored tells what an earlier governor had learned of the fleet as a whole. It comes before the first list.
	FleetRestored struct {
		LearnedFleet
		Weight float64 // as for ReplicaRestored
	}
)
