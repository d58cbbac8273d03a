package ingress

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
)

// http1Body reads the body of an HTTP/1 request.
type http1Body struct {
	io.Reader
	conn   *http1Conn
	head   *http.Request // its trailer is set at the end of the body
	buffer *bufio.Reader // the buffered reader of the connection
}

// Read reads the next part of the body. At the end of the body the request has been read completely.
func (b *http1Body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		if len(b.head.Trailer) > maxFields {
			b.head.Trailer = nil
			return n, errTooManyFields
		}
		b.conn.onRequestRead(b.buffer)
	}
	return n, err
}

// onRequestRead records that a request was read completely, and starts to watch for the end of the connection. All
// further bytes from the client belong to the next request; if some are already buffered, the connection is not watched.
// No body is being read from this point on.
func (c *http1Conn) onRequestRead(r *bufio.Reader) {
	c.requestRead = true
	if !c.watching && r.Buffered() == 0 {
		c.watching = true
		go c.watch(r)
	}
}

// watch cancels the request if the client closes the connection before the response is complete. Read timeouts are
// ignored, because a client sends nothing while it waits for the response. watch runs until the client sends a byte, the
// connection ends or stopWatching stops it.
func (c *http1Conn) watch(r *bufio.Reader) {
	for {
		_, err := r.Peek(1)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && !c.connReader.stopped.Load() {
			continue
		}
		present := err == nil || timedOut
		if !present {
			c.cancel.Cancel()
		}
		c.watchResult <- present
		return
	}
}

// stopWatching stops watch and waits for its end. It returns false if the connection has ended.
func (c *http1Conn) stopWatching() (present bool) {
	c.connReader.stop()
	return <-c.watchResult
}
