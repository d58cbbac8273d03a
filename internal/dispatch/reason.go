package dispatch

// Reason is why a request was rejected or has failed. It is an error, to be tested with errors.Is. Its text is part of the
// protocol: clients read it in the response, and counters use it as a key.
type Reason string

// Error returns the text that clients read.
func (r Reason) Error() string { return string(r) }

// None is the absence of a reason: the request has neither been rejected nor failed.
const None Reason = ""

// Reasons for rejecting a request before its first attempt.
const (
	// ErrLoadShed: the admission setting of the class does not allow the request.
	ErrLoadShed Reason = "level"
	// ErrTooManyRequests: the limit of requests in flight is reached, and the queue is full.
	ErrTooManyRequests Reason = "too-many"
	// ErrQueueTimeout: the request has waited too long for capacity.
	ErrQueueTimeout Reason = "waiting"
	// ErrNoReplica: the table has no replica that may be picked.
	ErrNoReplica Reason = "no-replica"
	// ErrReplicasAtCapacity: each replica that may be picked has reached its limit of requests in flight.
	ErrReplicasAtCapacity Reason = "full"
	// ErrDraining: the sidecar is shutting down.
	ErrDraining Reason = "draining"
)

// Reasons for giving up on a request after one or more attempts. ErrNoReplica, ErrReplicasAtCapacity, ErrTimeout
// and ErrClientGone occur both before and after the first attempt.
const (
	// ErrTimeout: the timeout of the request's class has expired.
	ErrTimeout Reason = "expired"
	// ErrAttemptsFailed: all attempts that the retry policy allows have failed.
	ErrAttemptsFailed Reason = "failed"
	// ErrNoTimeToRetry: a retry could end after the deduplication window.
	ErrNoTimeToRetry Reason = "too-late"
	// ErrRetryBudgetExhausted: the retry budget of the sidecar is spent.
	ErrRetryBudgetExhausted Reason = "repeats-out"
	// ErrMayHaveExecuted: the request may have been executed, and must not be executed twice.
	ErrMayHaveExecuted Reason = "unclear"
	// ErrClientGone: the client no longer waits for the response.
	ErrClientGone Reason = "client-gone"
)
