package control

// AllTables as the table of SetAdmission reaches every proxy with a stream.
const AllTables = 65535

// Command is anything that a governor asks for.
type Command interface{}

type (
	// SetEndpoint sets the weight of a replica in a table; weight 0 removes it.
	SetEndpoint struct {
		Table   int
		Replica uint32
		Weight  float64
	}
	// Bind binds a proxy to a table, for all traffic classes.
	Bind struct {
		Proxy int
		Table int
	}
	// BindPart binds a proxy to a table, of which it gets only some replicas for now. A Bind to the same table adds the rest.
	// It is for hosts that queue messages (Settings.HostQueues).
	BindPart struct {
		Proxy    int
		Table    int
		Replicas []uint32
		Restored int // how many of the first replicas are restored at the proxy, if it may hold that they are ejected
	}
	// SetEjected ejects a replica from all tables, or restores it.
	SetEjected struct {
		Replica uint32
		Ejected bool
	}
	// SetAdmission sets how much of a traffic class is admitted, and when its requests are retried.
	SetAdmission struct {
		Table   int
		Class   int
		Share   float64 // a share or a rate, as Settings.Admission says
		Retries RetryPolicy
	}
	// RequestAck asks the proxies that this turn's commands reach for an Ack with the nonce.
	RequestAck struct{ Nonce uint64 }
	// Probe asks one replica how it is.
	Probe struct{ Replica uint32 }
	// SetTimer asks for a TimerFired after a time.
	SetTimer struct {
		Timer uint64
		After int64
	}
	// Log writes one line for those on call.
	Log struct{ Text string }
	// Snapshot answers SnapshotRequested: all that is worth having after a restart.
	Snapshot struct {
		Replicas []LearnedReplica
		LearnedFleet
	}
)
