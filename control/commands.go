package control

// AllTables as the table of a SetAdmission addresses every proxy with a stream.
const AllTables = 65535

// Command is anything that the decision module asks its controller to do. The set of commands is closed: only types of this
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

// BindSubset binds a proxy to a table of which it gets only some replicas for now. A Bind to the same table adds the rest.
// It is for controllers that queue messages (Settings.HostQueues).
type BindSubset struct {
	Proxy    int
	Table    int
	Replicas []uint32
	// Unejected is how many of the first replicas are unejected at the proxy, if it may hold that they are ejected.
	Unejected int
}

// SetEjected ejects a replica from all tables, or unejects it.
type SetEjected struct {
	Replica uint32
	Ejected bool
}

// SetAdmission sets how much of a traffic class is admitted, and when its requests are retried.
type SetAdmission struct {
	Table    int
	Class    int
	Fraction float64 // a fraction or a rate, as Settings.Admission says
	Retries  RetryPolicy
}

// RequestAck asks the proxies that this turn's commands reach for an Ack with the nonce.
type RequestAck struct{ Nonce uint64 }

// HealthCheck asks one replica for its health. Not used by package policy.
type HealthCheck struct{ Replica uint32 }

// SetTimer asks for a TimerFired after a duration.
type SetTimer struct {
	Timer uint64
	After int64 // nanoseconds
}

// Log writes one line for on-call engineers.
type Log struct{ Text string }

// Snapshot answers SnapshotRequested with all learned state that is of use after a restart.
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
