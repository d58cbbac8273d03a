// Package discovery is the client of service discovery. It requests the complete list of replicas, then watches the list by
// long polls on a persistent connection, and publishes each list and change to the event loop.
package discovery

import (
	"context"
	"log/slog"
	"net"
	"time"

	"lilacbend/internal/backoff"
	"lilacbend/internal/eventloop"
)

const (
	instancesPath = "/registry/instances"
	// watchTimeout is how long a watch waits for changes. According to the protocol, a change counts as delivered 2 s
	// after a watch's wait has ended, whether it has arrived or not. A short wait limits the delay that a silently dead
	// connection causes.
	watchTimeout = 2 * time.Second
	// answerTimeout is how long the client waits for the first or next piece of an answer, beyond the requested wait:
	// discovery's agent runs on the same machine and answers at once.
	answerTimeout = time.Second
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// initialReadTime is how long an answer that arrives in pieces may take beyond the requested wait. A connection whose
	// answer exceeds it is closed, soon after a change in that answer counts as delivered. As all answers may be slow, the
	// next one may then take twice as long, up to readTimeLimit.
	initialReadTime = 2500 * time.Millisecond
	readTimeLimit   = 10 * time.Second
	// backoffInitial and backoffLimit bound the backoff after failed calls: short enough for a list that counts as
	// delivered after 6 s, long enough not to overload an agent that refuses calls. A timeout resets the backoff.
	backoffInitial = 50 * time.Millisecond
	backoffLimit   = time.Second
	// idlePause separates calls that are answered at once without a change, so that they do not become a busy loop. According
	// to the protocol, a watch continues if the next call arrives within 200 ms.
	idlePause = 100 * time.Millisecond
	// maxBodySize, in bytes, is enough for about ten thousand members. Decoding holds several copies of a body in memory.
	maxBodySize = 4 << 20
	// staleAnswersLimit is the number of consecutive answers older than the list in use at which a complete list is
	// accepted. Fewer such answers are treated as stale copies and ignored; at the limit, after about fifteen seconds,
	// the client concludes that discovery has restarted its revision count.
	staleAnswersLimit = 20
	// staleAnswersLimitAfterMove replaces staleAnswersLimit at a new address, where the service may count revisions
	// differently. It is reached in under 1 s, well within the drain grace, which runs from the first of these answers. With
	// a lower limit, an agent that only lags could bring back draining replicas.
	staleAnswersLimitAfterMove = 5
)

// dialFunc opens a connection, as net.Dialer does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client follows one discovery service. All methods except SetAddress are for one goroutine.
type Client struct {
	address   string
	dial      dialFunc
	addresses chan string // requested by SetAddress; holds only the latest
	queues    *eventloop.Queues
	log       *slog.Logger
	clock     func() int64 // returns the receive time of a list, in nanoseconds
	retry     *backoff.Backoff

	revision     int64         // revision of the list in use
	synced       bool          // the list came from this service, so it can be watched
	staleAnswers int           // consecutive answers older than the list in use
	failing      bool          // a failure was logged, and no watch has been answered since
	readTime     time.Duration // how long an answer that arrives in pieces may take beyond the requested wait
}

// New returns a client that starts from a list of the given revision. The clock returns nanoseconds; the seed is for the
// jitter of the backoff.
func New(address string, revision int64, queues *eventloop.Queues, log *slog.Logger, clock func() int64, seed uint64) *Client {
	return &Client{
		address:   address,
		dial:      new(net.Dialer).DialContext,
		addresses: make(chan string, 1),
		queues:    queues,
		log:       log,
		clock:     clock,
		retry:     backoff.NewJittered(backoffInitial, backoffLimit, seed),
		revision:  revision,
		readTime:  initialReadTime,
	}
}

// SetAddress switches to the service at another address at once. Only one goroutine may call it.
func (c *Client) SetAddress(address string) {
	select {
	case <-c.addresses:
	default:
	}
	c.addresses <- address
}

// Run follows discovery until ctx ends. At a new address it first requests the complete list.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		followCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.followAddress(followCtx)
		}()
		next := c.nextAddress(ctx)
		cancel()
		<-done
		c.address = next
		c.synced = false
		c.staleAnswers = staleAnswersLimit - staleAnswersLimitAfterMove
	}
}

// nextAddress blocks until SetAddress requests another address than the current one, or ctx ends.
func (c *Client) nextAddress(ctx context.Context) string {
	for {
		select {
		case <-ctx.Done():
			return c.address
		case address := <-c.addresses:
			if address != c.address {
				return address
			}
		}
	}
}

// followAddress opens connections to the current address, one after another, until ctx ends.
func (c *Client) followAddress(ctx context.Context) {
	c.retry.Reset()
	for ctx.Err() == nil {
		answers, err := c.followConnection(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil { // closed by the service after an answer, which is not a failure unless the next connection fails
			continue
		}
		c.countFailure(err, answers)
		backoff.Sleep(ctx, c.retry.Next())
	}
}

// countFailure counts a failed connection, and logs the first one of a series.
func (c *Client) countFailure(err error, answers int) {
	c.queues.Counters.DiscoveryErrors.Add(1)
	if isTimeout(err) {
		c.queues.Counters.DiscoveryTimeouts.Add(1)
		c.retry.Reset()
	}
	if !c.failing {
		c.log.Warn("discovery call failed", "error", err, "answers", answers, "revision", c.revision)
	}
	c.failing = true
}

// watchAnswered ends a series of failures. A service that answers requests for the complete list but does not answer watches
// is still failing.
func (c *Client) watchAnswered() {
	c.retry.Reset()
	if c.failing {
		c.failing = false
		c.log.Info("discovery recovered", "revision", c.revision)
	}
}
