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

// role is the role in which a peer has joined.
type role int

const (
	unidentified role = iota // has not joined
	collector
	proxy
)

// String returns the role's name in log lines and error texts, which call an unidentified peer a stranger.
func (r role) String() string { return [...]string{"stranger", "collector", "proxy"}[r] }

// peer is one connection. One goroutine reads from it; if the peer is a proxy, a second goroutine writes to it.
type peer struct {
	server    *Server
	conn      net.Conn
	stream    controller.StreamID
	evictable *list.Element // its entry in Server.evictable, or nil; guarded by Server.mu
	zone      string        // zone of a collector; guarded by Server.mu
	role      role
	id        int // id of a proxy
	sendQueue *eventloop.SendQueue
	lateBytes int           // how many bytes may still be read after the join deadline; 0: the deadline has not passed
	limits    messageLimits // how fast messages are read
	done      chan struct{} // closed when reading has ended
}

// serve reads messages until the connection ends.
func (p *peer) serve() {
	defer p.server.goroutines.Done()
	defer p.leave()
	defer p.recoverPanic()
	reader := resp.NewReader(joinReader{p}, p.server.pool)
	defer reader.Close()
	reader.SetMaxMessageSize(maxJoinBytes)
	for {
		err := p.readMessage(reader)
		if err != nil {
			p.handleReadError(err)
			return
		}
		p.holdBack()
	}
}

// recoverPanic counts and logs a panic of a reading or writing goroutine, so that it ends only that connection.
func (p *peer) recoverPanic() {
	if v := recover(); v != nil {
		p.server.queues.Counters.Panics.Add(1)
		p.server.log.Error("panic while serving a connection", "peer", p.role, "panic", v, "stack", string(debug.Stack()))
	}
}

// handleReadError counts and logs the error that ended reading. It sends the reason to a peer that has not joined.
func (p *peer) handleReadError(err error) {
	counters := &p.server.queues.Counters
	var text string
	switch {
	case errors.Is(err, errEvicted): // counted by evict
		return
	case errors.Is(err, errJoinTimeout):
		text = "connection closed: join timeout"
		counters.JoinTimeouts.Add(1)
	case errors.Is(err, errInvalidJoin), errors.Is(err, resp.ErrNotBulkStringArray):
		text = "connection closed: invalid join"
		counters.InvalidJoins.Add(1)
	case errors.Is(err, resp.ErrUnreadable), errors.Is(err, resp.ErrNoBuffer):
		text = "connection closed: malformed message"
		counters.MalformedMessages.Add(1)
	default:
		p.server.log.Debug("connection lost", "peer", p.role, "error", err)
		return
	}
	p.server.warn(text, err, "peer", p.role, "from", p.conn.RemoteAddr())
	if p.role == unidentified {
		p.reject(err)
	}
}

// leave closes the connection, reports a proxy's stream as closed, and removes the peer from the server.
func (p *peer) leave() {
	close(p.done)
	p.conn.Close()
	p.server.queues.Counters.ConnectionsEnded.Add(1)
	if p.sendQueue != nil {
		p.sendQueue.Close()
		p.server.queues.Enqueue(controller.StreamClosed{Stream: p.stream})
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.remove(p)
}
