package ingress

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lilacbend/internal/socket"
)

// expired is a deadline in the past: setting it ends pending reads at once.
var expired = time.Unix(1, 0)

// deadlineReader limits reads from a connection, either by a timeout for each read or by one deadline for all of them.
type deadlineReader struct {
	conn     net.Conn
	timeout  time.Duration
	deadline time.Time   // zero: the timeout applies to each read
	stopped  atomic.Bool // reads fail at once

	// The first byte of a request, which was read before the connection had a buffer; Read returns it first.
	firstByte    byte
	hasFirstByte bool
}

// Read returns the first byte of the request if there is one, and else reads within the timeout or the deadline. It returns
// bytes that have arrived even if the process learns of them only after that time.
func (r *deadlineReader) Read(p []byte) (int, error) {
	if r.hasFirstByte && len(p) > 0 {
		p[0] = r.firstByte
		r.hasFirstByte = false
		return 1, nil
	}
	deadline := r.deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(r.timeout)
	}
	for {
		r.conn.SetReadDeadline(deadline)
		if r.stopped.Load() { // stop may have set its deadline before SetReadDeadline replaced it
			r.conn.SetReadDeadline(expired)
		}
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || r.stopped.Load() {
			return n, err
		}
		if !time.Now().Before(deadline) {
			return socket.ReadArrived(r.conn, p)
		}
		// The read ended early because a concurrent drain set the shorter deadline of an idle connection just as this
		// request arrived: read again with the deadline of the request.
	}
}

// awaitPeerClose waits until the client has closed the connection, without a timeout. It returns os.ErrDeadlineExceeded after
// stop, and possibly before.
func (r *deadlineReader) awaitPeerClose() error {
	r.conn.SetReadDeadline(time.Time{})
	if r.stopped.Load() { // stop may have set its deadline before SetReadDeadline replaced it
		r.conn.SetReadDeadline(expired)
	}
	return socket.AwaitPeerClose(r.conn)
}

// stop makes all reads fail at once, including one that is waiting.
func (r *deadlineReader) stop() {
	r.stopped.Store(true)
	r.conn.SetReadDeadline(expired)
}

// deadlineWriter limits writes to a connection by a timeout for each write, and optionally by one deadline for all.
type deadlineWriter struct {
	conn     net.Conn
	timeout  time.Duration
	deadline atomic.Pointer[time.Time] // for all further writes; nil: none
}

// Write writes within the timeout and the deadline.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
	if deadline := w.deadline.Load(); deadline != nil { // setOverallTimeout may have set it before SetWriteDeadline replaced it
		w.conn.SetWriteDeadline(*deadline)
	}
	return w.conn.Write(p)
}

// setOverallTimeout gives all further writes, including one that is waiting, one common timeout.
func (w *deadlineWriter) setOverallTimeout(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	w.deadline.Store(&deadline)
	w.conn.SetWriteDeadline(deadline)
}
