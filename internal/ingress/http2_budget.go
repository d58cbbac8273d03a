package ingress

import (
	"log/slog"
	"time"
)

// frameKind is a kind of client frames that the budget of a connection bounds.
type frameKind int

const (
	// controlFrame is a SETTINGS, PING, PRIORITY or unknown frame, or a data frame or window update below tinyFrame.
	controlFrame frameKind = iota
	// refusedStream is a request that is refused because the connection serves no further ones.
	refusedStream
	// malformedStream is a request whose head is malformed or too large.
	malformedStream
	// streamReset is the reset of a stream by the client.
	streamReset
	frameKinds int = iota
)

const (
	// budgetPerSecond and maxBudget are the refill rate and the size of the token bucket that bounds the control frames of
	// a client. A busy well-behaved client sends one window update for every few KiB.
	budgetPerSecond = 200.0
	maxBudget       = 2000.0
	// frameCost is the cost of a control frame.
	frameCost = 1.0
	// resetCost is the cost of a stream that is reset or malformed: it has caused work whose result is discarded.
	resetCost = 10.0
	// tinyFrame is the number of bytes below which a data frame or a window update counts as a control frame.
	tinyFrame = 64
)

// frameCosts are the tokens that a frame of each kind costs.
var frameCosts = [frameKinds]float64{
	controlFrame:    frameCost,
	refusedStream:   frameCost,
	malformedStream: resetCost,
	streamReset:     resetCost,
}

// frameBudget is a token bucket that bounds the work caused by a client's control frames.
type frameBudget struct {
	remaining  float64
	refilledAt time.Time
	counts     [frameKinds]int // of frames that the budget was charged for
}

func newFrameBudget() frameBudget {
	return frameBudget{remaining: maxBudget, refilledAt: time.Now()}
}

// spend takes the cost of a frame from the budget. It returns false, and takes nothing, if the budget does not cover the
// cost.
func (b *frameBudget) spend(kind frameKind) bool {
	now := time.Now()
	refilled := b.remaining + budgetPerSecond*now.Sub(b.refilledAt).Seconds()
	b.remaining = min(maxBudget, refilled)
	b.refilledAt = now
	b.counts[kind]++
	if b.remaining < frameCosts[kind] {
		return false
	}
	b.remaining -= frameCosts[kind]
	return true
}

// LogValue returns the number of frames of each kind that the budget was charged for.
func (b *frameBudget) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int("control", b.counts[controlFrame]),
		slog.Int("refused", b.counts[refusedStream]),
		slog.Int("malformed", b.counts[malformedStream]),
		slog.Int("resets", b.counts[streamReset]),
	)
}
