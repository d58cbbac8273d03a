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
	"lilacbend/internal/socket"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// backoffInitial and backoffLimit bound the waits after failed streams. The waits have jitter, so that the sidecars of a
	// controller that fails do not all connect to the other controllers at the same time.
	backoffInitial = 50 * time.Millisecond
	backoffLimit   = 2 * time.Second
	// stableStreamAge is the age of a stream above which its end resets the backoff.
	stableStreamAge = 5 * time.Second
	// reportInterval is the time between two demand reports, each of which is followed by a probe of the controller.
	reportInterval = time.Second
	// responseTimeout is how long a controller may send nothing, or a collector may leave a probe unanswered, before
	// a Client or a Reporter gives up on it. Controllers and collectors are probed, so that a working one always has an answer
	// to send.
	responseTimeout = 4 * time.Second
	// clientPoolSize bounds the buffers for long messages of one client, in bytes.
	clientPoolSize = 2 << 20
)

// Dispatcher applies updates and counts the requests that arrive.
type Dispatcher interface {
	// Apply applies the parts of an update, all of them or none.
	Apply(parts []dispatch.UpdatePart) error
	// HasTables reports whether an update with a table has been applied.
	HasTables() bool
	// TakeDemand returns the demand by traffic class since the last call.
	TakeDemand() []dispatch.Demand
}

// errRefused is returned for a stream that the controller has refused.
var errRefused = errors.New("controller refused the proxy")

// Counters count the events of a Client.
type Counters struct {
	Dials          atomic.Int64
	Streams        atomic.Int64
	StreamFailures atomic.Int64 // failed dials and ended streams
	Updates        atomic.Int64 // applied updates
	Acks           atomic.Int64
	InvalidUpdates atomic.Int64
	DemandReports  atomic.Int64
}

// Client maintains a stream to one of several controllers. While no controller is reachable, the dispatcher keeps its tables
// and settings.
type Client struct {
	Counters    Counters
	Controllers []string
	ProxyID     int
	Zone        string
	Classes     []string
	Rate        float64 // estimated requests per second of the proxy
	Dispatcher  Dispatcher
	Seed        uint64
	Log         *slog.Logger

	pool              *resp.Pool
	demandSince       time.Time              // start of the period of the next demand report
	updated           atomic.Bool            // an update has been applied on the current stream
	currentController atomic.Pointer[string] // address of the current controller; nil or empty: none
}

// Controller returns the address of the controller whose updates are applied, or an empty string if there is none.
func (c *Client) Controller() string {
	if address := c.currentController.Load(); address != nil {
		return *address
	}
	return ""
}

// Run maintains a stream until ctx ends, trying one controller after another. Clients begin with different controllers, by
// proxy id.
func (c *Client) Run(ctx context.Context) {
	c.pool = resp.NewPool(clientPoolSize)
	c.demandSince = time.Now()
	retry := backoff.NewJittered(backoffInitial, backoffLimit, c.Seed)
	index := c.ProxyID % max(1, len(c.Controllers))
	for ctx.Err() == nil && len(c.Controllers) > 0 {
		began := time.Now()
		err := c.followUpdates(ctx, c.Controllers[index])
		if ctx.Err() != nil {
			return
		}
		c.recordStreamEnd(c.Controllers[index], err)
		index = (index + 1) % len(c.Controllers)
		if time.Since(began) > stableStreamAge {
			retry.Reset()
		}
		backoff.Sleep(ctx, retry.Next())
	}
}

// recordStreamEnd counts a failed dial or an ended stream, and logs it if an update was applied on the stream.
func (c *Client) recordStreamEnd(address string, err error) {
	if c.updated.Swap(false) {
		c.Log.Warn("controller stream lost, keeping the current tables", "lost", address, "error", err)
	}
	none := ""
	c.currentController.Store(&none)
	c.Counters.StreamFailures.Add(1)
}

// followUpdates opens a stream to one controller and applies its updates until the stream ends.
func (c *Client) followUpdates(ctx context.Context, address string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic on the controller stream: %v at %s", v, debug.Stack())
		}
	}()
	c.Counters.Dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial controller: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var reporting sync.WaitGroup
	defer reporting.Wait()
	defer conn.Close()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	w := &messageWriter{conn: conn, pool: c.pool}
	if err := c.sendHello(w); err != nil {
		return fmt.Errorf("send hello to controller: %w", err)
	}
	c.Counters.Streams.Add(1)
	reporting.Go(func() { c.reportDemand(ctx, w) })
	return c.readUpdates(w, address)
}

// sendHello introduces the proxy to the controller.
func (c *Client) sendHello(w *messageWriter) error {
	return w.send(c.helloMessage()...)
}

// readUpdates applies the updates of a stream until it ends, and returns why it has ended.
func (c *Client) readUpdates(w *messageWriter, address string) error {
	reader := resp.NewReader(socket.Reader{Conn: w.conn}, c.pool)
	defer reader.Close()
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
		if !c.updated.Swap(true) {
			c.Log.Info("applying updates from controller", "controller", address)
		}
		c.currentController.Store(&address)
		message = updateMessage{}
	}
}

// readMessage reads one message of a controller. It fails if none arrives within responseTimeout, or if the controller
// refuses the proxy.
func readMessage(conn net.Conn, reader *resp.Reader) ([]string, error) {
	conn.SetReadDeadline(time.Now().Add(responseTimeout))
	words, err := reader.Next()
	if err != nil {
		return nil, fmt.Errorf("read from controller: %w", err)
	}
	if len(words) > 0 && words[0] == wordError {
		return nil, fmt.Errorf("%w: %q", errRefused, words[1:])
	}
	return words, nil
}

// apply applies an update, and sends an ack if the update requests one.
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

// reportDemand sends demand reports and probes to the controller until ctx ends or a write fails. After a failed write it
// closes the connection.
func (c *Client) reportDemand(ctx context.Context, w *messageWriter) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	if time.Since(c.demandSince) > maxReportAge { // the demand was counted without a controller, and is out of date
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

// sendDemand reports the requests since the last report with the actual length of that period. The last report may have gone
// to another controller: if the requests that arrived between that stream and this one were reported as the requests of one
// second, the reported rate would be many times the actual rate.
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
