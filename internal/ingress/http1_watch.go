package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"lilacbend/internal/socket"
)

// http1Body reads the body of an HTTP/1 request.
type http1Body struct {
	io.Reader
	conn  *http1Conn
	head  *http.Request // its trailer is set at the end of the body
	read  atomic.Int64  // bytes of the body
	ended atomic.Bool   // the body was read to its end
}

// Read reads the next part of the body. At the end of the body the request has been read completely. It fails once the client
// has closed the connection, even if all of the body has arrived: nobody waits for the response.
func (b *http1Body) Read(p []byte) (int, error) {
	if b.conn.clientLeft() {
		return 0, errConnEnded
	}
	n, err := b.Reader.Read(p)
	b.read.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
		if len(b.head.Trailer) > maxFields {
			b.head.Trailer = nil
			return n, errTooManyFields
		}
		b.conn.onRequestRead()
	}
	return n, err
}

// hasShortRest reports whether the unread rest of the body is certain to be short enough to be discarded, so that the next
// request on the connection can be read. It may be called concurrently with Read.
func (b *http1Body) hasShortRest() bool {
	if b.ended.Load() {
		return true
	}
	length := b.head.ContentLength
	return length >= 0 && length-b.read.Load() < maxDiscard
}

// onRequestRead records that a request was read completely, and starts to watch for the end of the connection. All further
// bytes from the client belong to the next request, and stay unread until then.
func (c *http1Conn) onRequestRead() {
	c.requestRead = true
	if !c.watching && socket.HasDescriptor(c.conn) {
		c.watching = true
		go c.watch()
	}
}

// watch cancels the request if the client closes the connection, or its sending side, before the response is complete, also
// if the client has sent further requests before. watch runs until the connection ends or stopWatching stops it.
func (c *http1Conn) watch() {
	for {
		err := c.connReader.awaitPeerClose()
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && !c.connReader.stopped.Load() { // a concurrent drain has set the deadline of an idle connection
			continue
		}
		if !timedOut {
			c.cancel.Cancel()
		}
		c.watchResult <- timedOut
		return
	}
}

// stopWatching stops watch and waits for its end. It returns false if the connection has ended.
func (c *http1Conn) stopWatching() (present bool) {
	c.connReader.stop()
	return <-c.watchResult
}
