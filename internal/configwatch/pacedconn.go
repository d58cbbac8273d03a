package configwatch

import (
	"net"
	"time"

	"lilacbend/internal/configclient"
)

// pacedConn is a connection whose read deadline is extended by each piece of an answer that arrives, up to a last deadline.
// It counts bytes.
type pacedConn struct {
	net.Conn
	counts   *counters
	deadline time.Time // for the next piece
	latest   time.Time // the deadline is extended only while it stays before this time
	received bool      // a piece of the expected answer has arrived
}

// expect sets the deadlines for an answer that the server may delay for wait.
func (c *pacedConn) expect(wait time.Duration) {
	now := time.Now()
	c.deadline = now.Add(wait + configclient.AnswerTimeout)
	c.latest = now.Add(wait + readTimeLimit)
	c.received = false
	c.SetDeadline(c.deadline)
}

// Read reads, and extends the deadline if something arrived.
func (c *pacedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.counts.bytesIn.Add(int64(n))
		c.received = true
		c.extendDeadline()
	}
	return n, err
}

func (c *pacedConn) extendDeadline() {
	extended := time.Now().Add(configclient.AnswerTimeout)
	if extended.After(c.deadline) && extended.Before(c.latest) {
		c.deadline = extended
		c.SetReadDeadline(extended)
	}
}

// Write writes and counts.
func (c *pacedConn) Write(raw []byte) (int, error) {
	n, err := c.Conn.Write(raw)
	c.counts.bytesOut.Add(int64(n))
	return n, err
}
