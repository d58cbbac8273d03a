package controlserver

import (
	"time"

	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
)

// healthCheckTimeout is how long writing the answer to a health check may take. A few bytes fit an empty send buffer at
// once, so only a peer that does not read takes longer.
const healthCheckTimeout = time.Second

// answerHealthCheck writes the answer on the reading goroutine. For a proxy it uses the send queue instead, as only the
// writing goroutine writes to a proxy.
func (p *peer) answerHealthCheck() error {
	p.server.queues.Counters.HealthChecks.Add(1)
	if p.sendQueue != nil {
		p.sendQueue.AnswerHealthCheck()
		return nil
	}
	p.conn.SetWriteDeadline(time.Now().Add(healthCheckTimeout))
	_, err := resp.Write(p.conn, p.server.pool, messageAlive)
	p.conn.SetWriteDeadline(time.Time{})
	return err
}

// write writes the items of a proxy's send queue until the connection ends.
func (p *peer) write() {
	defer p.server.goroutines.Done()
	defer p.conn.Close()
	defer p.recoverPanic()
	for {
		item, ok := p.sendQueue.Next(p.done)
		if !ok {
			return
		}
		if !p.writeItem(item) {
			return
		}
	}
}

// writeItem writes one answer to a health check or one update, and reports whether it was written completely.
// UpdatesSent counts each update whose writing begins, also if the connection fails before its end.
func (p *peer) writeItem(item eventloop.Item) bool {
	if item.HealthCheckReply {
		return p.writeParts([][]string{{messageAlive}})
	}
	parts := EncodeUpdate(item.Update)
	p.server.queues.Counters.UpdatesSent.Add(1)
	if !p.writeParts(parts) {
		return false
	}
	p.server.queues.MessageSent(item.UpdateNumber)
	return true
}

func (p *peer) writeParts(parts [][]string) bool {
	counters := &p.server.queues.Counters
	for k, words := range parts {
		n, err := resp.Write(p.conn, p.server.pool, words...)
		counters.UpdateBytes.Add(int64(n))
		if err != nil {
			counters.WriteErrors.Add(1)
			p.server.log.Debug("writing to a proxy failed", "proxy", p.id, "part", k, "bytes", n, "error", err)
			return false
		}
	}
	return true
}
