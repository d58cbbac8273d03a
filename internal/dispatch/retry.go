package dispatch

import (
	"slices"

	"lilacbend/control"
)

// retryScope restricts a retry to the replicas that recognize a duplicate of the first attempt that may have been
// executed. The zero value allows all replicas.
type retryScope struct {
	restricted bool
	scope      control.DeduplicationScope
	zone       string
	cell       string
}

// contains reports whether a retry may go to an endpoint.
func (s retryScope) contains(endpoint Endpoint) bool {
	if !s.restricted || s.scope == control.ScopeAll {
		return true
	}
	if s.scope == control.ScopeZone {
		return endpoint.Zone == s.zone
	}
	return endpoint.Zone == s.zone && endpoint.Cell == s.cell
}

// retry starts another attempt after a failed one, or gives up on the request.
func (d *Dispatcher) retry(now int64, r *Request, outcome Outcome) Step {
	if now >= d.deadline(r) {
		return d.fail(r, ErrTimeout)
	}
	if !d.mayRetry(r, outcome) {
		return d.fail(r, d.reasonNotToRetry(r, outcome))
	}
	scope, inTime := d.retryScope(now, r)
	if !inTime {
		return d.fail(r, ErrNoTimeToRetry)
	}
	replica, reason := d.choose(now, r, scope)
	if reason != None {
		return d.fail(r, reason)
	}
	if !d.spendRetryToken() {
		return d.fail(r, ErrRetryBudgetExhausted)
	}
	d.Counters.Retries++
	return d.startAttempt(now, r, replica)
}

// mayRetry reports whether retry policy, idempotency and body allow a retry if the last attempt ends with the given
// outcome. Deduplication window, retry budget and timeout are checked when the retry starts.
func (d *Dispatcher) mayRetry(r *Request, outcome Outcome) bool {
	return d.policyAllowsRetry(r, outcome) && d.isSafeToRetry(r, outcome) && canResend(r, outcome)
}

// policyAllowsRetry reports whether the retry policy allows another attempt.
func (d *Dispatcher) policyAllowsRetry(r *Request, outcome Outcome) bool {
	switch d.retryPolicy(r.class) {
	case control.RetryIfNotExecuted:
		return outcome == NotExecuted && len(r.attempts) <= 1
	case control.RetryOnce:
		return len(r.attempts) <= 1
	case control.RetryTwice:
		return len(r.attempts) <= 2
	default:
		return false
	}
}

// isSafeToRetry reports whether a second execution does no harm, or the request was not executed at all. A request that is
// not idempotent is retried only if it was certainly not executed, whatever the retry policy.
func (d *Dispatcher) isSafeToRetry(r *Request, outcome Outcome) bool {
	return outcome == NotExecuted || d.config.Classes[r.class].Idempotency != control.NotIdempotent
}

// canResend reports whether the body of a request can be sent again, or has not been read yet.
func canResend(r *Request, outcome Outcome) bool {
	return r.replayable || outcome == NotExecuted && !r.bodyConsumed
}

// retryPolicy returns the retry policy that a controller has set for a class, or the default.
func (d *Dispatcher) retryPolicy(class int) control.RetryPolicy {
	t := &d.tables[class]
	if t.hasSettings {
		return t.settings.Retry
	}
	return d.config.DefaultRetry
}

// reasonNotToRetry returns the reason with which a request fails that may not be retried.
func (d *Dispatcher) reasonNotToRetry(r *Request, outcome Outcome) Reason {
	if outcome != NotExecuted && d.config.Classes[r.class].Idempotency != control.Idempotent {
		return ErrMayHaveExecuted
	}
	return ErrAttemptsFailed
}

// retryScope returns which replicas a retry may go to, and whether the retry would end in time. A request with an
// idempotency key is retried only at replicas that recognize the key from the first attempt that may have been executed,
// and the whole retry has to fit into the deduplication window, counted from the start of that attempt.
func (d *Dispatcher) retryScope(now int64, r *Request) (scope retryScope, inTime bool) {
	class := d.config.Classes[r.class]
	k := slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.notExecuted })
	if class.Idempotency != control.IdempotentByKey || k < 0 {
		return retryScope{}, true
	}
	firstExecuted := r.attempts[k]
	latestEnd := min(d.deadline(r), now+d.attemptTimeout(r.class))
	if latestEnd-firstExecuted.startedAt >= class.DeduplicationWindow {
		return retryScope{}, false
	}
	return retryScope{restricted: true, scope: class.DeduplicationScope, zone: firstExecuted.zone, cell: firstExecuted.cell}, true
}

// attemptTimeout returns the timeout, in nanoseconds, of an attempt that may be retried.
func (d *Dispatcher) attemptTimeout(class int) int64 {
	return int64(d.config.AttemptTimeoutFactor * float64(d.config.Classes[class].LatencyObjective))
}

// earnRetryTokens adds RetryBudgetRatio to the retry budget for one admitted request.
func (d *Dispatcher) earnRetryTokens() {
	d.retryTokens = min(d.config.RetryBudgetBurst, d.retryTokens+d.config.RetryBudgetRatio)
}

// spendRetryToken takes one retry from the retry budget, and reports whether the budget allowed one.
func (d *Dispatcher) spendRetryToken() bool {
	if d.retryTokens < 1 {
		return false
	}
	d.retryTokens--
	return true
}
