package discovery

import (
	"errors"
	"net"
	"time"
)

// pacedConn is a connection on which an answer may take long for as long as something arrives. Its read deadline moves with
// each piece, up to a last one.
type pacedConn struct {
	net.Conn
	deadline time.Time // the next piece arrives by then
	latest   time.Time // the last piece arrives by then
	received bool      // some piece of the expected answer
}

// expect sets the deadlines for an answer that the other side may hold back for wait, and that may then take readTime if it
// arrives in pieces.
func (c *pacedConn) expect(wait, readTime time.Duration) {
	now := time.Now()
	c.deadline = now.Add(wait + answerTimeout)
	c.latest = now.Add(wait + readTime)
	c.received = false
	c.SetDeadline(c.deadline)
}

// Read reads, and moves the deadline on if something arrived. It never brings the deadline nearer: who sends the head of an
// answer at once may wait with the rest for as long as with all of it.
func (c *pacedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received = true
		c.extendDeadline()
	}
	return n, err
}

// extendDeadline gives the next piece answerTimeout from now on, but not past the latest time.
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

// exhausted says whether the answer has taken all of its time.
func (c *pacedConn) exhausted() bool { return !time.Now().Before(c.latest) }

// isTimeout says whether a call failed because nothing arrived in time.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
