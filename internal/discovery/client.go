// Package discovery is the client of service discovery. It asks for the whole list of replicas, then watches it on a
// connection that is kept, and passes each answer on to the exchange.
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
	path = "/registry/instances"
	// A watch waits so long for changes. What discovery has to tell counts as told 2 s after a wait, whether it has arrived
	// or not, so short waits keep a connection that died silently from costing much.
	watchTimeout = 2 * time.Second
	// An answer is late when nothing arrives for so much longer than was asked for: discovery's agent is on this machine and
	// answers at once.
	answerTimeout = time.Second
	dialTimeout   = time.Second
	// An answer that arrives in pieces may take longer. A connection that only drips is given up soon after what it has to
	// tell counts as told; as all answers may be slow here, the next one then gets twice as long, up to the limit.
	initialReadTime = 2500 * time.Millisecond
	readTimeLimit   = 10 * time.Second
	// The waits after failed calls: soon enough for a list that counts as told after 6 s, and no load for an agent that
	// refuses. What timed out has waited already: the next call comes after the initial wait.
	backoffInitial = 50 * time.Millisecond
	backoffLimit   = time.Second
	// An answer without changes that came much too soon is no reason to call in a tight loop; a watch goes on if the next
	// call comes within 200 ms.
	idlePause = 100 * time.Millisecond
	// A list of some ten thousand members; more would be held several times while it is read.
	maxBodySize = 4 << 20
	// A list older than ours is a stale copy, and changes nothing; after so many in a row, which take some fifteen seconds,
	// discovery has lost its count and begun anew.
	staleAnswersLimit = 20
	// At a new address it may count anew from the start: so few, which take 0.4 to 0.8 s, tell that it does: well within a
	// drain's grace, which runs from the first of them. Fewer would let an agent that is only behind bring back replicas that
	// drain.
	staleAnswersLimitAfterMove = 5
)

// dialFunc opens a connection, as net.Dialer does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client follows one discovery service. Its methods but Move are for one goroutine.
type Client struct {
	address  string
	dial     dialFunc
	moves    chan string // to another address, the newest alone
	exchange *eventloop.Queues
	log      *slog.Logger
	clock    func() int64 // nanoseconds, for the time of a listing
	retry    *backoff.Backoff

	revision     int64 // of the list that we hold
	synced       bool  // the list is from an answer of this service, so it can be watched
	staleAnswers int   // in a row
	failing      bool  // a failure was logged, and no watch has been answered since
	readTime     time.Duration
}

// New makes a client that holds the list of a revision already. The seed is for the jitter of its retries.
func New(address string, revision int64, x *eventloop.Queues, log *slog.Logger, clock func() int64, seed uint64) *Client {
	return &Client{
		address:  address,
		dial:     new(net.Dialer).DialContext,
		moves:    make(chan string, 1),
		exchange: x,
		log:      log,
		clock:    clock,
		retry:    backoff.NewJittered(backoffInitial, backoffLimit, seed),
		revision: revision,
		readTime: initialReadTime,
	}
}

// Move goes over to the service at another address at once. Only one goroutine may call it.
func (c *Client) Move(address string) {
	select {
	case <-c.moves:
	default:
	}
	c.moves <- address
}

// Run follows discovery until ctx ends. At a new address it begins anew, with the whole list.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		follow, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.followAddress(follow)
		}()
		next := c.nextAddress(ctx)
		cancel()
		<-done
		c.address = next
		c.synced = false
		c.staleAnswers = staleAnswersLimit - staleAnswersLimitAfterMove
	}
}

// nextAddress waits for a move to another address than the present one, or for the end of ctx.
func (c *Client) nextAddress(ctx context.Context) string {
	for {
		select {
		case <-ctx.Done():
			return c.address
		case address := <-c.moves:
			if address != c.address {
				return address
			}
		}
	}
}

// followAddress makes connections to the present address, one after another, until ctx ends.
func (c *Client) followAddress(ctx context.Context) {
	c.retry.Reset()
	for ctx.Err() == nil {
		answers, err := c.followConnection(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil { // closed after an answer, which is no failure unless the next connection fails
			continue
		}
		c.countFailure(err, answers)
		backoff.Sleep(ctx, c.retry.Next())
	}
}

// countFailure counts a failed connection, and logs it if the one before it did not fail.
func (c *Client) countFailure(err error, answers int) {
	c.exchange.Counters.DiscoveryErrors.Add(1)
	if isTimeout(err) {
		c.exchange.Counters.Timeouts.Add(1)
		c.retry.Reset()
	}
	if !c.failing {
		c.log.Warn("discovery fails", "error", err, "answers", answers, "revision", c.revision)
	}
	c.failing = true
}

// watchAnswered ends a series of failures. A service that answers for the whole list but for no watch goes on failing.
func (c *Client) watchAnswered() {
	c.retry.Reset()
	if c.failing {
		c.failing = false
		c.log.Info("discovery answers", "revision", c.revision)
	}
}
