package scriptedpeer

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Stall simulates that a process stands still during one read of a connection: the read begins before its deadline, and the
// runtime is asked for what has arrived only when the test calls Resume.
type Stall struct {
	read   int64 // the number of the read that stands still, from 1
	began  chan struct{}
	resume chan struct{}
}

// NewStall returns a Stall at the read with the given number, from 1.
func NewStall(read int64) *Stall {
	return &Stall{read: read, began: make(chan struct{}), resume: make(chan struct{})}
}

// AwaitBegin waits until the read that stands still has begun.
func (s *Stall) AwaitBegin(t testing.TB) {
	t.Helper()
	select {
	case <-s.began:
	case <-time.After(WaitTimeout):
		t.Fatalf("read %d of the connection has not begun", s.read)
	}
}

// Resume ends the stall.
func (s *Stall) Resume() { close(s.resume) }

// Conn returns a TCP connection with the stall.
func (s *Stall) Conn(conn net.Conn) net.Conn {
	return &stallingConn{TCPConn: conn.(*net.TCPConn), stall: s}
}

// Listener returns a listener whose connection has the stall; it must accept one connection only.
func (s *Stall) Listener(listener net.Listener) net.Listener { return stallingListener{listener, s} }

type stallingListener struct {
	net.Listener
	stall *Stall
}

// Accept accepts a connection, which has the stall.
func (l stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.stall.Conn(conn), nil
}

type stallingConn struct {
	*net.TCPConn
	stall *Stall
	reads atomic.Int64
}

// Read reads from the connection, and stands still at the read of the stall.
func (c *stallingConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == c.stall.read {
		close(c.stall.began)
		<-c.stall.resume
	}
	return c.TCPConn.Read(p)
}

// AwaitArrival waits until the kernel has bytes, or the end of a connection, to read.
func AwaitArrival(t testing.TB, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(WaitTimeout))
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if err != nil {
		t.Fatalf("nothing arrived within %v: %v", WaitTimeout, err)
	}
}

// LateConn is a connection of a process that asks for what has arrived only after each read deadline.
type LateConn struct{ *net.TCPConn }

// SetReadDeadline sets a read deadline that has passed.
func (c LateConn) SetReadDeadline(time.Time) error {
	return c.TCPConn.SetReadDeadline(time.Now().Add(-time.Second))
}
