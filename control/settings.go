package control

// Idempotency states whether a request may be executed more than once.
type Idempotency int

// The degrees of idempotency.
const (
	NotIdempotent   Idempotency = iota
	IdempotentByKey             // replicas drop duplicates within TrafficClass.DeduplicationWindow
	Idempotent
)

// DeduplicationScope is the set of replicas that share their idempotency keys.
type DeduplicationScope int

// The scopes of deduplication.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// AdmissionMode is how proxies apply the admission rates that they are sent.
type AdmissionMode int

// The modes of admission.
const (
	AdmitAll      AdmissionMode = iota // admission rates are ignored: every request is admitted
	AdmitFraction                      // the rate is the admitted fraction of the requests
	AdmitRate                          // the rate is the number of requests a second that each proxy admits
)

// PickPolicy is how a proxy picks an endpoint of its table.
type PickPolicy int

// The pick policies. All of them take the weights of the endpoints into account.
const (
	PickRandom     PickPolicy = iota
	PickRoundRobin            // the endpoints one after another
	PickPowerOfTwo            // of two random endpoints, the one with fewer requests of this proxy in flight
)

// RetryPolicy states when a proxy makes another attempt, at another replica, after a failed one.
type RetryPolicy int

// The retry policies, from the strictest to the most generous.
const (
	NoRetry            RetryPolicy = iota
	RetryIfNotExecuted             // once, after proof that the first attempt was not executed
	RetryOnce                      // once, after any failure
	RetryTwice                     // up to twice, each time after any failure
)

// TrafficClass is a class of requests with a common priority and common limits.
type TrafficClass struct {
	PriorityWeight      float64 // value of a request that succeeds within the latency objective
	LatencyObjective    int64   // nanoseconds
	Timeout             int64   // time after which the client gives up, in nanoseconds
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow int64 // time within which replicas drop duplicates with the same idempotency key, in nanoseconds
}

// Settings are the settings that the decision module is given before its first turn. SettingsChanged replaces them later.
type Settings struct {
	Seed            uint64 // seed of all pseudo-random choices
	Controllers     int
	Zones           int
	HardwareClasses int
	Proxies         int // number of proxies of all controllers together
	Classes         []TrafficClass

	ChannelRate     float64 // cost units a second that the channel to the proxies can send
	ChannelLimit    int     // cost units that may wait in the channel
	MessageOverhead int     // cost units of each message in addition to its content
	MaxTransit      int64   // longest transit time of a message to a proxy, in nanoseconds
	MaxMessages     int     // message cap: largest number of messages to one proxy within MessageWindow; 0: no limit
	MessageWindow   int64   // nanoseconds
	// ControllerQueues states that the controller queues commands for which the channel or the message cap of a proxy has no
	// capacity. It queues them for that proxy alone and sends ejections first. Otherwise the controller sends each command
	// as soon as the decision module returns it.
	ControllerQueues bool
	ReportInterval   int64 // time between load reports, in nanoseconds

	// DrainGrace is the time from the notice that a replica will end until requests to it must have stopped, in nanoseconds;
	// 0: not known.
	DrainGrace        int64
	SlowStartFraction float64 // least fraction of its capacity that a replica has when it starts
	SlowStartTime     int64   // time from its start until a replica has its full capacity, in nanoseconds
	OverloadMultiple  float64 // load at which a replica fails, as a multiple of its capacity

	Pick                 PickPolicy
	Admission            AdmissionMode
	AttemptTimeoutFactor float64 // time limit of an attempt that a retry may follow, as a multiple of the latency objective
	DefaultRetries       RetryPolicy
}
