package control

// AllTables is the table of a SetAdmission that addresses every proxy with a stream.
const AllTables = 65535

// Command is an instruction from the decision module to its controller. The set of commands is closed: only types of this
// package implement it.
type Command interface{ command() }

// SetEndpoint sets the weight of a replica in a table. Weight 0 removes it.
type SetEndpoint struct {
	Table   int
	Replica uint32
	Weight  float64
}

// Bind binds a proxy to a table, for all traffic classes.
type Bind struct {
	Proxy int
	Table int
}

// BindSubset binds a proxy to a table but sends it only some of the table's replicas for now. A later Bind to the same table
// adds the rest. It is used only for controllers that queue messages (Settings.ControllerQueues).
type BindSubset struct {
	Proxy    int
	Table    int
	Replicas []uint32
	// UnejectedCount is the number of replicas, from the start of Replicas, that are unejected at the proxy if the proxy may
	// still have them as ejected.
	UnejectedCount int
}

// SetEjected ejects a replica from all tables, or unejects it.
type SetEjected struct {
	Replica uint32
	Ejected bool
}

// SetAdmission sets how many requests of a traffic class are admitted, and when they are retried.
type SetAdmission struct {
	Table    int
	Class    int
	Fraction float64 // admitted fraction of the requests, or admitted requests a second, depending on Settings.Admission
	Retries  RetryPolicy
}

// RequestAck requests an Ack with the nonce from the proxies that this turn's commands are sent to.
type RequestAck struct{ Nonce uint64 }

// HealthCheck requests a health check of one replica. Not used by package policy.
type HealthCheck struct{ Replica uint32 }

// SetTimer requests a TimerFired after a duration.
type SetTimer struct {
	Timer uint64
	After int64 // nanoseconds
}

// Log writes one line for on-call engineers.
type Log struct{ Text string }

// Snapshot answers SnapshotRequested with all learned state that can be restored after a restart.
type Snapshot struct {
	Replicas []LearnedReplica
	LearnedFleet
}

func (SetEndpoint) command()  {}
func (Bind) command()         {}
func (BindSubset) command()   {}
func (SetEjected) command()   {}
func (SetAdmission) command() {}
func (RequestAck) command()   {}
func (HealthCheck) command()  {}
func (SetTimer) command()     {}
func (Log) command()          {}
func (Snapshot) command()     {}
