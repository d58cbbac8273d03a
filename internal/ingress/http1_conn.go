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
	"lilacbend/internal/upstream"
)

// writeBufferSize is the size of the buffer of what goes to a client, in bytes.
const writeBufferSize = 4 << 10

// A connection without a request holds no buffer, so that thousands of idle ones cost little.
var (
	headReaders  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHead) }}
	http1Writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// errHeadTooLarge is the cause of a request whose head is over the bound.
var errHeadTooLarge = errors.New("head too large")

// http1Conn is an HTTP/1 connection. It serves one request at a time.
type http1Conn struct {
	server    *Server
	conn      net.Conn
	busy      atomic.Bool // a request is being read or answered
	ended     atomic.Bool // by abort
	unread    bool        // the last answer has gone out, and the client has sent what was not read
	firstByte [1]byte     // of a request, read while the connection holds no buffer

	// Values that each request uses anew.
	in       deadlineReader
	out      deadlineWriter
	cancel   upstream.Cancellation
	request  proxy.Request
	response http1Response

	requestRead bool      // completely
	watching    bool      // a goroutine watches for the end of the connection
	watchEnded  chan bool // false: the client is gone
}

func newHTTP1Conn(s *Server, conn net.Conn) *http1Conn {
	return &http1Conn{server: s, conn: conn, watchEnded: make(chan bool, 1)}
}

// abort implements clientConn. The request is canceled by itself, since nobody may be watching: that is so while its
// body is read, and if another request has come behind it.
func (c *http1Conn) abort() {
	c.ended.Store(true)
	c.conn.Close()
	c.cancel.Cancel()
}

// drain implements clientConn. A request that is on its way is still read; its answer says that it was the last, as does
// that of a request in flight.
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
			c.server.log.Error("panic on a connection", "panic", fmt.Sprint(v))
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
	if c.unread && !c.ended.Load() {
		c.linger()
	}
}

// awaitRequest waits for the first byte of a request.
func (c *http1Conn) awaitRequest() (byte, error) {
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.IdleTimeout))
	if c.server.Draining() {
		c.conn.SetReadDeadline(time.Now().Add(drainPause))
	}
	n, err := c.conn.Read(c.firstByte[:])
	if n == 0 && err == nil {
		err = io.ErrNoProgress
	}
	return c.firstByte[0], err
}

// linger lets the client read its last answer though it has sent what nobody reads: a connection that is closed over
// unread bytes is reset, which destroys what of the answer has not been read yet.
func (c *http1Conn) linger() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.StallTimeout))
	io.Copy(io.Discard, c.conn)
}

// serveBuffered serves requests until no more are buffered; false: the connection is over.
func (c *http1Conn) serveBuffered(firstByte byte) bool {
	c.in.conn = c.conn
	c.in.timeout = c.server.limits.StallTimeout
	c.in.firstByte = firstByte
	c.in.hasFirstByte = true
	c.out.conn = c.conn
	c.out.timeout = c.server.limits.StallTimeout
	r := headReaders.Get().(*bufio.Reader)
	r.Reset(&c.in)
	w := http1Writers.Get().(*bufio.Writer)
	w.Reset(&c.out)
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

// serveRequest reads and answers one request; false: the connection is over.
func (c *http1Conn) serveRequest(r *bufio.Reader, w *bufio.Writer) bool {
	head, err := c.readHead(r)
	if err != nil {
		c.refuse(w, err)
		return false
	}
	c.prepare(head, r, w)
	c.cancel.Reset()
	if c.ended.Load() {
		return false
	}
	c.requestRead = false
	c.watching = false
	if c.request.Body == nil {
		c.noteRequestRead(r)
	}
	c.server.serveRequest(&c.cancel, "h1", &c.request, &c.response)
	return c.finishRequest(head, r, w)
}

// readHead reads and checks the head of a request.
func (c *http1Conn) readHead(r *bufio.Reader) (*http.Request, error) {
	c.in.deadline = time.Now().Add(c.server.limits.HeadTimeout)
	head, err := peekHead(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	c.in.deadline = time.Time{}
	parsed, err := http.ReadRequest(r)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	return parsed, nil
}

// peekHead waits for a complete head and leaves it to be read.
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

// prepare sets up request and response for a head.
func (c *http1Conn) prepare(head *http.Request, r *bufio.Reader, w *bufio.Writer) {
	c.request = proxy.Request{
		Method: head.Method,
		Target: head.RequestURI,
		Host:   head.Host,
		Header: head.Header,
		Length: head.ContentLength,
	}
	c.response = http1Response{
		w:         w,
		conn:      c,
		method:    head.Method,
		http10:    head.ProtoMinor == 0,
		closeConn: head.Close || c.server.Draining(),
	}
	if head.Body != http.NoBody {
		c.request.Body = &http1Body{Reader: head.Body, conn: c, buffer: r}
		c.request.Trailer = func() http.Header { return head.Trailer }
		c.request.StopBody = c.in.stop
		c.request.ExpectContinue = expectsContinue(head.Header)
		c.request.Continue = c.response.askForBody
	}
	proxy.RemoveHopByHop(c.request.Header)
}

// finishRequest ends a request after its answer; false: the connection is over.
func (c *http1Conn) finishRequest(head *http.Request, r *bufio.Reader, w *bufio.Writer) bool {
	clientGone := c.watching && !c.stopWatching()
	c.in.stopped.Store(false) // nobody reads a body now
	if clientGone || c.response.aborted || c.ended.Load() {
		return false
	}
	if w.Flush() != nil {
		return false
	}
	c.unread = !c.requestRead || r.Buffered() > 0
	if c.response.closeConn {
		return false
	}
	if c.request.Body == nil {
		return true
	}
	return c.discardBody(head.Body)
}

// discardBody reads what was not read of a body, which is in front of the next request; false: it is too much, or will
// not come.
func (c *http1Conn) discardBody(body io.Reader) bool {
	if c.request.ExpectContinue && !c.response.continued {
		return false
	}
	n, err := io.CopyN(io.Discard, body, maxDiscard)
	if n == maxDiscard || !errors.Is(err, io.EOF) {
		return false
	}
	c.unread = false
	return true
}

// expectsContinue reports whether a client waits to be asked for its body.
func expectsContinue(header http.Header) bool {
	values := header["Expect"]
	return len(values) == 1 && (values[0] == "100-continue" || values[0] == "100-Continue")
}

// refuse answers a request that cannot be served, if there is one. The connection is over.
func (c *http1Conn) refuse(w *bufio.Writer, err error) {
	status := http.StatusBadRequest
	reason := reasonBadRequest
	switch {
	case errors.Is(err, errHeadTooLarge):
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
	out := &http1Response{w: w, conn: c, closeConn: true}
	if writeAnswer(out, status, reason) == nil {
		c.unread = w.Flush() == nil
	}
}
