package controlclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/backoff"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/resp"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// backoffInitial and backoffLimit bound the waits after failed streams. They have jitter: all sidecars of a controller
	// that dies connect to the others, and not at once.
	backoffInitial = 50 * time.Millisecond
	backoffLimit   = 2 * time.Second
	// goodStreamAge is the age of a stream after which the next wait is the initial one again.
	goodStreamAge = 5 * time.Second
	// reportInterval is the time between two reports of demand, each with a probe of the controller.
	reportInterval = time.Second
	// silenceTimeout is how long a controller, or a collector, may leave probes without an answer before it is given up.
	silenceTimeout = 4 * time.Second
	// clientPoolSize bounds the buffers for long messages of one client, in bytes.
	clientPoolSize = 2 << 20
)

// Dispatcher is what updates are applied to, and what counts the requests that came.
type Dispatcher interface {
	// Apply applies the parts of an update, all of them or none.
	Apply(parts []dispatch.Update) error
	// HasTables reports whether an update with tables was applied.
	HasTables() bool
	// TakeDemand returns the demand by traffic class since the last call.
	TakeDemand() []dispatch.Demand
}

// errRefused is the cause of a stream that a controller has refused.
var errRefused = errors.New("refused by the controller")

// Counters are what a Client has counted.
type Counters struct {
	Dials          atomic.Int64
	Streams        atomic.Int64
	Failures       atomic.Int64 // dials that failed, and streams that ended
	Updates        atomic.Int64 // applied
	Acks           atomic.Int64
	InvalidUpdates atomic.Int64
	DemandReports  atomic.Int64
}

// Client holds a stream to one of several controllers. While none answers, the dispatcher goes on with what it has.
type Client struct {
	Counters    Counters
	Controllers []string
	ID          int // of the proxy
	Zone        string
	Classes     []string
	Rate        float64 // an estimate of the requests a second
	Dispatcher  Dispatcher
	Seed        uint64
	Log         *slog.Logger

	pool        *resp.Pool
	demandSince time.Time // when the requests that came were last taken from the dispatcher
	connected   atomic.Bool
	current     atomic.Pointer[string]
}

// Controller returns the address of the controller that the stream is to; empty: there is none.
func (c *Client) Controller() string {
	if address := c.current.Load(); address != nil {
		return *address
	}
	return ""
}

// Run holds a stream until ctx ends, to one controller after another. Clients begin at different ones, by their id.
func (c *Client) Run(ctx context.Context) {
	c.pool = resp.NewPool(clientPoolSize)
	c.demandSince = time.Now()
	retry := backoff.NewJittered(backoffInitial, backoffLimit, c.Seed)
	at := c.ID % max(1, len(c.Controllers))
	for ctx.Err() == nil && len(c.Controllers) > 0 {
		began := time.Now()
		err := c.followController(ctx, c.Controllers[at])
		if ctx.Err() != nil {
			return
		}
		c.streamLost(c.Controllers[at], err)
		at = (at + 1) % len(c.Controllers)
		if time.Since(began) > goodStreamAge {
			retry.Reset()
		}
		backoff.Sleep(ctx, retry.Next())
	}
}

// streamLost counts a stream that has ended, and logs it if updates came by it.
func (c *Client) streamLost(address string, err error) {
	if c.connected.Swap(false) {
		c.Log.Warn("no controller, the tables stay", "lost", address, "error", err)
	}
	none := ""
	c.current.Store(&none)
	c.Counters.Failures.Add(1)
}

// followController opens a stream to one controller and applies its updates until the stream ends.
func (c *Client) followController(ctx context.Context, address string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic: %v at %s", v, debug.Stack())
		}
	}()
	c.Counters.Dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer conn.Close()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	w := &messageWriter{conn: conn, pool: c.pool}
	if err := c.sendHello(w); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	c.Counters.Streams.Add(1)
	all.Go(func() { c.reportDemand(ctx, w) })
	return c.readUpdates(w, address)
}

// sendHello joins the controller.
func (c *Client) sendHello(w *messageWriter) error {
	return w.send(c.helloMessage()...)
}

// readUpdates applies the updates of a stream, and returns why it has ended.
func (c *Client) readUpdates(w *messageWriter, address string) error {
	reader := resp.NewReader(w.conn, c.pool)
	for message := (updateMessage{}); ; {
		words, err := readMessage(w.conn, reader)
		if err != nil {
			return err
		}
		if len(words) > 0 && words[0] == wordAlive {
			continue
		}
		if err := message.addPart(words); err != nil {
			c.Counters.InvalidUpdates.Add(1)
			return err
		}
		if message.unfinished {
			continue
		}
		if err := c.apply(w, message); err != nil {
			return err
		}
		if !c.connected.Swap(true) {
			c.Log.Info("following a controller", "controller", address)
		}
		c.current.Store(&address)
		message = updateMessage{}
	}
}

// readMessage reads one message of a controller. It fails if none comes in time, or if the controller refuses the proxy.
func readMessage(conn net.Conn, reader *resp.Reader) ([]string, error) {
	conn.SetReadDeadline(time.Now().Add(silenceTimeout))
	words, err := reader.Next()
	if err != nil {
		return nil, fmt.Errorf("reading: %w", err)
	}
	if len(words) > 0 && words[0] == wordError {
		return nil, fmt.Errorf("%w: %q", errRefused, words[1:])
	}
	return words, nil
}

// apply applies an update and acks it.
func (c *Client) apply(w *messageWriter, message updateMessage) error {
	began := time.Now()
	if err := c.Dispatcher.Apply(message.parts); err != nil {
		if errors.Is(err, dispatch.ErrInvalidUpdate) {
			c.Counters.InvalidUpdates.Add(1)
		}
		return err
	}
	c.Counters.Updates.Add(1)
	if !message.wantsAck {
		return nil
	}
	c.Counters.Acks.Add(1)
	return w.send(c.ackMessage(message.nonce, time.Since(began))...)
}

// reportDemand reports the requests that came, and probes the controller, until ctx ends or a write fails; then it closes the
// connection.
func (c *Client) reportDemand(ctx context.Context, w *messageWriter) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	if time.Since(c.demandSince) > maxReportAge { // what came while there was no controller says nothing about now
		c.Dispatcher.TakeDemand()
		c.demandSince = time.Now()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if c.sendDemand(w) != nil || w.send(wordProbe) != nil {
			w.conn.Close()
			return
		}
	}
}

// sendDemand reports the requests since the last report. That may have gone to another controller: requests also came between
// the last stream's end and this one, and reported as those of a second they would be many times what comes.
func (c *Client) sendDemand(w *messageWriter) error {
	period := time.Since(c.demandSince)
	c.demandSince = c.demandSince.Add(period)
	for class, demand := range c.Dispatcher.TakeDemand() {
		if demand.Requests == 0 && demand.Failures == 0 {
			continue
		}
		c.Counters.DemandReports.Add(1)
		if err := w.send(c.demandMessage(c.Classes[class], demand, period)...); err != nil {
			return err
		}
	}
	return nil
}
