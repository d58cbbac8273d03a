// Package httplimit bounds what the clients of a small HTTP/1.1 server can occupy: connections, the size and the number of
// lines of what they send, and time.
package httplimit

import (
	"bytes"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/ratelimit"
	"lilacbend/internal/socket"
)

const (
	// maxHeaderBytes limits the header of a request, in bytes.
	maxHeaderBytes = 8 << 10
	// maxLines limits the lines that a client sends before it gets a response: a header field of a few bytes takes many times
	// as much memory once it is parsed.
	maxLines = 256
	// acceptRetryInterval is the pause after a failed accept, for example because the process has no file descriptor left.
	acceptRetryInterval = 50 * time.Millisecond
)

// requestRate is the rate of requests on one connection. A client that sends more is read more slowly.
var requestRate = ratelimit.Rate{PerSecond: 500, Burst: 1000}

// errTooManyLines is returned by reads from a client that has sent more than maxLines lines.
var errTooManyLines = errors.New("client has sent too many lines")

// Timeouts limit how long a client may occupy a connection.
type Timeouts struct {
	Header time.Duration // for the header of a request to arrive
	Idle   time.Duration // of a connection without a request
}

// NewServer returns a server for the connections of a Listener.
func NewServer(handler http.Handler, timeouts Timeouts) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: timeouts.Header,
		IdleTimeout:       timeouts.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         trackRequests,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// trackRequests lets a client send maxLines more lines once it has got its response, and waits before its next request is read
// if it sends too many.
func trackRequests(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.lines.Store(0)
	time.Sleep(c.requests.Take(time.Now(), requestRate))
}

// Listener closes each connection beyond a limit as soon as it is accepted, so that its client tries another server.
type Listener struct {
	net.Listener
	Open    atomic.Int64 // connections, currently
	Refused atomic.Int64 // connections beyond the limit
	limit   int64
}

// NewListener returns a Listener with at most limit open connections.
func NewListener(listener net.Listener, limit int) *Listener {
	return &Listener{Listener: listener, limit: int64(limit)}
}

// Accept waits for a connection that does not exceed the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if isRetryable(err) {
			time.Sleep(acceptRetryInterval)
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.Open.Add(1) <= l.limit {
			return &conn{Conn: accepted, listener: l}, nil
		}
		l.Open.Add(-1)
		l.Refused.Add(1)
		accepted.Close()
	}
}

// isRetryable reports whether Accept may be called again after err: err is a network error, and the listener is not closed.
func isRetryable(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed)
}

// conn is a connection that counts against the limit until it is closed.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
	lines    atomic.Int64 // sent by the client since its last response
	requests ratelimit.Limiter
}

// Read reads what the client sends, including a request that has arrived before a deadline that has passed by now. It fails
// once the client has sent more than maxLines lines.
func (c *conn) Read(p []byte) (int, error) {
	n, err := socket.Read(c.Conn, p)
	if c.lines.Add(int64(bytes.Count(p[:n], []byte{'\n'}))) > maxLines {
		return 0, errTooManyLines
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() { c.listener.Open.Add(-1) })
	return c.Conn.Close()
}
