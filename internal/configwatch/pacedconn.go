package configwatch

import (
	"net"
	"time"

	"lilacbend/internal/configclient"
	"lilacbend/internal/socket"
)

// pacedConn is a connection whose read deadline is extended by each part of an answer that arrives, up to a final deadline.
// It counts the bytes of both directions.
type pacedConn struct {
	net.Conn
	counts   *counters
	deadline time.Time // for the next part of the answer
	latest   time.Time // the deadline is not extended beyond this time
	received bool      // a part of the expected answer has arrived
}

// expect sets the deadlines for an answer before which the server may wait for the given time.
func (c *pacedConn) expect(wait time.Duration) {
	now := time.Now()
	c.deadline = now.Add(wait + configclient.AnswerTimeout)
	c.latest = now.Add(wait + readTimeLimit)
	c.received = false
	c.SetDeadline(c.deadline)
}

// Read reads from the connection, and extends the read deadline if data has arrived.
func (c *pacedConn) Read(buffer []byte) (int, error) {
	n, err := socket.Read(c.Conn, buffer)
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

// Write writes to the connection.
func (c *pacedConn) Write(raw []byte) (int, error) {
	n, err := c.Conn.Write(raw)
	c.counts.bytesOut.Add(int64(n))
	return n, err
}
