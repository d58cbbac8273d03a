package scale

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// copyBuffer is small, as there are thousands of connections.
const copyBuffer = 4 << 10

// link forwards connections from one place to a server, and can be cut: open connections stay open and silent, new ones fail at
// once.
type link struct {
	listener net.Listener
	target   string
	up       atomic.Int64 // bytes to the server
	down     atomic.Int64 // bytes from it

	mu   sync.Mutex
	open chan struct{} // closed while the link forwards
	ends map[net.Conn]struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: make(chan struct{}), ends: map[net.Conn]struct{}{}}
	close(l.open)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isOpen() {
		l.open = make(chan struct{})
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOpen() {
		close(l.open)
	}
}

// isOpen reports whether the link forwards. The caller holds mu.
func (l *link) isOpen() bool {
	select {
	case <-l.open:
		return true
	default:
		return false
	}
}

func (l *link) gate() <-chan struct{} {
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

func (l *link) forward(near net.Conn) {
	defer near.Close()
	l.mu.Lock()
	open := l.isOpen()
	l.mu.Unlock()
	if !open {
		near.(*net.TCPConn).SetLinger(0)
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		near.(*net.TCPConn).SetLinger(0)
		return
	}
	defer far.Close()
	l.keep(near, far)
	defer l.forget(near, far)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(far, near, &l.up)
	}()
	l.copy(near, far, &l.down)
	<-done
}

// copy forwards one direction until it ends, and then ends the other one.
func (l *link) copy(to, from net.Conn, bytes *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	gated := gatedWriter{to, l, bytes}
	io.CopyBuffer(gated, struct{ io.Reader }{from}, make([]byte, copyBuffer))
	<-l.gate() // the end of a connection does not pass a cut either
}

func (l *link) keep(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.ends[c] = struct{}{}
	}
}

func (l *link) forget(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.ends, c)
	}
}

func (l *link) close() {
	l.listener.Close()
	l.heal()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.ends {
		c.Close()
	}
}

// gatedWriter writes while its link forwards.
type gatedWriter struct {
	net.Conn
	link  *link
	bytes *atomic.Int64
}

func (w gatedWriter) Write(b []byte) (int, error) {
	<-w.link.gate()
	n, err := w.Conn.Write(b)
	w.bytes.Add(int64(n))
	return n, err
}
