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
	c.write(func() error { return c.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil) })
	select {
	case <-c.serveDone:
		return
	case <-time.After(drainPause):
	}
	c.mu.Lock()
	c.refusing = true
	last := c.lastStream
	c.mu.Unlock()
	c.write(func() error { return c.framer.WriteGoAway(last, http2.ErrCodeNo, nil) })
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
	c.setReadDeadline()
}

// writeGoAway sends a GOAWAY with the reason if the connection ends because of a client error or because it was idle for
// too long.
func (c *http2Conn) writeGoAway(err error) {
	c.mu.Lock()
	lingering := c.lingering
	last := c.lastStream
	inFlight := c.inFlight
	c.mu.Unlock()
	code, clientError := c.clientErrorCode(err)
	if errors.Is(err, errFlood) {
		c.server.log.Warn("HTTP/2 client sent too many control frames", "from", c.conn.RemoteAddr(), "in_flight", inFlight, "frames", &c.budget)
	}
	switch {
	case clientError:
		c.server.Counters.BadRequests.Add(1)
		c.server.log.Debug("closing HTTP/2 connection after a client error", "from", c.conn.RemoteAddr(), "error", err)
		c.connWriter.setOverallTimeout(goAwayTimeout)
	case errors.Is(err, os.ErrDeadlineExceeded) && !lingering: // idle for too long, which is not a client error
		c.connWriter.setOverallTimeout(drainPause)
	default:
		return
	}
	c.write(func() error { return c.framer.WriteGoAway(last, code, nil) })
}

// clientErrorCode returns the HTTP/2 error code for an error that the client has made; clientError is false if the
// connection ended for another reason. It counts floods of control frames.
func (c *http2Conn) clientErrorCode(err error) (code http2.ErrCode, clientError bool) {
	var connError http2.ConnectionError
	switch {
	case errors.As(err, &connError):
		return http2.ErrCode(connError), true
	case errors.Is(err, errFlood):
		c.server.Counters.ControlFloods.Add(1)
		return http2.ErrCodeEnhanceYourCalm, true
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
