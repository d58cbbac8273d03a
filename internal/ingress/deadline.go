package ingress

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// expired is a deadline that is over.
var expired = time.Unix(1, 0)

// deadlineReader gives each read a timeout, or all of them one deadline.
type deadlineReader struct {
	conn     net.Conn
	timeout  time.Duration
	deadline time.Time   // zero: each read has its timeout
	stopped  atomic.Bool // reads return at once

	// The first byte of a request was read while the connection held no buffer.
	firstByte    byte
	hasFirstByte bool
}

// Read reads within the timeout or deadline.
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
		if r.stopped.Load() { // whichever was set first, the deadline is over now
			r.conn.SetReadDeadline(expired)
		}
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || r.stopped.Load() || !time.Now().Before(deadline) {
			return n, err
		}
		// The deadline was that of an idle connection, which a drain has set as this request came.
	}
}

// stop makes reads return at once, also one that is waiting.
func (r *deadlineReader) stop() {
	r.stopped.Store(true)
	r.conn.SetReadDeadline(expired)
}

// deadlineWriter gives each write a timeout.
type deadlineWriter struct {
	conn     net.Conn
	timeout  time.Duration
	deadline atomic.Pointer[time.Time] // of all writes, once set
}

// Write writes within the timeout and the deadline.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
	if deadline := w.deadline.Load(); deadline != nil { // whichever was set first, it holds now
		w.conn.SetWriteDeadline(*deadline)
	}
	return w.conn.Write(p)
}

// limitAll gives all writes from now on, also one that is waiting, a time together.
func (w *deadlineWriter) limitAll(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	w.deadline.Store(&deadline)
	w.conn.SetWriteDeadline(deadline)
}
