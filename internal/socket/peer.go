package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedEvents are the events by which the kernel reports that the peer has closed its side, or that the connection has ended.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// HasDescriptor reports whether a connection gives access to its descriptor, which PeerClosed and AwaitPeerClose need.
func HasDescriptor(conn net.Conn) bool { return rawConn(conn) != nil }

// PeerClosed reports whether the peer has closed the connection or its sending side. Unlike a read, it notices that before the
// bytes that the peer had sent were read. It reports false for a connection that does not give access to its descriptor.
func PeerClosed(conn net.Conn) bool {
	raw := rawConn(conn)
	if raw == nil {
		return false
	}
	closed := false
	err := raw.Control(func(descriptor uintptr) { closed = peerClosed(descriptor) })
	return err != nil || closed
}

// AwaitPeerClose waits until the peer has closed the connection or its sending side, and then returns nil. Bytes that arrive
// meanwhile stay unread. It returns os.ErrDeadlineExceeded once the read deadline has passed, errors.ErrUnsupported if the
// connection does not give access to its descriptor, and another error if the connection was closed on this side. It must not
// be called concurrently with a read.
func AwaitPeerClose(conn net.Conn) error {
	raw := rawConn(conn)
	if raw == nil {
		return errors.ErrUnsupported
	}
	return raw.Read(peerClosed) // calls peerClosed again after each event, such as more bytes or the end of the connection
}

// Unread reports whether bytes have arrived that were not read.
func Unread(conn net.Conn) bool {
	raw := rawConn(conn)
	if raw == nil {
		return false
	}
	unread := false
	err := raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// peerClosed asks the kernel without waiting.
func peerClosed(descriptor uintptr) bool {
	descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(descriptors, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0 && descriptors[0].Revents&closedEvents != 0
		}
	}
}
