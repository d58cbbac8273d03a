package dispatch

import (
	"strings"
	"testing"

	"lilacbend/control"
)

func TestOutcomeAndPolicyDecideWhetherAnAttemptIsRetried(t *testing.T) {
	const read, order, payout = 0, 1, 2
	for _, c := range []struct {
		name     string
		class    int
		policy   control.RetryPolicy
		outcomes []Outcome
		times    []int64 // time of each outcome
		attempts int
		reason   Reason // of the last step; None: success, or another attempt
	}{
		{"success of the first attempt", payout, 3, []Outcome{Succeeded}, []int64{1}, 1, None},
		{"no retry", read, 0, []Outcome{NotExecuted}, []int64{1}, 1, ErrAttemptsFailed},
		{"certainly not executed", read, 1, []Outcome{NotExecuted, Succeeded}, []int64{1, 2}, 2, None},
		{"one retry, not two", read, 1, []Outcome{NotExecuted, NotExecuted}, []int64{1, 2}, 2, ErrAttemptsFailed},
		{"may have been executed", read, 1, []Outcome{Incomplete}, []int64{1}, 1, ErrAttemptsFailed},
		{"retry after any failure", read, 2, []Outcome{TimedOut, Succeeded}, []int64{second, second + 1}, 2, None},
		{"two retries", read, 3, []Outcome{Incomplete, TimedOut, Succeeded}, []int64{1, 2, 3}, 3, None},
		{"two retries, not three", read, 3, []Outcome{Incomplete, TimedOut, Incomplete}, []int64{1, 2, 3}, 3, ErrAttemptsFailed},
		{"timeout", read, 3, []Outcome{TimedOut}, []int64{4 * second}, 1, ErrTimeout},
		{"a payout may have been executed", payout, 3, []Outcome{Incomplete}, []int64{1}, 1, ErrMayHaveExecuted},
		{"a payout timed out", payout, 2, []Outcome{TimedOut}, []int64{1}, 1, ErrMayHaveExecuted},
		{"a payout was not executed", payout, 2, []Outcome{NotExecuted, Succeeded}, []int64{1, 2}, 2, None},
		{"a payout was not executed, then may have been", payout, 3, []Outcome{NotExecuted, Incomplete}, []int64{1, 2}, 2, ErrMayHaveExecuted},
		{"an order within its window", order, 2, []Outcome{TimedOut, Succeeded}, []int64{second, second + 1}, 2, None},
		{"an order at the edge of its window", order, 2, []Outcome{TimedOut}, []int64{3 * second / 2}, 1, ErrNoTimeToRetry},
		{"an order just within its window", order, 2, []Outcome{TimedOut}, []int64{3*second/2 - 1}, 2, None},
		{"the window does not apply to an order that was not executed", order, 1, []Outcome{NotExecuted, Succeeded}, []int64{3 * second, 3*second + 1}, 2, None},
		{"the window begins with the first attempt that may have been executed", order, 3, []Outcome{NotExecuted, Incomplete, Succeeded}, []int64{second, 2 * second, 2*second + 1}, 3, None},
		{"an order without another replica in its zone", order, 3, []Outcome{Incomplete, Incomplete}, []int64{1, 2}, 2, ErrNoReplica},
	} {
		d := newDispatcher(t, nil, retryPolicy(c.policy))
		request, step := d.Begin(0, c.class, true)
		for k, outcome := range c.outcomes {
			if step.Replica == "" {
				t.Fatalf("%s: step %d is %+v, want an attempt", c.name, k, step)
			}
			step = d.AttemptEnded(c.times[k], request, outcome)
		}
		last := c.outcomes[len(c.outcomes)-1]
		if step.Reason != c.reason || len(request.attempts) != c.attempts || (last == Succeeded) != step.Succeeded || step.Ended == (step.Replica != "") {
			t.Errorf("%s: last step %+v after %d attempts, want reason %q after %d", c.name, step, len(request.attempts), c.reason, c.attempts)
		}
		for k, a := range request.attempts {
			for _, b := range request.attempts[:k] {
				if a.replica == b.replica {
					t.Errorf("%s: replica %s is attempted twice", c.name, a.replica)
				}
				if c.class == order && last != NotExecuted && !b.notExecuted && a.zone != b.zone {
					t.Errorf("%s: attempted in zones %s and %s, want one zone", c.name, b.zone, a.zone)
				}
			}
		}
		if step.Ended && d.InFlight() != 0 {
			t.Errorf("%s: %d requests in flight after the final step, want 0", c.name, d.InFlight())
		}
	}
}

func TestAttemptDeadlineLeavesTimeForARetry(t *testing.T) {
	for _, c := range []struct {
		class      int
		policy     control.RetryPolicy
		replayable bool
		deadline   int64 // in seconds
	}{{0, 0, true, 4}, {0, 1, true, 4}, {0, 2, true, 1}, {0, 2, false, 4}, {2, 3, true, 4}, {1, 3, true, 1}} {
		d := newDispatcher(t, nil, retryPolicy(c.policy))
		if _, step := d.Begin(0, c.class, c.replayable); step.Deadline != c.deadline*second {
			t.Errorf("%+v: deadline of the first attempt is %d ns", c, step.Deadline)
		}
	}
}

func TestRetryBudgetLimitsRetriesToAFractionOfRequests(t *testing.T) {
	d := newDispatcher(t, func(c *Config) { c.MaxConsecutiveFailures, c.RetryBudgetRatio = 0, 0.1 }, retryPolicy(2))
	for range 1000 {
		request, step := d.Begin(0, 0, true)
		for !step.Ended {
			step = d.AttemptEnded(1, request, Incomplete)
		}
	}
	if n := d.Counters.Retries; n < 100 || n > 111 || d.Counters.Failed[ErrRetryBudgetExhausted]+d.Counters.Failed[ErrAttemptsFailed] != 1000 {
		t.Errorf("%d retries for 1000 failing requests, want 100 to 111; failures by reason: %v", n, d.Counters.Failed)
	}
}

func TestRetryScopeContainsItsZoneOrCellOnly(t *testing.T) {
	for _, c := range []struct {
		name     string
		scope    retryScope
		contains string // ids of the endpoints that the scope contains; an id is the zone followed by the cell
	}{
		{"unrestricted", retryScope{}, "a1 a2 b1"},
		{"all", retryScope{restricted: true, scope: control.ScopeAll, zone: "a", cell: "1"}, "a1 a2 b1"},
		{"zone", retryScope{restricted: true, scope: control.ScopeZone, zone: "a", cell: "1"}, "a1 a2"},
		{"cell", retryScope{restricted: true, scope: control.ScopeCell, zone: "a", cell: "1"}, "a1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, id := range []string{"a1", "a2", "b1"} {
				endpoint := Endpoint{Zone: id[:1], Cell: id[1:]}
				if got := c.scope.contains(endpoint); got != strings.Contains(c.contains, id) {
					t.Errorf("endpoint %s in scope: %v, want %v", id, got, !got)
				}
			}
		})
	}
}
