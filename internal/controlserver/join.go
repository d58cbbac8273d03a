package controlserver

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"lilacbend/internal/resp"
	"lilacbend/internal/socket"
)

const (
	// joinTimeout is how long a peer may take to join, counted from the accepted connection; no other message extends it.
	// According to the protocol, a peer joins at once, and the server may disconnect it after 1 s and has to answer within
	// 3 s.
	joinTimeout = 2 * time.Second
	// rejectTimeout limits the time to write the reason of a rejection. The reason fits an empty send buffer; if the buffer
	// has no room for it, it is not sent.
	rejectTimeout = 50 * time.Millisecond
	// lingerTimeout is how long a rejected connection is read and its data discarded, unless the peer closes it before.
	// The sum of joinTimeout and lingerTimeout is well below the 3 s within which the server has to answer.
	lingerTimeout = 500 * time.Millisecond
	// maxJoinBytes is the maximum size of a message from a peer that has not joined.
	maxJoinBytes = resp.BufferSize
	// maxLateBytes limits how many bytes of already received data are read after the join deadline. It bounds the work for a
	// peer that never stops sending.
	maxLateBytes = 4 * resp.BufferSize
)

// Errors that end the connection of a peer before it has joined. Their texts, except that of errEvicted, are sent to the
// peer.
var (
	errInvalidJoin = errors.New("not ours")
	errJoinTimeout = errors.New("not joined in time")
	errEvicted     = errors.New("evicted")
)

// joinReader reads from a peer that has to join before the read deadline. After the deadline it reads only data that has
// already arrived, without waiting: the join may have arrived in time while the server was stalled.
type joinReader struct{ *peer }

// Read implements io.Reader.
func (r joinReader) Read(buffer []byte) (int, error) {
	if r.role == unidentified && r.lateBytes != 0 {
		return r.readArrived(buffer)
	}
	n, err := r.conn.Read(buffer)
	if r.role != unidentified || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	r.lateBytes = maxLateBytes
	return r.readArrived(buffer)
}

// readArrived reads data that has already arrived, without waiting. It returns errJoinTimeout if there is none or lateBytes
// is used up.
func (r joinReader) readArrived(buffer []byte) (int, error) {
	n, err := socket.ReadArrived(r.conn, buffer)
	r.lateBytes -= n
	if errors.Is(err, os.ErrDeadlineExceeded) || r.lateBytes <= 0 {
		return 0, errJoinTimeout
	}
	return n, err
}

// join handles the first message of a peer, which has to state the peer's role.
func (p *peer) join(m *message) error {
	switch m.kind {
	case messageCollectorJoin:
		p.joinAsCollector(m)
	case messageProxyJoin:
		p.joinAsProxy(m)
	default:
		m.failf("%.40q before a joining", m.kind)
	}
	if m.err != nil {
		return fmt.Errorf("%w: %w", errInvalidJoin, m.err)
	}
	return nil
}

func (p *peer) joinAsCollector(m *message) {
	zone := m.zone()
	m.fail(p.server.topology.Load().CheckCollector(zone))
	if m.err != nil {
		return
	}
	m.fail(p.server.register(p, collector, zone))
}

func (p *peer) joinAsProxy(m *message) {
	opened := decodeProxyJoin(m)
	m.fail(p.server.topology.Load().CheckProxy(opened))
	if m.err != nil {
		return
	}
	m.fail(p.server.register(p, proxy, ""))
	if m.err != nil {
		return
	}
	opened.Stream = p.stream
	p.id = opened.Proxy
	p.sendQueue = p.server.queues.OpenStream(p.stream, func() { p.conn.Close() })
	p.server.goroutines.Add(1)
	go p.write()
	p.server.queues.Enqueue(opened)
}

// reject sends the reason of the rejection to a peer that has not joined, if it can be sent at once.
func (p *peer) reject(reason error) {
	p.conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	resp.Write(p.conn, p.server.pool, messageError, fieldReason, reason.Error())
	p.linger()
}

// linger closes the connection for writing, then reads and discards data until the peer closes the connection, lingerTimeout
// has passed or resp.MaxMessageSize bytes are read, so that the last answers arrive. A connection that is closed with unread
// data is reset, and a reset discards what the peer has not read yet, including answers to health checks.
func (p *peer) linger() {
	halfCloser, ok := p.conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	p.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, p.conn, resp.MaxMessageSize)
}
