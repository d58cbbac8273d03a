package front

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lilacbend/internal/relay"
	"lilacbend/internal/upstream"
	"lilacbend/lab/peers"
)

// held is a listener whose connections hold back the deadline by which an idle one is ended at a drain, and tell of
// each read that begins.
type held struct {
	net.Listener
	drains  chan struct{} // closed before the drain: from then on the deadline is held
	holds   chan struct{} // told when it is
	release chan struct{}
	reads   chan struct{}
}

func (h *held) Accept() (net.Conn, error) {
	conn, err := h.Listener.Accept()
	return &heldConn{Conn: conn, held: h}, err
}

type heldConn struct {
	net.Conn
	held *held
	once sync.Once
}

func (c *heldConn) SetReadDeadline(t time.Time) error {
	select {
	case <-c.held.drains:
		if time.Until(t) < time.Second { // the bounds of a flow are longer
			c.once.Do(func() {
				c.held.holds <- struct{}{}
				<-c.held.release
			})
		}
	default:
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *heldConn) Read(p []byte) (int, error) {
	select {
	case <-c.held.drains:
		c.held.reads <- struct{}{}
	default:
	}
	return c.Conn.Read(p)
}

// A drain finds a connection idle, and before it can end it a flow comes: the deadline falls into the reading of its
// head. The flow is read on and answered, with the word that it was the last.
func TestAFlowThatComesAsItsConnectionIsEnded(t *testing.T) {
	h := &held{peers.Listen(t).Listener, make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{}, 100)}
	s := New(Bounds{Connections: 1, Idle: time.Minute, Head: time.Minute, Stall: time.Minute, Streams: 1, Drain: time.Minute},
		func(_ *upstream.Leash, _ *relay.Request, out relay.Answerer) relay.Result {
			out.Head(http.StatusOK, http.Header{}, 2)
			io.WriteString(out, "ok")
			out.End(nil)
			return relay.Result{}
		},
		func(string, string, string, http.Header) int { return 0 }, slog.New(slog.DiscardHandler),
		func(string, string, string, string, int, relay.Result) {})
	served := make(chan struct{})
	go func() { s.Serve(h, false); close(served) }()
	client := peers.Dial(t, h.Addr().String())
	peers.Until(t, "not accepted", func() bool { return s.Count.Open.Load() == 1 })
	close(h.drains)
	parted := make(chan int64)
	go func() { parted <- s.Part() }()
	<-h.holds // it was found idle
	client.Raw("G")
	<-h.reads // of the rest of the head
	close(h.release)
	select { // the deadline ends that read, and there is another
	case <-h.reads:
	case <-time.After(peers.Patience):
		t.Fatal("the head is read no further")
	}
	client.Raw("ET / HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(client.Read, nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
	if lost := <-parted; lost != 0 || s.Count.BadRequests.Load() != 0 {
		t.Errorf("%d lost, %d refused", lost, s.Count.BadRequests.Load())
	}
	h.Close()
	<-served
}
