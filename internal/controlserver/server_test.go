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

// serve serves on loopback until the test ends, and then checks that no buffer and no peer is left.
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
		if err := <-ended; err != nil || s.pool.InUse() != 0 || len(s.peers) != 0 || s.evictable.Len() != 0 {
			t.Errorf("after shutdown %d buffers and %d peers are left; Serve returned %v", s.pool.InUse(), len(s.peers), err)
		}
	})
	return l.Addr().String()
}

type client struct {
	net.Conn
	reader *resp.Reader
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
	words, err := c.reader.Next()
	if got := strings.Join(words, " "); got != want || err != nil {
		t.Errorf("received %q, want %q: %v", got, want, err)
	}
}

func (c client) expectClosed(t *testing.T) {
	if _, err := c.Conn.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) ||
		strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection is not closed: %v", err)
	}
}

// receive waits for n events, not counting the MessageSent events, which it removes.
func receive(t *testing.T, s *Server, n int) (events []controller.Input) {
	for timeout := time.After(10 * time.Second); len(events) < n; {
		select {
		case <-s.queues.Ready():
			events = append(events, slices.DeleteFunc(s.queues.Drain(), func(input controller.Input) bool {
				_, isMessageSent := input.(controller.MessageSent)
				return isMessageSent
			})...)
		case <-timeout:
			t.Fatalf("received %d of %d events: %v", len(events), n, events)
		}
	}
	return events
}

func TestStreamFromJoinToClose(t *testing.T) {
	s := newTestServer(100)
	address := serve(t, s)
	c := dial(t, address, "probe", "hello id 17 site a rps 2 new 1")
	c.expect(t, "alive")
	if events := receive(t, s, 1); events[0] != (controller.StreamOpened{Stream: 1, Proxy: 17, Zone: "a", RequestRate: 2, WithoutTable: true}) {
		t.Errorf("after the join: received %+v", events)
	}
	s.queues.Send(controller.OutgoingUpdate{Stream: 1, ChargeNumber: 7, Update: controller.Update{FullTable: true, WantsAck: true, Nonce: 3,
		Endpoints: []controller.WeightedEndpoint{{Replica: "s-1", Weight: 1}}, Admissions: []controller.Admission{{Class: "g", Fraction: 1}}}})
	c.expect(t, "push full 1 endpoints s-1:1 continued 1")
	c.expect(t, "push routes g admit 1 policy 0 nonce_out 3")
	c.send(t, "probe")
	c.expect(t, "alive")
	if events := s.queues.Drain(); len(events) != 1 || events[0] != (controller.MessageSent{ChargeNumber: 7}) {
		t.Errorf("after both parts and the answer to a health check were sent: received %+v", events)
	}
	s.queues.CloseStream(1)
	c.expectClosed(t)
	if events := receive(t, s, 1); events[0] != (controller.StreamClosed{Stream: 1}) {
		t.Errorf("after CloseStream: received %+v", events)
	}
}

// Peers whose first message is malformed, invalid or out of order are sent the reason and disconnected. Other peers stay
// connected.
func TestInvalidPeersAreRejectedAtOnce(t *testing.T) {
	s := newTestServer(100)
	address := serve(t, s)
	joinedProxy := dial(t, address, "hello id 1 site a rps 2 new 1")
	receive(t, s, 1)
	start := time.Now()
	for _, input := range []string{"garbage", "GET / HTTP/1.1\r\n\r\n", "*2\r\n$5\r\nhello\r\n$2\r\nid\r\n", "*1\r\n$1048577\r\n", "*200000000\r\n",
		"*1\r\n$4097\r\n" + strings.Repeat("x", resp.BufferSize), ":5\r\n", "*3\r\n$3\r\nack\r\n$2\r\nid\r\n$1\r\n1\r\n",
		"*1\r\n$4\r\npush\r\n", "*3\r\n$5\r\nagent\r\n$4\r\nsite\r\n$1\r\nz\r\n", "*0\r\n"} {
		c := dial(t, address)
		io.WriteString(c, input)
		if words, err := c.reader.Next(); err == nil && (len(words) != 3 || words[0] != "error") { // or the connection is reset
			t.Errorf("after %.40q the peer receives %q, want an error", input, words)
		}
		c.expectClosed(t)
	}
	if time.Since(start) > joinTimeout {
		t.Errorf("rejecting the peers took %v, want less than the join timeout", time.Since(start))
	}
	malformed := dial(t, address, "hello id 2 site a rps 2 new 1")
	receive(t, s, 1)
	io.WriteString(malformed, "*1\r\n$4\r\nacks\r\r") // the start of the next message is unknown
	malformed.expectClosed(t)
	receive(t, s, 1)
	joinedProxy.send(t, "probe")
	joinedProxy.expect(t, "alive")
}

// Health checks and incomplete messages do not extend the join deadline. Joined peers stay connected, also after messages
// that are skipped.
func TestPeersThatDoNotJoinAreRejected(t *testing.T) {
	s := newTestServer(100)
	address := serve(t, s)
	joinedProxy := dial(t, address, "probe", "hello id 1 site a rps 2 new 1")
	joinedCollector := dial(t, address, "agent site a")
	receive(t, s, 1)
	unidentifiedPeers := []client{dial(t, address), dial(t, address, "probe"), dial(t, address)}
	io.WriteString(unidentifiedPeers[2], "*3\r\n$5\r\nagent\r\n$4\r\nsi")
	time.Sleep(joinTimeout * 3 / 4)
	unidentifiedPeers[1].send(t, "probe")
	for k, c := range unidentifiedPeers {
		for words, err := c.reader.Next(); ; words, err = c.reader.Next() {
			if err != nil || words[0] != "alive" {
				if text := strings.Join(words, " "); !strings.HasPrefix(text, "error reason ") || !strings.HasSuffix(text, errJoinTimeout.Error()) {
					t.Errorf("unidentified peer %d receives %q: %v", k, text, err)
				}
				break
			}
		}
		c.expectClosed(t)
	}
	io.WriteString(joinedCollector, ":5\r\n*1\r\n*-1\r\n+OK\r\n")
	joinedCollector.send(t, "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	io.WriteString(joinedProxy, "*2\r\n$3\r\nack\r\n:1\r\n$-1\r\n")
	joinedProxy.send(t, "ack id 1 seq 1 ms 1")
	if receive(t, s, 4); s.queues.Counters.JoinTimeouts.Load() != 3 || s.queues.Counters.MessagesSkipped.Load() != 5 {
		t.Errorf("%d join timeouts, want 3; %d messages skipped, want 5", s.queues.Counters.JoinTimeouts.Load(), s.queues.Counters.MessagesSkipped.Load())
	}
}

// After a stall of the server, a join that arrived before the join deadline may be read only after the deadline. It must be
// accepted.
func TestJoinReceivedBeforeDeadlineIsReadAfterIt(t *testing.T) {
	s := newTestServer(100)
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
		time.Sleep(50 * time.Millisecond) // until both messages have arrived
		conn.SetReadDeadline(time.Now().Add(-time.Second))
		p := &peer{server: s, conn: conn, done: make(chan struct{})}
		s.mu.Lock()
		s.peers[p] = struct{}{} // as addConnection does
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
			t.Errorf("after %q: joined %v", c.message, joined)
		}
	}
	s.goroutines.Wait()
}

// A panic of a reading goroutine closes only its connection. In this test it panics because the server has no buffer pool.
func TestPanicOfReaderClosesOnlyItsConnection(t *testing.T) {
	s := newTestServer(100)
	local, remote := net.Pipe()
	p := &peer{server: s, conn: remote, role: proxy, done: make(chan struct{})}
	s.goroutines.Add(1)
	p.server = &Server{queues: s.queues, log: s.log, peers: s.peers, evictable: s.evictable, collectors: s.collectors, lastWarning: s.lastWarning} // no pool
	p.server.goroutines.Add(1)
	go io.WriteString(local, "x")
	p.serve()
	if s.goroutines.Done(); s.queues.Counters.Panics.Load() != 1 {
		t.Error("the panic was not counted once")
	}
	if _, err := local.Write([]byte("x")); err == nil {
		t.Error("the connection is still open after the panic")
	}
}

// Many connections without a join do not prevent others from connecting: they are evicted. Joined peers stay connected.
func TestUnidentifiedPeersAreEvictedFirst(t *testing.T) {
	const maxPeers = 20
	s := newTestServer(reservedDescriptors + maxPeers)
	address := serve(t, s)
	joinedProxy := dial(t, address, "hello id 1 site a rps 2 new 1")
	joinedCollector := dial(t, address, "agent site a", "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	receive(t, s, 2)
	for range 10 * maxPeers {
		dial(t, address)
	}
	latePeer := dial(t, address, "probe")
	latePeer.expect(t, "alive")
	joinedCollector.send(t, "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
	joinedProxy.send(t, "ack id 1 seq 1 ms 1")
	receive(t, s, 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) > maxPeers {
		t.Errorf("%d peers, want at most %d", len(s.peers), maxPeers)
	}
}

// exhaustedListener fails to accept while exhausted is set, like a listener of a process without a free file descriptor.
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

// Without a free file descriptor, joined peers stay connected, a peer that has not joined is evicted, accept is retried at
// intervals, and waiting connections are accepted once a descriptor is free.
func TestServerRecoversFromDescriptorExhaustion(t *testing.T) {
	s, l := newTestServer(100), &exhaustedListener{Listener: loopback(t)}
	address := serveOn(t, s, l)
	joinedProxy := dial(t, address, "hello id 1 site a rps 2 new 1")
	receive(t, s, 1)
	l.exhausted.Store(true)
	dial(t, address).expectClosed(t) // accepted by the call that was already waiting
	start := time.Now()
	queuedPeer := dial(t, address, "probe") // waits in the listener's queue
	time.Sleep(5 * acceptRetryInterval)
	if maxAttempts := int64(time.Since(start)/acceptRetryInterval) + 4; l.attempts.Load() > maxAttempts {
		t.Errorf("%d attempts to accept, want at most %d", l.attempts.Load(), maxAttempts)
	}
	l.exhausted.Store(false)
	queuedPeer.expect(t, "alive")
	joinedProxy.send(t, "ack id 1 seq 1 ms 1")
	receive(t, s, 1)
}

func TestJoinedPeersAreNotEvicted(t *testing.T) {
	s := newTestServer(reservedDescriptors + 2)
	address := serve(t, s)
	for id := range 2 {
		dial(t, address, fmt.Sprintf("hello id %d site a rps 2 new 1", id))
	}
	receive(t, s, 2)
	dial(t, address).expectClosed(t)
	if s.queues.Counters.ConnectionsRefused.Load() != 1 {
		t.Error("the connection over the limit was not counted as refused")
	}
}

// Collectors that vanish without closing their connection and then connect again must not use up all connections.
func TestReplacedCollectorIsEvictable(t *testing.T) {
	s := newTestServer(reservedDescriptors + 3)
	address := serve(t, s)
	const outcomes = "outcomes site a target s-5 count 1 fail 0 mean 1 over 1"
	first := dial(t, address, "agent site a", outcomes)
	receive(t, s, 1)
	second := dial(t, address, "agent site a", outcomes)
	dial(t, address, "agent site b", outcomes)
	receive(t, s, 2)
	first.send(t, outcomes) // it stays connected, as the connection limit is not reached
	receive(t, s, 1)
	dial(t, address, "hello id 1 site a rps 2 new 1")
	receive(t, s, 1)
	first.expectClosed(t)
	second.send(t, outcomes)
	receive(t, s, 1)
	dial(t, address).expectClosed(t)
}

// A proxy that does not read must not delay other peers: its send queue drops its updates, and a full update replaces them.
func TestProxyThatDoesNotReadDelaysNoOtherPeer(t *testing.T) {
	s := newTestServer(100)
	address := serve(t, s)
	local, remote := net.Pipe() // a pipe has no buffer
	defer local.Close()
	s.addConnection(remote)
	slowProxy := client{local, nil}
	slowProxy.send(t, "hello id 1 site a rps 2 new 1")
	receive(t, s, 1)
	otherProxy := dial(t, address, "hello id 2 site a rps 2 new 1")
	receive(t, s, 1)
	ejection := controller.Update{Ejected: []string{"s-1"}}
	s.queues.Send(controller.OutgoingUpdate{Stream: 1, Update: ejection})
	local.Read(make([]byte, 1)) // the rest of the message stays unread
	for s.queues.Counters.SendQueueOverflows.Load() == 0 {
		s.queues.Send(controller.OutgoingUpdate{Stream: 1, Update: ejection})
	}
	s.queues.Send(controller.OutgoingUpdate{Stream: 2, Update: ejection})
	otherProxy.expect(t, "push eject s-1")
	slowProxy.send(t, "ack id 1 seq 1 ms 1") // the server still reads from this proxy
	if events := receive(t, s, 1); events[0] != (controller.Ack{Stream: 1, Nonce: 1, Delay: 1e6}) {
		t.Errorf("after an ack: received %+v", events)
	}
	local.Read(make([]byte, resp.BufferSize))
	if events := receive(t, s, 1); events[0] != (controller.UpdatesDropped{Stream: 1}) {
		t.Errorf("after the send queue overflowed: received %+v", events)
	}
	s.queues.Send(controller.OutgoingUpdate{Stream: 1, Update: controller.Update{Resync: true, FullTable: true}})
	local.Read(make([]byte, 1))
	s.queues.CloseStream(1) // while the server writes to it
	slowProxy.expectClosed(t)
	if events := receive(t, s, 1); events[0] != (controller.StreamClosed{Stream: 1}) {
		t.Errorf("after CloseStream: received %+v", events)
	}
}
