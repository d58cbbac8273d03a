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

	"lilacbend/internal/socket"
)

const (
	// bufferSize is the size of the buffers of a connection, in bytes.
	bufferSize = 4 << 10
	// maxHead bounds the head of a response together with the informational responses before it, in bytes.
	maxHead = 64 << 10
	// maxInformational bounds the informational responses to a request: a replica that sends so many may never send the
	// final response.
	maxInformational = 8
	// unlimited is the read limit for a response body, in bytes.
	unlimited = 1 << 62
)

// conn is a connection to a replica. One request uses it at a time.
type conn struct {
	net.Conn
	pool      *Pool
	address   string
	reader    *bufio.Reader
	readLimit int64         // bytes that may still be read; bodies are unlimited
	written   int           // bytes of the current request that were sent
	cancel    *Cancellation // of the current request
	idleSince time.Time
	reused    bool // an earlier request used it
	stopBody  func()

	// Values that are reused for each request instead of being allocated.
	httpRequest http.Request // tells http.ReadResponse the method of the request
	response    Response

	rawConn  syscall.RawConn // nil: the connection cannot be peeked at
	peek     func(fd uintptr) bool
	peekIdle bool // set by peek: the connection is open and has received nothing
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// putWriter returns a writer to the pool of writers.
func putWriter(w *bufio.Writer) {
	w.Reset(nil)
	writers.Put(w)
}

// newConn wraps a new connection that belongs to a pool.
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

// usable reports whether an idle connection is still open and has received nothing; bytes that arrive without a request
// make it unusable.
func (c *conn) usable() bool {
	if c.rawConn == nil {
		return true
	}
	c.peekIdle = false
	return c.rawConn.Read(c.peek) == nil && c.peekIdle
}

// Read reads from the connection. It fails with errHeadTooLarge once readLimit bytes were read. Bytes that have arrived are
// read even if the deadline has passed by now, unless the request was canceled.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.cancel.Canceled() {
		n, err = socket.ReadArrived(c.Conn, p)
	}
	c.readLimit -= int64(n)
	return n, err
}

// Write writes to the connection and counts the bytes of the current request that were sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// roundTrip sends a request and waits for the head of its response. An error is an AttemptError, and the connection was
// closed.
func (c *conn) roundTrip(cancel *Cancellation, deadline time.Time, r *Request) (*Response, error) {
	cancel.attach(c.Conn, deadline)
	c.cancel = cancel
	c.written = 0
	c.stopBody = r.StopBody
	bodySent, err := c.send(cancel, r)
	if err != nil {
		return nil, err
	}
	return c.readResponse(cancel, r, bodySent)
}

// send sends the head of a request, together with the body if both fit into one buffer. A longer body is sent by a
// goroutine, because the replica may respond before it has read all of it; that goroutine sends its result to the channel.
func (c *conn) send(cancel *Cancellation, r *Request) (bodySent <-chan error, err error) {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c)
	headSize := writeHead(w, r)
	fits := r.Body == nil || r.Length >= 0 && r.Length <= int64(w.Available())
	if fits && r.Body != nil {
		if _, err := io.CopyN(w, bodyReader{r.Body}, r.Length); err != nil {
			putWriter(w)
			return nil, c.fail(cancel, nil, NotSent, "send request", err)
		}
	}
	if err := w.Flush(); err != nil {
		putWriter(w)
		return nil, c.fail(cancel, nil, c.sendProgress(headSize), "send request, after "+strconv.Itoa(c.written)+" bytes", err)
	}
	if fits {
		putWriter(w)
		return nil, nil
	}
	return c.startBody(w, r), nil
}

// sendProgress returns the progress of an attempt whose request could not be sent completely. A replica cannot act on an
// incomplete head.
func (c *conn) sendProgress(headSize int) Progress {
	if c.written < headSize {
		return NotSent
	}
	return Sent
}

// startBody sends a body in a goroutine, which sends its result to the channel and ends. The code that closes the
// connection must wait for that result.
func (c *conn) startBody(w *bufio.Writer, r *Request) <-chan error {
	bodySent := make(chan error, 1)
	go func() {
		err := sendBody(w, r)
		var body *BodyError
		if errors.As(err, &body) { // the body is incomplete, so no response is expected
			c.Conn.Close()
		}
		bodySent <- err
	}()
	return bodySent
}

// readResponse waits for the head of the final response, and forwards informational responses other than 100 Continue.
func (c *conn) readResponse(cancel *Cancellation, r *Request, bodySent <-chan error) (*Response, error) {
	const stage = "read response head"
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

// fail closes the connection and returns an AttemptError. It waits until the request body is no longer being sent, because
// the reader of that body belongs to the caller.
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

// abort closes the connection, ends the sending of the request body and returns the result of the sending. It stops the
// body, because the sending goroutine may otherwise wait long for a client that sends nothing.
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
