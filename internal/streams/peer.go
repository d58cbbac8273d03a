package streams

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"time"

	"lilacbend/internal/exchange"
	"lilacbend/internal/governor"
	"lilacbend/internal/resp"
)

// answerMost is how long a probe's answer may take to leave: a few bytes into an empty buffer go at once, so
// only a peer that reads nothing takes longer.
const answerMost = time.Second

// role is what a peer has shown itself to be.
type role int

const (
	stranger role = iota
	collector
	proxy
)

func (r role) String() string { return [...]string{"stranger", "collector", "proxy"}[r] }

// peer is one connection. Its own goroutine reads; a proxy's has a second one that writes.
type peer struct {
	server *Server
	conn   net.Conn
	stream governor.Stream
	place  *list.Element // in the queue of the dispensable; the server's lock guards it and the zone
	zone   string        // of a collector
	role   role
	id     int // of a proxy
	out    *exchange.Outbox
	done   chan struct{} // closed when nothing more is read
}

func (p *peer) attend() {
	defer p.server.all.Done()
	defer p.leave()
	defer func() {
		if v := recover(); v != nil {
			p.server.exchange.Tally.Panics.Add(1)
			p.server.log.Error("connection failed", "peer", p.role, "panic", v, "stack", string(debug.Stack()))
		}
	}()
	r := resp.NewReader(p.conn, p.server.pool)
	defer r.Close()
	for {
		words, err := r.Next()
		if err == nil {
			err = p.hear(words)
		}
		if err != nil {
			p.ended(err)
			return
		}
	}
}

func (p *peer) ended(err error) {
	if errors.Is(err, resp.ErrUnreadable) || errors.Is(err, errWords) || errors.Is(err, resp.ErrNoBuffer) {
		p.server.exchange.Tally.Unreadable.Add(1)
		p.server.complain("connection ended: unreadable", err, "peer", p.role, "from", p.conn.RemoteAddr())
	} else if !errors.Is(err, io.EOF) {
		p.server.log.Debug("connection broke", "peer", p.role, "error", err)
	}
}

func (p *peer) leave() {
	close(p.done)
	p.conn.Close()
	p.server.exchange.Tally.Ended.Add(1)
	if p.out != nil {
		p.out.Close()
		p.server.exchange.Tell(governor.Left{Stream: p.stream})
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.drop(p)
}

var errWords = errors.New("unreadable words")

// hear takes one message in. What is of an unknown kind, or not for this peer to say, is skipped.
func (p *peer) hear(words []string) error {
	x := p.server.exchange
	if len(words) == 0 {
		x.Tally.Skipped.Add(1)
		return nil
	}
	f := &fields{words: words}
	var note any
	switch kind := words[0]; {
	case kind == "probe" && p.role != collector:
		return p.alive()
	case len(words)%2 == 0:
		f.note("%d words", len(words))
	case kind == "agent" && p.role == stranger:
		if zone := f.text("site"); f.err == nil {
			p.role = collector
			p.server.name(p, zone)
		}
		return p.spoken(f)
	case kind == "hello" && p.role == stranger:
		h := hello(f)
		if f.err == nil {
			h.Stream, p.id, p.role = p.stream, h.Proxy, proxy
			p.server.name(p, "")
			p.out = x.Open(p.stream, func() { p.conn.Close() })
			p.server.all.Add(1)
			go p.write()
			note = h
		}
	case kind == "ack" && p.role == proxy:
		a := ack(f)
		a.Stream = p.stream
		if id, named := f.has("id"); !named || id == fmt.Sprint(p.id) {
			note = a
		}
	case kind == "outcomes" && p.role == collector:
		note = met(f)
	case kind == "demand" && p.role == collector:
		note = demand(f)
	case kind == "demand" && p.role == proxy:
		d := demand(f)
		d.Stream = p.stream
		if d.Proxy == p.id {
			note = d
		}
	}
	if f.err == nil && note == nil {
		x.Tally.Skipped.Add(1)
	} else if f.err == nil {
		x.Tell(note)
	}
	return p.spoken(f)
}

func (p *peer) spoken(f *fields) error {
	if f.err != nil {
		return fmt.Errorf("%w: %w", errWords, f.err)
	}
	return nil
}

func (p *peer) alive() error {
	p.server.exchange.Tally.Alive.Add(1)
	if p.out != nil {
		p.out.Alive()
		return nil
	}
	p.conn.SetWriteDeadline(time.Now().Add(answerMost))
	_, err := resp.Write(p.conn, p.server.pool, "alive")
	p.conn.SetWriteDeadline(time.Time{})
	return err
}

// write sends what waits for a proxy until either side ends.
func (p *peer) write() {
	defer p.server.all.Done()
	defer p.conn.Close()
	tally := &p.server.exchange.Tally
	for {
		item, ok := p.out.Next(p.done)
		if !ok {
			return
		}
		messages := [][]string{{"alive"}}
		if !item.Alive {
			messages = parts(item.Push)
			tally.Pushes.Add(1)
		}
		for k, words := range messages {
			n, err := resp.Write(p.conn, p.server.pool, words...)
			tally.PushBytes.Add(int64(n))
			if err != nil {
				tally.WriteErrors.Add(1)
				p.server.log.Debug("push broke off", "proxy", p.id, "part", k, "bytes", n, "error", err)
				return
			}
		}
	}
}
