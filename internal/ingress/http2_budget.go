package ingress

import (
	"log/slog"
	"time"
)

// frameKind is a kind of client frames that the budget of a connection bounds.
type frameKind int

const (
	// controlFrame is a SETTINGS, PING, PRIORITY or unknown frame, a data frame or window update below tinyFrame, or the head
	// of a stream that has ended.
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
	// controlTokensPerSecond and maxControlTokens are the refill rate and the size of the token bucket that bounds the
	// control frames of a client. A busy well-behaved client sends one window update for every few KiB.
	controlTokensPerSecond = 200.0
	maxControlTokens       = 2000.0
	// controlTokensPerRequest are added to the bucket by each well-formed request, for frames that may belong to it: small
	// parts of its body, a priority, a window update.
	controlTokensPerRequest = 8.0
	// controlFrameCost and refusedStreamCost are tokens.
	controlFrameCost  = 1.0
	refusedStreamCost = 1.0
	// malformedStreamCost is in tokens: its head was decoded in vain.
	malformedStreamCost = 10.0
	// shortestPatience is how long a client that is not flooding waits for its responses at least, if it gives up on all of
	// its requests.
	shortestPatience = 200 * time.Millisecond
	// longestUnread is the time in which frames of a client may collect unread, because the sidecar, its machine or the
	// network stands still.
	longestUnread = 4 * time.Second
	// minResetsPerSecond applies where the limit of concurrent streams is low.
	minResetsPerSecond = 50.0
	// tinyFrame is the number of bytes below which a data frame or a window update counts as a control frame.
	tinyFrame = 64
)

// tokenBucket is a bucket of tokens that refills at a constant rate.
type tokenBucket struct {
	tokens     float64
	size       float64
	perSecond  float64
	refilledAt time.Time
}

// newTokenBucket returns a full bucket.
func newTokenBucket(size, perSecond float64) tokenBucket {
	return tokenBucket{tokens: size, size: size, perSecond: perSecond, refilledAt: time.Now()}
}

// add adds tokens to the bucket, up to its size.
func (b *tokenBucket) add(tokens float64) {
	b.tokens = min(b.size, b.tokens+tokens)
}

// take takes tokens from the bucket. It returns false, and takes none, if the bucket does not hold as many.
func (b *tokenBucket) take(tokens float64) bool {
	now := time.Now()
	b.add(b.perSecond * now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// frameBudget bounds the work caused by a client's control frames. Resets have a bucket of their own, whose rate follows the
// limit of concurrent streams: a client may give up on as many requests as it may have in flight, each time that its patience
// ends, and a slow service makes it give up on all. The work that a reset discards is bounded by the limit of streams
// already, as a reset stream counts as in flight until its request has ended; the bucket bounds the rate at which a client
// that waits for no response can cause it.
type frameBudget struct {
	control tokenBucket
	resets  tokenBucket
	counts  [frameKinds]int // of frames that the budget was charged for
}

// newFrameBudget returns a full budget for a connection with a limit of concurrent streams.
func newFrameBudget(maxStreams int) frameBudget {
	resetsPerSecond := max(minResetsPerSecond, float64(maxStreams)/shortestPatience.Seconds())
	return frameBudget{
		control: newTokenBucket(maxControlTokens, controlTokensPerSecond),
		resets:  newTokenBucket(resetsPerSecond*longestUnread.Seconds(), resetsPerSecond),
	}
}

// creditRequest adds the control frames that may belong to a request.
func (b *frameBudget) creditRequest() { b.control.add(controlTokensPerRequest) }

// spend takes the cost of a frame from the budget. It returns false, and takes nothing, if the budget does not cover the
// cost.
func (b *frameBudget) spend(kind frameKind) bool {
	b.counts[kind]++
	switch kind {
	case streamReset:
		return b.resets.take(1)
	case malformedStream:
		return b.control.take(malformedStreamCost)
	case refusedStream:
		return b.control.take(refusedStreamCost)
	default:
		return b.control.take(controlFrameCost)
	}
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
