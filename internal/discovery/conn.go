package discovery

import (
	"errors"
	"net"
	"time"

	"lilacbend/internal/socket"
)

// pacedConn is a connection whose read deadline is extended whenever a piece of an answer arrives, up to a final deadline.
type pacedConn struct {
	net.Conn
	deadline      time.Time // for the next piece
	finalDeadline time.Time // for the complete answer; never before deadline
	received      bool      // a piece of the expected answer has arrived
}

// expect sets the deadlines for an answer that the service may delay for wait. If the answer arrives in pieces, it may take
// readTime longer.
func (c *pacedConn) expect(wait, readTime time.Duration) {
	now := time.Now()
	c.deadline = now.Add(wait + answerTimeout)
	c.finalDeadline = now.Add(wait + readTime)
	c.received = false
	c.SetDeadline(c.deadline)
}

// Read reads from the connection, and extends the deadline if it has read something. It never shortens the deadline: a
// service that sends the header of an answer at once may delay the body as long as it may delay the whole answer.
func (c *pacedConn) Read(buffer []byte) (int, error) {
	n, err := socket.Read(c.Conn, buffer)
	if n > 0 {
		c.received = true
		c.extendDeadline()
	}
	return n, err
}

// extendDeadline moves the deadline to answerTimeout from now, but not past finalDeadline and not back.
func (c *pacedConn) extendDeadline() {
	extended := time.Now().Add(answerTimeout)
	if extended.After(c.finalDeadline) {
		extended = c.finalDeadline
	}
	if extended.After(c.deadline) {
		c.deadline = extended
		c.SetReadDeadline(extended)
	}
}

// pastFinalDeadline reports whether the time for the complete answer has passed.
func (c *pacedConn) pastFinalDeadline() bool { return !time.Now().Before(c.finalDeadline) }

// isTimeout reports whether a call failed because nothing arrived in time.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
