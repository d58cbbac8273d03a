package socket

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

func TestPeerClosedIsSeenBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(client *scriptedpeer.Conn){
		"close":      func(client *scriptedpeer.Conn) { client.Close() },
		"half close": func(client *scriptedpeer.Conn) { client.Conn.(*net.TCPConn).CloseWrite() },
		"reset":      (*scriptedpeer.Conn).Reset,
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			client.SendRaw("unread")
			scriptedpeer.AwaitArrival(t, server)
			if PeerClosed(server) || !Unread(server) {
				t.Errorf("before the end: closed %v, unread %v, want unread bytes of an open connection", PeerClosed(server), Unread(server))
			}
			ended := make(chan error, 1)
			server.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
			go func() { ended <- AwaitPeerClose(server) }()
			client.SendRaw("more")
			end(client)
			if err := <-ended; err != nil {
				t.Errorf("waiting for the end: %v", err)
			}
			if !PeerClosed(server) {
				t.Error("after the end the connection counts as open")
			}
		})
	}
}

func TestAwaitPeerCloseEndsAtTheDeadline(t *testing.T) {
	_, server := connect(t)
	ended := make(chan error, 1)
	go func() { ended <- AwaitPeerClose(server) }()
	server.SetReadDeadline(time.Unix(1, 0))
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want the deadline error", err)
	}
	server.SetReadDeadline(time.Time{})
	go func() { ended <- AwaitPeerClose(server) }()
	server.Close()
	if err := <-ended; err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want that of a closed connection", err)
	}
	if !PeerClosed(server) || Unread(server) {
		t.Error("a connection that was closed on this side counts as open, or has unread bytes")
	}
}

func TestConnectionWithoutDescriptor(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	if err := AwaitPeerClose(server); !errors.Is(err, errors.ErrUnsupported) || HasDescriptor(server) || PeerClosed(server) || Unread(server) {
		t.Errorf("error %v, want that it is not supported, and no answer to the other questions", err)
	}
}
