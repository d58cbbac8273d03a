package dispatch

// Reason says why a request was rejected or given up. It is an error, to be tested with errors.Is. Its text is part of
// the protocol: clients read it in the answer, and counters are kept by it.
type Reason string

// Error returns the text that clients read.
func (r Reason) Error() string { return string(r) }

// None is the reason of a request that was not given up.
const None Reason = ""

// Reasons for rejecting a request before its first attempt.
const (
	// ErrLoadShed: the admission rate of the class does not allow it.
	ErrLoadShed Reason = "level"
	// ErrTooManyRequests: too many requests are in flight, and too many wait.
	ErrTooManyRequests Reason = "too-many"
	// ErrQueueTimeout: it has waited too long for capacity.
	ErrQueueTimeout Reason = "waiting"
	// ErrNoReplica: the table has no replica that may be picked.
	ErrNoReplica Reason = "no-replica"
	// ErrReplicasAtCapacity: each replica that may be picked has as many requests in flight as it may have.
	ErrReplicasAtCapacity Reason = "full"
	// ErrDraining: the sidecar shuts down.
	ErrDraining Reason = "draining"
)

// Reasons for giving a request up after one or more attempts. ErrNoReplica, ErrReplicasAtCapacity and ErrTimeout occur
// before and after.
const (
	// ErrTimeout: the timeout of its class is over.
	ErrTimeout Reason = "expired"
	// ErrAttemptsFailed: all attempts that the retry policy allows have failed.
	ErrAttemptsFailed Reason = "failed"
	// ErrNoTimeToRetry: a retry could end after the deduplication window.
	ErrNoTimeToRetry Reason = "too-late"
	// ErrRetryBudgetExhausted: the retry budget of the sidecar is spent.
	ErrRetryBudgetExhausted Reason = "repeats-out"
	// ErrMayHaveExecuted: it may have been executed, and must not be executed twice.
	ErrMayHaveExecuted Reason = "unclear"
	// ErrClientGone: the client waits no longer.
	ErrClientGone Reason = "client-gone"
)
