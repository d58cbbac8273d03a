package upstream

import (
	"net"
	"sync"
	"time"
)

// Cancellation ends whatever a request waits for, once its client waits no longer. It takes the place of a context
// because it can be reused: a request allocates nothing for it. The zero value is ready for use, by several goroutines
// at once.
type Cancellation struct {
	mu       sync.Mutex
	canceled bool
	conn     net.Conn      // that the request uses now
	done     chan struct{} // made when it is first asked for
}

// expired is a deadline that is over.
var expired = time.Unix(1, 0)

// Cancel ends what the request waits for, now and from now on.
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

// Reset makes it ready for another request.
func (c *Cancellation) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = false
	c.conn = nil
	c.done = nil
}

// attach gives the connection that the request uses a deadline, and ends its use on Cancel.
func (c *Cancellation) attach(conn net.Conn, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	if c.canceled {
		deadline = expired
	}
	conn.SetDeadline(deadline)
}

// detach ends the use of the connection.
func (c *Cancellation) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}

// allowRead gives the next read of the connection a timeout.
func (c *Cancellation) allowRead(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.canceled {
		c.conn.SetReadDeadline(time.Now().Add(timeout))
	}
}
