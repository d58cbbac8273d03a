package controlclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"lilacbend/internal/resp"
)

// collectorConn is a reporter's connection to a collector. Each report ends with a probe, whose answer confirms that the
// collector has read all earlier messages.
type collectorConn struct {
	address          string
	writer           *messageWriter
	stopContextWatch func() bool // stops closing the connection at the end of the reporter's context

	mu           sync.Mutex
	probes       uint64    // probes sent
	answers      uint64    // answers received
	waitingSince time.Time // when the oldest unanswered probe was sent or the probe before it was answered, whichever is later
	unconfirmed  int       // sums sent since all probes were last answered

	done chan struct{} // closed when the connection has ended
}

// dialCollector connects to a collector, and closes the connection when ctx ends.
func dialCollector(ctx context.Context, address string, timeout time.Duration, pool *resp.Pool) (*collectorConn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial collector: %w", err)
	}
	c := &collectorConn{address: address, writer: &messageWriter{conn: conn, pool: pool}, done: make(chan struct{})}
	c.stopContextWatch = context.AfterFunc(ctx, func() { conn.Close() })
	go c.readAnswers(resp.NewReader(conn, pool))
	return c, nil
}

// readAnswers records the answers to probes until the connection ends. It is the only reader; close waits for it.
func (c *collectorConn) readAnswers(reader *resp.Reader) {
	defer close(c.done)
	defer reader.Close()
	for {
		words, err := reader.Next()
		if err != nil && !errors.Is(err, resp.ErrNotBulkStringArray) {
			return
		}
		if err == nil && len(words) > 0 && words[0] == wordAlive {
			c.recordAnswer(time.Now())
		}
	}
}

// recordAnswer records an answer to a probe. It ignores an answer if no probe is unanswered.
func (c *collectorConn) recordAnswer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers == c.probes { // no probe is unanswered
		return
	}
	c.answers++
	c.waitingSince = now
	if c.answers == c.probes {
		c.unconfirmed = 0
	}
}

// probe sends a probe, whose answer confirms the sums that were sent since the last probe; sums is their number.
func (c *collectorConn) probe(sums int) error {
	c.mu.Lock()
	if c.answers == c.probes {
		c.waitingSince = time.Now()
	}
	c.probes++
	c.unconfirmed += sums
	c.mu.Unlock()
	return c.writer.send(wordProbe)
}

// hasAnswered reports whether the collector has answered a probe on this connection.
func (c *collectorConn) hasAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers > 0
}

// unresponsive reports whether the answer to a probe has been missing for longer than responseTimeout.
func (c *collectorConn) unresponsive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers < c.probes && now.Sub(c.waitingSince) > responseTimeout
}

// closedByCollector reports whether the collector has closed the connection. The first write after the close would succeed,
// although the collector never reads the message. A close that has already arrived is noticed within closedCheckTime.
func (c *collectorConn) closedByCollector() bool {
	timer := time.NewTimer(closedCheckTime)
	defer timer.Stop()
	select {
	case <-c.done:
		return true
	case <-timer.C:
		return false
	}
}

// close closes the connection, and returns the number of sent sums that no answer has confirmed.
func (c *collectorConn) close() (unconfirmed int) {
	c.stopContextWatch()
	c.writer.conn.Close()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unconfirmed
}
