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

// serve serves on loopback until the test ends, and checks that nothing is left behind.
func serve(t *testing.T, s *Server) string {
	return serveOn(t, s, loopback(t))
}

func loopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serveOn(t *testing.T, s *Server, l net.Listener) string {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil || s.pool.Lent() != 0 || len(s.peers) != 0 || s.evictable.Len() != 0 {
			t.Errorf("left behind: %d buffers, %d peers, %v", s.pool.Lent(), len(s.peers), err)
		}
	})
	return l.Addr().String()
}

type client struct {
	net.Conn
	read *resp.Reader
}

func dial(t *testing.T, address string, messages ...string) client {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { conn.Close() })
	c := client{conn, resp.NewReader(conn, resp.NewPool(1<<20))}
	for _, text := range messages {
		c.send(t, text)
	}
	return c
}

func (c client) send(t *testing.T, text string) {
	if _, err := resp.Write(c, resp.NewPool(1<<20), strings.Fields(text)...); err != nil {
		t.Error(err)
	}
}

func (c client) expect(t *testing.T, want string) {
	words, err := c.read.Next()
	if got := strings.Join(words, " "); got != want || err != nil {
		t.Errorf("received %q, want %q: %v", got, want, err)
	}
}

func (c client) expectClosed(t *testing.T) {
	if _, err := c.Conn.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) ||
		strings.Contains(err.Error(), "timeout") {
		t.Errorf("is not closed: %v", err)
	}
}

// receive waits for n events, without those of written messages.
func receive(t *testing.T, s *Server, n int) (events []controller.Input) {
	for late := time.After(10 * time.Second); len(events) < n; {
		select {
		case <-s.queues.Ready():
			events = append(events, slices.DeleteFunc(s.queues.Drain(), func(n controller.Input) bool {
				_, out := n.(controller.MessageSent)
				return out
			})...)
		case <-late:
			t.Fatalf("%d events of %d: %v", len(events), n, events)
		}
	}
	return events
}

func TestStreamFromJoinToClose(t *testing.T) {
	s := server(100)
	at := serve(t, s)
	c := dial(t, at, "probe", "hello id 17 site a rps 2 new 1")
	c.expect(t, "alive")
	if events := receive(t, s, 1); events[0] != (controller.StreamOpened{Stream: 1, Proxy: 17, Zone: "a", Rate: 2, WithoutTable: true}) {
		t.Errorf("%+v", events)
	}
	s.queues.Send(controller.OutgoingUpdate{Stream: 1, Number: 7, Update: controller.Update{Full: true, WantsAck: true, Nonce: 3,
		Endpoints: []controller.WeightedEndpoint{{Replica: "s-1", Weight: 1}}, Admissions: []controller.Admission{{Class: "g", Fraction: 1}}}})
	c.expect(t, "push full 1 endpoints s-1:1 continued 1")
	c.expect(t, "push routes g admit 1 policy 0 nonce_out 3")
	c.send(t, "probe")
	c.expect(t, "alive")
	if events := s.queues.Drain(); len(events) != 1 || events[0] != (controller.MessageSent{Number: 7}) {
		t.Errorf("%+v once both parts and what came after them have gone out", events)
	}
	s.queues.CloseStream(1)
	c.expectClosed(t)
	if events := receive(t, s, 1); events[0] != (controller.StreamClosed{Stream: 1}) {
		t.Errorf("%+v", events)
	}
}

// Peers whose first messages are malformed, invalid or out of order are sent the reason and closed; others stay.
func TestInvalidPeersAreRejectedAtOnce(t *testing.T) {
	s := server(100)
	at := serve(t, s)
	good := dial(t, at, "hello id 1 site a rps 2 new 1")
	receive(t, s, 1)
	start := time.Now()
	for _, bad := range []string{"garbage", "GET / HTTP/1.1\r\n\r\n", "*2\r\n$5\r\nhello\r\n$2\r\nid\r\n", "*1\r\n$1048577\r\n", "*200000000\r\n",
		"*1\r\n$4097\r\n" + strings.Repeat("x", resp.BufferSize), ":5\r\n", "*3\r\n$3\r\nack\r\n$2\r\nid\r\n$1\r\n1\r\n",
		"*1\r\n$4\r\npush\r\n", "*3\r\n$5\r\nagent\r\n$4\r\nsite\r\n$1\r\nz\r\n", "*0\r\n"} {
		c := dial(t, at)
		io.WriteString(c, bad)
		if words, err := c.read.Next(); err == nil && (len(words) != 3 || words[0] != "error") { // or it is reset
			t.Errorf("%.40q is sent %q", bad, words)
		}
		c.expectClosed(t)
	}
	if time.Since(start) > joinTimeout {
		t.Errorf("it took %v", time.Since(start))
	}
	broken := dial(t, at, "hello id 2 site a rps 2 new 1")
	receive(t, s, 1)
	io.WriteString(broken, "*1\r\n$4\r\nacks\r\r") // the next message could be anywhere
	broken.expectClosed(t)
	receive(t, s, 1)
	good.send(t, "probe")
	good.expect(t, "alive")
}

// Health checks and incomplete messages do not extend the join deadline; joined peers stay, and skipped messages close no
// connection.
func TestPeersThatDoNotJoinAreRejected(t *testing.T) {
	s := server(100)
	at := serve(t, s)
	good := dial(t, at, "probe", "hello id 1 site a rps 2 new 1")
	reports := dial(t, at, "agent site a")
	receive(t, s, 1)
	unidentifiedPeers := []client{dial(t, at), dial(t, at, "probe"), dial(t, at)}
	io.WriteString(unidentifiedPeers[2], "*3\r\n$5\r\nagent\r\n$4\r\nsi")
	time.Sleep(joinTimeout * 3 / 4)
	unidentifiedPeers[1].send(t, "probe")
	for k, c := range unidentifiedPeers {
		for words, err := c.read.Next(); ; words, err = c.read.Next() {
			if err != nil || words[0] != "alive" {
				if text := strings.Join(words, " "); !strings.HasPrefix(text, "error reason ") || !strings.HasSuffix(text, errJoinTimeout.Error()) {
					t.Errorf("unidentified peer %d is sent %q: %v", k, text, err)
				}
				break
			}
		}
		c.expectClosed(t)
	}
	io.WriteString(reports, ":5\r\n*1\r\n*-1\r\n+OK\r\n")
	reports.send(t, "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	io.WriteString(good, "*2\r\n$3\r\nack\r\n:1\r\n$-1\r\n")
	good.send(t, "ack id 1 seq 1 ms 1")
	if receive(t, s, 4); s.queues.Counters.JoinTimeouts.Load() != 3 || s.queues.Counters.Skipped.Load() != 5 {
		t.Errorf("%d late, %d skipped", s.queues.Counters.JoinTimeouts.Load(), s.queues.Counters.Skipped.Load())
	}
}

// After a stall of the server the deadline has passed before a join is read that arrived in time.
func TestJoinReceivedBeforeDeadlineIsReadAfterIt(t *testing.T) {
	s := server(100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		message string
		joins   bool
	}{{"hello id 1 site a rps 2 new 1", true}, {"probe", false}} {
		dial(t, l.Addr().String(), "probe", c.message)
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
		s.goroutines.Add(1)
		go func() { p.serve(); close(ended) }()
		if c.joins {
			receive(t, s, 1)
			conn.Close()
		}
		<-ended
		if joined := p.role == proxy; joined != c.joins {
			t.Errorf("%q: joined %v", c.message, joined)
		}
	}
	s.goroutines.Wait()
}

// A panic is confined to its connection; here the server has no buffer pool.
func TestPanicOfReaderClosesOnlyItsConnection(t *testing.T) {
	s := server(100)
	here, there := net.Pipe()
	p := &peer{server: s, conn: there, role: proxy, done: make(chan struct{})}
	s.goroutines.Add(1)
	p.server = &Server{queues: s.queues, log: s.log, peers: s.peers, evictable: s.evictable, collectors: s.collectors, lastWarning: s.lastWarning} // no pool
	p.server.goroutines.Add(1)
	go io.WriteString(here, "x")
	p.serve()
	if s.goroutines.Done(); s.queues.Counters.Panics.Load() != 1 {
		t.Error("no panic was counted")
	}
	if _, err := here.Write([]byte("x")); err == nil {
		t.Error("the connection goes on")
	}
}

// Many silent connections neither keep others out nor keep their places; joined peers stay.
func TestUnidentifiedPeersAreEvictedFirst(t *testing.T) {
	const places = 20
	s := server(reservedDescriptors + places)
	at := serve(t, s)
	good := dial(t, at, "hello id 1 site a rps 2 new 1")
	reports := dial(t, at, "agent site a", "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	receive(t, s, 2)
	for range 10 * places {
		dial(t, at)
	}
	late := dial(t, at, "probe")
	late.expect(t, "alive")
	reports.send(t, "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	good.send(t, "ack id 1 seq 1 ms 1")
	receive(t, s, 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) > places {
		t.Errorf("%d peers in %d places", len(s.peers), places)
	}
}

// exhaustedListener fails to accept while exhausted is set, as without a free descriptor.
type exhaustedListener struct {
	net.Listener
	exhausted atomic.Bool
	attempts  atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.exhausted.Load() {
		l.attempts.Add(1)
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Without a free descriptor, joined peers stay, one that has not joined is evicted, accept is retried at intervals, and
// waiting connections are accepted once a descriptor is free.
func TestDescriptorExhaustionIsSurvived(t *testing.T) {
	s, l := server(100), &exhaustedListener{Listener: loopback(t)}
	at := serveOn(t, s, l)
	named := dial(t, at, "hello id 1 site a rps 2 new 1")
	receive(t, s, 1)
	l.exhausted.Store(true)
	dial(t, at).expectClosed(t) // accepted by the call that was already waiting
	began := time.Now()
	late := dial(t, at, "probe") // waits in the listener's queue
	time.Sleep(5 * acceptRetryInterval)
	if most := int64(time.Since(began)/acceptRetryInterval) + 4; l.attempts.Load() > most {
		t.Errorf("%d attempts, at most %d in this time", l.attempts.Load(), most)
	}
	l.exhausted.Store(false)
	late.expect(t, "alive")
	named.send(t, "ack id 1 seq 1 ms 1")
	receive(t, s, 1)
}

func TestJoinedPeersAreNotEvicted(t *testing.T) {
	s := server(reservedDescriptors + 2)
	at := serve(t, s)
	for id := range 2 {
		dial(t, at, fmt.Sprintf("hello id %d site a rps 2 new 1", id))
	}
	receive(t, s, 2)
	dial(t, at).expectClosed(t)
	if s.queues.Counters.Refused.Load() != 1 {
		t.Error("no connection was refused")
	}
}

// Collectors that vanish without closing their connection and connect again must not use up all connections.
func TestReplacedCollectorIsEvictable(t *testing.T) {
	s := server(reservedDescriptors + 3)
	at := serve(t, s)
	const outcomes = "outcomes site a target s-5 count 1 fail 0 mean 1 over 1"
	first := dial(t, at, "agent site a", outcomes)
	receive(t, s, 1)
	second := dial(t, at, "agent site a", outcomes)
	dial(t, at, "agent site b", outcomes)
	receive(t, s, 2)
	first.send(t, outcomes) // it stays below the connection limit
	receive(t, s, 1)
	dial(t, at, "hello id 1 site a rps 2 new 1")
	receive(t, s, 1)
	first.expectClosed(t)
	second.send(t, outcomes)
	receive(t, s, 1)
	dial(t, at).expectClosed(t)
}

// A proxy that does not read delays nobody: its send queue is emptied in favour of a full update.
func TestPeerThatDoesNotReadDelaysNobody(t *testing.T) {
	s := server(100)
	at := serve(t, s)
	here, there := net.Pipe() // it has no buffer
	defer here.Close()
	s.admit(there)
	slow := client{here, nil}
	slow.send(t, "hello id 1 site a rps 2 new 1")
	receive(t, s, 1)
	good := dial(t, at, "hello id 2 site a rps 2 new 1")
	receive(t, s, 1)
	shut := controller.Update{Ejected: []string{"s-1"}}
	s.queues.Send(controller.OutgoingUpdate{Stream: 1, Update: shut})
	here.Read(make([]byte, 1)) // the rest of this message is not read
	for s.queues.Counters.QueuesDropped.Load() == 0 {
		s.queues.Send(controller.OutgoingUpdate{Stream: 1, Update: shut})
	}
	s.queues.Send(controller.OutgoingUpdate{Stream: 2, Update: shut})
	good.expect(t, "push eject s-1")
	slow.send(t, "ack id 1 seq 1 ms 1") // it is read meanwhile
	if events := receive(t, s, 1); events[0] != (controller.Ack{Stream: 1, Nonce: 1, Delay: 1e6}) {
		t.Errorf("%+v", events)
	}
	here.Read(make([]byte, resp.BufferSize))
	if events := receive(t, s, 1); events[0] != (controller.UpdatesDropped{Stream: 1}) {
		t.Errorf("%+v", events)
	}
	s.queues.Send(controller.OutgoingUpdate{Stream: 1, Update: controller.Update{Resync: true, Full: true}})
	here.Read(make([]byte, 1))
	s.queues.CloseStream(1) // closed while it is being written to
	slow.expectClosed(t)
	if events := receive(t, s, 1); events[0] != (controller.StreamClosed{Stream: 1}) {
		t.Errorf("%+v", events)
	}
}
