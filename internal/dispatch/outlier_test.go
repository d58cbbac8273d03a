package dispatch

import (
	"testing"
)

func TestReplicaIsEjectedAfterConsecutiveFailures(t *testing.T) {
	d := newDispatcher(t, nil, retryPolicy(0), UpdatePart{Weights: map[string]float64{"a1": 1000}})
	for range 3 {
		request, step := d.Begin(0, 0, true)
		for step.Replica != "a1" {
			d.AttemptEnded(0, request, Succeeded)
			request, step = d.Begin(0, 0, true)
		}
		d.AttemptEnded(0, request, Incomplete)
	}
	for k := range 50 {
		request, step := d.Begin(int64(k), 0, true)
		if d.AttemptEnded(int64(k), request, Succeeded); step.Replica == "a1" {
			t.Fatal("an ejected replica is picked while others are available")
		}
	}
	d.Apply(0, UpdatePart{Weights: map[string]float64{"a2": 0, "b1": 0, "b2": 0}})
	request, step := d.Begin(9, 0, true)
	if step.Replica != "a1" {
		t.Errorf("an ejected replica is the only one in the table: step %+v, want it to be picked", step)
	}
	d.Cancel(request)
	if d.InFlight() != 0 || d.replicas["a1"].inFlight != 0 || d.replicas["a1"].consecutiveFailures != 0 {
		t.Errorf("a canceled request is counted at its replica: %+v, want no request in flight and no failure", d.replicas["a1"])
	}
}

// After an ejection, a single request tests whether the replica has recovered; if it has not, the next ejection is longer.
func TestReplicaOnProbationGetsOneRequest(t *testing.T) {
	d := newDispatcher(t, func(c *Config) { c.MaxRequests, c.MaxRequestsPerReplica = 100, 100 }, retryPolicy(0), UpdatePart{Weights: map[string]float64{"a2": 0, "b1": 0, "b2": 0.001}})
	now := int64(0)
	fail := func(n int) {
		var requests []*Request
		for range n {
			request, step := d.Begin(now, 0, true)
			if step.Replica == "a1" {
				requests = append(requests, request)
			} else {
				d.AttemptEnded(now, request, Succeeded)
			}
		}
		for _, request := range requests {
			d.AttemptEnded(now, request, Incomplete)
		}
		if n == 20 && len(requests) != 1 {
			t.Errorf("at %d ns, %d requests were sent to a replica on probation, want 1", now, len(requests))
		}
	}
	fail(10)
	for _, duration := range []int64{5, 10, 20, 40, 40} {
		if until := d.replicas["a1"].locallyEjectedUntil - now; until != duration*second {
			t.Errorf("ejected for %d ns, want %d", until, duration*second)
		}
		now += duration * second
		fail(20)
	}
	now += 40 * second
	request, step := d.Begin(now, 0, true)
	if d.AttemptEnded(now, request, Succeeded); step.Replica != "a1" || d.replicas["a1"].consecutiveEjections != 0 {
		t.Errorf("successful probation: step %+v, state %+v; want replica a1 without ejections", step, d.replicas["a1"])
	}
}

func TestUnresponsiveReplicaIsAvoidedBeforeItsRequestsFail(t *testing.T) {
	d := newDispatcher(t, func(c *Config) { c.MaxRequests, c.MaxRequestsPerReplica = 100, 100 }, UpdatePart{Weights: map[string]float64{"a2": 0, "b1": 0, "b2": 0.001}})
	var first *Request
	for k := range 3 {
		request, step := d.Begin(0, 0, true)
		if step.Replica != "a1" {
			t.Fatalf("request %d: step %+v, want replica a1", k, step)
		}
		first = request
	}
	// a1 has 3 requests in flight, and has answered none within the latency objective.
	if request, step := d.Begin(second+1, 0, true); step.Replica != "b2" {
		t.Errorf("a1 is unresponsive: step %+v, want replica b2", step)
	} else {
		d.AttemptEnded(second+1, request, Succeeded)
	}
	d.AttemptEnded(second+1, first, Succeeded)
	if _, step := d.Begin(second+2, 0, true); step.Replica != "a1" {
		t.Errorf("after a response of a1: step %+v, want replica a1", step)
	}
}

func TestReplicaIsAvoidedWhileEjectedOnProbationOrUnresponsive(t *testing.T) {
	const now = 10 * second
	for _, c := range []struct {
		name    string
		replica replicaState
		avoids  bool
	}{
		{"new", replicaState{}, false},
		{"ejected", replicaState{locallyEjectedUntil: now + 1}, true},
		{"after its ejection", replicaState{locallyEjectedUntil: now, consecutiveEjections: 1}, false},
		{"on probation", replicaState{locallyEjectedUntil: now, consecutiveEjections: 1, inFlight: 1}, true},
		{"few requests in flight", replicaState{inFlight: 2, unansweredSince: 1}, false},
		{"unresponsive", replicaState{inFlight: 3, unansweredSince: now - second - 1}, true},
		{"unresponsive for the latency objective only", replicaState{inFlight: 3, unansweredSince: now - second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher(t, nil)
			if got := d.avoids(now, 0, &c.replica); got != c.avoids {
				t.Errorf("avoided: %v, want %v", got, c.avoids)
			}
			d.config.MaxConsecutiveFailures = 0
			if got := d.avoids(now, 0, &c.replica); got != (c.replica.locallyEjectedUntil > now) {
				t.Errorf("with ejection turned off, avoided: %v, want only an ejection in progress to count", got)
			}
		})
	}
}
