package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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

// serveRequest reads one request and responds to it. It returns false if the connection must be closed.
func (c *http1Conn) serveRequest(r *bufio.Reader, w *bufio.Writer) bool {
	head, err := c.readHead(r)
	if err != nil {
		c.rejectRequest(w, err)
		return false
	}
	c.prepare(head, w)
	c.cancel.Reset()
	if c.ended.Load() {
		return false
	}
	c.requestRead = false
	c.watching = false
	if c.request.Body == nil {
		c.onRequestRead()
	}
	result := c.server.serveRequest(&c.cancel, "h1", &c.request, &c.response)
	keep := c.finishRequest(head, r, w)
	if keep && result.Attempts == 0 {
		c.server.holdBack(&c.unattempted, c.server.rates.unattempted)
	}
	return keep
}

// readHead reads, checks and parses the head of a request.
func (c *http1Conn) readHead(r *bufio.Reader) (*http.Request, error) {
	c.connReader.deadline = time.Now().Add(c.server.limits.HeadTimeout)
	head, err := peekHead(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	c.connReader.deadline = time.Time{}
	parsed, err := http.ReadRequest(r)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	return parsed, nil
}

// peekHead waits for a complete head, and returns it without consuming it.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		if n > maxHead {
			return nil, errHeadTooLarge
		}
		_, err := r.Peek(n)
		buffered, _ := r.Peek(r.Buffered())
		if end := endOfHead(buffered); end >= 0 {
			return buffered[:end], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// prepare sets up the request and its response from a parsed head.
func (c *http1Conn) prepare(head *http.Request, w *bufio.Writer) {
	c.request = proxy.Request{
		Method: head.Method,
		Target: head.RequestURI,
		Host:   head.Host,
		Header: head.Header,
		Length: head.ContentLength,

		ClientLeft: c.clientLeft,
	}
	c.response = http1Response{
		writer:    w,
		conn:      c,
		method:    head.Method,
		http10:    head.ProtoMinor == 0,
		closeConn: head.Close || c.server.Draining(),
	}
	if head.Body != http.NoBody {
		c.request.Body = &http1Body{Reader: head.Body, conn: c, head: head}
		c.request.Trailer = func() http.Header { return head.Trailer }
		c.request.StopBody = c.connReader.stop
		c.request.ExpectContinue = expectsContinue(head.Header)
		c.request.Continue = c.response.sendContinue
	}
	proxy.RemoveHopByHop(c.request.Header)
}

// finishRequest ends a request after its response. It returns false if the connection must be closed.
func (c *http1Conn) finishRequest(head *http.Request, r *bufio.Reader, w *bufio.Writer) bool {
	clientGone := c.watching && !c.stopWatching()
	c.connReader.stopped.Store(false) // no goroutine reads the connection now
	if clientGone || c.response.aborted || c.ended.Load() {
		return false
	}
	if w.Flush() != nil {
		return false
	}
	c.unreadInput = !c.requestRead || r.Buffered() > 0
	if c.response.closeConn {
		return false
	}
	if c.request.Body == nil {
		return true
	}
	return c.discardBody(head.Body)
}

// discardBody reads the unread rest of a request body, which precedes the next request on the connection. It returns
// false if the rest has maxDiscard bytes or more, cannot be read, or will not be sent because the client was not asked
// for it.
func (c *http1Conn) discardBody(body io.Reader) bool {
	if c.request.ExpectContinue && !c.response.continued {
		return false
	}
	n, err := io.CopyN(io.Discard, body, maxDiscard)
	if n == maxDiscard || !errors.Is(err, io.EOF) {
		return false
	}
	c.unreadInput = false
	return true
}

// expectsContinue reports whether the client waits for a 100 Continue before it sends the body.
func expectsContinue(header http.Header) bool {
	values := header["Expect"]
	return len(values) == 1 && (values[0] == "100-continue" || values[0] == "100-Continue")
}

// rejectRequest responds to a request whose head is malformed, too large or too slow. After any other error there is no
// request to respond to, and it sends nothing. The caller closes the connection.
func (c *http1Conn) rejectRequest(w *bufio.Writer, err error) {
	status := http.StatusBadRequest
	reason := reasonBadRequest
	switch {
	case errors.Is(err, errHeadTooLarge), errors.Is(err, errTooManyFields):
		status = http.StatusRequestHeaderFieldsTooLarge
		reason = reasonHeadTooLarge
	case errors.Is(err, errBadRequest):
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
		reason = reasonHeadTooSlow
	default:
		return
	}
	c.server.Counters.BadRequests.Add(1)
	out := &http1Response{writer: w, conn: c, closeConn: true}
	if writeErrorResponse(out, status, reason) == nil {
		c.unreadInput = w.Flush() == nil
	}
}
