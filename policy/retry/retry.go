// Package retry decides when proxies may make another attempt at a request that failed.
//
// Which retries a traffic class allows (Allowed) follows from the settings: a proxy's default policy, or less where a second
// execution of the request would have an effect of its own. Requests of an idempotent class may be retried always. Those with
// an idempotency key may be retried if all replicas know each other's keys and the deduplication window is certainly longer
// than all attempts take. All others are retried only after proof that the first attempt was not executed.
//
// Throttle stops all retries while a large fraction of the fleet's attempts fails: each retry is one more attempt at replicas
// whose queues may be full, and full queues, which hold requests of clients that have left, drain only if attempts get fewer.
package retry

import (
	"time"

	"lilacbend/control"
)

// deduplicationMargin is how many times all attempts of a request must fit into the deduplication window: an attempt that has
// timed out at the proxy may still wait in the replica's queue.
const deduplicationMargin = 2

// Allowed returns the retries of a traffic class that cannot execute a request twice.
func Allowed(settings *control.Settings, class control.TrafficClass) control.RetryPolicy {
	if class.Idempotency == control.Idempotent || isDeduplicated(settings, class) {
		return settings.DefaultRetries
	}
	return min(settings.DefaultRetries, control.RetryIfNotExecuted)
}

// isDeduplicated reports whether a duplicate is dropped at whichever replica, for longer than retries may come. It does not look
// at the class's Idempotency: it relies on settings that give a deduplication window and scope only to classes with an idempotency
// key, as package settings does.
func isDeduplicated(settings *control.Settings, class control.TrafficClass) bool {
	if class.DeduplicationScope != control.ScopeAll {
		return false
	}
	retries := float64(settings.DefaultRetries - control.RetryIfNotExecuted)
	lastRetry := deduplicationMargin * settings.AttemptTimeoutFactor * float64(class.LatencyObjective) * retries // nanoseconds
	return lastRetry < float64(class.DeduplicationWindow)
}

const (
	// maxFailureRate is the fraction of the fleet's attempts that fail above which retries stop. It is above what a few
	// unhealthy replicas cause before they are ejected.
	maxFailureRate = 0.08
	// resumeFailureRate is the fraction at which retries resume. It is lower, as the retries that resume make attempts fail as well.
	resumeFailureRate = maxFailureRate / 2
	// MinChangeInterval is the time between two changes, as long as the period over which the failure rate is counted: before
	// that, it still counts attempts made under the earlier decision.
	MinChangeInterval = 4 * time.Second
	// minRestoreConfidence is the confidence in a restored decision from which it is taken over.
	minRestoreConfidence = 0.5
)

// Throttle stops all retries while more than maxFailureRate of the fleet's attempts fail, and lets them resume at
// resumeFailureRate. It changes its decision at most once in MinChangeInterval. The zero value allows retries.
type Throttle struct {
	stopped    bool
	lastChange time.Duration
}

// Evaluate decides by the fraction of the fleet's attempts that failed, from 0 to 1. It reports whether the decision changed.
func (t *Throttle) Evaluate(now time.Duration, failureRate float64) (changed bool) {
	limit := maxFailureRate
	if t.stopped {
		limit = resumeFailureRate
	}
	stop := failureRate > limit
	if stop == t.stopped || now-t.lastChange <= MinChangeInterval {
		return false
	}
	t.stopped = stop
	t.lastChange = now
	return true
}

// Restore takes over the decision of an earlier controller, with the confidence in it that its age has left, above 0 up to 1.
func (t *Throttle) Restore(now time.Duration, stopped bool, confidence float64) {
	t.stopped = stopped && confidence >= minRestoreConfidence
	t.lastChange = now
}

// Stopped reports whether retries are stopped.
func (t *Throttle) Stopped() bool { return t.stopped }

// Policy returns the retries of a traffic class: none while they are stopped, else those that the class allows.
func (t *Throttle) Policy(settings *control.Settings, class control.TrafficClass) control.RetryPolicy {
	if t.stopped {
		return control.NoRetry
	}
	return Allowed(settings, class)
}
