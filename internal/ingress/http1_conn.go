package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/proxy"
	"lilacbend/internal/ratelimit"
	"lilacbend/internal/socket"
	"lilacbend/internal/upstream"
)

// writeBufferSize is the size of the write buffer of a client connection, in bytes.
const writeBufferSize = 4 << 10

// Buffers are pooled: an idle connection holds none, so that thousands of idle connections need little memory.
var (
	headReaders  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHead) }}
	http1Writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// errHeadTooLarge is returned for a request whose head exceeds maxHead.
var errHeadTooLarge = errors.New("request head exceeds 16 KiB")

// http1Conn is an HTTP/1 connection of a client. It serves one request at a time.
type http1Conn struct {
	server      *Server
	conn        net.Conn
	busy        atomic.Bool // a request is being read or served
	ended       atomic.Bool // abort was called
	unreadInput bool        // the last response was sent, but bytes from the client were not read
	firstByte   [1]byte     // of a request, read before the connection has a buffer
	clientLeft  func() bool // reports whether the client has closed the connection

	unattempted ratelimit.Limiter // of requests that are answered without an attempt

	// Values that are reset and reused for each request.
	connReader deadlineReader
	connWriter deadlineWriter
	cancel     upstream.Cancellation
	request    proxy.Request
	response   http1Response

	requestRead bool      // the request was read completely
	watching    bool      // a goroutine watches whether the client closes the connection
	watchResult chan bool // sent when watch ends; false: the connection has ended
}

func newHTTP1Conn(s *Server, conn net.Conn) *http1Conn {
	return &http1Conn{
		server:      s,
		conn:        conn,
		clientLeft:  func() bool { return socket.PeerClosed(conn) },
		watchResult: make(chan bool, 1),
	}
}

// abort implements clientConn. It cancels the request explicitly, because the connection may not be watched: it is not
// while the request body is being read.
func (c *http1Conn) abort() {
	c.ended.Store(true)
	c.conn.Close()
	c.cancel.Cancel()
}

// drain implements clientConn. An idle connection stays open for drainPause, so that a request that was already sent is
// still read. The response to that request, or to a request in flight, carries "Connection: close".
func (c *http1Conn) drain() {
	if !c.busy.Load() {
		c.conn.SetReadDeadline(time.Now().Add(drainPause))
	}
}

// serve implements clientConn.
func (c *http1Conn) serve() {
	defer c.conn.Close()
	defer func() {
		if v := recover(); v != nil {
			c.server.Counters.Panics.Add(1)
			c.server.log.Error("panic while serving an HTTP/1 connection", "panic", fmt.Sprint(v))
		}
	}()
	for {
		firstByte, err := c.awaitRequest()
		if err != nil {
			return
		}
		c.busy.Store(true)
		if !c.serveBuffered(firstByte) {
			break
		}
		c.busy.Store(false)
	}
	if !c.ended.Load() && (c.unreadInput || socket.Unread(c.conn)) {
		c.linger()
	}
}

// awaitRequest waits for the first byte of a request, and returns it. A byte that has arrived is read even if the idle timeout
// has passed by now: the client sent it on an open connection, and could not learn whether the request was executed.
func (c *http1Conn) awaitRequest() (byte, error) {
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.IdleTimeout))
	if c.server.Draining() {
		c.conn.SetReadDeadline(time.Now().Add(drainPause))
	}
	n, err := socket.Read(c.conn, c.firstByte[:])
	switch {
	case n == 0 && err == nil:
		err = io.ErrNoProgress
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.server.Draining():
		c.server.Counters.IdleTimeouts.Add(1)
	}
	return c.firstByte[0], err
}

// linger closes the sending side and discards what the client still sends, until the client closes the connection or
// stalls. Closing a connection with unread bytes would reset it, and the client could lose a part of its last response
// that it has not read yet.
func (c *http1Conn) linger() {
	halfCloser, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.StallTimeout))
	io.Copy(io.Discard, c.conn)
}

// serveBuffered serves requests until the read buffer is empty. It returns false if the connection must be closed.
func (c *http1Conn) serveBuffered(firstByte byte) bool {
	c.connReader.conn = c.conn
	c.connReader.timeout = c.server.limits.StallTimeout
	c.connReader.firstByte = firstByte
	c.connReader.hasFirstByte = true
	c.connWriter.conn = c.conn
	c.connWriter.timeout = c.server.limits.StallTimeout
	r := headReaders.Get().(*bufio.Reader)
	r.Reset(&c.connReader)
	w := http1Writers.Get().(*bufio.Writer)
	w.Reset(&c.connWriter)
	defer func() {
		r.Reset(nil)
		headReaders.Put(r)
		w.Reset(nil)
		http1Writers.Put(w)
	}()
	for {
		if !c.serveRequest(r, w) {
			return false
		}
		if r.Buffered() == 0 {
			return true
		}
	}
}
