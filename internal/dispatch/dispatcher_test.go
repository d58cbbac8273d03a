package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lilacbend/control"
)

const second = int64(time.Second)

func testConfig() Config {
	return Config{Seed: 3, AttemptTimeoutFactor: 1, DefaultRetry: control.RetryIfNotExecuted, MaxConsecutiveFailures: 3, EjectionTime: 5 * time.Second, RetryBudgetRatio: 0.5, RetryBudgetBurst: 10,
		MaxRequests: 4, MaxRequestsPerReplica: 2, MaxQueuedRequests: 1, MaxQueueTime: time.Second, Admission: control.AdmitFraction, Classes: []Class{
			{"read", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.Idempotent}},
			{"order", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.IdempotentByKey, DeduplicationScope: control.ScopeZone, DeduplicationWindow: 5 * second / 2}},
			{"payout", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.NotIdempotent}}}}
}

// newDispatcher returns a Dispatcher with four replicas, a1 and a2 in zone a, b1 and b2 in zone b, all with weight 1 in the
// table of each class.
func newDispatcher(t testing.TB, change func(*Config), updates ...UpdatePart) *Dispatcher {
	t.Helper()
	config := testConfig()
	if change != nil {
		change(&config)
	}
	d, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := map[string]Endpoint{}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		endpoints[id] = Endpoint{Zone: id[:1], Cell: id, Address: id + ":80"}
	}
	d.UpdateEndpoints(true, endpoints)
	for _, update := range append([]UpdatePart{{Replace: true, Weights: map[string]float64{"a1": 1, "a2": 1, "b1": 1, "b2": 1}}}, updates...) {
		if err := d.Apply(0, update); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// retryPolicy returns an update that sets the retry policy of all classes.
func retryPolicy(policy control.RetryPolicy) UpdatePart {
	return UpdatePart{Settings: []ClassSettings{{1, policy}}}
}

// For any order of events, each request gets exactly one final step, no request that must not be executed twice is executed
// twice, and all capacity is free once all requests have ended.
func TestEachRequestEndsOnceAndUnsafeDuplicatesAreNotExecuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcher(&testing.T{}, nil)
		type trackedRequest struct {
			request    *Request
			step       Step
			finalSteps int
		}
		var requests []*trackedRequest
		now := int64(0)
		checkStep := func(tracked *trackedRequest, step Step) {
			if kinds := boolToInt(step.Replica != "") + boolToInt(step.Wait) + boolToInt(step.Ended); kinds != 1 {
				t.Fatalf("step %+v is of %d kinds, want exactly one", step, kinds)
			}
			tracked.step = step
			if step.Ended {
				tracked.finalSteps++
			}
			if step.Replica != "" && (step.Deadline <= now || d.ejectedByController[step.Replica]) {
				t.Fatalf("step %+v at %d ns, replica ejected: %v; want a later deadline and a replica that is not ejected", step, now, d.ejectedByController[step.Replica])
			}
			class := d.config.Classes[tracked.request.class]
			var executed []attempt
			for _, a := range tracked.request.attempts {
				if !a.notExecuted {
					executed = append(executed, a)
				}
			}
			if class.Idempotency == control.NotIdempotent && len(executed) > 1 {
				t.Fatalf("non-idempotent request may have been executed more than once: %v", executed)
			}
			for _, a := range executed[min(1, len(executed)):] {
				if class.Idempotency == control.IdempotentByKey && (a.zone != executed[0].zone || a.startedAt-executed[0].startedAt >= class.DeduplicationWindow) {
					t.Fatalf("request with an idempotency key may have been executed beyond its deduplication scope or window: %v", executed)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				request, step := d.Begin(now, rapid.IntRange(0, 2).Draw(t, "class"), rapid.Bool().Draw(t, "replayable"))
				tracked := &trackedRequest{request: request}
				requests = append(requests, tracked)
				checkStep(tracked, step)
			},
			"continue": func(t *rapid.T) {
				if len(requests) == 0 {
					return
				}
				tracked := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
				switch {
				case tracked.step.Replica != "" && rapid.IntRange(0, 9).Draw(t, "canceled") == 0:
					d.Cancel(tracked.request)
					tracked.step = Step{Ended: true}
					tracked.finalSteps++
				case tracked.step.Replica != "":
					checkStep(tracked, d.AttemptEnded(now, tracked.request, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))))
				case tracked.step.Wait:
					checkStep(tracked, d.Resume(now, tracked.request))
				}
			},
			"time passes": func(t *rapid.T) { now += rapid.Int64Range(1, 2*second).Draw(t, "span") },
			"update": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a1", "a2", "b1", "b2"}).Draw(t, "id")
				d.Apply(now, UpdatePart{Weights: map[string]float64{id: rapid.Float64Range(0, 2).Draw(t, "weight")}, Settings: []ClassSettings{{rapid.Float64Range(0, 1).Draw(t, "admission"), control.RetryPolicy(rapid.IntRange(0, 3).Draw(t, "retry"))}}})
				if rapid.Bool().Draw(t, "eject") {
					d.Apply(now, UpdatePart{Eject: []string{id}})
				} else {
					d.Apply(now, UpdatePart{Uneject: []string{id}})
				}
			},
		})
		now += 10 * second
		for _, tracked := range requests {
			for tracked.step.Wait || tracked.step.Replica != "" {
				if tracked.step.Wait {
					checkStep(tracked, d.Resume(now, tracked.request))
				} else {
					checkStep(tracked, d.AttemptEnded(now, tracked.request, TimedOut))
				}
			}
			if tracked.finalSteps != 1 {
				t.Fatalf("request got %d final steps, want 1", tracked.finalSteps)
			}
		}
		if d.InFlight() != 0 || d.queued != 0 {
			t.Fatalf("%d requests in flight and %d queued after all have ended, want 0", d.InFlight(), d.queued)
		}
		for id, r := range d.replicas {
			if r.inFlight != 0 {
				t.Fatalf("replica %s has %d requests in flight after all have ended, want 0", id, r.inFlight)
			}
		}
	})
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestNewRejectsConfigWithoutClassesOrCapacity(t *testing.T) {
	for _, config := range []Config{{}, {Classes: testConfig().Classes}} {
		if _, err := New(config); err == nil {
			t.Errorf("New accepts %d classes and a limit of %d requests in flight, want an error", len(config.Classes), config.MaxRequests)
		}
	}
}
