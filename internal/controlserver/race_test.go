package controlserver

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/controller"
	"lilacbend/internal/resp"
)

// The tests of this file force the order of events that race on a connection.

// hookedConn calls afterRead once, after the first bytes are read and before they are processed.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.afterRead != nil {
		c.afterRead()
		c.afterRead = nil
	}
	return n, err
}

// A peer that is evicted while its join is processed must not be published as joined: the controller would bind a proxy
// whose connection is closed, or a collector would replace one that is connected.
func TestEvictionDuringJoin(t *testing.T) {
	for _, joinMessage := range []string{"hello id 1 site a rps 2 new 1", "agent site a"} {
		s := newTestServer(reservedDescriptors + 3)
		serve(t, s)
		l := scriptedpeer.Listen(t)
		first := scriptedpeer.Dial(t, l.Address())
		s.addConnection(l.AcceptConn().Conn)
		first.Send("agent site a", "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
		receive(t, s, 1)
		second := scriptedpeer.Dial(t, l.Address())
		s.addConnection(&hookedConn{l.AcceptConn().Conn, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.evict() {
				t.Error("no peer is evictable")
			}
		}})
		second.Send(joinMessage)
		second.WaitForClose()
		scriptedpeer.WaitFor(t, "the evicted connection has not ended", func() bool { return s.queues.Counters.ConnectionsEnded.Load() == 1 })
		first.Send("outcomes site a target s-5 count 2 fail 0 mean 1 over 1")
		if events := receive(t, s, 1); len(events) != 1 || events[0].(controller.OutcomeReport).Attempts != 2 {
			t.Errorf("%s: received %+v", joinMessage, events)
		}
		s.mu.Lock()
		if current := s.collectors["a"]; current == nil || current.evictable != nil || s.evictable.Len() != 0 || len(s.peers) != 1 {
			t.Errorf("%s: the collector of the zone is %+v, %d of %d peers are evictable", joinMessage, current, s.evictable.Len(), len(s.peers))
		}
		s.mu.Unlock()
	}
}

// The last answers to a rejected peer must arrive although the peer has sent more data than the server reads. If the server
// closed the connection at once, the connection would be reset and the answers lost.
func TestLastAnswerArrivesDespiteUnreadData(t *testing.T) {
	s := newTestServer(100)
	address := serve(t, s)
	unreadData := strings.Repeat("*1\r\n$4\r\nnope\r\n", 4*resp.BufferSize/14)
	for range 10 {
		c := scriptedpeer.Dial(t, address)
		c.SendRaw(scriptedpeer.EncodeMessage("probe") + "what is this\r\n" + unreadData)
		if text, _ := c.ReadMessage(); text != "alive" {
			t.Errorf("health check is answered %q, want alive", text)
		}
		if text, _ := c.ReadMessage(); !strings.HasPrefix(text, "error reason ") {
			t.Errorf("rejected peer receives %q, want an error with a reason", text)
		}
		if c.WaitForClose() {
			t.Error("the connection is reset, want it closed")
		}
		c.Close()
	}
	scriptedpeer.WaitFor(t, "rejected connections have not ended", func() bool { return s.queues.Counters.ConnectionsEnded.Load() == 10 })
}

// Shutdown must not wait for rejected peers that keep their connection open, for proxies that do not read, or for peers that
// have sent a part of a message.
func TestShutdownDoesNotWaitForPeers(t *testing.T) {
	s, l := newTestServer(100), loopback(t)
	address := l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx, l) }()
	unidentifiedPeer := scriptedpeer.Dial(t, address)
	unidentifiedPeer.SendRaw("nonsense\r\n")
	unidentifiedPeer.WaitForMessage("error") // its connection stays open
	partialSender := scriptedpeer.Dial(t, address)
	partialSender.Send("hello id 1 site a rps 2 new 1")
	partialSender.SendRaw("*3\r\n$3\r\nack\r\n$2\r\ni")
	nonReader := scriptedpeer.Dial(t, address)
	nonReader.ShrinkBuffers()
	nonReader.Send("hello id 2 site a rps 2 new 1")
	receive(t, s, 2)
	var endpoints []controller.WeightedEndpoint
	for range 3 * maxEndpointsPerPart {
		endpoints = append(endpoints, controller.WeightedEndpoint{Replica: strings.Repeat("s", 100), Weight: 1})
	}
	var stream controller.StreamID
	s.mu.Lock()
	for p := range s.peers {
		if p.id == 2 {
			stream = p.stream
		}
	}
	s.mu.Unlock()
	for range 16 { // several megabytes, which exceed the kernel's buffers
		s.queues.Send(controller.OutgoingUpdate{Stream: stream, Update: controller.Update{FullTable: true, Endpoints: endpoints}})
	}
	scriptedpeer.WaitFor(t, "the server has not begun to write the update", func() bool { return s.queues.Counters.UpdatesSent.Load() > 0 })
	stop() // with all connections open
	select {
	case err := <-ended:
		if err != nil || s.pool.InUse() != 0 || len(s.peers) != 0 {
			t.Errorf("after shutdown %d buffers and %d peers are left; Serve returned %v", s.pool.InUse(), len(s.peers), err)
		}
	case <-time.After(scriptedpeer.WaitTimeout):
		t.Error("Serve has not returned after shutdown")
	}
}

// If a stream closes between two parts of an update, its last part is not sent and the update is not reported as written.
// The update on the proxy's next stream arrives complete.
func TestStreamClosedBetweenTwoParts(t *testing.T) {
	s := newTestServer(100)
	serve(t, s)
	l := scriptedpeer.Listen(t)
	join := func() (*scriptedpeer.Conn, controller.StreamID) {
		c := scriptedpeer.Dial(t, l.Address()).ShrinkBuffers()
		s.addConnection(l.AcceptConn().ShrinkBuffers().Conn)
		c.Send("hello id 1 site a rps 2 new 1")
		return c, receive(t, s, 1)[0].(controller.StreamOpened).Stream
	}
	var endpoints []controller.WeightedEndpoint
	for range 2*maxEndpointsPerPart + 1 {
		endpoints = append(endpoints, controller.WeightedEndpoint{Replica: strings.Repeat("s", 100), Weight: 1})
	}
	update := controller.Update{FullTable: true, Endpoints: endpoints, WantsAck: true, Nonce: 7}
	for name, endStream := range map[string]func(*scriptedpeer.Conn, controller.StreamID){
		"closed by the server": func(_ *scriptedpeer.Conn, stream controller.StreamID) { s.queues.CloseStream(stream) },
		"reset":                func(c *scriptedpeer.Conn, _ controller.StreamID) { c.Reset() },
	} {
		c, stream := join()
		s.queues.Send(controller.OutgoingUpdate{Stream: stream, ChargeNumber: 1, Update: update})
		if text, ok := c.ReadMessage(); !ok || !strings.HasSuffix(text, " continued 1") {
			t.Errorf("%s: the first part ends with %q, want continued", name, text[max(0, len(text)-20):])
		}
		endStream(c, stream)
		for {
			text, ok := c.ReadMessage()
			if !ok {
				break
			}
			if !strings.HasSuffix(text, " continued 1") {
				t.Errorf("%s: the last part has arrived: %q", name, text[max(0, len(text)-20):])
			}
		}
		if events := receive(t, s, 1); len(events) != 1 || events[0] != (controller.StreamClosed{Stream: stream}) {
			t.Errorf("%s: received %+v", name, events)
		}
		for _, event := range s.queues.Drain() {
			if _, written := event.(controller.MessageSent); written {
				t.Errorf("%s: an incomplete update is reported as written", name)
			}
		}
	}
	c, stream := join()
	s.queues.Send(controller.OutgoingUpdate{Stream: stream, ChargeNumber: 2, Update: update})
	for k := range 3 {
		if text, ok := c.ReadMessage(); !ok || strings.HasSuffix(text, " continued 1") != (k < 2) || strings.HasPrefix(text, "push full 1") != (k == 0) {
			t.Errorf("part %d of the next stream's update begins with %.30q", k, text)
		}
	}
}

// Messages that arrive byte by byte are read like messages that arrive at once. After a reset in the middle of a message,
// only the messages before it are published.
func TestMessagesReadByteByByteAndReset(t *testing.T) {
	s := newTestServer(100)
	address := serve(t, s)
	c := scriptedpeer.Dial(t, address)
	c.SendByteByByte(scriptedpeer.EncodeMessage("probe") + scriptedpeer.EncodeMessage("hello id 3 site b rps 2 new 0") + scriptedpeer.EncodeMessage("ack id 3 seq 9 ms 1.5"))
	c.WaitForMessage("alive")
	events := receive(t, s, 2)
	if events[0].(controller.StreamOpened).Proxy != 3 || events[1].(controller.Ack).Nonce != 9 {
		t.Errorf("received %+v", events)
	}
	c.SendByteByByte("*7\r\n$3\r\nack\r\n$2\r\nid\r\n$1\r\n3\r\n$3\r\nseq\r\n$2\r\n1")
	c.Reset()
	if events := receive(t, s, 1); len(events) != 1 || events[0] != (controller.StreamClosed{Stream: events[0].(controller.StreamClosed).Stream}) {
		t.Errorf("received %+v", events)
	}
}

// A panic while writing closes only its connection, as does a panic while reading.
func TestPanicOfWriterClosesOnlyItsConnection(t *testing.T) {
	s := newTestServer(100)
	address := serve(t, s)
	other := scriptedpeer.Dial(t, address)
	other.Send("hello id 1 site a rps 2 new 1")
	first := receive(t, s, 1)[0].(controller.StreamOpened).Stream
	l := scriptedpeer.Listen(t)
	panicking := scriptedpeer.Dial(t, l.Address())
	s.addConnection(panickingConn{l.AcceptConn().Conn})
	panicking.Send("hello id 2 site a rps 2 new 1")
	second := receive(t, s, 1)[0].(controller.StreamOpened).Stream
	for _, stream := range []controller.StreamID{second, first} {
		s.queues.Send(controller.OutgoingUpdate{Stream: stream, Update: controller.Update{Ejected: []string{"s-1"}}})
	}
	panicking.WaitForClose()
	if events := receive(t, s, 1); events[0] != (controller.StreamClosed{Stream: second}) || s.queues.Counters.Panics.Load() != 1 {
		t.Errorf("received %+v, %d panics counted", events, s.queues.Counters.Panics.Load())
	}
	if text, _ := other.ReadMessage(); text != "push eject s-1" {
		t.Errorf("the other proxy receives %q", text)
	}
}

type panickingConn struct{ net.Conn }

func (panickingConn) Write([]byte) (int, error) { panic("scripted") }
