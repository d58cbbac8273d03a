package ingress

import (
	"testing"
	"time"
)

// frozenBudget returns a full budget that does not refill.
func frozenBudget(maxStreams int) frameBudget {
	budget := newFrameBudget(maxStreams)
	budget.control.perSecond = 0
	budget.resets.perSecond = 0
	return budget
}

func TestFrameBudgetLimitsFloodsAndRefills(t *testing.T) {
	const (
		maxStreams = 100
		maxResets  = 2000 // 100 streams, each reset 5 times a second, for 4 s
	)
	for _, c := range []struct {
		name   string
		kind   frameKind
		frames int // that a full budget covers
	}{
		{"control frames", controlFrame, maxControlTokens / controlFrameCost},
		{"refused streams", refusedStream, maxControlTokens / refusedStreamCost},
		{"malformed streams", malformedStream, maxControlTokens / malformedStreamCost},
		{"resets", streamReset, maxResets},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := frozenBudget(maxStreams)
			for k := range c.frames {
				if !budget.spend(c.kind) {
					t.Fatalf("the budget does not cover frame %d of %d", k+1, c.frames)
				}
			}
			if budget.spend(c.kind) {
				t.Error("an empty budget covers a frame")
			}
		})
	}
	bucket := newTokenBucket(maxControlTokens, controlTokensPerSecond)
	bucket.tokens = 0
	bucket.refilledAt = time.Now().Add(-time.Hour)
	if covered := bucket.take(controlFrameCost); !covered || bucket.tokens != maxControlTokens-controlFrameCost {
		t.Errorf("spending after an hour of refill: covered %v, %v tokens remain, want %v", covered, bucket.tokens, maxControlTokens-controlFrameCost)
	}
}

// The rate of resets that a budget covers follows the limit of concurrent streams.
func TestResetBudgetFollowsStreamLimit(t *testing.T) {
	for _, c := range []struct {
		maxStreams int
		perSecond  float64
	}{{1, 50}, {10, 50}, {100, 500}, {1000, 5000}} {
		budget := newFrameBudget(c.maxStreams)
		if budget.resets.perSecond != c.perSecond || budget.resets.size != 4*c.perSecond {
			t.Errorf("%d streams: %v resets a second, %v at once, want %v and %v", c.maxStreams, budget.resets.perSecond, budget.resets.size, c.perSecond, 4*c.perSecond)
		}
	}
}

// The log line of a flood shows which frames the client has sent.
func TestFrameBudgetLogsEachKind(t *testing.T) {
	budget := newFrameBudget(100)
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
