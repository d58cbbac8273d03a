package ingress

import (
	"bufio"
	"errors"
	"io"
	"os"
)

// http1Body reads the body of a request.
type http1Body struct {
	io.Reader
	conn   *http1Conn
	buffer *bufio.Reader
}

// Read reads the next part. The end of the body is the end of the request.
func (b *http1Body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.noteRequestRead(b.buffer)
	}
	return n, err
}

// noteRequestRead starts to watch for the end of the connection once a request was read completely. What else the client
// sends from then on is another request. Nobody reads a body then.
func (c *http1Conn) noteRequestRead(r *bufio.Reader) {
	c.requestRead = true
	if !c.watching && r.Buffered() == 0 {
		c.watching = true
		go c.watch(r)
	}
}

// watch cancels the request when its client goes. A client that waits for its answer says nothing for as long as that
// takes. stopWatching ends it, and waits for that.
func (c *http1Conn) watch(r *bufio.Reader) {
	for {
		_, err := r.Peek(1)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && !c.in.stopped.Load() {
			continue
		}
		present := err == nil || timedOut
		if !present {
			c.cancel.Cancel()
		}
		c.watchEnded <- present
		return
	}
}

// stopWatching ends the watching; false: the client is gone.
func (c *http1Conn) stopWatching() (present bool) {
	c.in.stop()
	return <-c.watchEnded
}
