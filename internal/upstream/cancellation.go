package upstream

import (
	"net"
	"sync"
	"time"
)

// Cancellation cancels a request whose client no longer waits for it: it ends dials, waits, reads and writes of the request.
// It is used in place of a context because it can be reused, so that a request allocates nothing for it. The zero value is
// ready for use, also by several goroutines at once.
type Cancellation struct {
	mu       sync.Mutex
	canceled bool
	conn     net.Conn      // the connection to a replica that the request uses; nil: none
	done     chan struct{} // created by the first call of Done
}

// expired is a deadline in the past: setting it ends pending reads and writes at once.
var expired = time.Unix(1, 0)

// Cancel cancels the request: all of its current and further operations that wait end at once.
func (c *Cancellation) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return
	}
	c.canceled = true
	if c.conn != nil {
		c.conn.SetDeadline(expired)
	}
	if c.done != nil {
		close(c.done)
	}
}

// Canceled reports whether Cancel was called.
func (c *Cancellation) Canceled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceled
}

// Done returns a channel that is closed by Cancel.
func (c *Cancellation) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.canceled {
			close(c.done)
		}
	}
	return c.done
}

// Reset makes the Cancellation ready for another request.
func (c *Cancellation) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = false
	c.conn = nil
	c.done = nil
}

// attach sets the deadline of a connection that the request is about to use. From then on Cancel ends its reads and
// writes.
func (c *Cancellation) attach(conn net.Conn, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	if c.canceled {
		deadline = expired
	}
	conn.SetDeadline(deadline)
}

// detach ends the request's use of the connection: Cancel no longer affects it.
func (c *Cancellation) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}

// setReadTimeout sets the timeout of the next read of the connection.
func (c *Cancellation) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.canceled {
		c.conn.SetReadDeadline(time.Now().Add(timeout))
	}
}
