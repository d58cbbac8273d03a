package controlclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/backoff"
	"lilacbend/internal/resp"
)

const (
	// sidecarTimeout is how long a sidecar may say nothing before it counts as gone.
	sidecarTimeout = 30 * time.Second
	// acceptRetry is the wait of a listener that cannot accept.
	acceptRetry = 20 * time.Millisecond
	// collectorPoolSize bounds the buffers for long messages of a collector, in bytes.
	collectorPoolSize = 4 << 20
)

// errControllerClosed is the cause of a connection that its controller has ended.
var errControllerClosed = errors.New("the controller ended the connection")

// Collector sums the outcomes that a zone's sidecars report, and reports them to controllers.
type Collector struct {
	Zone        string
	Controllers []string
	Interval    time.Duration // between two reports
	Budget      int           // bytes a second that the reports to one controller may take; 0: no limit
	Log         *slog.Logger
	MaxSidecars int
	Received    atomic.Int64 // reports of sidecars
	Skipped     atomic.Int64 // messages that could not be used
	Reported    atomic.Int64 // messages to controllers

	pool        *resp.Pool
	pending     []*pendingOutcomes // by controller
	connections atomic.Int64
}

// Serve takes sidecars in until ctx ends, and reports what they report.
func (c *Collector) Serve(ctx context.Context, l net.Listener) {
	c.pool = resp.NewPool(collectorPoolSize)
	var all sync.WaitGroup
	defer all.Wait()
	for k, address := range c.Controllers {
		pending := newPendingOutcomes(c.Interval, c.Budget)
		c.pending = append(c.pending, pending)
		all.Go(func() { c.followController(ctx, address, pending, uint64(k)) })
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			c.admit(ctx, conn, &all)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetry)
		}
	}
}

// admit serves a connection in a goroutine of its own, or closes it if there are too many.
func (c *Collector) admit(ctx context.Context, conn net.Conn, all *sync.WaitGroup) {
	if c.connections.Add(1) > int64(c.MaxSidecars) {
		c.connections.Add(-1)
		conn.Close()
		return
	}
	all.Go(func() {
		defer c.connections.Add(-1)
		defer conn.Close()
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		err := c.readSidecar(conn)
		c.Log.Debug("sidecar disconnected", "from", conn.RemoteAddr(), "error", err)
	})
}

// readSidecar reads the reports of one sidecar until its connection ends, and returns why. A message that cannot be used is
// skipped.
func (c *Collector) readSidecar(conn net.Conn) error {
	answers := &messageWriter{conn: conn, pool: c.pool}
	for reader := resp.NewReader(conn, c.pool); ; {
		conn.SetReadDeadline(time.Now().Add(sidecarTimeout))
		words, err := reader.Next()
		if errors.Is(err, resp.ErrNotWords) {
			c.Skipped.Add(1)
			continue
		}
		if err != nil {
			return err
		}
		if len(words) == 1 && words[0] == wordProbe { // all messages before it have been read
			if err := answers.send(wordAlive); err != nil {
				return err
			}
			continue
		}
		if err := c.receive(words); err != nil {
			c.Skipped.Add(1)
			c.Log.Debug("message skipped", "from", conn.RemoteAddr(), "error", err)
		}
	}
}

// receive adds a report to what is pending for each controller.
func (c *Collector) receive(words []string) error {
	report, err := parseOutcomeReport(words)
	if err != nil {
		return err
	}
	c.Received.Add(1)
	for _, pending := range c.pending {
		pending.add(report)
	}
	return nil
}

// followController reports to one controller until ctx ends, on one connection after another.
func (c *Collector) followController(ctx context.Context, address string, pending *pendingOutcomes, seed uint64) {
	retry := backoff.NewJittered(backoffInitial, backoffLimit, seed)
	for ctx.Err() == nil {
		began := time.Now()
		err := c.reportTo(ctx, address, pending)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > goodStreamAge {
			c.Log.Warn("controller lost", "controller", address, "error", err)
			retry.Reset()
		}
		backoff.Sleep(ctx, retry.Next())
	}
}

// reportTo reports to a controller on one connection until that ends. The end of ctx does not wait for a controller that
// reads nothing.
func (c *Collector) reportTo(ctx context.Context, address string, pending *pendingOutcomes) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	w := &messageWriter{conn: conn, pool: c.pool}
	if err := w.send(c.collectorMessage()...); err != nil {
		return fmt.Errorf("joining: %w", err)
	}
	pending.connected()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.awaitEnd(conn)
	}()
	defer func() {
		conn.Close()
		<-closed
	}()
	tick := time.NewTicker(c.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return errControllerClosed
		case <-tick.C:
		}
		if err := c.sendOutcomes(w, pending); err != nil {
			return fmt.Errorf("reporting: %w", err)
		}
	}
}

// awaitEnd reads until a controller ends the connection or refuses the collector. Controllers send collectors nothing else
// but answers to probes.
func (c *Collector) awaitEnd(conn net.Conn) {
	for reader := resp.NewReader(conn, c.pool); ; {
		words, err := reader.Next()
		if err != nil || len(words) > 0 && words[0] == wordError {
			return
		}
	}
}

// sendOutcomes sends what is pending for a controller, a message for each replica, as far as the budget allows.
func (c *Collector) sendOutcomes(w *messageWriter, pending *pendingOutcomes) error {
	pending.begin()
	for {
		report, ok := pending.next()
		if !ok {
			return nil
		}
		sent, err := w.sendSized(c.outcomesMessage(report)...)
		if err != nil {
			return err
		}
		pending.spent(sent)
		c.Reported.Add(1)
	}
}
