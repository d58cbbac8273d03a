package controlserver

import (
	"errors"

	"lilacbend/internal/controller"
	"lilacbend/internal/resp"
)

// readMessage reads and handles one message. An error ends the connection.
func (p *peer) readMessage(reader *resp.Reader) error {
	words, err := reader.Next()
	if errors.Is(err, resp.ErrNotBulkStringArray) && p.role != unidentified {
		p.skip(err)
		return nil
	}
	if err != nil {
		return err
	}
	p.limits.lastKind = kindOf(words)
	err = p.handle(words)
	if p.role != unidentified {
		reader.SetMaxMessageSize(resp.MaxMessageSize)
	}
	return err
}

// handle answers a health check, lets a peer join, or enqueues the event for a message of a peer that has joined.
func (p *peer) handle(words []string) error {
	if len(words) > 0 && words[0] == messageHealthCheck && p.role != collector {
		return p.answerHealthCheck()
	}
	m := newMessage(words)
	if p.role == unidentified {
		return p.join(m)
	}
	event := p.decode(m)
	if m.err != nil {
		p.skip(m.err)
		return nil
	}
	p.server.queues.Enqueue(event)
	return nil
}

// decode returns the event for a message of a peer that has joined. The event is valid only if m.err is nil.
func (p *peer) decode(m *message) controller.Input {
	switch {
	case m.kind == messageAck && p.role == proxy:
		ack := decodeAck(m)
		ack.Stream = p.stream
		p.requireOwnID(m, m.integer(fieldProxy))
		return ack
	case m.kind == messageDemand && p.role == proxy:
		demand := decodeDemand(m)
		demand.Stream = p.stream
		p.requireOwnID(m, demand.Proxy)
		return demand
	case m.kind == messageDemand && p.role == collector:
		return decodeDemand(m)
	case m.kind == messageOutcomes && p.role == collector:
		return decodeOutcomes(m)
	}
	m.failf("%.40q from a %v", m.kind, p.role)
	return nil
}

// requireOwnID records a fault if a message names a proxy other than the one that has joined on this stream.
func (p *peer) requireOwnID(m *message, id int) {
	if id != p.id {
		m.failf("%s of %d on the stream of %d", m.kind, id, p.id)
	}
}

// skip counts and logs a complete message that cannot be used. For a proxy it reports the stream as active all the same.
func (p *peer) skip(err error) {
	p.server.queues.Counters.MessagesSkipped.Add(1)
	p.server.warn("message skipped", err, "peer", p.role, "from", p.conn.RemoteAddr())
	if p.role == proxy {
		p.server.queues.Enqueue(controller.MessageSkipped{Stream: p.stream})
	}
}
