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

// Races at a connection, each in a forced order.

// hookedConn calls afterRead once, between the arrival of the first bytes and their processing.
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

// A peer that is evicted while its join is processed is not published as joined: a proxy would be bound on a closed connection,
// and a collector would replace one that is connected.
func TestEvictionDuringJoin(t *testing.T) {
	for _, joins := range []string{"hello id 1 site a rps 2 new 1", "agent site a"} {
		s := server(reservedDescriptors + 3)
		serve(t, s)
		l := scriptedpeer.Listen(t)
		first := scriptedpeer.Dial(t, l.Address())
		s.admit(l.AcceptConn().Conn)
		first.Send("agent site a", "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
		receive(t, s, 1)
		second := scriptedpeer.Dial(t, l.Address())
		s.admit(&hookedConn{l.AcceptConn().Conn, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.evict() {
				t.Error("no peer is evictable")
			}
		}})
		second.Send(joins)
		second.WaitForClose()
		scriptedpeer.WaitFor(t, "the connection is not over", func() bool { return s.queues.Counters.Ended.Load() == 1 })
		first.Send("outcomes site a target s-5 count 2 fail 0 mean 1 over 1")
		if events := receive(t, s, 1); len(events) != 1 || events[0].(controller.Outcomes).Attempts != 2 {
			t.Errorf("%s: received %+v", joins, events)
		}
		s.mu.Lock()
		if zone := s.collectors["a"]; zone == nil || zone.evictable != nil || s.evictable.Len() != 0 || len(s.peers) != 1 {
			t.Errorf("%s: the connected collector is %+v, %d evictable of %d", joins, zone, s.evictable.Len(), len(s.peers))
		}
		s.mu.Unlock()
	}
}

// The last answers arrive although the peer has sent more than is read: closed at once, the connection would be reset and they
// would be lost.
func TestLastAnswerArrivesDespiteUnreadData(t *testing.T) {
	s := server(100)
	at := serve(t, s)
	more := strings.Repeat("*1\r\n$4\r\nnope\r\n", 4*resp.BufferSize/14)
	for range 10 {
		c := scriptedpeer.Dial(t, at)
		c.SendRaw(scriptedpeer.EncodeMessage("probe") + "what is this\r\n" + more)
		if text, _ := c.ReadMessage(); text != "alive" {
			t.Errorf("a health check is answered %q", text)
		}
		if text, _ := c.ReadMessage(); !strings.HasPrefix(text, "error reason ") {
			t.Errorf("a rejected peer is sent %q", text)
		}
		if c.WaitForClose() {
			t.Error("reset")
		}
		c.Close()
	}
	scriptedpeer.WaitFor(t, "rejected peers stay", func() bool { return s.queues.Counters.Ended.Load() == 10 })
}

// The end of the server does not wait for peers that linger, do not read, or are in the middle of a message.
func TestShutdownDoesNotWaitForPeers(t *testing.T) {
	s, l := server(100), loopback(t)
	at := l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx, l) }()
	unidentifiedPeer := scriptedpeer.Dial(t, at)
	unidentifiedPeer.SendRaw("nonsense\r\n")
	unidentifiedPeer.WaitForMessage("error") // and its connection stays open
	half := scriptedpeer.Dial(t, at)
	half.Send("hello id 1 site a rps 2 new 1")
	half.SendRaw("*3\r\n$3\r\nack\r\n$2\r\ni")
	deaf := scriptedpeer.Dial(t, at)
	deaf.ShrinkBuffers()
	deaf.Send("hello id 2 site a rps 2 new 1")
	receive(t, s, 2)
	var lines []controller.WeightedEndpoint
	for range 3 * maxEndpointsPerPart {
		lines = append(lines, controller.WeightedEndpoint{Replica: strings.Repeat("s", 100), Weight: 1})
	}
	var stream controller.StreamID
	s.mu.Lock()
	for p := range s.peers {
		if p.id == 2 {
			stream = p.stream
		}
	}
	s.mu.Unlock()
	for range 16 { // some megabytes: more than the kernel buffers
		s.queues.Send(controller.OutgoingUpdate{Stream: stream, Update: controller.Update{Full: true, Endpoints: lines}})
	}
	scriptedpeer.WaitFor(t, "nothing is written", func() bool { return s.queues.Counters.UpdatesSent.Load() > 0 })
	stop() // with all connections open
	select {
	case err := <-ended:
		if err != nil || s.pool.Lent() != 0 || len(s.peers) != 0 {
			t.Errorf("left behind: %d buffers, %d peers, %v", s.pool.Lent(), len(s.peers), err)
		}
	case <-time.After(scriptedpeer.WaitTimeout):
		t.Error("the server does not end")
	}
}

// A stream that ends between two parts of an update ends there: the update is not counted as written, and the proxy's next
// stream begins with a complete one.
func TestStreamClosedBetweenTwoParts(t *testing.T) {
	s := server(100)
	serve(t, s)
	l := scriptedpeer.Listen(t)
	join := func() (*scriptedpeer.Conn, controller.StreamID) {
		c := scriptedpeer.Dial(t, l.Address()).ShrinkBuffers()
		s.admit(l.AcceptConn().ShrinkBuffers().Conn)
		c.Send("hello id 1 site a rps 2 new 1")
		return c, receive(t, s, 1)[0].(controller.StreamOpened).Stream
	}
	var lines []controller.WeightedEndpoint
	for range 2*maxEndpointsPerPart + 1 {
		lines = append(lines, controller.WeightedEndpoint{Replica: strings.Repeat("s", 100), Weight: 1})
	}
	message := controller.Update{Full: true, Endpoints: lines, WantsAck: true, Nonce: 7}
	for name, end := range map[string]func(*scriptedpeer.Conn, controller.StreamID){
		"closed by the server": func(_ *scriptedpeer.Conn, stream controller.StreamID) { s.queues.CloseStream(stream) },
		"reset":                func(c *scriptedpeer.Conn, _ controller.StreamID) { c.Reset() },
	} {
		c, stream := join()
		s.queues.Send(controller.OutgoingUpdate{Stream: stream, Number: 1, Update: message})
		if text, ok := c.ReadMessage(); !ok || !strings.HasSuffix(text, " continued 1") {
			t.Errorf("%s: the first part ends %q", name, text[max(0, len(text)-20):])
		}
		end(c, stream)
		for {
			text, ok := c.ReadMessage()
			if !ok {
				break
			}
			if !strings.HasSuffix(text, " continued 1") {
				t.Errorf("%s: a last part has arrived: %q", name, text[max(0, len(text)-20):])
			}
		}
		if events := receive(t, s, 1); len(events) != 1 || events[0] != (controller.StreamClosed{Stream: stream}) {
			t.Errorf("%s: received %+v", name, events)
		}
		for _, n := range s.queues.Drain() {
			if _, written := n.(controller.MessageSent); written {
				t.Errorf("%s: an incomplete update counts as written", name)
			}
		}
	}
	c, stream := join()
	s.queues.Send(controller.OutgoingUpdate{Stream: stream, Number: 2, Update: message})
	for k := range 3 {
		if text, ok := c.ReadMessage(); !ok || strings.HasSuffix(text, " continued 1") != (k < 2) || strings.HasPrefix(text, "push full 1") != (k == 0) {
			t.Errorf("part %d: %.30q", k, text)
		}
	}
}

// Messages in single bytes are read as complete ones are; after a reset in the middle of one, only those before it count.
func TestMessagesInSingleBytesAndReset(t *testing.T) {
	s := server(100)
	at := serve(t, s)
	c := scriptedpeer.Dial(t, at)
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

// A panic while writing closes only its connection, as one while reading does.
func TestPanicOfWriterClosesOnlyItsConnection(t *testing.T) {
	s := server(100)
	at := serve(t, s)
	good := scriptedpeer.Dial(t, at)
	good.Send("hello id 1 site a rps 2 new 1")
	first := receive(t, s, 1)[0].(controller.StreamOpened).Stream
	l := scriptedpeer.Listen(t)
	bad := scriptedpeer.Dial(t, l.Address())
	s.admit(panickingConn{l.AcceptConn().Conn})
	bad.Send("hello id 2 site a rps 2 new 1")
	second := receive(t, s, 1)[0].(controller.StreamOpened).Stream
	for _, stream := range []controller.StreamID{second, first} {
		s.queues.Send(controller.OutgoingUpdate{Stream: stream, Update: controller.Update{Ejected: []string{"s-1"}}})
	}
	bad.WaitForClose()
	if events := receive(t, s, 1); events[0] != (controller.StreamClosed{Stream: second}) || s.queues.Counters.Panics.Load() != 1 {
		t.Errorf("received %+v, %d panics", events, s.queues.Counters.Panics.Load())
	}
	if text, _ := good.ReadMessage(); text != "push eject s-1" {
		t.Errorf("the other receives %q", text)
	}
}

type panickingConn struct{ net.Conn }

func (panickingConn) Write([]byte) (int, error) { panic("scripted") }
