package outlier

import (
	"math"
	"testing"
	"time"
)

const reportInterval = time.Second

// healthyFleet has no failures; its replicas have 20 successes in EvaluationPeriod and count as slow from a mean response
// time of 0.4 s.
var healthyFleet = Fleet{PeerSuccesses: 20, SlowResponseTime: 0.4}

func detectorWithReport(now time.Duration, attempts, failures int, responseTime time.Duration) *Detector {
	d := &Detector{}
	d.Observe(now, attempts, failures, responseTime)
	return d
}

func TestEvaluateHealthyReplica(t *testing.T) {
	for _, c := range []struct {
		name               string
		attempts, failures int
		responseTime       time.Duration
		fleetFailureRate   float64
		ejected            bool
	}{
		{"no responses: ejected", 10, 10, 0, 0, true},
		{"fails quickly: ejected", 20, 17, 100 * time.Millisecond, 0, true},
		{"slow responses: not ejected, as its weight falls", 20, 17, 900 * time.Millisecond, 0, false},
		{"60% of attempts fail, 40% of its peers' successes: not ejected", 20, 12, 100 * time.Millisecond, 0, false},
		{"overloaded, as many successes as its peers: not ejected", 60, 40, 300 * time.Millisecond, 0, false},
		{"failure rate not much higher than the fleet's: not ejected", 9, 6, 200 * time.Millisecond, 0.35, false},
		{"the whole fleet fails: not ejected", 500, 500, 0, 0.9, false},
		{"fleet failure rate at the limit: ejected", 20, 20, 0, 0.4, true},
		{"fleet failure rate above the limit: not ejected", 20, 20, 0, 0.41, false},
		{"attempts below the minimum: not evaluated", 4, 4, 0, 0, false},
		{"attempts at the minimum: ejected", 5, 5, 0, 0, true},
		{"failure rate at the limit: not ejected", 20, 10, 100 * time.Millisecond, 0, false},
		{"successes at the limit: not ejected", 20, 16, 100 * time.Millisecond, 0, false},
		{"response time at the limit: slow, not ejected", 20, 17, 400 * time.Millisecond, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := 100 * time.Second
			d := detectorWithReport(now, c.attempts, c.failures, c.responseTime)
			fleet := healthyFleet
			fleet.FailureRate = c.fleetFailureRate
			change := d.Evaluate(now, fleet, reportInterval)
			if d.Ejected() != c.ejected || change.Occurred() != c.ejected {
				t.Errorf("ejected %v, change %q, want %v", d.Ejected(), change, c.ejected)
			}
			if d.Ejected() && d.RemainingEjection(now) != ejectionTime {
				t.Errorf("ejected for %v, want %v", d.RemainingEjection(now), ejectionTime)
			}
		})
	}
}

func TestProbationEndsHealthyOrInLongerEjection(t *testing.T) {
	now := 100 * time.Second
	d := detectorWithReport(now, 10, 10, 0)
	d.Evaluate(now, healthyFleet, reportInterval)
	firstEjectionTime := d.RemainingEjection(now)
	now += firstEjectionTime
	d.Evaluate(now, healthyFleet, reportInterval)
	if !d.OnProbation() || d.Ejected() || d.probationSince != now+reportInterval {
		t.Fatalf("after the ejection: probation since %v, ejected %v", d.probationSince, d.Ejected())
	}
	now += 2 * time.Second
	d.Observe(now, minProbationAttempts, minProbationAttempts, 0)
	d.Evaluate(now, healthyFleet, reportInterval)
	if d.RemainingEjection(now) != 2*firstEjectionTime || d.OnProbation() || d.Ejections() != 2 {
		t.Errorf("after failures on probation: ejected for %v, want %v; ejections %d", d.RemainingEjection(now), 2*firstEjectionTime, d.Ejections())
	}
	now += d.RemainingEjection(now)
	d.Evaluate(now, healthyFleet, reportInterval)
	now += 2 * time.Second
	d.Observe(now, minProbationAttempts, 0, 200*time.Millisecond)
	d.Evaluate(now, healthyFleet, reportInterval)
	if d.OnProbation() || d.Ejected() {
		t.Errorf("after successes on probation: probation %v, ejected %v", d.OnProbation(), d.Ejected())
	}
	if d.Ejections() != 2 {
		t.Errorf("after the probation: %d ejections, want 2", d.Ejections())
	}
}

func TestEjectionTimeDoublesUpToMaximum(t *testing.T) {
	for ejections, want := range []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second, 12 * time.Second} {
		now := 100 * time.Second
		d := detectorWithReport(now, 10, 10, 0)
		d.ejections = ejections
		d.Evaluate(now, healthyFleet, reportInterval)
		if got := d.RemainingEjection(now); got != want {
			t.Errorf("after %d ejections: ejected for %v, want %v", ejections, got, want)
		}
	}
}

func TestEvaluateOnProbation(t *testing.T) {
	for _, c := range []struct {
		name               string
		attempts, failures int
		fleet              Fleet
		want               state
	}{
		{"attempts below the minimum: stays on probation", 2, 2, healthyFleet, unchanged},
		{"high failure rate, as many successes as its peers: ejected", 60, 40, healthyFleet, ejected},
		{"high failure rate and slow responses: ejected", 3, 3, Fleet{PeerSuccesses: 20}, ejected},
		{"failure rate at the limit: healthy", 10, 5, healthyFleet, healthy},
		{"the whole fleet fails: stays on probation", 10, 10, Fleet{FailureRate: 0.9}, unchanged},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := 100 * time.Second
			d := detectorWithReport(now, c.attempts, c.failures, 300*time.Millisecond)
			d.probationSince = now - time.Second
			if got := d.Evaluate(now, c.fleet, reportInterval); got.to != c.want {
				t.Errorf("got change %q", got)
			}
		})
	}
}

func TestLateReportsDoNotDecideProbation(t *testing.T) {
	now := 100 * time.Second
	d := &Detector{ejectedUntil: now, ejections: 1}
	d.Evaluate(now, healthyFleet, reportInterval)
	d.Observe(now+reportInterval, 10, 10, 0)
	if change := d.Evaluate(now+reportInterval, healthyFleet, reportInterval); change.Occurred() {
		t.Errorf("report received at the start of the probation: change %q, want none", change)
	}
	d.Observe(now+reportInterval+1, 10, 10, 0)
	if change := d.Evaluate(now+reportInterval+1, healthyFleet, reportInterval); change.to != ejected {
		t.Errorf("report received after the start of the probation: change %q, want an ejection", change)
	}
}

func TestExpiredReportsAreNotEvaluated(t *testing.T) {
	now := 100 * time.Second
	d := detectorWithReport(now, 10, 10, 0)
	now += 4 * time.Second
	if d.Evaluate(now, healthyFleet, reportInterval); d.Ejected() {
		t.Error("ejected because of a load report as old as EvaluationPeriod")
	}
}

func TestRestoredEjectionReducesWeightByConfidence(t *testing.T) {
	now := 100 * time.Second
	for _, c := range []struct {
		name      string
		restored  Restored
		ejections int
		weight    float64
		probation bool
	}{
		{"healthy", Restored{Ejections: 2, Confidence: 1}, 2, 1, false},
		{"ejected, confidence 1", Restored{Ejected: true, Ejections: 1, Confidence: 1}, 1, RestoredWeightFraction, true},
		{"ejected, confidence 0.5", Restored{Ejected: true, Ejections: 2, Confidence: 0.5}, 1, math.Sqrt(RestoredWeightFraction), true},
		{"ejected, confidence 0.1", Restored{Ejected: true, Ejections: 2, Confidence: 0.1}, 0, math.Pow(RestoredWeightFraction, 0.1), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &Detector{}
			change := d.Restore(now, c.restored)
			if d.Ejections() != c.ejections || d.OnProbation() != c.probation || d.Ejected() {
				t.Errorf("ejections %d, probation %v, ejected %v", d.Ejections(), d.OnProbation(), d.Ejected())
			}
			if math.Abs(1-d.Penalty()-c.weight) > 1e-12 {
				t.Errorf("penalty %v, want %v", d.Penalty(), 1-c.weight)
			}
			if change.Occurred() != c.probation {
				t.Errorf("change %q", change)
			}
		})
	}
}

func TestRestoredProbationIsEvaluatedWhileFleetFails(t *testing.T) {
	now := 100 * time.Second
	failing := Fleet{FailureRate: 0.9, PeerSuccesses: 20, SlowResponseTime: 0.4}
	for _, c := range []struct {
		name     string
		failures int
		want     state
	}{{"all attempts fail", 10, ejected}, {"all succeed", 0, healthy}} {
		t.Run(c.name, func(t *testing.T) {
			d := &Detector{}
			d.Restore(now, Restored{Ejected: true, Ejections: 1, Confidence: 1})
			d.Observe(now+1, 10, c.failures, 100*time.Millisecond)
			if change := d.Evaluate(now+1, failing, reportInterval); change.to != c.want {
				t.Errorf("got change %q", change)
			}
			if d.Penalty() != 0 || d.OnProbation() {
				t.Errorf("penalty %v, probation %v, want neither", d.Penalty(), d.OnProbation())
			}
		})
	}
}

func TestChangeString(t *testing.T) {
	now := 100 * time.Second
	fleet := Fleet{FailureRate: 0.03, PeerSuccesses: 200, SlowResponseTime: math.Inf(1)}
	d := detectorWithReport(now, 26, 15, 100*time.Millisecond)
	got := []string{
		d.Evaluate(now, fleet, reportInterval).String(),
		d.Evaluate(now, fleet, reportInterval).String(),
		d.Evaluate(now+ejectionTime, fleet, reportInterval).String(),
	}
	now += ejectionTime + 2*reportInterval
	d.Observe(now, 4, 0, 0)
	got = append(got, d.Evaluate(now, fleet, reportInterval).String(),
		d.Restore(now, Restored{Ejected: true, Confidence: 1}).String())
	for k, want := range []string{
		"ejected: 15 of 26 attempts failed, fleet failure rate 0.03, for 3s",
		"unchanged",
		"probation after ejection 1",
		"healthy: 0 of 4 attempts failed",
		"probation from learned state: 0.12 of its weight",
	} {
		if got[k] != want {
			t.Errorf("got %q, want %q", got[k], want)
		}
	}
}
