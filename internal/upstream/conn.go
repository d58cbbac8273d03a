// Package upstream is the replica side of a sidecar: connections to replicas, kept for further flows, and one
// request and its answer over one of them. It says how far an attempt came, above all whether it can have run.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	bufferSize = 4 << 10
	// An answer's head, its informational ones before it together.
	headMost = 64 << 10
	// Informational answers before the final one; more are a replica that never ends.
	informMost = 8
	dialMost   = time.Second
)

// Reach says how far an attempt came.
type Reach int

const (
	// Unsent: no replica can have acted on it: there was no connection, or not even the head went out whole.
	Unsent Reach = iota
	// Sent: the head went out, and it may have run.
	Sent
	// Answering: the head of the answer has come.
	Answering
)

// Failure is how an attempt ended without a whole answer.
type Failure struct {
	Reach Reach
	Stage string
	Err   error
}

func (f *Failure) Error() string { return f.Stage + ": " + f.Err.Error() }
func (f *Failure) Unwrap() error { return f.Err }

// Request is what is sent. Header holds no hop-by-hop fields; Length is -1 where it is not known.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 io.Reader // nil: none
	Length               int64
	Trailer              func() http.Header // read after Body's end; nil: none
	Fresh                bool               // a connection that idled for long will not do
	Inform               func(status int, h http.Header)
}

// conn is one connection to a replica, used by one flow at a time.
type conn struct {
	net.Conn
	pool  *Pool
	to    string
	r     *bufio.Reader
	head  io.LimitedReader
	idled time.Time
	used  bool // for an earlier flow
}

// Read bounds what a head may take; bodies are not bounded.
func (c *conn) Read(p []byte) (int, error) {
	if c.head.N <= 0 {
		return 0, errors.New("the head of the answer is too large")
	}
	n, err := c.Conn.Read(p)
	c.head.N -= int64(n)
	return n, err
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

// alive says whether an idle connection has neither ended nor said anything, which nothing was asked for.
func (c *conn) alive() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	live := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		live = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
		return true
	})
	return err == nil && live
}

// Answer is an answer whose head has come. Close must be called; it gives the connection back if the answer was read
// to its end and all of the request was sent.
type Answer struct {
	*http.Response
	conn    *conn
	body    io.ReadCloser
	sent    chan error // of the body of the request; nil: it has gone out with the head
	whole   bool
	ctx     context.Context // that the body is bound to
	release func() bool     // false: its context has ended
}

// Detach lets the body outlive the time that the head had; from now on the end of ctx alone ends the attempt.
func (a *Answer) Detach(ctx context.Context) {
	if !a.release() {
		return // its time was over; reads fail
	}
	a.ctx = ctx
	a.release = context.AfterFunc(ctx, func() { a.conn.SetDeadline(time.Unix(1, 0)) })
}

// Read reads the body of the answer.
func (a *Answer) Read(p []byte) (int, error) {
	if a.ctx != nil {
		a.conn.SetReadDeadline(time.Now().Add(a.conn.pool.stall))
		if a.ctx.Err() != nil { // whichever came first, the deadline is over now
			a.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	} else if err != nil {
		err = &Failure{Answering, "body of the answer", err}
	}
	return n, err
}

// Close ends the attempt.
func (a *Answer) Close() {
	keep := a.whole && !a.Response.Close
	if a.sent != nil {
		select {
		case err := <-a.sent:
			keep = keep && err == nil
		default: // it answered before it had read all
			keep = false
			a.conn.Conn.Close()
			<-a.sent
		}
	}
	if keep = a.release() && keep; keep {
		a.conn.SetDeadline(time.Time{})
	}
	a.conn.pool.put(a.conn, keep && a.conn.r.Buffered() == 0)
}

// Do sends a request to an address and waits for the head of the answer. An error is a Failure. A further byte of the
// request's body is read only while the replica takes it.
func (p *Pool) Do(ctx context.Context, to string, q *Request) (*Answer, error) {
	for {
		c, err := p.get(ctx, to, q.Fresh)
		if err != nil {
			return nil, &Failure{Unsent, "connect to " + to, err}
		}
		a, err := c.do(ctx, q)
		var f *Failure
		if c.used && errors.As(err, &f) && f.Reach == Unsent && q.Body == nil {
			continue // it ended as it was taken; nothing has gone out, so the next one is no repeat
		}
		return a, err
	}
}

func (c *conn) do(ctx context.Context, q *Request) (a *Answer, err error) {
	stop := context.AfterFunc(ctx, func() { c.Conn.SetDeadline(time.Unix(1, 0)) })
	release := func() bool { return stop() }
	fail := func(reach Reach, stage string, err error) error {
		if ctx.Err() != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			err = context.Cause(ctx)
		}
		stop()
		c.pool.put(c, false)
		return &Failure{reach, stage, err}
	}
	w := writers.Get().(*bufio.Writer)
	counted := &counter{Conn: c.Conn}
	w.Reset(counted)
	head := writeHead(w, q)
	small := q.Body == nil || q.Length >= 0 && q.Length <= int64(w.Available())
	if small && q.Body != nil {
		_, err = io.CopyN(w, q.Body, q.Length)
	}
	if err != nil {
		return nil, fail(Unsent, "body of the request", err)
	}
	if err = w.Flush(); err != nil {
		reach := Sent
		if counted.n < head { // no server acts on half a head
			reach = Unsent
		}
		putWriter(w)
		return nil, fail(reach, fmt.Sprintf("send, after %d bytes", counted.n), err)
	}
	var sent chan error
	if small {
		putWriter(w)
	} else {
		sent = make(chan error, 1)
		go func() { sent <- sendBody(w, q) }()
	}
	c.head.N = headMost
	for range informMost {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
		if err != nil {
			return nil, c.settle(sent, fail(Sent, "head of the answer", err))
		}
		if resp.StatusCode >= 200 {
			c.head.N = 1 << 62
			return &Answer{Response: resp, conn: c, body: resp.Body, sent: sent, release: release}, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, c.settle(sent, fail(Sent, "head of the answer", errors.New("changes the protocol unasked")))
		}
		if resp.StatusCode != http.StatusContinue && q.Inform != nil {
			q.Inform(resp.StatusCode, resp.Header)
		}
	}
	return nil, c.settle(sent, fail(Sent, "head of the answer", errors.New("informational ones without end")))
}

// settle waits until the body of the request is no longer being sent, as its reader is not ours.
func (c *conn) settle(sent chan error, err error) error {
	if sent != nil {
		<-sent
	}
	return err
}

type counter struct {
	net.Conn
	n int
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n += n
	return n, err
}

func putWriter(w *bufio.Writer) {
	w.Reset(nil)
	writers.Put(w)
}

// writeHead writes the head and says how long it is.
func writeHead(w *bufio.Writer, q *Request) int {
	before := w.Size() - w.Available()
	total := 0
	put := func(parts ...string) {
		for _, s := range parts {
			w.WriteString(s)
			total += len(s)
		}
	}
	put(q.Method, " ", q.Target, " HTTP/1.1\r\nHost: ", q.Host, "\r\n")
	for name, values := range q.Header {
		for _, v := range values {
			put(name, ": ", v, "\r\n")
		}
	}
	switch {
	case q.Body != nil && q.Length >= 0:
		put("Content-Length: ", fmt.Sprint(q.Length), "\r\n")
	case q.Body != nil:
		put("Transfer-Encoding: chunked\r\n")
	case q.Method != http.MethodGet && q.Method != http.MethodHead:
		put("Content-Length: 0\r\n")
	}
	put("\r\n")
	return before + total
}

func sendBody(w *bufio.Writer, q *Request) (err error) {
	defer putWriter(w)
	if q.Length >= 0 {
		if n, err := io.CopyN(w, q.Body, q.Length); err != nil {
			return fmt.Errorf("body of the request after %d of %d bytes: %w", n, q.Length, err)
		}
		return w.Flush()
	}
	chunks := httputil.NewChunkedWriter(flusher{w})
	if _, err := io.Copy(chunks, onlyReader{q.Body}); err != nil {
		return fmt.Errorf("body of the request: %w", err)
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if q.Trailer != nil {
		if err := q.Trailer().Write(w); err != nil {
			return err
		}
	}
	w.WriteString("\r\n")
	return w.Flush()
}

// flusher sends what it is given at once: a body that comes in pieces may be a talk.
type flusher struct{ w *bufio.Writer }

func (f flusher) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.w.Flush()
	}
	return n, err
}

type onlyReader struct{ io.Reader }
