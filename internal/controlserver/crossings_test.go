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

// Crossings at a connection, each in an order that is forced: docs/crossings.md.

// atRead does something at the instant at which bytes have come, before anybody has looked at them.
type atRead struct {
	net.Conn
	do func()
}

func (c *atRead) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.do != nil {
		c.do()
		c.do = nil
	}
	return n, err
}

// Who is put out for want of room at the very instant of its joining is not told to have joined: it would be bound, charged and
// called left for a connection that is closed already, and a collector would take the place of one that lives.
func TestAnEvictionAtTheInstantOfTheJoining(t *testing.T) {
	for _, joins := range []string{"hello id 1 site a rps 2 new 1", "agent site a"} {
		s := server(reservedDescriptors + 3)
		running(t, s)
		l := scriptedpeer.Listen(t)
		first := scriptedpeer.Dial(t, l.At())
		s.admit(l.Take().Conn)
		first.Say("agent site a", "outcomes site a target s-5 count 1 fail 0 mean 1 over 1")
		told(t, s, 1)
		second := scriptedpeer.Dial(t, l.At())
		s.admit(&atRead{l.Take().Conn, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.evict() {
				t.Error("nobody is dispensable")
			}
		}})
		second.Say(joins)
		second.Ends()
		scriptedpeer.Until(t, "the connection is not over", func() bool { return s.exchange.Counters.Ended.Load() == 1 })
		first.Say("outcomes site a target s-5 count 2 fail 0 mean 1 over 1")
		if notes := told(t, s, 1); len(notes) != 1 || notes[0].(controller.Outcomes).Attempts != 2 {
			t.Errorf("%s: told %+v", joins, notes)
		}
		s.mu.Lock()
		if zone := s.zones["a"]; zone == nil || zone.place != nil || s.queue.Len() != 0 || len(s.peers) != 1 {
			t.Errorf("%s: the collector that lives is %+v, %d dispensable of %d", joins, zone, s.queue.Len(), len(s.peers))
		}
		s.mu.Unlock()
	}
}

// The last answers owed arrive though the stranger has sent more than anybody reads: closed at once, the connection would be
// reset and they would be lost.
func TestTheLastAnswerOutlivesUnreadBytes(t *testing.T) {
	s := server(100)
	at := running(t, s)
	more := strings.Repeat("*1\r\n$4\r\nnope\r\n", 4*resp.BufferSize/14)
	for range 10 {
		c := scriptedpeer.Dial(t, at)
		c.Raw(scriptedpeer.Message("probe") + "what is this\r\n" + more)
		if text, _ := c.Next(); text != "alive" {
			t.Errorf("a probe is answered %q", text)
		}
		if text, _ := c.Next(); !strings.HasPrefix(text, "error reason ") {
			t.Errorf("a stranger is told %q", text)
		}
		if c.Ends() {
			t.Error("reset")
		}
		c.Close()
	}
	scriptedpeer.Until(t, "strangers stay", func() bool { return s.exchange.Counters.Ended.Load() == 10 })
}

// The end of the program waits for nobody who lingers, reads nothing, or is in the middle of a message.
func TestTheEndWaitsForNobody(t *testing.T) {
	s, l := server(100), loopback(t)
	at := l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx, l) }()
	stranger := scriptedpeer.Dial(t, at)
	stranger.Raw("nonsense\r\n")
	stranger.Hears("error") // and it goes on
	half := scriptedpeer.Dial(t, at)
	half.Say("hello id 1 site a rps 2 new 1")
	half.Raw("*3\r\n$3\r\nack\r\n$2\r\ni")
	deaf := scriptedpeer.Dial(t, at)
	deaf.Narrow()
	deaf.Say("hello id 2 site a rps 2 new 1")
	told(t, s, 2)
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
	for range 16 { // some megabytes: more than any kernel keeps for it
		s.exchange.Send(controller.OutgoingUpdate{Stream: stream, Update: controller.Update{Full: true, Endpoints: lines}})
	}
	scriptedpeer.Until(t, "nothing is written", func() bool { return s.exchange.Counters.UpdatesSent.Load() > 0 })
	stop() // with all of them open
	select {
	case err := <-ended:
		if err != nil || s.pool.Lent() != 0 || len(s.peers) != 0 {
			t.Errorf("left behind: %d buffers, %d peers, %v", s.pool.Lent(), len(s.peers), err)
		}
	case <-time.After(scriptedpeer.Patience):
		t.Error("it does not end")
	}
}

// A stream that breaks, is reset or is ended by us between two parts of a message ends there: what came before is no whole
// message, and the next stream of the proxy begins with one.
func TestAStreamEndsBetweenTwoParts(t *testing.T) {
	s := server(100)
	running(t, s)
	l := scriptedpeer.Listen(t)
	join := func() (*scriptedpeer.Conn, controller.StreamID) {
		c := scriptedpeer.Dial(t, l.At()).Narrow()
		s.admit(l.Take().Narrow().Conn)
		c.Say("hello id 1 site a rps 2 new 1")
		return c, told(t, s, 1)[0].(controller.StreamOpened).Stream
	}
	var lines []controller.WeightedEndpoint
	for range 2*maxEndpointsPerPart + 1 {
		lines = append(lines, controller.WeightedEndpoint{Replica: strings.Repeat("s", 100), Weight: 1})
	}
	message := controller.Update{Full: true, Endpoints: lines, WantsAck: true, Nonce: 7}
	for name, end := range map[string]func(*scriptedpeer.Conn, controller.StreamID){
		"ended by us": func(_ *scriptedpeer.Conn, stream controller.StreamID) { s.exchange.CloseStream(stream) },
		"reset":       func(c *scriptedpeer.Conn, _ controller.StreamID) { c.Reset() },
	} {
		c, stream := join()
		s.exchange.Send(controller.OutgoingUpdate{Stream: stream, Number: 1, Update: message})
		if text, ok := c.Next(); !ok || !strings.HasSuffix(text, " continued 1") {
			t.Errorf("%s: the first part ends %q", name, text[max(0, len(text)-20):])
		}
		end(c, stream)
		for {
			text, ok := c.Next()
			if !ok {
				break
			}
			if !strings.HasSuffix(text, " continued 1") {
				t.Errorf("%s: a last part has come: %q", name, text[max(0, len(text)-20):])
			}
		}
		if notes := told(t, s, 1); len(notes) != 1 || notes[0] != (controller.StreamClosed{Stream: stream}) {
			t.Errorf("%s: told %+v", name, notes)
		}
		for _, n := range s.exchange.Drain() {
			if _, written := n.(controller.MessageSent); written {
				t.Errorf("%s: half a message counts as written", name)
			}
		}
	}
	c, stream := join()
	s.exchange.Send(controller.OutgoingUpdate{Stream: stream, Number: 2, Update: message})
	for k := range 3 {
		if text, ok := c.Next(); !ok || strings.HasSuffix(text, " continued 1") != (k < 2) || strings.HasPrefix(text, "push full 1") != (k == 0) {
			t.Errorf("part %d: %.30q", k, text)
		}
	}
}

// Messages in the smallest pieces are as whole ones, and a reset in the middle of one tells what came before it alone.
func TestSmallestPiecesAndAResetInTheMiddle(t *testing.T) {
	s := server(100)
	at := running(t, s)
	c := scriptedpeer.Dial(t, at)
	c.Drip(scriptedpeer.Message("probe") + scriptedpeer.Message("hello id 3 site b rps 2 new 0") + scriptedpeer.Message("ack id 3 seq 9 ms 1.5"))
	c.Hears("alive")
	notes := told(t, s, 2)
	if notes[0].(controller.StreamOpened).Proxy != 3 || notes[1].(controller.Ack).Nonce != 9 {
		t.Errorf("told %+v", notes)
	}
	c.Drip("*7\r\n$3\r\nack\r\n$2\r\nid\r\n$1\r\n3\r\n$3\r\nseq\r\n$2\r\n1")
	c.Reset()
	if notes := told(t, s, 1); len(notes) != 1 || notes[0] != (controller.StreamClosed{Stream: notes[0].(controller.StreamClosed).Stream}) {
		t.Errorf("told %+v", notes)
	}
}

// A panic while a message is written ends its connection as one while it is read does, and nobody else's.
func TestAPanicOfTheWriterEndsItsConnectionAlone(t *testing.T) {
	s := server(100)
	at := running(t, s)
	good := scriptedpeer.Dial(t, at)
	good.Say("hello id 1 site a rps 2 new 1")
	first := told(t, s, 1)[0].(controller.StreamOpened).Stream
	l := scriptedpeer.Listen(t)
	bad := scriptedpeer.Dial(t, l.At())
	s.admit(failing{l.Take().Conn})
	bad.Say("hello id 2 site a rps 2 new 1")
	second := told(t, s, 1)[0].(controller.StreamOpened).Stream
	for _, stream := range []controller.StreamID{second, first} {
		s.exchange.Send(controller.OutgoingUpdate{Stream: stream, Update: controller.Update{Ejected: []string{"s-1"}}})
	}
	bad.Ends()
	if notes := told(t, s, 1); notes[0] != (controller.StreamClosed{Stream: second}) || s.exchange.Counters.Panics.Load() != 1 {
		t.Errorf("told %+v, %d panics", notes, s.exchange.Counters.Panics.Load())
	}
	if text, _ := good.Next(); text != "push eject s-1" {
		t.Errorf("the other hears %q", text)
	}
}

type failing struct{ net.Conn }

func (failing) Write([]byte) (int, error) { panic("scripted") }
