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
	"lilacbend/internal/loadreport"
	"lilacbend/internal/ratelimit"
	"lilacbend/internal/resp"
	"lilacbend/internal/socket"
)

const (
	// sidecarTimeout is how long a sidecar may send nothing before its connection is closed.
	sidecarTimeout = 30 * time.Second
	// acceptRetry is the wait after an error of Accept.
	acceptRetry = 20 * time.Millisecond
	// collectorPoolSize bounds the buffers for long messages of a collector, in bytes.
	collectorPoolSize = 4 << 20
	// maxSidecarReplicas is the number of replicas that one sidecar may report within sidecarNamePeriod. It leaves a quarter of
	// maxReplicas to the other sidecars of the zone.
	maxSidecarReplicas = maxReplicas / 4 * 3
	sidecarNamePeriod  = maxReportAge
)

// sidecarRate is the rate of messages of one sidecar: two reports of maxReplicas replicas in each second, and what arrives at once
// after a stall.
var sidecarRate = ratelimit.Rate{PerSecond: 2 * maxReplicas, Burst: 4 * maxReplicas}

// errControllerClosed is returned for a connection that the controller has closed, or on which it has refused the collector.
var errControllerClosed = errors.New("controller closed the connection or refused the collector")

// errTooManyReplicas is returned for a report of a sidecar that reports more replicas than maxSidecarReplicas.
var errTooManyReplicas = errors.New("sidecar reports too many replicas")

// Collector sums the outcomes that the sidecars of a zone report, and reports the sums to controllers.
type Collector struct {
	Zone           string
	Controllers    []string
	Interval       time.Duration // time between two reports to a controller
	BytesPerSecond int           // limit of the reports to one controller; 0: no limit
	Log            *slog.Logger
	MaxSidecars    int
	Received       atomic.Int64 // reports received from sidecars
	Skipped        atomic.Int64 // messages of sidecars that could not be used
	HeldBack       atomic.Int64 // pauses in reading sidecars that send too many messages
	Reported       atomic.Int64 // messages sent to controllers

	pool        *resp.Pool
	pending     []*pendingOutcomes // outcomes not reported yet, by controller
	connections atomic.Int64
	sources     atomic.Uint64 // IDs of sources given out
}

// Serve accepts sidecars until ctx ends, and reports the sums of their outcomes to the controllers.
func (c *Collector) Serve(ctx context.Context, l net.Listener) {
	c.pool = resp.NewPool(collectorPoolSize)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	for k, address := range c.Controllers {
		pending := newPendingOutcomes(c.Interval, c.BytesPerSecond)
		c.pending = append(c.pending, pending)
		goroutines.Go(func() { c.reportContinuously(ctx, address, pending, uint64(k)) })
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			c.acceptSidecar(ctx, conn, &goroutines)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetry)
		}
	}
}

// acceptSidecar serves a sidecar's connection in a goroutine of its own, or closes it if MaxSidecars are connected.
func (c *Collector) acceptSidecar(ctx context.Context, conn net.Conn, goroutines *sync.WaitGroup) {
	if c.connections.Add(1) > int64(c.MaxSidecars) {
		c.connections.Add(-1)
		conn.Close()
		return
	}
	goroutines.Go(func() {
		defer c.connections.Add(-1)
		defer conn.Close()
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		err := c.readSidecar(conn)
		c.Log.Debug("sidecar disconnected", "from", conn.RemoteAddr(), "error", err)
	})
}

// readSidecar reads the reports of one sidecar until its connection ends, and returns why it has ended. Messages that cannot
// be used are skipped.
func (c *Collector) readSidecar(conn net.Conn) error {
	writer := &messageWriter{conn: conn, pool: c.pool}
	reader := resp.NewReader(socket.Reader{Conn: conn}, c.pool)
	defer reader.Close()
	var limiter ratelimit.Limiter
	source := c.newReportSource()
	for {
		now := time.Now()
		if wait := limiter.Take(now, sidecarRate); wait > 0 {
			c.HeldBack.Add(1)
			time.Sleep(wait)
		}
		conn.SetReadDeadline(time.Now().Add(sidecarTimeout))
		words, err := reader.Next()
		if errors.Is(err, resp.ErrNotBulkStringArray) {
			c.Skipped.Add(1)
			continue
		}
		if err != nil {
			return err
		}
		if len(words) == 1 && words[0] == wordProbe { // all earlier messages have been read
			if err := writer.send(wordAlive); err != nil {
				return err
			}
			continue
		}
		if err := c.receive(words, source); err != nil {
			c.Skipped.Add(1)
			c.Log.Debug("sidecar message skipped", "from", conn.RemoteAddr(), "error", err)
		}
	}
}

// reportSource is the connection of one sidecar as a source of reports. It is used by the goroutine that reads the connection.
type reportSource struct {
	id    loadreport.SourceID
	names ratelimit.Names // of the replicas that the sidecar reports
}

// newReportSource returns a source of reports with an ID of its own.
func (c *Collector) newReportSource() *reportSource {
	return &reportSource{
		id:    loadreport.SourceID(c.sources.Add(1)),
		names: ratelimit.Names{Max: maxSidecarReplicas, Period: sidecarNamePeriod},
	}
}

// receive adds a report of a sidecar to the pending outcomes of each controller.
func (c *Collector) receive(words []string, source *reportSource) error {
	report, err := parseOutcomeReport(words)
	if err != nil {
		return err
	}
	if !source.names.Admit(report.replica, time.Now()) {
		return errTooManyReplicas
	}
	c.Received.Add(1)
	for _, pending := range c.pending {
		pending.add(source.id, report)
	}
	return nil
}

// reportContinuously reports to one controller until ctx ends, and reconnects whenever the connection ends.
func (c *Collector) reportContinuously(ctx context.Context, address string, pending *pendingOutcomes, seed uint64) {
	retry := backoff.NewJittered(backoffInitial, backoffLimit, seed)
	for ctx.Err() == nil {
		began := time.Now()
		err := c.reportTo(ctx, address, pending)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > stableStreamAge {
			c.Log.Warn("connection to controller lost", "controller", address, "error", err)
			retry.Reset()
		}
		backoff.Sleep(ctx, retry.Next())
	}
}

// reportTo reports to a controller on one connection until the connection or ctx ends. When ctx ends, a write to a
// controller that reads nothing is interrupted.
func (c *Collector) reportTo(ctx context.Context, address string, pending *pendingOutcomes) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial controller: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	w := &messageWriter{conn: conn, pool: c.pool}
	if err := w.send(c.collectorMessage()...); err != nil {
		return fmt.Errorf("join controller: %w", err)
	}
	pending.recordConnection()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.waitForClose(conn)
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
			return fmt.Errorf("report outcomes to controller: %w", err)
		}
	}
}

// waitForClose reads until the controller closes the connection or refuses the collector. The only other messages of
// controllers to collectors are answers to probes.
func (c *Collector) waitForClose(conn net.Conn) {
	reader := resp.NewReader(conn, c.pool)
	defer reader.Close()
	for {
		words, err := reader.Next()
		if err != nil || len(words) > 0 && words[0] == wordError {
			return
		}
	}
}

// sendOutcomes sends the outcomes that are pending for a controller, one message for each replica, as far as the budget
// allows.
func (c *Collector) sendOutcomes(w *messageWriter, pending *pendingOutcomes) error {
	pending.beginRound()
	for {
		report, ok := pending.next()
		if !ok {
			return nil
		}
		sent, err := w.sendSized(c.outcomesMessage(report)...)
		if err != nil {
			return err
		}
		pending.recordSent(sent)
		c.Reported.Add(1)
	}
}
