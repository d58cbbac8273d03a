// Package socket asks the kernel about a connection without waiting: which bytes have arrived, and whether the peer has
// closed its side. The answers do not depend on the connection's deadlines, which the Go runtime checks before it asks the
// kernel.
package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Read reads from a connection as its Read method does, but bytes that have already arrived are returned even if the read
// deadline has passed. A process that was stopped, or had no processor for a while, runs its timers before it learns which
// bytes have arrived in the meantime; the bytes may have arrived long before the deadline.
func Read(conn net.Conn, p []byte) (int, error) {
	n, err := conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	return ReadArrived(conn, p)
}

// Reader reads a connection by Read.
type Reader struct{ Conn net.Conn }

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) { return Read(r.Conn, p) }

// ReadArrived reads bytes that have already arrived, without waiting and regardless of the read deadline. It returns
// os.ErrDeadlineExceeded if there are none, or if the connection does not give access to its descriptor. It must not be
// called concurrently with another read.
func ReadArrived(conn net.Conn, p []byte) (int, error) {
	raw := rawConn(conn)
	if raw == nil {
		return 0, os.ErrDeadlineExceeded
	}
	n, readErr := 0, error(nil)
	err := raw.Control(func(descriptor uintptr) {
		n, readErr = syscall.Read(int(descriptor), p)
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN), errors.Is(readErr, syscall.EINTR):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// rawConn returns access to the descriptor of a connection, or nil if the connection does not give it.
func rawConn(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
