package configserver

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/socket"
)

// acceptRetryInterval is the pause after a failed accept, for example because the process has no file descriptor left.
const acceptRetryInterval = 50 * time.Millisecond

// limitListener closes each connection beyond a limit as soon as it is accepted, so that its client tries another server.
type limitListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused atomic.Int64
}

// Accept waits for a connection that does not exceed the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if isRetryable(err) {
			time.Sleep(acceptRetryInterval)
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		conn.Close()
	}
}

// isRetryable reports whether Accept may be called again after err: err is a network error, and the listener is not closed.
func isRetryable(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed)
}

// limitedConn is a connection that counts against the limit until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Read reads what the follower sends, including a request that has arrived before a deadline that has passed by now.
func (c *limitedConn) Read(p []byte) (int, error) { return socket.Read(c.Conn, p) }

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
