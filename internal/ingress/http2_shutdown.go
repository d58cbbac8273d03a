package ingress

import (
	"errors"
	"os"
	"time"

	"golang.org/x/net/http2"
)

const (
	// lingerTimeout is how long a client may send nothing on a connection whose last response was sent. The client is
	// expected to close the connection; if the sidecar closed it first, bytes that the client still sends would cause a TCP
	// reset.
	lingerTimeout = time.Second
	// goAwayTimeout is the time for sending a GOAWAY to a client that has made an error.
	goAwayTimeout = time.Second
)

// abort implements clientConn. It resets each open stream, so that the client learns that the request has ended.
func (c *http2Conn) abort() {
	c.mu.Lock()
	open := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		open = append(open, id)
	}
	c.mu.Unlock()
	c.connWriter.setOverallTimeout(drainPause)
	c.write(func() error {
		for _, id := range open {
			if err := c.framer.WriteRSTStream(id, http2.ErrCodeCancel); err != nil {
				return err
			}
		}
		return nil
	})
	c.conn.Close() // the goroutine that reads then cancels all requests
}

// drain implements clientConn by two GOAWAY frames: the first announces the shutdown, and the second names the last stream
// that is served. Streams that the client opens between the two are served.
func (c *http2Conn) drain() {
	c.write(func() error {
		if c.isRefusing() { // a GOAWAY has named the last stream, which no later one may raise
			return nil
		}
		return c.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil)
	})
	select {
	case <-c.serveDone:
		return
	case <-time.After(drainPause):
	}
	c.endGracefully(http2.ErrCodeNo)
}

// isRefusing reports whether the connection refuses further streams.
func (c *http2Conn) isRefusing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusing
}

// endGracefully refuses further streams by a GOAWAY with the given reason, and lets the connection end with its last
// response. Only the first call has an effect.
func (c *http2Conn) endGracefully(reason http2.ErrCode) {
	c.mu.Lock()
	ending := c.refusing
	c.refusing = true
	last := c.lastServed
	c.mu.Unlock()
	if ending {
		return
	}
	c.write(func() error { return c.framer.WriteGoAway(last, reason, nil) })
	c.mu.Lock()
	c.goAwaySent = true
	idle := c.inFlight == 0
	c.mu.Unlock()
	if idle {
		c.closeWrite()
	}
}

// closeWrite closes the sending side of a connection whose last response was sent. Frames that were written before still
// reach the client.
func (c *http2Conn) closeWrite() {
	c.writeMu.Lock()
	c.writeClosed = true
	if halfCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
		halfCloser.CloseWrite()
	}
	c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
	if !c.endBy.IsZero() { // a client that floods the connection is not waited for until it is silent
		c.endBy = time.Now().Add(lingerTimeout)
	}
	c.setReadDeadline()
}

// endAfterFlood ends the connection of a client that has sent too many control frames. The requests in flight still get
// their responses, as they may have been executed and cannot be repeated: a client that did not mean to flood, such as one
// whose frames were read late, then loses none. DrainTimeout bounds the time that this takes.
func (c *http2Conn) endAfterFlood() {
	c.server.Counters.BadRequests.Add(1)
	c.server.Counters.ControlFloods.Add(1)
	c.mu.Lock()
	c.endBy = time.Now().Add(c.server.limits.DrainTimeout)
	inFlight := c.inFlight
	c.mu.Unlock()
	c.server.log.Warn("HTTP/2 client sent too many control frames, ending its connection", "from", c.conn.RemoteAddr(), "in_flight", inFlight, "frames", &c.budget)
	c.endGracefully(http2.ErrCodeEnhanceYourCalm)
}

// isOverdue reports whether the connection has to be closed though requests are in flight. The caller holds c.mu.
func (c *http2Conn) isOverdue() bool { return !c.endBy.IsZero() && !time.Now().Before(c.endBy) }

// cutOffIfOverdue resets the streams of an overdue connection, and counts their requests as cut off.
func (c *http2Conn) cutOffIfOverdue() {
	c.mu.Lock()
	overdue := c.isOverdue()
	open := len(c.streams)
	c.mu.Unlock()
	if overdue && open > 0 {
		c.server.Counters.CutOff.Add(int64(open))
		c.abort()
	}
}

// writeGoAway sends a GOAWAY with the reason if the connection ends because of a client error or because it was idle for
// too long.
func (c *http2Conn) writeGoAway(err error) {
	c.mu.Lock()
	refusing := c.refusing
	last := c.lastServed
	c.mu.Unlock()
	code, clientError := clientErrorCode(err)
	switch {
	case clientError:
		c.server.Counters.BadRequests.Add(1)
		c.server.log.Debug("closing HTTP/2 connection after a client error", "from", c.conn.RemoteAddr(), "error", err)
		c.connWriter.setOverallTimeout(goAwayTimeout)
	case errors.Is(err, os.ErrDeadlineExceeded) && !refusing: // idle for too long, which is not a client error
		c.server.Counters.IdleTimeouts.Add(1)
		c.connWriter.setOverallTimeout(drainPause)
	default:
		return
	}
	c.write(func() error { return c.framer.WriteGoAway(last, code, nil) })
}

// clientErrorCode returns the HTTP/2 error code for an error that the client has made; clientError is false if the
// connection ended for another reason.
func clientErrorCode(err error) (code http2.ErrCode, clientError bool) {
	var connError http2.ConnectionError
	switch {
	case errors.As(err, &connError):
		return http2.ErrCode(connError), true
	case errors.Is(err, http2.ErrFrameTooLarge):
		return http2.ErrCodeFrameSize, true
	}
	return http2.ErrCodeNo, false
}

// cancelStreams cancels all requests of a connection that has ended.
func (c *http2Conn) cancelStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, s := range c.streams {
		s.cancel.Cancel()
	}
	c.signalChange()
}
