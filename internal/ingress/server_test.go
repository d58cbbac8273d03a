package ingress

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// held is a listener whose connections hold back the deadline by which an idle one is ended at a drain, and tell of
// each read that begins.
type held struct {
	net.Listener
	drains  chan struct{} // closed before the drain: from then on the deadline is held
	holds   chan struct{} // told when it is
	release chan struct{}
	idles   chan struct{} // told of each read that begins before the drain
	reads   chan struct{} // told of each read that begins after it
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
		if time.Until(t) < time.Second { // the deadlines of a request are later
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
		c.held.idles <- struct{}{}
	}
	return c.Conn.Read(p)
}

// await fails the test where an event does not come.
func await(t *testing.T, event <-chan struct{}, missing string) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(scriptedpeer.WaitTimeout):
		t.Fatal(missing)
	}
}

// A drain finds a connection idle, and before it can end it a request arrives: the deadline falls into the reading of its
// head. The request is read on and answered, and the answer says that it was the last.
func TestRequestThatArrivesAsItsConnectionIsDrained(t *testing.T) {
	h := &held{
		Listener: scriptedpeer.Listen(t).Listener,
		drains:   make(chan struct{}),
		holds:    make(chan struct{}),
		release:  make(chan struct{}),
		idles:    make(chan struct{}, 100),
		reads:    make(chan struct{}, 100),
	}
	s := New(Config{
		Limits: Limits{MaxConnections: 1, IdleTimeout: time.Minute, HeadTimeout: time.Minute, StallTimeout: time.Minute, MaxStreams: 1, DrainTimeout: time.Minute},
		Handler: func(_ *upstream.Cancellation, _ *proxy.Request, out proxy.ResponseWriter) proxy.Result {
			out.WriteHeader(http.StatusOK, http.Header{}, 2)
			io.WriteString(out, "ok")
			out.Finish(nil)
			return proxy.Result{}
		},
		Classify:     func(string, string, string, http.Header) int { return 0 },
		Log:          slog.New(slog.DiscardHandler),
		OnRequestEnd: func(Record) {},
	})
	served := make(chan struct{})
	go func() { s.ServeHTTP1(h); close(served) }()
	client := scriptedpeer.Dial(t, h.Addr().String())
	// Before its first read it would be the connection itself that finds the drain and sets the deadline.
	await(t, h.idles, "the connection is not read")
	close(h.drains)
	shutdown := make(chan int64)
	go func() { shutdown <- s.Shutdown() }()
	await(t, h.holds, "the connection is not found idle")
	client.SendRaw("G")
	await(t, h.reads, "the rest of the head is not read")
	close(h.release)
	await(t, h.reads, "the head is read no further behind the deadline that ended the read before")
	client.SendRaw("ET / HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(client.Reader, nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
	if lost := <-shutdown; lost != 0 || s.Counters.BadRequests.Load() != 0 {
		t.Errorf("%d lost, %d refused", lost, s.Counters.BadRequests.Load())
	}
	h.Close()
	<-served
}
