package control

// Effect says whether a request may be executed more than once.
type Effect int

// The effects of requests.
const (
	NonRetriable Effect = iota
	Deduplicated        // replicas drop a repeat for a while
	Retriable
)

// Scope names the replicas that know of each other's deduplicated requests.
type Scope int

// The scopes of deduplication.
const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Admission says how proxies follow admission rates.
type Admission int

// The ways in which proxies admit requests.
const (
	AdmitAll   Admission = iota // admission rates are not followed
	AdmitShare                  // the rate is the part of the requests that is admitted
	AdmitRate                   // the rate is in requests a second, at each proxy
)

// Pick is how a proxy picks an endpoint of its table.
type Pick int

// The ways of picking, all of them by weight.
const (
	PickRandom     Pick = iota
	PickRoundRobin      // in turn
	PickLessLoaded      // of two drawn, the one with fewer requests of this proxy in flight
)

// RetryPolicy says when a proxy tries another replica after a failure.
type RetryPolicy int

// The retry policies.
const (
	NoRetry            RetryPolicy = iota
	RetryIfNotExecuted             // once, after proof that the first attempt was not executed
	RetryOnce                      // after any failure
	RetryTwice                     // after any failure
)

// TrafficClass is one kind of request.
type TrafficClass struct {
	Utility             float64 // of a request that succeeds within its latency budget
	LatencyBudget       int64
	Timeout             int64 // the client gives up after it
	Effect              Effect
	Scope               Scope // of deduplication
	DeduplicationWindow int64 // how long a repeat of a deduplicated request is dropped
}

// Settings are what a governor is told before its first turn.
type Settings struct {
	Seed      uint64
	Governors int
	Zones     int
	Kinds     int
	Proxies   int // over all governors
	Classes   []TrafficClass

	ChannelRate   float64 // lines a second when all is well
	ChannelLimit  int     // lines that may wait
	MessageHead   int     // lines that each message costs beside its own
	MaxTransit    int64   // of a message to a proxy
	MaxMessages   int     // to one proxy within MessageWindow; 0 is no limit
	MessageWindow int64
	// HostQueues: what the channel or a proxy's cap has no room for is queued by the host, for that proxy alone, and
	// ejections go first. Else each command goes out as it is given.
	HostQueues     bool
	ReportInterval int64

	DrainGrace       int64   // after the news of its end nobody may send to a replica any more; 0: not known
	SlowStartShare   float64 // least part of its capacity a replica starts with
	SlowStartTime    int64   // until it has all of its capacity
	OverloadMultiple float64 // of what it can do, at which a replica falls over

	Pick                 Pick
	Admission            Admission
	AttemptTimeoutFactor float64 // latency budgets that an attempt waits where a further one may follow
	DefaultRetries       RetryPolicy
}
