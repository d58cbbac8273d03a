package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// bufferSize is the size of the buffers of a connection, in bytes.
	bufferSize = 4 << 10
	// maxHead bounds the head of a response together with the informational responses before it, in bytes.
	maxHead = 64 << 10
	// maxInformational bounds the informational responses before the final one: more come from a replica that never
	// ends.
	maxInformational = 8
	// unlimited is the bound of a body.
	unlimited = 1 << 62
)

// conn is a connection to a replica. One request uses it at a time.
type conn struct {
	net.Conn
	pool      *Pool
	address   string
	reader    *bufio.Reader
	readLimit int64 // bytes that may still be read; bodies are unlimited
	written   int   // bytes of the current request
	idleSince time.Time
	reused    bool // an earlier request used it
	stopBody  func()

	// Values that each request uses anew instead of allocating them.
	httpRequest http.Request // tells the reader of responses what was asked
	response    Response

	rawConn  syscall.RawConn // nil: cannot be looked at
	peek     func(fd uintptr) bool
	peekIdle bool // the result of peek
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

func putWriter(w *bufio.Writer) {
	w.Reset(nil)
	writers.Put(w)
}

// newConn wraps a new connection of a pool.
func newConn(p *Pool, address string, netConn net.Conn) *conn {
	c := &conn{Conn: netConn, pool: p, address: address, reader: readers.Get().(*bufio.Reader)}
	c.reader.Reset(c)
	if s, ok := netConn.(syscall.Conn); ok {
		c.rawConn, _ = s.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.peekIdle = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
		return true
	}
	return c
}

// usable reports whether an idle connection has neither ended nor received anything, which nobody asked for.
func (c *conn) usable() bool {
	if c.rawConn == nil {
		return true
	}
	c.peekIdle = false
	return c.rawConn.Read(c.peek) == nil && c.peekIdle
}

// Read reads up to the limit for the current part of a response.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p)
	c.readLimit -= int64(n)
	return n, err
}

// Write counts the bytes of the current request that have gone out.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// roundTrip sends a request and waits for the head of its response. An error is an AttemptError, and has ended the
// connection.
func (c *conn) roundTrip(cancel *Cancellation, deadline time.Time, r *Request) (*Response, error) {
	cancel.attach(c.Conn, deadline)
	c.written = 0
	c.stopBody = r.StopBody
	bodySent, err := c.send(cancel, r)
	if err != nil {
		return nil, err
	}
	return c.readResponse(cancel, r, bodySent)
}

// send sends the head of a request, with its body if both fit into one buffer. A longer body is sent by a goroutine, as
// the replica may answer before it has read all; the result of that comes by the channel.
func (c *conn) send(cancel *Cancellation, r *Request) (bodySent <-chan error, err error) {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c)
	headSize := writeHead(w, r)
	fits := r.Body == nil || r.Length >= 0 && r.Length <= int64(w.Available())
	if fits && r.Body != nil {
		if _, err := io.CopyN(w, bodyReader{r.Body}, r.Length); err != nil {
			putWriter(w)
			return nil, c.fail(cancel, nil, NotSent, "request body", err)
		}
	}
	if err := w.Flush(); err != nil {
		putWriter(w)
		return nil, c.fail(cancel, nil, c.sendProgress(headSize), "send, after "+strconv.Itoa(c.written)+" bytes", err)
	}
	if fits {
		putWriter(w)
		return nil, nil
	}
	return c.startBody(w, r), nil
}

// sendProgress is how far an attempt came whose sending failed: no server acts on a part of a head.
func (c *conn) sendProgress(headSize int) Progress {
	if c.written < headSize {
		return NotSent
	}
	return Sent
}

// startBody sends a body in a goroutine, which ends with the result in the channel. Whoever closes the connection waits
// for that.
func (c *conn) startBody(w *bufio.Writer, r *Request) <-chan error {
	bodySent := make(chan error, 1)
	go func() {
		err := sendBody(w, r)
		var body *BodyError
		if errors.As(err, &body) { // nobody waits for a response to a part of a body
			c.Conn.Close()
		}
		bodySent <- err
	}()
	return bodySent
}

// readResponse waits for the head of the final response, and passes the informational ones on.
func (c *conn) readResponse(cancel *Cancellation, r *Request, bodySent <-chan error) (*Response, error) {
	const stage = "response head"
	c.readLimit = maxHead
	c.httpRequest.Method = r.Method
	for range maxInformational {
		head, err := http.ReadResponse(c.reader, &c.httpRequest)
		if err != nil {
			return nil, c.fail(cancel, bodySent, Sent, stage, err)
		}
		if head.StatusCode >= http.StatusOK {
			c.readLimit = unlimited
			c.response = Response{Response: head, conn: c, cancel: cancel, bodySent: bodySent}
			return &c.response, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, c.fail(cancel, bodySent, Sent, stage, errProtocolSwitch)
		}
		if head.StatusCode != http.StatusContinue && r.Informational != nil {
			r.Informational.WriteInformational(head.StatusCode, head.Header)
		}
	}
	return nil, c.fail(cancel, bodySent, Sent, stage, errTooManyInformational)
}

// fail ends the connection, and waits until the request's body is no longer being sent: its reader belongs to the caller.
func (c *conn) fail(cancel *Cancellation, bodySent <-chan error, progress Progress, stage string, err error) error {
	cancel.detach()
	switch {
	case cancel.Canceled():
		err = ErrCanceled
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = context.DeadlineExceeded
	}
	var body *BodyError
	if errors.As(c.abort(bodySent), &body) && !cancel.Canceled() {
		err = body
	}
	c.pool.release(c, false)
	return &AttemptError{progress, stage, err}
}

// abort ends the connection and the sending of the request's body, and returns how that ended. The sender may wait for a
// client that says nothing for long, so the body is stopped.
func (c *conn) abort(bodySent <-chan error) error {
	c.Conn.Close()
	if bodySent == nil {
		return nil
	}
	if c.stopBody != nil {
		c.stopBody()
	}
	return <-bodySent
}
