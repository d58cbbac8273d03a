package controlserver

import (
	"container/list"
	"errors"
	"net"
	"runtime/debug"

	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
)

// role is what a peer has joined as.
type role int

const (
	unidentified role = iota // has not joined
	collector
	proxy
)

// String returns the role's name in log lines and error texts. An unidentified peer is a stranger there.
func (r role) String() string { return [...]string{"stranger", "collector", "proxy"}[r] }

// peer is one connection. One goroutine reads from it; a second one writes to a proxy.
type peer struct {
	server    *Server
	conn      net.Conn
	stream    controller.StreamID
	evictable *list.Element // its entry in Server.evictable, or nil; guarded by Server.mu
	zone      string        // of a collector; guarded by Server.mu
	role      role
	id        int // of a proxy
	sendQueue *eventloop.SendQueue
	lateBytes int           // how much may still be read after the join deadline; 0: the deadline has not passed
	done      chan struct{} // closed when reading has ended
}

// serve reads messages until the connection ends.
func (p *peer) serve() {
	defer p.server.goroutines.Done()
	defer p.leave()
	defer p.recoverPanic()
	reader := resp.NewReader(joinReader{p}, p.server.pool)
	defer reader.Close()
	reader.Bound(maxJoinBytes)
	for {
		err := p.readMessage(reader)
		if err != nil {
			p.ended(err)
			return
		}
	}
}

// recoverPanic confines a panic of a reading or writing goroutine to its connection.
func (p *peer) recoverPanic() {
	if v := recover(); v != nil {
		p.server.queues.Counters.Panics.Add(1)
		p.server.log.Error("connection failed", "peer", p.role, "panic", v, "stack", string(debug.Stack()))
	}
}

// ended counts and logs why reading has ended. A peer that has not joined is sent the reason.
func (p *peer) ended(err error) {
	counters := &p.server.queues.Counters
	var text string
	switch {
	case errors.Is(err, errEvicted): // counted by evict
		return
	case errors.Is(err, errJoinTimeout):
		text = "connection closed: join timeout"
		counters.JoinTimeouts.Add(1)
	case errors.Is(err, errUnidentifiedPeer), errors.Is(err, resp.ErrNotWords):
		text = "connection closed: invalid join"
		counters.UnidentifiedPeers.Add(1)
	case errors.Is(err, resp.ErrUnreadable), errors.Is(err, resp.ErrNoBuffer):
		text = "connection closed: malformed message"
		counters.Malformed.Add(1)
	default:
		p.server.log.Debug("connection lost", "peer", p.role, "error", err)
		return
	}
	p.server.warn(text, err, "peer", p.role, "from", p.conn.RemoteAddr())
	if p.role == unidentified {
		p.reject(err)
	}
}

// leave closes the connection and frees its place.
func (p *peer) leave() {
	close(p.done)
	p.conn.Close()
	p.server.queues.Counters.Ended.Add(1)
	if p.sendQueue != nil {
		p.sendQueue.Close()
		p.server.queues.Enqueue(controller.StreamClosed{Stream: p.stream})
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.remove(p)
}
