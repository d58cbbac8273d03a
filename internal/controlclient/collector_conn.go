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

// collectorConn is a connection of a reporter to a collector. Each report ends with a probe, whose answer shows that the
// collector has read all before it.
type collectorConn struct {
	address string
	writer  *messageWriter
	unwatch func() bool // ends the watch of the reporter's context

	mu          sync.Mutex
	probes      uint64    // that were sent
	answers     uint64    // that have come
	waitsSince  time.Time // when the oldest probe without an answer was sent, or its predecessor answered
	unconfirmed int       // sums that were sent since all probes were last answered

	done chan struct{} // closed once the collector has ended the connection
}

// dialCollector connects to a collector, and closes the connection when ctx ends.
func dialCollector(ctx context.Context, address string, timeout time.Duration, pool *resp.Pool) (*collectorConn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial collector: %w", err)
	}
	c := &collectorConn{address: address, writer: &messageWriter{conn: conn, pool: pool}, done: make(chan struct{})}
	c.unwatch = context.AfterFunc(ctx, func() { conn.Close() })
	go c.readAnswers(resp.NewReader(conn, pool))
	return c, nil
}

// readAnswers records the answers to probes until the connection ends. It is the only reader; close waits for it.
func (c *collectorConn) readAnswers(reader *resp.Reader) {
	defer close(c.done)
	for {
		words, err := reader.Next()
		if err != nil && !errors.Is(err, resp.ErrNotWords) {
			return
		}
		if err == nil && len(words) > 0 && words[0] == wordAlive {
			c.confirm(time.Now())
		}
	}
}

// confirm records an answer.
func (c *collectorConn) confirm(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers == c.probes { // no probe is open
		return
	}
	c.answers++
	c.waitsSince = now
	if c.answers == c.probes {
		c.unconfirmed = 0
	}
}

// probe asks for an answer that confirms a number of sums.
func (c *collectorConn) probe(sums int) error {
	c.mu.Lock()
	if c.answers == c.probes {
		c.waitsSince = time.Now()
	}
	c.probes++
	c.unconfirmed += sums
	c.mu.Unlock()
	return c.writer.send(wordProbe)
}

// confirmed reports whether the collector has answered yet.
func (c *collectorConn) confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers > 0
}

// silent reports whether an answer has been missing for the timeout.
func (c *collectorConn) silent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers < c.probes && now.Sub(c.waitsSince) > silenceTimeout
}

// ended reports whether the collector has ended the connection: the first message after that would be written without an
// error, and nobody would read it. An end that has come is seen within closedCheckTime.
func (c *collectorConn) ended() bool {
	timer := time.NewTimer(closedCheckTime)
	defer timer.Stop()
	select {
	case <-c.done:
		return true
	case <-timer.C:
		return false
	}
}

// close closes the connection and returns how many sums were sent that no answer has confirmed.
func (c *collectorConn) close() (unconfirmed int) {
	c.unwatch()
	c.writer.conn.Close()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unconfirmed
}
