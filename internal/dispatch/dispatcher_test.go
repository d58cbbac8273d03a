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
		MaxRequests: 4, MaxRequestsPerReplica: 2, MaxQueued: 1, MaxQueueTime: time.Second, Admission: control.AdmitFraction, Classes: []Class{
			{"read", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.Idempotent}},
			{"order", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.IdempotentByKey, DeduplicationScope: control.ScopeZone, DeduplicationWindow: 5 * second / 2}},
			{"payout", control.TrafficClass{LatencyObjective: second, Timeout: 4 * second, Idempotency: control.NotIdempotent}}}}
}

// newDispatcher has four replicas, a1 and a2 in zone a, b1 and b2 in zone b, all in the table of each class.
func newDispatcher(t testing.TB, change func(*Config), updates ...Update) *Dispatcher {
	t.Helper()
	config := testConfig()
	if change != nil {
		change(&config)
	}
	d, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]Endpoint{}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		listed[id] = Endpoint{Zone: id[:1], Cell: id, Address: id + ":80"}
	}
	d.UpdateEndpoints(true, listed)
	for _, update := range append([]Update{{Full: true, Weights: map[string]float64{"a1": 1, "a2": 1, "b1": 1, "b2": 1}}}, updates...) {
		if err := d.Apply(0, update); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

func retryPolicy(policy control.RetryPolicy) Update {
	return Update{Settings: []ClassSettings{{1, policy}}}
}

// In any order of events each request gets one final step, none is executed twice that must not be, and no capacity stays
// occupied.
func TestEachRequestEndsOnceAndIsExecutedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcher(&testing.T{}, nil)
		type running struct {
			request *Request
			step    Step
			finals  int
		}
		var requests []*running
		now := int64(0)
		check := func(g *running, s Step) {
			if one := btoi(s.Replica != "") + btoi(s.Wait) + btoi(s.Final); one != 1 {
				t.Fatalf("%+v has %d kinds", s, one)
			}
			g.step = s
			if s.Final {
				g.finals++
			}
			if s.Replica != "" && (s.Deadline <= now || d.ejectedByController[s.Replica]) {
				t.Fatalf("%+v at %d, ejected: %v", s, now, d.ejectedByController[s.Replica])
			}
			class := d.config.Classes[g.request.class]
			var executed []attempt
			for _, a := range g.request.attempts {
				if !a.notExecuted {
					executed = append(executed, a)
				}
			}
			if class.Idempotency == control.NotIdempotent && len(executed) > 1 {
				t.Fatalf("a payout may have been executed at %v", executed)
			}
			for _, a := range executed[min(1, len(executed)):] {
				if class.Idempotency == control.IdempotentByKey && (a.zone != executed[0].zone || a.began-executed[0].began >= class.DeduplicationWindow) {
					t.Fatalf("an order may have been executed at %v", executed)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				request, s := d.Begin(now, rapid.IntRange(0, 2).Draw(t, "class"), rapid.Bool().Draw(t, "replayable"))
				g := &running{request: request}
				requests = append(requests, g)
				check(g, s)
			},
			"go on": func(t *rapid.T) {
				if len(requests) == 0 {
					return
				}
				g := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
				switch {
				case g.step.Replica != "" && rapid.IntRange(0, 9).Draw(t, "canceled") == 0:
					d.Cancel(g.request)
					g.step = Step{Final: true}
					g.finals++
				case g.step.Replica != "":
					check(g, d.AttemptEnded(now, g.request, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))))
				case g.step.Wait:
					check(g, d.Resume(now, g.request))
				}
			},
			"time": func(t *rapid.T) { now += rapid.Int64Range(1, 2*second).Draw(t, "span") },
			"update": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a1", "a2", "b1", "b2"}).Draw(t, "id")
				d.Apply(now, Update{Weights: map[string]float64{id: rapid.Float64Range(0, 2).Draw(t, "weight")}, Settings: []ClassSettings{{rapid.Float64Range(0, 1).Draw(t, "admission"), control.RetryPolicy(rapid.IntRange(0, 3).Draw(t, "retry"))}}})
				if rapid.Bool().Draw(t, "eject") {
					d.Apply(now, Update{Eject: []string{id}})
				} else {
					d.Apply(now, Update{Uneject: []string{id}})
				}
			},
		})
		now += 10 * second
		for _, g := range requests {
			for g.step.Wait || g.step.Replica != "" {
				if g.step.Wait {
					check(g, d.Resume(now, g.request))
				} else {
					check(g, d.AttemptEnded(now, g.request, TimedOut))
				}
			}
			if g.finals != 1 {
				t.Fatalf("%d final steps", g.finals)
			}
		}
		if d.InFlight() != 0 || d.queued != 0 {
			t.Fatalf("%d in flight, %d wait", d.InFlight(), d.queued)
		}
		for id, r := range d.replicas {
			if r.inFlight != 0 {
				t.Fatalf("%s holds %d", id, r.inFlight)
			}
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestConfigThatServesNobodyIsRefused(t *testing.T) {
	for _, config := range []Config{{}, {Classes: testConfig().Classes}} {
		if _, err := New(config); err == nil {
			t.Errorf("%d requests in flight are accepted", config.MaxRequests)
		}
	}
}
