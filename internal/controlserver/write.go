package controlserver

import (
	"time"

	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
)

// healthCheckTimeout is how long writing the answer to a health check may take. A few bytes fit an empty send buffer at once,
// so only a peer that does not read takes longer.
const healthCheckTimeout = time.Second

// answerHealthCheck answers on the reading goroutine, or through the outbox of a proxy, whose other goroutine writes.
func (p *peer) answerHealthCheck() error {
	p.server.events.Tally.Alive.Add(1)
	if p.outbox != nil {
		p.outbox.Alive()
		return nil
	}
	p.conn.SetWriteDeadline(time.Now().Add(healthCheckTimeout))
	_, err := resp.Write(p.conn, p.server.pool, messageAlive)
	p.conn.SetWriteDeadline(time.Time{})
	return err
}

// write writes what is in a proxy's outbox until the connection ends.
func (p *peer) write() {
	defer p.server.goroutines.Done()
	defer p.conn.Close()
	defer p.recoverPanic()
	for {
		item, ok := p.outbox.Next(p.done)
		if !ok {
			return
		}
		if !p.writeItem(item) {
			return
		}
	}
}

// writeItem writes one answer to a health check or one update, and reports whether all of it was written.
func (p *peer) writeItem(item eventloop.Item) bool {
	if item.Alive {
		return p.writeParts([][]string{{messageAlive}})
	}
	parts := EncodeUpdate(item.Update)
	p.server.events.Tally.Pushes.Add(1)
	if !p.writeParts(parts) {
		return false
	}
	p.server.events.Written(item.Number)
	return true
}

func (p *peer) writeParts(parts [][]string) bool {
	tally := &p.server.events.Tally
	for k, words := range parts {
		n, err := resp.Write(p.conn, p.server.pool, words...)
		tally.PushBytes.Add(int64(n))
		if err != nil {
			tally.WriteErrors.Add(1)
			p.server.log.Debug("write failed", "proxy", p.id, "part", k, "bytes", n, "error", err)
			return false
		}
	}
	return true
}
