package controlserver

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

	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
)

// answerTimeout is how long a probe's answer may take to leave: a few bytes into an empty buffer go at once, so
// only a peer that reads nothing takes longer.
const answerTimeout = time.Second

// The reason why a stranger is sent away goes into an empty buffer, or not at all: nothing waits for it.
const refusalTimeout = 50 * time.Millisecond

// What a stranger has sent or is sending is read for so long after that, and thrown away, unless it closes before: with the joining
// deadline it stays well under the 3 s in which a stranger is owed its answer.
const lingerTimeout = 500 * time.Millisecond

// A stranger's message holds who it is, in less than a buffer. What had come before its deadline may be some
// more; of one that goes on for ever no more is read.
const maxJoinBytes, maxLateBytes = resp.BufferSize, 4 * resp.BufferSize

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
	stream controller.StreamID
	place  *list.Element // in the queue of the dispensable; the server's lock guards it and the zone
	zone   string        // of a collector
	role   role
	id     int // of a proxy
	out    *eventloop.SendQueue
	late   int           // bytes that a stranger may still be read after its deadline; 0: it has not passed
	done   chan struct{} // closed when nothing more is read
}

func (p *peer) serve() {
	defer p.server.all.Done()
	defer p.leave()
	defer p.recoverPanic()
	r := resp.NewReader(joinReader{p}, p.server.pool)
	defer r.Close()
	r.Bound(maxJoinBytes)
	for {
		words, err := r.Next()
		if err == nil {
			if err = p.handle(words); p.role != stranger {
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

// recoverPanic stops a panic at its connection, on the side that reads as on the one that writes.
func (p *peer) recoverPanic() {
	if v := recover(); v != nil {
		p.server.exchange.Counters.Panics.Add(1)
		p.server.log.Error("connection failed", "peer", p.role, "panic", v, "stack", string(debug.Stack()))
	}
}

// joinReader reads for a peer that has to join by a deadline. After it, as after a stall, what has come all the
// same is read, but nothing is waited for.
type joinReader struct{ *peer }

func (p joinReader) Read(b []byte) (n int, err error) {
	if p.role != stranger || p.late == 0 {
		if n, err = p.conn.Read(b); p.role != stranger || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		p.late = maxLateBytes
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
	t := &p.server.exchange.Counters
	what := "connection ended: unreadable"
	switch {
	case errors.Is(err, errEvicted): // counted when it was
		return
	case errors.Is(err, errLate):
		what = "connection ended: nobody joined"
		t.JoinTimeouts.Add(1)
	case errors.Is(err, errStrange), errors.Is(err, resp.ErrNotWords):
		what = "connection ended: not ours"
		t.UnknownPeers.Add(1)
	case errors.Is(err, resp.ErrUnreadable), errors.Is(err, resp.ErrNoBuffer):
		t.Malformed.Add(1)
	default:
		p.server.log.Debug("connection broke", "peer", p.role, "error", err)
		return
	}
	p.server.warn(what, err, "peer", p.role, "from", p.conn.RemoteAddr())
	if p.role == stranger {
		p.conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		resp.Write(p.conn, p.server.pool, "error", "reason", err.Error())
		p.linger()
	}
}

// linger lets the last answers arrive: a connection closed with bytes that nobody has read is reset, and a reset throws away
// what the other side has not read yet, an "alive" before this one too.
func (p *peer) linger() {
	if half, ok := p.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		p.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, p.conn, resp.Largest)
	}
}

func (p *peer) leave() {
	close(p.done)
	p.conn.Close()
	p.server.exchange.Counters.Ended.Add(1)
	if p.out != nil {
		p.out.Close()
		p.server.exchange.Enqueue(controller.StreamClosed{Stream: p.stream})
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

// handle takes one message in.
func (p *peer) handle(words []string) error {
	if len(words) > 0 && words[0] == "probe" && p.role != collector {
		return p.alive()
	}
	f := parseFields(words)
	if p.role == stranger {
		p.join(f)
		if f.err != nil {
			return fmt.Errorf("%w: %w", errStrange, f.err)
		}
		return nil
	}
	if note := p.report(f); f.err != nil {
		p.skip(f.err)
	} else {
		p.server.exchange.Enqueue(note)
	}
	return nil
}

// join learns who a stranger is.
func (p *peer) join(f *fields) {
	switch f.kind {
	case "agent":
		zone := f.zone()
		if f.fail(p.server.topology.Load().CheckCollector(zone)); f.err == nil {
			f.fail(p.server.register(p, collector, zone))
		}
	case "hello":
		h := parseHello(f)
		if f.fail(p.server.topology.Load().CheckProxy(h)); f.err == nil {
			f.fail(p.server.register(p, proxy, ""))
		}
		if f.err == nil {
			h.Stream, p.id = p.stream, h.Proxy
			p.out = p.server.exchange.OpenStream(p.stream, func() { p.conn.Close() })
			p.server.all.Add(1)
			go p.write()
			p.server.exchange.Enqueue(h)
		}
	default:
		f.failf("%.40q before a joining", f.kind)
	}
}

// report reads what a peer that is known says.
func (p *peer) report(f *fields) controller.Input {
	switch {
	case f.kind == "ack" && p.role == proxy:
		a := parseAck(f)
		a.Stream = p.stream
		p.requireOwn(f, f.integer("id"))
		return a
	case f.kind == "demand" && p.role == proxy:
		d := parseDemand(f)
		d.Stream = p.stream
		p.requireOwn(f, d.Proxy)
		return d
	case f.kind == "demand" && p.role == collector:
		return parseDemand(f)
	case f.kind == "outcomes" && p.role == collector:
		return parseOutcomes(f)
	}
	f.failf("%.40q from a %v", f.kind, p.role)
	return nil
}

func (p *peer) requireOwn(f *fields, id int) {
	if id != p.id {
		f.failf("%s of %d on the stream of %d", f.kind, id, p.id)
	}
}

// skip passes over a whole message that cannot be used: all the same a sign of life.
func (p *peer) skip(err error) {
	p.server.exchange.Counters.Skipped.Add(1)
	p.server.warn("message skipped", err, "peer", p.role, "from", p.conn.RemoteAddr())
	if p.role == proxy {
		p.server.exchange.Enqueue(controller.StreamActive{Stream: p.stream})
	}
}

func (p *peer) alive() error {
	p.server.exchange.Counters.HealthChecks.Add(1)
	if p.out != nil {
		p.out.AnswerHealthCheck()
		return nil
	}
	p.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, err := resp.Write(p.conn, p.server.pool, "alive")
	p.conn.SetWriteDeadline(time.Time{})
	return err
}

// write sends what waits for a proxy until either side ends.
func (p *peer) write() {
	defer p.server.all.Done()
	defer p.conn.Close()
	defer p.recoverPanic()
	tally := &p.server.exchange.Counters
	for {
		item, ok := p.out.Next(p.done)
		if !ok {
			return
		}
		messages := [][]string{{"alive"}}
		if !item.HealthCheckReply {
			messages = EncodeUpdate(item.Update)
			tally.UpdatesSent.Add(1)
		}
		for k, words := range messages {
			n, err := resp.Write(p.conn, p.server.pool, words...)
			tally.UpdateBytes.Add(int64(n))
			if err != nil {
				tally.WriteErrors.Add(1)
				p.server.log.Debug("push broke off", "proxy", p.id, "part", k, "bytes", n, "error", err)
				return
			}
		}
		if !item.HealthCheckReply {
			p.server.exchange.MessageSent(item.Number)
		}
	}
}
