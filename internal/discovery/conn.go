package discovery

import (
	"errors"
	"net"
	"time"
)

// pacedConn is a connection whose read deadline is extended by each piece of an answer that arrives, up to a last
// deadline.
type pacedConn struct {
	net.Conn
	deadline time.Time // for the next piece
	latest   time.Time // for the complete answer; never before deadline
	received bool      // a piece of the expected answer has arrived
}

// expect sets the deadlines for an answer that the service may delay for wait, and that may then take readTime if it arrives
// in pieces.
func (c *pacedConn) expect(wait, readTime time.Duration) {
	now := time.Now()
	c.deadline = now.Add(wait + answerTimeout)
	c.latest = now.Add(wait + readTime)
	c.received = false
	c.SetDeadline(c.deadline)
}

// Read reads, and extends the deadline if something arrived. It never shortens it: a service that sends the header of an
// answer at once may delay the body as long as it may delay the whole answer.
func (c *pacedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.received = true
		c.extendDeadline()
	}
	return n, err
}

// extendDeadline allows answerTimeout for the next piece, but not past latest.
func (c *pacedConn) extendDeadline() {
	extended := time.Now().Add(answerTimeout)
	if extended.After(c.latest) {
		extended = c.latest
	}
	if extended.After(c.deadline) {
		c.deadline = extended
		c.SetReadDeadline(extended)
	}
}

// exhausted reports whether the answer has used up its time.
func (c *pacedConn) exhausted() bool { return !time.Now().Before(c.latest) }

// isTimeout reports whether a call failed because nothing arrived in time.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
