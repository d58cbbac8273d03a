// Package retry decides when proxies may make another attempt at a request that failed.
//
// Allowed derives the retry policy of a traffic class from the settings: the proxies' default policy, or a stricter one if a
// second execution of the request would have an effect of its own. Requests of an idempotent class may always be retried.
// Requests with an idempotency key may be retried if all replicas share their keys and the deduplication window is
// certainly longer than all attempts take. All other requests are retried only after proof that the first attempt was not
// executed.
//
// Throttle stops all retries while a large fraction of the fleet's attempts fails: each retry is one more attempt at
// replicas whose queues may be full. Full queues hold requests whose clients have given up, and drain only if there are
// fewer attempts.
package retry

import (
	"time"

	"lilacbend/control"
)

// deduplicationMargin is how many times the duration of all attempts of a request must fit into the deduplication window: an
// attempt that has timed out at the proxy may still wait in the replica's queue.
const deduplicationMargin = 2

// Allowed returns the retry policy of a traffic class: the default policy, or a stricter one if the default could execute a
// request twice that is neither idempotent nor deduplicated.
func Allowed(settings *control.Settings, class control.TrafficClass) control.RetryPolicy {
	if class.Idempotency == control.Idempotent || isDeduplicated(settings, class) {
		return settings.DefaultRetries
	}
	return min(settings.DefaultRetries, control.RetryIfNotExecuted)
}

// isDeduplicated reports whether all replicas drop duplicates of a request, for longer than retries of it may arrive. It
// does not check the class's Idempotency: it relies on settings that give a deduplication window and scope only to classes
// with an idempotency key, as package settings does.
func isDeduplicated(settings *control.Settings, class control.TrafficClass) bool {
	if class.DeduplicationScope != control.ScopeAll {
		return false
	}
	retries := float64(settings.DefaultRetries - control.RetryIfNotExecuted)
	minWindow := deduplicationMargin * settings.AttemptTimeoutFactor * float64(class.LatencyObjective) * retries // nanoseconds
	return minWindow < float64(class.DeduplicationWindow)
}

const (
	// maxFailureRate is the failure rate of the fleet's attempts above which retries stop. It is above the failure rate that
	// a few unhealthy replicas cause before they are ejected.
	maxFailureRate = 0.08
	// resumeFailureRate is the failure rate at which retries resume. It is lower than maxFailureRate because resumed
	// retries cause failed attempts as well.
	resumeFailureRate = maxFailureRate / 2
	// MinChangeInterval is the minimum time between two changes of the decision. It is as long as the period over which the
	// failure rate is measured: until then, the rate includes attempts made under the earlier decision.
	MinChangeInterval = 4 * time.Second
	// minRestoreConfidence is the lowest confidence at which the decision of an earlier controller is taken over.
	minRestoreConfidence = 0.5
)

// Throttle stops all retries if more than maxFailureRate of the fleet's attempts fail, and resumes them once the failure
// rate is at most resumeFailureRate. It changes its decision at most once in MinChangeInterval. The zero value allows
// retries.
type Throttle struct {
	stopped    bool
	lastChange time.Duration
}

// Evaluate stops or resumes retries according to failureRate, the fraction of the fleet's attempts that failed, from 0 to 1.
// It reports whether the decision changed.
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

// Restore takes over the decision of an earlier controller, if the confidence in it is high enough. The confidence falls
// with the age of the decision; it is above 0 and at most 1.
func (t *Throttle) Restore(now time.Duration, stopped bool, confidence float64) {
	t.stopped = stopped && confidence >= minRestoreConfidence
	t.lastChange = now
}

// Stopped reports whether retries are stopped.
func (t *Throttle) Stopped() bool { return t.stopped }

// Policy returns the retry policy of a traffic class: no retries while they are stopped, otherwise that of Allowed.
func (t *Throttle) Policy(settings *control.Settings, class control.TrafficClass) control.RetryPolicy {
	if t.stopped {
		return control.NoRetry
	}
	return Allowed(settings, class)
}
