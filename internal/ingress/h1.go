package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// A connection without a flow holds no buffer: ten thousand idle ones cost their goroutines and descriptors.
var (
	headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headMost) }}
	h1Writers   = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}
)

// h1 is one HTTP/1 connection: one flow at a time.
type h1 struct {
	server *Server
	conn   net.Conn
	busy   atomic.Bool // a flow is being read or answered
	ended  atomic.Bool
	unread bool // the last answer has gone out, and not all that the client sent has been read

	// Used by one flow after the other.
	in      patientReader
	out     patientWriter
	leash   upstream.Cancellation
	answer  h1Answer
	q       proxy.Request
	done    chan bool // the watch has ended; false: the client has gone
	read    bool      // all of the flow
	watched bool      // there is a watch
}

func (c *h1) end() {
	c.ended.Store(true)
	c.conn.Close()
	c.leash.Cancel() // nobody may be watching: behind a flow with a body, or before another flow
}

// part ends the connection unless a flow is in hand; that one's answer says that it was the last.
func (c *h1) part() {
	if !c.busy.Load() {
		c.conn.SetReadDeadline(time.Now().Add(partPause)) // a flow that is on its way is still read, and has the last answer
	}
}

func (c *h1) attend() {
	defer c.conn.Close()
	defer func() {
		if v := recover(); v != nil {
			c.server.Count.Panics.Add(1)
			c.server.log.Error("panic on a connection", "panic", fmt.Sprint(v))
		}
	}()
	var first [1]byte
	for {
		c.conn.SetReadDeadline(time.Now().Add(c.server.Idle))
		if c.server.Parting() {
			c.conn.SetReadDeadline(time.Now().Add(partPause))
		}
		if n, err := c.conn.Read(first[:]); n == 0 || err != nil {
			return
		}
		c.busy.Store(true)
		more := c.flows(first[0])
		if !more {
			if c.unread && !c.ended.Load() {
				c.linger()
			}
			return
		}
		c.busy.Store(false)
	}
}

// linger lets a client read its last answer though it has sent what nobody reads: a connection closed over unread bytes
// is reset, which destroys what of the answer has not gone out yet.
func (c *h1) linger() {
	if t, ok := c.conn.(interface{ CloseWrite() error }); !ok || t.CloseWrite() != nil {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(c.server.Stall))
	io.Copy(io.Discard, c.conn)
}

// flows serves what comes until nothing more waits; false: the connection is over.
func (c *h1) flows(first byte) (more bool) {
	r := headReaders.Get().(*bufio.Reader)
	c.in.conn, c.in.stall, c.in.first, c.in.has = c.conn, c.server.Stall, first, true
	c.out = patientWriter{conn: c.conn, stall: c.server.Stall}
	r.Reset(&c.in)
	w := h1Writers.Get().(*bufio.Writer)
	w.Reset(&c.out)
	defer func() {
		r.Reset(nil)
		headReaders.Put(r)
		w.Reset(nil)
		h1Writers.Put(w)
	}()
	for {
		if !c.flow(r, w) {
			return false
		}
		if r.Buffered() == 0 {
			return true
		}
	}
}

// flow reads and answers one; false: the connection is over.
func (c *h1) flow(r *bufio.Reader, w *bufio.Writer) bool {
	c.in.until = time.Now().Add(c.server.Head)
	head, err := peekHead(r)
	if err == nil {
		err = checkHead(head)
	}
	if err != nil {
		return c.refuse(w, err)
	}
	c.in.until = time.Time{}
	req, err := http.ReadRequest(r)
	if err != nil {
		return c.refuse(w, bad("%v", err))
	}
	q, out := &c.q, &c.answer
	*q = proxy.Request{Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, Length: req.ContentLength}
	*out = h1Answer{w: w, conn: c, method: req.Method, old: req.ProtoMinor == 0, last: req.Close || c.server.Parting()}
	if req.Body != http.NoBody {
		q.Body, q.Trailer = &endingBody{req.Body, c, r}, func() http.Header { return req.Trailer }
		q.StopBody = c.hush
		q.ExpectContinue = httpguts100(req.Header)
		q.Continue = func() error {
			out.mu.Lock()
			defer out.mu.Unlock()
			if out.begun {
				return upstream.ErrBodyStopped
			}
			out.continued = true
			if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return err
			}
			return w.Flush()
		}
	}
	proxy.RemoveHopByHop(q.Header)
	c.leash.Reset()
	if c.ended.Load() {
		return false
	}
	if c.read, c.watched = false, false; q.Body == nil {
		c.whole(r)
	}
	c.server.flow(&c.leash, "h1", q, out)
	gone := c.watched && !c.unwatch()
	c.in.stopped.Store(false) // nobody reads a body now
	if gone || out.broken || c.ended.Load() {
		return false
	}
	if w.Flush() != nil {
		return false
	}
	if c.unread = !c.read || r.Buffered() > 0; out.last {
		return false
	}
	if q.Body != nil { // what was not read of it is in front of the next one
		if q.ExpectContinue && !out.continued {
			return false
		}
		n, err := io.CopyN(io.Discard, req.Body, drainMost)
		if n == drainMost || !errors.Is(err, io.EOF) {
			return false
		}
		c.unread = false
	}
	return true
}

func httpguts100(h http.Header) bool {
	v := h["Expect"]
	return len(v) == 1 && (v[0] == "100-continue" || v[0] == "100-Continue")
}

// endingBody tells when all of a body has been read.
type endingBody struct {
	io.Reader
	conn *h1
	r    *bufio.Reader
}

func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.whole(b.r)
	}
	return n, err
}

// whole has the client watched once its flow has been read whole: what it sends from then on, but its end, is another
// flow. No body is being read.
func (c *h1) whole(r *bufio.Reader) {
	if c.read = true; !c.watched && r.Buffered() == 0 {
		c.watched = true
		go c.watch(r)
	}
}

// watch cuts a flow that has been read whole when its client goes. A client that waits says nothing for as long as that takes.
func (c *h1) watch(r *bufio.Reader) {
	for {
		_, err := r.Peek(1)
		waits := errors.Is(err, os.ErrDeadlineExceeded)
		if waits && !c.in.stopped.Load() {
			continue
		}
		if err != nil && !waits {
			c.leash.Cancel()
		}
		c.done <- err == nil || waits
		return
	}
}

// hush has whoever reads give up.
func (c *h1) hush() {
	c.in.stopped.Store(true)
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// unwatch ends the watching; false: the client has gone.
func (c *h1) unwatch() bool {
	c.hush()
	return <-c.done
}

// peekHead waits for a whole head and leaves it to be read.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		if n > headMost {
			return nil, errLarge
		}
		_, err := r.Peek(n)
		b, _ := r.Peek(r.Buffered())
		if end := endOfHead(b); end >= 0 {
			return b[:end], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

var errLarge = errors.New("too large")

// refuse answers what cannot be served, if it is one, and ends the connection.
func (c *h1) refuse(w *bufio.Writer, err error) bool {
	status, reason := 0, ""
	switch {
	case errors.Is(err, errLarge):
		status, reason = http.StatusRequestHeaderFieldsTooLarge, "head-too-large"
	case errors.Is(err, errHead):
		status, reason = http.StatusBadRequest, "bad-request"
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, reason = http.StatusRequestTimeout, "head-too-slow"
	default:
		return false
	}
	c.server.Count.BadRequests.Add(1)
	out := &h1Answer{w: w, conn: c, last: true}
	if answer(out, status, reason) == nil {
		c.unread = w.Flush() == nil
	}
	return false
}

// patientReader gives each read so long, or all of them until a time.
type patientReader struct {
	conn  net.Conn
	stall time.Duration
	until time.Time

	stopped atomic.Bool // whoever reads is to give up

	first byte // was read by itself while the connection held no buffer
	has   bool
}

func (p *patientReader) Read(b []byte) (int, error) {
	if p.has && len(b) > 0 {
		b[0], p.has = p.first, false
		return 1, nil
	}
	until := p.until
	if until.IsZero() {
		until = time.Now().Add(p.stall)
	}
	for {
		p.conn.SetReadDeadline(until)
		if p.stopped.Load() { // whichever came first, the deadline is over now
			p.conn.SetReadDeadline(time.Unix(1, 0))
		}
		n, err := p.conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !p.stopped.Load() && time.Now().Before(until) {
			continue // a deadline for a connection without a flow, set as this flow came
		}
		return n, err
	}
}

// patientWriter gives each write so long.
type patientWriter struct {
	conn  net.Conn
	stall time.Duration
	until atomic.Pointer[time.Time] // once set, all of them end then
}

func (p *patientWriter) Write(b []byte) (int, error) {
	p.conn.SetWriteDeadline(time.Now().Add(p.stall))
	if until := p.until.Load(); until != nil { // whichever came first, it holds now
		p.conn.SetWriteDeadline(*until)
	}
	return p.conn.Write(b)
}

// last gives all writes from now on so long together, also one that waits.
func (p *patientWriter) last(span time.Duration) {
	until := time.Now().Add(span)
	p.until.Store(&until)
	p.conn.SetWriteDeadline(until)
}

// h1Answer writes one answer.
type h1Answer struct {
	w         *bufio.Writer
	conn      *h1
	method    string
	old       bool       // HTTP/1.0
	last      bool       // the connection ends with it
	mu        sync.Mutex // a body is asked for beside the wait for the answer
	begun     bool
	continued bool
	broken    bool
	bodiless  bool
	left      int64 // of a known length; below 0: not known
	chunks    io.WriteCloser
}

func (a *h1Answer) WriteInformational(status int, h http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.old || a.begun {
		return
	}
	a.line(status)
	proxy.RemoveHopByHop(h).Write(a.w)
	a.w.WriteString("\r\n")
	a.w.Flush()
}

func (a *h1Answer) line(status int) {
	a.w.WriteString("HTTP/1.1 ")
	a.w.WriteString(strconv.Itoa(status))
	a.w.WriteByte(' ')
	a.w.WriteString(http.StatusText(status))
	a.w.WriteString("\r\n")
}

func (a *h1Answer) WriteHeader(status int, h http.Header, length int64) error {
	a.mu.Lock()
	a.begun, a.left = true, length
	a.mu.Unlock()
	a.line(status)
	if err := h.Write(a.w); err != nil {
		return err
	}
	a.bodiless = a.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	a.last = a.last || a.conn.server.Parting()
	switch {
	case status == http.StatusNoContent:
	case length >= 0:
		a.w.WriteString("Content-Length: ")
		a.w.WriteString(strconv.FormatInt(length, 10))
		a.w.WriteString("\r\n")
	case a.bodiless:
	case a.old:
		a.last = true
	default:
		a.w.WriteString("Transfer-Encoding: chunked\r\n")
		a.chunks = httputil.NewChunkedWriter(a.w)
	}
	if a.last {
		a.w.WriteString("Connection: close\r\n")
	} else if a.old {
		a.w.WriteString("Connection: keep-alive\r\n")
	}
	_, err := a.w.WriteString("\r\n")
	return err
}

func (a *h1Answer) Write(p []byte) (int, error) {
	if a.bodiless {
		return len(p), nil
	}
	if a.chunks != nil {
		n, err := a.chunks.Write(p)
		if err == nil {
			err = a.w.Flush() // it may be a talk
		}
		return n, err
	}
	if a.left >= 0 {
		if a.left -= int64(len(p)); a.left < 0 {
			return 0, errors.New("an answer longer than its length")
		}
	}
	return a.w.Write(p)
}

func (a *h1Answer) Finish(trailer http.Header) error {
	if a.chunks != nil {
		if err := a.chunks.Close(); err != nil {
			return err
		}
		trailer.Write(a.w)
		a.w.WriteString("\r\n")
	} else if a.left > 0 && !a.bodiless {
		a.Abort()
		return errors.New("an answer shorter than its length")
	}
	return a.w.Flush()
}

// Break ends the connection, which is how HTTP/1 says that an answer is not whole.
func (a *h1Answer) Abort() {
	a.broken, a.last = true, true
	a.w.Flush()
	a.conn.conn.Close()
}
