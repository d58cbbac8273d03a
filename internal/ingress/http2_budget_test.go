package ingress

import (
	"testing"
	"time"
)

func TestFrameBudgetLimitsFloodsAndRefills(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   frameKind
		frames int // that a full budget covers
	}{{"control frames", controlFrame, maxBudget}, {"resets", streamReset, maxBudget / resetCost}} {
		t.Run(c.name, func(t *testing.T) {
			budget := newFrameBudget()
			for k := range c.frames {
				if !budget.spend(c.kind) {
					t.Fatalf("the budget does not cover frame %d of %d", k+1, c.frames)
				}
			}
			budget.remaining = 0
			budget.refilledAt = time.Now()
			if budget.spend(c.kind) {
				t.Error("an empty budget covers a frame")
			}
		})
	}
	budget := frameBudget{refilledAt: time.Now().Add(-time.Hour)}
	if covered := budget.spend(controlFrame); !covered || budget.remaining != maxBudget-frameCost {
		t.Errorf("spending after an hour of refill: covered %v, %v tokens remain, want %v", covered, budget.remaining, maxBudget-frameCost)
	}
}

// The log line of a flood shows which frames the client has sent.
func TestFrameBudgetLogsEachKind(t *testing.T) {
	budget := newFrameBudget()
	for kind, frames := range map[frameKind]int{controlFrame: 1, refusedStream: 2, malformedStream: 3, streamReset: 4} {
		for range frames {
			budget.spend(kind)
		}
	}
	const want = "[control=1 refused=2 malformed=3 resets=4]"
	if got := budget.LogValue().String(); got != want {
		t.Errorf("logged %s, want %s", got, want)
	}
}
