package retry

import (
	"testing"
	"time"

	"lilacbend/control"
)

func TestAllowedNeverExecutesARequestTwice(t *testing.T) {
	settings := &control.Settings{DefaultRetries: control.RetryTwice, AttemptTimeoutFactor: 1}
	for _, c := range []struct {
		name  string
		class control.TrafficClass
		want  control.RetryPolicy
	}{
		{"idempotent", control.TrafficClass{Idempotency: control.Idempotent}, control.RetryTwice},
		{"not idempotent", control.TrafficClass{Idempotency: control.NotIdempotent}, control.RetryIfNotExecuted},
		{"deduplicated within a cell", control.TrafficClass{Idempotency: control.IdempotentByKey, DeduplicationWindow: 1e12},
			control.RetryIfNotExecuted},
		{"deduplicated within a zone", control.TrafficClass{Idempotency: control.IdempotentByKey, DeduplicationScope: control.ScopeZone,
			DeduplicationWindow: 1e12}, control.RetryIfNotExecuted},
		{"deduplicated by all replicas, longer than all attempts", control.TrafficClass{Idempotency: control.IdempotentByKey,
			DeduplicationScope: control.ScopeAll, DeduplicationWindow: 5e9}, control.RetryTwice},
		{"deduplicated by all replicas, as long as all attempts", control.TrafficClass{Idempotency: control.IdempotentByKey,
			DeduplicationScope: control.ScopeAll, DeduplicationWindow: 4e9}, control.RetryIfNotExecuted},
		{"deduplicated by all replicas, no window", control.TrafficClass{Idempotency: control.IdempotentByKey,
			DeduplicationScope: control.ScopeAll}, control.RetryIfNotExecuted},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.class.LatencyObjective = int64(time.Second)
			if got := Allowed(settings, c.class); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestAllowedIsNeverMoreThanTheDefault(t *testing.T) {
	for _, defaultPolicy := range []control.RetryPolicy{control.NoRetry, control.RetryIfNotExecuted, control.RetryOnce} {
		settings := &control.Settings{DefaultRetries: defaultPolicy, AttemptTimeoutFactor: 1}
		for _, idempotency := range []control.Idempotency{control.NotIdempotent, control.IdempotentByKey, control.Idempotent} {
			if got := Allowed(settings, control.TrafficClass{Idempotency: idempotency}); got > defaultPolicy {
				t.Errorf("default %v, idempotency %v: got %v, want at most the default", defaultPolicy, idempotency, got)
			}
		}
	}
}

func TestThrottleStopsAndResumes(t *testing.T) {
	type step struct {
		now         time.Duration
		failureRate float64
		stopped     bool
	}
	const start = 100 * time.Second
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"failure rate at the limit", []step{{start, 0.08, false}}},
		{"failure rate above the limit", []step{{start, 0.09, true}}},
		{"stays stopped between the two limits", []step{{start, 0.09, true}, {start + 10*time.Second, 0.05, true}}},
		{"resumes at the resume limit", []step{{start, 0.09, true}, {start + 10*time.Second, 0.04, false}}},
		{"stays stopped for MinChangeInterval", []step{{start, 0.09, true}, {start + MinChangeInterval, 0, true},
			{start + MinChangeInterval + 1, 0, false}}},
		{"does not stop again within MinChangeInterval", []step{{start, 0.09, true}, {start + 5*time.Second, 0, false},
			{start + 6*time.Second, 0.5, false}, {start + 10*time.Second, 0.5, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var throttle Throttle
			for k, s := range c.steps {
				before := throttle.Stopped()
				changed := throttle.Evaluate(s.now, s.failureRate)
				if throttle.Stopped() != s.stopped || changed != (before != s.stopped) {
					t.Errorf("step %d: stopped %v, changed %v, want stopped %v", k, throttle.Stopped(), changed, s.stopped)
				}
			}
		})
	}
}

func TestRestoreTakesOverDecisionOfSufficientConfidence(t *testing.T) {
	for _, c := range []struct {
		name       string
		stopped    bool
		confidence float64
		want       bool
	}{
		{"stopped, full confidence", true, 1, true},
		{"stopped, confidence at the limit", true, 0.5, true},
		{"stopped, confidence below the limit", true, 0.49, false},
		{"not stopped", false, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var throttle Throttle
			throttle.Restore(time.Minute, c.stopped, c.confidence)
			if throttle.Stopped() != c.want {
				t.Errorf("stopped %v, want %v", throttle.Stopped(), c.want)
			}
			if throttle.Evaluate(time.Minute+MinChangeInterval, 0) || throttle.Stopped() != c.want {
				t.Error("decision changed within MinChangeInterval after Restore")
			}
		})
	}
}

func TestPolicyWhileStoppedIsNoRetry(t *testing.T) {
	settings := &control.Settings{DefaultRetries: control.RetryTwice}
	class := control.TrafficClass{Idempotency: control.Idempotent}
	var throttle Throttle
	if got := throttle.Policy(settings, class); got != control.RetryTwice {
		t.Errorf("before the stop: got %v, want %v", got, control.RetryTwice)
	}
	throttle.Evaluate(time.Minute, 1)
	if got := throttle.Policy(settings, class); got != control.NoRetry {
		t.Errorf("while stopped: got %v, want %v", got, control.NoRetry)
	}
}
