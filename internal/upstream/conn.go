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
	"strconv"
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
	unbounded  = 1 << 62
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

// ErrCut: nobody waits for the flow any more.
var ErrCut = errors.New("nobody waits for it")

// Failure is how an attempt ended without a whole answer.
type Failure struct {
	Reach Reach
	Stage string
	Err   error
}

func (f *Failure) Error() string { return f.Stage + ": " + f.Err.Error() }
func (f *Failure) Unwrap() error { return f.Err }

// BodyError: the body of a request could not be read to its end. It is the client's, and says nothing of the replica.
type BodyError struct{ Err error }

func (b *BodyError) Error() string { return "body of the request: " + b.Err.Error() }
func (b *BodyError) Unwrap() error { return b.Err }

// ErrHalted: a body is read no further because its flow goes on without it. It is nobody's fault.
var ErrHalted = errors.New("the body is no longer wanted")

// source tells a body that cannot be read from a replica that does not take it.
type source struct{ io.Reader }

func (s source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, ErrHalted) {
		err = &BodyError{err}
	}
	return n, err
}

// Request is what is sent. Header holds no hop-by-hop fields; Length is -1 where it is not known.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 io.Reader // nil: none
	Length               int64
	Halt                 func()             // has a read of Body that waits end, and later ones fail with ErrHalted; nil: none waits
	Trailer              func() http.Header // read after Body's end; nil: none
	Fresh                bool               // a connection that idled for long will not do
	Inform               Informed
}

// Informed is told of informational answers.
type Informed interface {
	Inform(status int, h http.Header)
}

// conn is one connection to a replica, used by one flow at a time.
type conn struct {
	net.Conn
	pool    *Pool
	to      string
	r       *bufio.Reader
	head    int64 // what may still be read of a head
	written int   // of the request under way
	idled   time.Time
	used    bool         // for an earlier flow
	asked   http.Request // for the reader of answers
	answer  Answer
	halt    func() // of the request under way
	raw     syscall.RawConn
	peek    func(fd uintptr) bool
	live    bool
}

// newConn readies a connection.
func newConn(p *Pool, to string, raw net.Conn) *conn {
	c := &conn{Conn: raw, pool: p, to: to, r: readers.Get().(*bufio.Reader)}
	c.r.Reset(c)
	if s, ok := raw.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.live = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
		return true
	}
	return c
}

// Read bounds what a head may take; bodies are not bounded.
func (c *conn) Read(p []byte) (int, error) {
	if c.head <= 0 {
		return 0, errors.New("the head of the answer is too large")
	}
	n, err := c.Conn.Read(p)
	c.head -= int64(n)
	return n, err
}

// Write counts what has gone out of a request.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

func putWriter(w *bufio.Writer) {
	w.Reset(nil)
	writers.Put(w)
}

// alive says whether an idle connection has neither ended nor said anything, which nothing was asked for.
func (c *conn) alive() bool {
	if c.raw == nil {
		return true
	}
	c.live = false
	return c.raw.Read(c.peek) == nil && c.live
}

// Answer is an answer whose head has come. Close must be called; it gives the connection back if the answer was read
// to its end and all of the request was sent.
type Answer struct {
	*http.Response
	conn     *conn
	leash    *Leash
	sent     chan error // of the body of the request; nil: it has gone out with the head
	whole    bool
	detached bool
}

// Detach lets the body outlive the time that the head had: from now on each read has the pool's stall.
func (a *Answer) Detach() { a.detached = true }

// Read reads the body of the answer.
func (a *Answer) Read(p []byte) (int, error) {
	if a.detached {
		a.leash.patience(a.conn.pool.stall)
	}
	n, err := a.Response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	} else if err != nil {
		err = &Failure{Answering, "body of the answer", err}
	}
	return n, err
}

// Close ends the attempt.
func (a *Answer) Close() {
	c, keep := a.conn, a.whole && !a.Response.Close
	if a.sent != nil {
		select {
		case err := <-a.sent:
			keep = keep && err == nil
		default: // it answered before it had read all
			keep = false
			c.abandon(a.sent)
		}
	}
	a.leash.hold(nil, past)
	keep = keep && c.r.Buffered() == 0 && !a.leash.IsCut()
	*a = Answer{}
	if keep {
		c.SetDeadline(time.Time{})
	}
	c.pool.put(c, keep)
}

// Do sends a request to an address and waits for the head of the answer until a time. An error is a Failure. A further
// byte of the request's body is read only while the replica takes it. The answer is the connection's, and void after
// its Close.
func (p *Pool) Do(l *Leash, until time.Time, to string, q *Request) (*Answer, error) {
	for {
		c, err := p.get(l, until, to, q.Fresh)
		if err != nil {
			return nil, &Failure{Unsent, "connect to " + to, err}
		}
		used := c.used
		a, err := c.do(l, until, q)
		var f *Failure
		if used && errors.As(err, &f) && f.Reach == Unsent && q.Body == nil && !l.IsCut() {
			continue // it ended as it was taken; nothing has gone out, so the next one is no repeat
		}
		return a, err
	}
}

func (c *conn) do(l *Leash, until time.Time, q *Request) (*Answer, error) {
	l.hold(c.Conn, until)
	w := writers.Get().(*bufio.Writer)
	c.written, c.halt = 0, q.Halt
	w.Reset(c)
	head := writeHead(w, q)
	small := q.Body == nil || q.Length >= 0 && q.Length <= int64(w.Available())
	if small && q.Body != nil {
		if _, err := io.CopyN(w, source{q.Body}, q.Length); err != nil {
			putWriter(w)
			return nil, c.fail(l, nil, Unsent, "body of the request", err)
		}
	}
	if err := w.Flush(); err != nil {
		reach := Sent
		if c.written < head { // no server acts on half a head
			reach = Unsent
		}
		putWriter(w)
		return nil, c.fail(l, nil, reach, "send, after "+strconv.Itoa(c.written)+" bytes", err)
	}
	var sent chan error
	if small {
		putWriter(w)
	} else {
		sent = make(chan error, 1)
		go func() {
			err := sendBody(w, q)
			var body *BodyError
			if errors.As(err, &body) { // no answer is waited for
				c.Conn.Close()
			}
			sent <- err
		}()
	}
	c.head = headMost
	c.asked.Method = q.Method
	for range informMost {
		resp, err := http.ReadResponse(c.r, &c.asked)
		if err != nil {
			return nil, c.fail(l, sent, Sent, "head of the answer", err)
		}
		if resp.StatusCode >= 200 {
			c.head = unbounded
			c.answer = Answer{Response: resp, conn: c, leash: l, sent: sent}
			return &c.answer, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, c.fail(l, sent, Sent, "head of the answer", errors.New("changes the protocol unasked"))
		}
		if resp.StatusCode != http.StatusContinue && q.Inform != nil {
			q.Inform.Inform(resp.StatusCode, resp.Header)
		}
	}
	return nil, c.fail(l, sent, Sent, "head of the answer", errors.New("informational ones without end"))
}

// fail ends the connection, and waits until the body of the request is no longer being sent: its reader is not ours.
func (c *conn) fail(l *Leash, sent chan error, reach Reach, stage string, err error) error {
	l.hold(nil, past)
	switch {
	case l.IsCut():
		err = ErrCut
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = context.DeadlineExceeded
	}
	var body *BodyError
	if errors.As(c.abandon(sent), &body) && !l.IsCut() {
		err = body
	}
	c.pool.put(c, false)
	return &Failure{reach, stage, err}
}

// abandon ends the connection and the sending of the request's body, and says how that ended; sent may be nil. Whoever
// sends may be waiting for the client, which may say nothing for long: the flow does not wait with it.
func (c *conn) abandon(sent chan error) error {
	c.Conn.Close()
	if sent == nil {
		return nil
	}
	if c.halt != nil {
		c.halt()
	}
	return <-sent
}

// writeHead writes the head and says how long it is.
func writeHead(w *bufio.Writer, q *Request) (n int) {
	n += line(w, q.Method, " ", q.Target, " HTTP/1.1\r\nHost: ", q.Host, "\r\n")
	for name, values := range q.Header {
		for _, v := range values {
			n += line(w, name, ": ", v, "\r\n", "", "")
		}
	}
	switch {
	case q.Body != nil && q.Length >= 0:
		n += line(w, "Content-Length: ", strconv.FormatInt(q.Length, 10), "\r\n", "", "", "")
	case q.Body != nil:
		n += line(w, "Transfer-Encoding: chunked\r\n", "", "", "", "", "")
	case q.Method != http.MethodGet && q.Method != http.MethodHead:
		n += line(w, "Content-Length: 0\r\n", "", "", "", "", "")
	}
	return n + line(w, "\r\n", "", "", "", "", "")
}

func line(w *bufio.Writer, a, b, c, d, e, f string) int {
	for _, s := range [...]string{a, b, c, d, e, f} {
		w.WriteString(s)
	}
	return len(a) + len(b) + len(c) + len(d) + len(e) + len(f)
}

func sendBody(w *bufio.Writer, q *Request) (err error) {
	defer putWriter(w)
	if q.Length >= 0 {
		if n, err := io.CopyN(w, source{q.Body}, q.Length); err != nil {
			return fmt.Errorf("after %d of %d bytes: %w", n, q.Length, err)
		}
		return w.Flush()
	}
	chunks := httputil.NewChunkedWriter(flusher{w})
	if _, err := io.Copy(chunks, source{q.Body}); err != nil {
		return err
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
