package scale

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// copyBufferSize is small, as there are thousands of connections.
const copyBufferSize = 4 << 10

// link forwards connections from a region or a follower to a server, and can be partitioned. During a partition open
// connections stay open without forwarding any bytes, and new connections are reset at once.
type link struct {
	listener   net.Listener
	target     string
	toServer   atomic.Int64 // bytes forwarded to the server
	fromServer atomic.Int64 // bytes forwarded from the server

	mu          sync.Mutex
	open        chan struct{} // closed while the link forwards
	connections map[net.Conn]struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: make(chan struct{}), connections: map[net.Conn]struct{}{}}
	close(l.open)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// partition stops forwarding until heal is called.
func (l *link) partition() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isForwarding() {
		l.open = make(chan struct{})
	}
}

// heal resumes forwarding.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isForwarding() {
		close(l.open)
	}
}

// isForwarding reports whether the link forwards. The caller holds mu.
func (l *link) isForwarding() bool {
	select {
	case <-l.open:
		return true
	default:
		return false
	}
}

// forwarding returns a channel that is closed while the link forwards.
func (l *link) forwarding() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *link) forward(client net.Conn) {
	defer client.Close()
	l.mu.Lock()
	forwarding := l.isForwarding()
	l.mu.Unlock()
	if !forwarding {
		client.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer server.Close()
	l.track(client, server)
	defer l.untrack(client, server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(server, client, &l.toServer)
	}()
	l.copy(client, server, &l.fromServer)
	<-done
}

// copy forwards one direction until it ends, and then closes both connections, which ends the other direction. During a
// partition it keeps them open until the link is healed.
func (l *link) copy(to, from net.Conn, bytes *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	writer := gatedWriter{to, l, bytes}
	io.CopyBuffer(writer, struct{ io.Reader }{from}, make([]byte, copyBufferSize))
	<-l.forwarding() // the end of a connection is not forwarded during a partition either
}

func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.connections[c] = struct{}{}
	}
}

func (l *link) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.connections, c)
	}
}

func (l *link) close() {
	l.listener.Close()
	l.heal()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.Close()
	}
}

// gatedWriter delays writes until its link forwards, and counts the written bytes.
type gatedWriter struct {
	net.Conn
	link  *link
	bytes *atomic.Int64
}

func (w gatedWriter) Write(b []byte) (int, error) {
	<-w.link.forwarding()
	n, err := w.Conn.Write(b)
	w.bytes.Add(int64(n))
	return n, err
}
