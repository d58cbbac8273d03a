package controlclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/backoff"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/resp"
)

const (
	dialTimeout = time.Second
	// The waits after failed streams, with jitter: all sidecars of a governor that dies come to the others, and not at once.
	backoffInitial = 50 * time.Millisecond
	backoffLimit   = 2 * time.Second
	// A stream that has lasted so long was a good one: the next wait is the initial one again.
	goodStreamAge = 5 * time.Second
	// The requests that came are reported, and the governor is probed, this often. One that has vanished says nothing, and is
	// given up after the timeout.
	reportInterval = time.Second
	silenceTimeout = 4 * time.Second
	// clientPoolSize bounds the buffers for long messages of one client, in bytes.
	clientPoolSize = 2 << 20
)

// Core is what updates are applied to, and what counts the requests that came.
type Core interface {
	// Apply applies the parts of an update, all of them or none.
	Apply(parts []dispatch.Update) error
	// HasTables reports whether an update with tables was applied.
	HasTables() bool
	// TakeDemand returns the demand by traffic class since the last call.
	TakeDemand() []dispatch.Demand
}

// Counters are what a client has counted.
type Counters struct{ Dials, Streams, Broken, Updates, Acks, Unusable, Demands atomic.Int64 }

// Client holds a stream to one of several governors. While none answers, the core goes on with what it has.
type Client struct {
	Counters    Counters
	Controllers []string
	ID          int // of the proxy
	Zone        string
	Classes     []string
	Rate        float64 // a rough figure of requests a second
	Core        Core
	Seed        uint64
	Log         *slog.Logger

	pool        *resp.Pool
	demandSince time.Time // when the requests that came were last taken from the core
	connected   atomic.Bool
	current     atomic.Pointer[string]
}

// Controller is the address of the governor that the stream is to; empty: there is none.
func (c *Client) Controller() string {
	if address := c.current.Load(); address != nil {
		return *address
	}
	return ""
}

// Run holds a stream until ctx ends, to one governor after another. Clients begin at different ones, by their id.
func (c *Client) Run(ctx context.Context) {
	c.pool = resp.NewPool(clientPoolSize)
	c.demandSince = time.Now()
	retry := backoff.NewJittered(backoffInitial, backoffLimit, c.Seed)
	at := c.ID % max(1, len(c.Controllers))
	for ctx.Err() == nil && len(c.Controllers) > 0 {
		began := time.Now()
		err := c.followGovernor(ctx, c.Controllers[at])
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
		c.Log.Warn("no governor, the tables stay", "lost", address, "error", err)
	}
	none := ""
	c.current.Store(&none)
	c.Counters.Broken.Add(1)
}

// followGovernor opens a stream to one governor and applies its updates until the stream ends.
func (c *Client) followGovernor(ctx context.Context, address string) (err error) {
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

// sendHello says who the proxy is.
func (c *Client) sendHello(w *messageWriter) error {
	blank := "1"
	if c.Core.HasTables() {
		blank = "0"
	}
	return w.send("hello", "id", strconv.Itoa(c.ID), "site", c.Zone, "rps", formatNumber(c.Rate), "new", blank)
}

// readUpdates applies the updates of a stream, and returns why it has ended.
func (c *Client) readUpdates(w *messageWriter, address string) error {
	reader := resp.NewReader(w.conn, c.pool)
	for message := (updateMessage{}); ; {
		words, err := readMessage(w.conn, reader)
		if err != nil {
			return err
		}
		if len(words) > 0 && words[0] == "alive" {
			continue
		}
		if err := message.addPart(words); err != nil {
			c.Counters.Unusable.Add(1)
			return err
		}
		if message.unfinished {
			continue
		}
		if err := c.apply(w, message); err != nil {
			return err
		}
		if !c.connected.Swap(true) {
			c.Log.Info("steered", "governor", address)
		}
		c.current.Store(&address)
		message = updateMessage{}
	}
}

// readMessage reads one message of a governor. It fails if none comes in time, or if the governor refuses the proxy.
func readMessage(conn net.Conn, reader *resp.Reader) ([]string, error) {
	conn.SetReadDeadline(time.Now().Add(silenceTimeout))
	words, err := reader.Next()
	if err != nil {
		return nil, fmt.Errorf("hearing: %w", err)
	}
	if len(words) > 0 && words[0] == "error" {
		return nil, fmt.Errorf("sent away: %q", words[1:])
	}
	return words, nil
}

// apply applies an update and acks it.
func (c *Client) apply(w *messageWriter, message updateMessage) error {
	began := time.Now()
	if err := c.Core.Apply(message.parts); err != nil {
		if errors.Is(err, dispatch.ErrInvalidUpdate) {
			c.Counters.Unusable.Add(1)
		}
		return err
	}
	c.Counters.Updates.Add(1)
	if !message.wantsAck {
		return nil
	}
	c.Counters.Acks.Add(1)
	return w.send("ack", "id", strconv.Itoa(c.ID), "seq", strconv.FormatUint(message.nonce, 10),
		"ms", formatNumber(millis(time.Since(began))))
}

// reportDemand reports the requests that came, and probes the governor, until ctx ends or a write fails; then it closes the
// connection.
func (c *Client) reportDemand(ctx context.Context, w *messageWriter) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	if time.Since(c.demandSince) > maxReportAge { // what came while there was no governor tells nothing of now
		c.Core.TakeDemand()
		c.demandSince = time.Now()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if c.sendDemand(w) != nil || w.send("probe") != nil {
			w.conn.Close()
			return
		}
	}
}

// sendDemand reports the requests since the last report. That may have gone to another governor: requests also came between
// the last stream's end and this one, and reported as those of a second they would be many times what comes.
func (c *Client) sendDemand(w *messageWriter) error {
	period := time.Since(c.demandSince)
	c.demandSince = c.demandSince.Add(period)
	for class, usage := range c.Core.TakeDemand() {
		if usage.Requests == 0 && usage.Failures == 0 {
			continue
		}
		c.Counters.Demands.Add(1)
		err := w.send("demand", "id", strconv.Itoa(c.ID), "lane", c.Classes[class], "count", strconv.Itoa(usage.Requests),
			"fail", strconv.Itoa(usage.Failures), "over", formatNumber(millis(period)))
		if err != nil {
			return err
		}
	}
	return nil
}
