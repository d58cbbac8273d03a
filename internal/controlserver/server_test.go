package controlserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lilacbend/internal/controller"
	"lilacbend/internal/resp"
)

// running serves on loopback until the test ends, and checks that nothing is left behind.
func running(t *testing.T, s *Server) string {
	return runningOn(t, s, loopback(t))
}

func loopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func runningOn(t *testing.T, s *Server, l net.Listener) string {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil || s.pool.Lent() != 0 || len(s.peers) != 0 || s.queue.Len() != 0 {
			t.Errorf("left behind: %d buffers, %d peers, %v", s.pool.Lent(), len(s.peers), err)
		}
	})
	return l.Addr().String()
}

type caller struct {
	net.Conn
	read *resp.Reader
}

func call(t *testing.T, address string, says ...string) caller {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { conn.Close() })
	c := caller{conn, resp.NewReader(conn, resp.NewPool(1<<20))}
	for _, text := range says {
		c.say(t, text)
	}
	return c
}

func (c caller) say(t *testing.T, text string) {
	if _, err := resp.Write(c, resp.NewPool(1<<20), strings.Fields(text)...); err != nil {
		t.Error(err)
	}
}

func (c caller) hears(t *testing.T, want string) {
	words, err := c.read.Next()
	if got := strings.Join(words, " "); got != want || err != nil {
		t.Errorf("heard %q, want %q: %v", got, want, err)
	}
}

func (c caller) ends(t *testing.T) {
	if _, err := c.Conn.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) ||
		strings.Contains(err.Error(), "timeout") {
		t.Errorf("does not end: %v", err)
	}
}

// told waits for so many notes.
func told(t *testing.T, s *Server, n int) (notes []controller.Input) {
	for late := time.After(10 * time.Second); len(notes) < n; {
		select {
		case <-s.exchange.Ready():
			notes = append(notes, slices.DeleteFunc(s.exchange.Drain(), func(n controller.Input) bool {
				_, out := n.(controller.MessageSent)
				return out
			})...)
		case <-late:
			t.Fatalf("%d notes of %d: %v", len(notes), n, notes)
		}
	}
	return notes
}

func TestAStreamFromHelloToItsEnd(t *testing.T) {
	s := server(100)
	at := running(t, s)
	c := call(t, at, "probe", "hello id 17 site a rps 2 new 1")
	c.hears(t, "alive")
	if notes := told(t, s, 1); notes[0] != (controller.StreamOpened{Stream: 1, Proxy: 17, Zone: "a", Rate: 2, WithoutTable: true}) {
		t.Errorf("%+v", notes)
	}
	s.exchange.Send(controller.OutgoingUpdate{Stream: 1, Number: 7, Update: controller.Update{Full: true, WantsAck: true, Nonce: 3,
		Endpoints: []controller.WeightedEndpoint{{Replica: "s-1", Weight: 1}}, Admissions: []controller.Admission{{Class: "g", Fraction: 1}}}})
	c.hears(t, "push full 1 endpoints s-1:1 continued 1")
	c.hears(t, "push routes g admit 1 policy 0 nonce_out 3")
	c.say(t, "probe")
	c.hears(t, "alive")
	if notes := s.exchange.Drain(); len(notes) != 1 || notes[0] != (controller.MessageSent{Number: 7}) {
		t.Errorf("%+v once both parts and what came after them have gone out", notes)
	}
	s.exchange.CloseStream(1)
	c.ends(t)
	if notes := told(t, s, 1); notes[0] != (controller.StreamClosed{Stream: 1}) {
		t.Errorf("%+v", notes)
	}
}

// Who can't be read, isn't ours or is out of turn is told why and goes at once; the others stay.
func TestWhoIsNotOursGoesAtOnce(t *testing.T) {
	s := server(100)
	at := running(t, s)
	good := call(t, at, "hello id 1 site a rps 2 new 1")
	told(t, s, 1)
	start := time.Now()
	for _, bad := range []string{"garbage", "GET / HTTP/1.1\r\n\r\n", "*2\r\n$5\r\nhello\r\n$2\r\nid\r\n", "*1\r\n$1048577\r\n", "*200000000\r\n",
		"*1\r\n$4097\r\n" + strings.Repeat("x", resp.BufferSize), ":5\r\n", "*3\r\n$3\r\nack\r\n$2\r\nid\r\n$1\r\n1\r\n",
		"*1\r\n$4\r\npush\r\n", "*3\r\n$5\r\nagent\r\n$4\r\nsite\r\n$1\r\nz\r\n", "*0\r\n"} {
		c := call(t, at)
		io.WriteString(c, bad)
		if words, err := c.read.Next(); err == nil && (len(words) != 3 || words[0] != "error") { // or it is reset
			t.Errorf("%.40q is told %q", bad, words)
		}
		c.ends(t)
	}
	if time.Since(start) > joinTimeout {
		t.Errorf("it took %v", time.Since(start))
	}
	broken := call(t, at, "hello id 2 site a rps 2 new 1")
	told(t, s, 1)
	io.WriteString(broken, "*1\r\n$4\r\nacks\r\r") // the next message could be anywhere
	broken.ends(t)
	told(t, s, 1)
	good.say(t, "probe")
	good.hears(t, "alive")
}

// Probes and halves of messages put off no deadline; who has joined by then stays, and skipped messages end nobody.
func TestWhoDoesNotJoinIsSentAway(t *testing.T) {
	s := server(100)
	at := running(t, s)
	good := call(t, at, "probe", "hello id 1 site a rps 2 new 1")
	reports := call(t, at, "agent site a")
	told(t, s, 1)
	strangers := []caller{call(t, at), call(t, at, "probe"), call(t, at)}
	io.WriteString(strangers[2], "*3\r\n$5\r\nagent\r\n$4\r\nsi")
	time.Sleep(joinTimeout * 3 / 4)
	strangers[1].say(t, "probe")
	for k, c := range strangers {
		for words, err := c.read.Next(); ; words, err = c.read.Next() {
			if err != nil || words[0] != "alive" {
				if text := strings.Join(words, " "); !strings.HasPrefix(text, "error reason ") || !strings.HasSuffix(text, errLate.Error()) {
					t.Errorf("stranger %d is told %q: %v", k, text, err)
				}
				break
			}
		}
		c.ends(t)
	}
	io.WriteString(reports, ":5\r\n*1\r\n*-1\r\n+OK\r\n")
	reports.say(t, "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	io.WriteString(good, "*2\r\n$3\r\nack\r\n:1\r\n$-1\r\n")
	good.say(t, "ack id 1 seq 1 ms 1")
	if told(t, s, 4); s.exchange.Counters.JoinTimeouts.Load() != 3 || s.exchange.Counters.Skipped.Load() != 5 {
		t.Errorf("%d late, %d skipped", s.exchange.Counters.JoinTimeouts.Load(), s.exchange.Counters.Skipped.Load())
	}
}

// After a stall of ours the deadline has passed before the joining is read, which had come in time.
func TestWhatCameBeforeTheDeadlineIsRead(t *testing.T) {
	s := server(100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		says  string
		joins bool
	}{{"hello id 1 site a rps 2 new 1", true}, {"probe", false}} {
		call(t, l.Addr().String(), "probe", c.says)
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // both messages have come
		conn.SetReadDeadline(time.Now().Add(-time.Second))
		p := &peer{server: s, conn: conn, done: make(chan struct{})}
		s.mu.Lock()
		s.peers[p] = struct{}{} // it has a place, as one that was taken in
		s.mu.Unlock()
		ended := make(chan struct{})
		s.all.Add(1)
		go func() { p.serve(); close(ended) }()
		if c.joins {
			told(t, s, 1)
			conn.Close()
		}
		<-ended
		if joined := p.role == proxy; joined != c.joins {
			t.Errorf("%q: joined %v", c.says, joined)
		}
	}
	s.all.Wait()
}

// A panic stops at its connection: here the proxy's outbox is taken from under it.
func TestAPanicEndsItsConnectionAlone(t *testing.T) {
	s := server(100)
	here, there := net.Pipe()
	p := &peer{server: s, conn: there, role: proxy, done: make(chan struct{})}
	s.all.Add(1)
	p.server = &Server{exchange: s.exchange, log: s.log, peers: s.peers, queue: s.queue, zones: s.zones, lastWarning: s.lastWarning} // no pool
	p.server.all.Add(1)
	go io.WriteString(here, "x")
	p.serve()
	if s.all.Done(); s.exchange.Counters.Panics.Load() != 1 {
		t.Error("no panic was counted")
	}
	if _, err := here.Write([]byte("x")); err == nil {
		t.Error("the connection goes on")
	}
}

// Hundreds of silent strangers neither keep others out nor hold places for ever; named peers stay.
func TestStrangersGoFirst(t *testing.T) {
	const places = 20
	s := server(reservedDescriptors + places)
	at := running(t, s)
	good := call(t, at, "hello id 1 site a rps 2 new 1")
	reports := call(t, at, "agent site a", "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	told(t, s, 2)
	for range 10 * places {
		call(t, at)
	}
	late := call(t, at, "probe")
	late.hears(t, "alive")
	reports.say(t, "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	good.say(t, "ack id 1 seq 1 ms 1")
	told(t, s, 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) > places {
		t.Errorf("%d peers in %d places", len(s.peers), places)
	}
}

// short has no descriptor left for a while.
type short struct {
	net.Listener
	out   atomic.Bool
	tries atomic.Int64
}

func (l *short) Accept() (net.Conn, error) {
	if l.out.Load() {
		l.tries.Add(1)
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// The limit of descriptors is survived: who is named stays, who has not said who it is makes room, nobody turns in a busy
// loop, and the next comers are taken once there is one again.
func TestNoDescriptorIsLeftForAWhile(t *testing.T) {
	s, l := server(100), &short{Listener: loopback(t)}
	at := runningOn(t, s, l)
	named := call(t, at, "hello id 1 site a rps 2 new 1")
	told(t, s, 1)
	l.out.Store(true)
	call(t, at).ends(t) // taken by the call that had begun
	began := time.Now()
	late := call(t, at, "probe") // waits in the listener's queue
	time.Sleep(5 * acceptRetry)
	if most := int64(time.Since(began)/acceptRetry) + 4; l.tries.Load() > most {
		t.Errorf("%d tries, %d in this time", l.tries.Load(), most)
	}
	l.out.Store(false)
	late.hears(t, "alive")
	named.say(t, "ack id 1 seq 1 ms 1")
	told(t, s, 1)
}

func TestNamedPeersAreNotPutOut(t *testing.T) {
	s := server(reservedDescriptors + 2)
	at := running(t, s)
	for id := range 2 {
		call(t, at, fmt.Sprintf("hello id %d site a rps 2 new 1", id))
	}
	told(t, s, 2)
	call(t, at).ends(t)
	if s.exchange.Counters.Refused.Load() != 1 {
		t.Error("nobody was refused")
	}
}

// Collectors that vanish without a word and dial again must not take all places in the end.
func TestACollectorReplacedIsDispensable(t *testing.T) {
	s := server(reservedDescriptors + 3)
	at := running(t, s)
	const sums = "outcomes site a target s-5 count 1 fail 0 mean 1 over 1"
	first := call(t, at, "agent site a", sums)
	told(t, s, 1)
	second := call(t, at, "agent site a", sums)
	call(t, at, "agent site b", sums)
	told(t, s, 2)
	first.say(t, sums) // it is not ended while there is room
	told(t, s, 1)
	call(t, at, "hello id 1 site a rps 2 new 1")
	told(t, s, 1)
	first.ends(t)
	second.say(t, sums)
	told(t, s, 1)
	call(t, at).ends(t)
}

// A proxy that reads nothing holds up nobody: what waits for it is dropped for its whole state.
func TestAPeerThatReadsNothingHoldsUpNobody(t *testing.T) {
	s := server(100)
	at := running(t, s)
	here, there := net.Pipe() // it keeps nothing on the way
	defer here.Close()
	s.admit(there)
	slow := caller{here, nil}
	slow.say(t, "hello id 1 site a rps 2 new 1")
	told(t, s, 1)
	good := call(t, at, "hello id 2 site a rps 2 new 1")
	told(t, s, 1)
	shut := controller.Update{Ejected: []string{"s-1"}}
	s.exchange.Send(controller.OutgoingUpdate{Stream: 1, Update: shut})
	here.Read(make([]byte, 1)) // the rest of this message is not read
	for s.exchange.Counters.QueuesDropped.Load() == 0 {
		s.exchange.Send(controller.OutgoingUpdate{Stream: 1, Update: shut})
	}
	s.exchange.Send(controller.OutgoingUpdate{Stream: 2, Update: shut})
	good.hears(t, "push eject s-1")
	slow.say(t, "ack id 1 seq 1 ms 1") // it is heard all the while
	if notes := told(t, s, 1); notes[0] != (controller.Ack{Stream: 1, Nonce: 1, Delay: 1e6}) {
		t.Errorf("%+v", notes)
	}
	here.Read(make([]byte, resp.BufferSize))
	if notes := told(t, s, 1); notes[0] != (controller.UpdatesDropped{Stream: 1}) {
		t.Errorf("%+v", notes)
	}
	s.exchange.Send(controller.OutgoingUpdate{Stream: 1, Update: controller.Update{Resync: true, Full: true}})
	here.Read(make([]byte, 1))
	s.exchange.CloseStream(1) // replaced while it is being written to
	slow.ends(t)
	if notes := told(t, s, 1); notes[0] != (controller.StreamClosed{Stream: 1}) {
		t.Errorf("%+v", notes)
	}
}
