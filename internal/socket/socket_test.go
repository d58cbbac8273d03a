package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (client *scriptedpeer.Conn, server *net.TCPConn) {
	t.Helper()
	listener := scriptedpeer.Listen(t)
	client = scriptedpeer.Dial(t, listener.Address())
	return client, listener.AcceptConn().Conn.(*net.TCPConn)
}

func TestReadReturnsArrivedBytesAfterDeadline(t *testing.T) {
	client, server := connect(t)
	client.SendRaw("in time")
	scriptedpeer.AwaitArrival(t, server)
	server.SetReadDeadline(time.Now().Add(-time.Second))
	buffer := make([]byte, 100)
	if n, err := server.Read(buffer); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection read %d bytes after its deadline, error %v; the runtime is expected to refuse", n, err)
	}
	n, err := Read(server, buffer)
	if err != nil || string(buffer[:n]) != "in time" {
		t.Errorf("read %q, error %v, want the bytes that have arrived", buffer[:n], err)
	}
	if n, err := Read(server, buffer); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, error %v, want the deadline error as nothing has arrived", n, err)
	}
}

func TestReadReturnsEndAfterDeadline(t *testing.T) {
	client, server := connect(t)
	client.Close()
	scriptedpeer.AwaitArrival(t, server)
	server.SetReadDeadline(time.Now().Add(-time.Second))
	if n, err := Read(server, make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, error %v, want the end of the connection", n, err)
	}
}

func TestReadOfClosedConnectionFails(t *testing.T) {
	_, server := connect(t)
	server.Close()
	if n, err := ReadArrived(server, make([]byte, 1)); n != 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, error %v, want the error of a closed connection", n, err)
	}
}

func TestReadArrivedWithoutDescriptor(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	if n, err := ReadArrived(server, make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, error %v, want the deadline error", n, err)
	}
}
