package streams

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"lilacbend/internal/exchange"
	"lilacbend/internal/governor"
	"lilacbend/internal/resp"
)

// answerMost is how long a probe's answer may take to leave: a few bytes into an empty buffer go at once, so
// only a peer that reads nothing takes longer.
const answerMost = time.Second

// The reason why a stranger is sent away goes into an empty buffer, or not at all: nothing waits for it.
const partingMost = 50 * time.Millisecond

// What a stranger has sent or is sending is read for so long after that, and thrown away, unless it closes before: with the joining
// deadline it stays well under the 3 s in which a stranger is owed its answer.
const lingerMost = 500 * time.Millisecond

// A stranger's message holds who it is, in less than a buffer. What had come before its deadline may be some
// more; of one that goes on for ever no more is read.
const helloMost, lateMost = resp.BufferSize, 4 * resp.BufferSize

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
	late   int           // bytes that a stranger may still be read after its deadline; 0: it has not passed
	done   chan struct{} // closed when nothing more is read
}

func (p *peer) attend() {
	defer p.server.all.Done()
	defer p.leave()
	defer p.guard()
	r := resp.NewReader(patient{p}, p.server.pool)
	defer r.Close()
	r.Bound(helloMost)
	for {
		words, err := r.Next()
		if err == nil {
			if err = p.hear(words); p.role != stranger {
				r.Bound(resp.Largest)
			}
		} else if errors.Is(err, resp.ErrNotWords) && p.role != stranger {
			p.skip(err)
			err = nil
		}
		if err != nil {
			p.ended(err)
			return
		}
	}
}

// guard stops a panic at its connection, on the side that reads as on the one that writes.
func (p *peer) guard() {
	if v := recover(); v != nil {
		p.server.exchange.Tally.Panics.Add(1)
		p.server.log.Error("connection failed", "peer", p.role, "panic", v, "stack", string(debug.Stack()))
	}
}

// patient reads for a peer that has to join by a deadline. After it, as after a stall, what has come all the
// same is read, but nothing is waited for.
type patient struct{ *peer }

func (p patient) Read(b []byte) (n int, err error) {
	if p.role != stranger || p.late == 0 {
		if n, err = p.conn.Read(b); p.role != stranger || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		p.late = lateMost
		p.conn.SetReadDeadline(time.Time{})
	}
	socket, ok := p.conn.(syscall.Conn)
	if !ok {
		return 0, errLate
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := raw.Read(func(fd uintptr) bool { n, err = syscall.Read(int(fd), b); return true }); err != nil {
		return 0, err
	}
	if p.late -= n; p.late <= 0 || n < 0 {
		return 0, errLate
	}
	if n == 0 {
		err = io.EOF
	}
	return n, err
}

// ended counts what ended a connection, and says to a stranger why it is sent away, if that goes at once.
func (p *peer) ended(err error) {
	t := &p.server.exchange.Tally
	what := "connection ended: unreadable"
	switch {
	case errors.Is(err, errEvicted): // counted when it was
		return
	case errors.Is(err, errLate):
		what = "connection ended: nobody joined"
		t.Late.Add(1)
	case errors.Is(err, errStrange), errors.Is(err, resp.ErrNotWords):
		what = "connection ended: not ours"
		t.Strangers.Add(1)
	case errors.Is(err, resp.ErrUnreadable), errors.Is(err, resp.ErrNoBuffer):
		t.Unreadable.Add(1)
	default:
		p.server.log.Debug("connection broke", "peer", p.role, "error", err)
		return
	}
	p.server.complain(what, err, "peer", p.role, "from", p.conn.RemoteAddr())
	if p.role == stranger {
		p.conn.SetWriteDeadline(time.Now().Add(partingMost))
		resp.Write(p.conn, p.server.pool, "error", "reason", err.Error())
		p.linger()
	}
}

// linger lets the last answers arrive: a connection closed with bytes that nobody has read is reset, and a reset throws away
// what the other side has not read yet, an "alive" before this one too.
func (p *peer) linger() {
	if half, ok := p.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		p.conn.SetReadDeadline(time.Now().Add(lingerMost))
		io.CopyN(io.Discard, p.conn, resp.Largest)
	}
}

func (p *peer) leave() {
	close(p.done)
	p.conn.Close()
	p.server.exchange.Tally.Ended.Add(1)
	if p.out != nil {
		p.out.Close()
		p.server.exchange.Tell(governor.StreamClosed{Stream: p.stream})
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.drop(p)
}

var (
	errStrange = errors.New("not ours")
	errLate    = errors.New("not joined in time")
	errEvicted = errors.New("its place went to another")
)

// hear takes one message in.
func (p *peer) hear(words []string) error {
	if len(words) > 0 && words[0] == "probe" && p.role != collector {
		return p.alive()
	}
	f := read(words)
	if p.role == stranger {
		p.meet(f)
		if f.err != nil {
			return fmt.Errorf("%w: %w", errStrange, f.err)
		}
		return nil
	}
	if note := p.report(f); f.err != nil {
		p.skip(f.err)
	} else {
		p.server.exchange.Tell(note)
	}
	return nil
}

// meet hears who a stranger is.
func (p *peer) meet(f *fields) {
	switch f.kind {
	case "agent":
		zone := f.zone()
		if f.fault(p.server.census.Load().CheckCollector(zone)); f.err == nil {
			f.fault(p.server.name(p, collector, zone))
		}
	case "hello":
		h := hello(f)
		if f.fault(p.server.census.Load().CheckProxy(h)); f.err == nil {
			f.fault(p.server.name(p, proxy, ""))
		}
		if f.err == nil {
			h.Stream, p.id = p.stream, h.Proxy
			p.out = p.server.exchange.Open(p.stream, func() { p.conn.Close() })
			p.server.all.Add(1)
			go p.write()
			p.server.exchange.Tell(h)
		}
	default:
		f.note("%.40q before a joining", f.kind)
	}
}

// report reads what a peer that is known says.
func (p *peer) report(f *fields) any {
	switch {
	case f.kind == "ack" && p.role == proxy:
		a := ack(f)
		a.Stream = p.stream
		p.own(f, f.whole("id"))
		return a
	case f.kind == "demand" && p.role == proxy:
		d := demand(f)
		d.Stream = p.stream
		p.own(f, d.Proxy)
		return d
	case f.kind == "demand" && p.role == collector:
		return demand(f)
	case f.kind == "outcomes" && p.role == collector:
		return met(f)
	}
	f.note("%.40q from a %v", f.kind, p.role)
	return nil
}

func (p *peer) own(f *fields, id int) {
	if id != p.id {
		f.note("%s of %d on the stream of %d", f.kind, id, p.id)
	}
}

// skip passes over a whole message that cannot be used: all the same a sign of life.
func (p *peer) skip(err error) {
	p.server.exchange.Tally.Skipped.Add(1)
	p.server.complain("message skipped", err, "peer", p.role, "from", p.conn.RemoteAddr())
	if p.role == proxy {
		p.server.exchange.Tell(governor.StreamActive{Stream: p.stream})
	}
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
	defer p.guard()
	tally := &p.server.exchange.Tally
	for {
		item, ok := p.out.Next(p.done)
		if !ok {
			return
		}
		messages := [][]string{{"alive"}}
		if !item.Alive {
			messages = parts(item.Update)
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
		if !item.Alive {
			p.server.exchange.Written(item.Number)
		}
	}
}
