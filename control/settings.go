package control

// Idempotency says whether a request may be executed more than once.
type Idempotency int

// The degrees of idempotency.
const (
	NotIdempotent   Idempotency = iota
	IdempotentByKey             // replicas drop a duplicate within TrafficClass.DeduplicationWindow
	Idempotent
)

// DeduplicationScope names the replicas that know each other's idempotency keys.
type DeduplicationScope int

// The scopes of deduplication.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// AdmissionMode says how proxies follow admission rates.
type AdmissionMode int

// The modes of admission.
const (
	AdmitAll      AdmissionMode = iota // admission rates are not followed
	AdmitFraction                      // the rate is the fraction of the requests that is admitted
	AdmitRate                          // the rate is in requests a second, at each proxy
)

// PickPolicy is how a proxy picks an endpoint of its table.
type PickPolicy int

// The pick policies, all of them by weight.
const (
	PickRandom     PickPolicy = iota
	PickRoundRobin            // one after another
	PickPowerOfTwo            // of two random endpoints, the one with fewer requests of this proxy in flight
)

// RetryPolicy says when a proxy makes another attempt at another replica after a failure.
type RetryPolicy int

// The retry policies, from the strictest to the most generous.
const (
	NoRetry            RetryPolicy = iota
	RetryIfNotExecuted             // once, after proof that the first attempt was not executed
	RetryOnce                      // after any failure
	RetryTwice                     // after any failure
)

// TrafficClass is one kind of request.
type TrafficClass struct {
	PriorityWeight      float64 // of a request that succeeds within its latency objective
	LatencyObjective    int64   // nanoseconds
	Timeout             int64   // after which the client gives up, in nanoseconds
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow int64 // how long a duplicate with the same idempotency key is dropped, in nanoseconds
}

// Settings are what the decision module is given before its first turn.
type Settings struct {
	Seed            uint64 // of all random choices
	Controllers     int
	Zones           int
	HardwareClasses int
	Proxies         int // of all controllers together
	Classes         []TrafficClass

	ChannelRate     float64 // cost units a second that the channel to the proxies sends
	ChannelLimit    int     // cost units that may wait in the channel
	MessageOverhead int     // cost units of each message besides its content
	MaxTransit      int64   // of a message to a proxy, in nanoseconds
	MaxMessages     int     // to one proxy within MessageWindow; 0: no limit
	MessageWindow   int64   // nanoseconds
	// HostQueues says that the controller queues what the channel or a proxy's message cap has no capacity for, for that
	// proxy alone and ejections first. Otherwise each command is sent as it is given.
	HostQueues     bool
	ReportInterval int64 // between load reports, in nanoseconds

	DrainGrace        int64   // after the notice of a replica's end, when requests to it must have stopped, in nanoseconds; 0: not known
	SlowStartFraction float64 // least fraction of its capacity that a replica starts with
	SlowStartTime     int64   // until a replica has its full capacity, in nanoseconds
	OverloadMultiple  float64 // of its capacity, at which a replica fails

	Pick                 PickPolicy
	Admission            AdmissionMode
	AttemptTimeoutFactor float64 // latency objectives that an attempt may take where a retry may follow
	DefaultRetries       RetryPolicy
}
