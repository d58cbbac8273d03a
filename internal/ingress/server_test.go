package ingress

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// deadlineDelayingListener is a listener whose connections delay the read deadline that a drain sets on an idle connection,
// and report each read that begins.
type deadlineDelayingListener struct {
	net.Listener
	draining   chan struct{} // closed by the test before the drain; the read deadline that the drain then sets is delayed
	delayed    chan struct{} // receives a value when a connection starts to delay the read deadline
	release    chan struct{} // closed by the test to let the connection set the delayed deadline
	idleReads  chan struct{} // receives a value for each read that begins before the drain
	drainReads chan struct{} // receives a value for each read that begins during the drain
}

func (l *deadlineDelayingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &deadlineDelayingConn{Conn: conn, listener: l}, err
}

type deadlineDelayingConn struct {
	net.Conn
	listener *deadlineDelayingListener
	once     sync.Once
}

func (c *deadlineDelayingConn) SetReadDeadline(t time.Time) error {
	select {
	case <-c.listener.draining:
		if time.Until(t) < time.Second { // the deadlines of a request are a minute away
			c.once.Do(func() {
				c.listener.delayed <- struct{}{}
				<-c.listener.release
			})
		}
	default:
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *deadlineDelayingConn) Read(p []byte) (int, error) {
	select {
	case <-c.listener.draining:
		c.listener.drainReads <- struct{}{}
	default:
		c.listener.idleReads <- struct{}{}
	}
	return c.Conn.Read(p)
}

// waitForEvent fails the test with the given message if the event does not occur in time.
func waitForEvent(t *testing.T, event <-chan struct{}, failure string) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(scriptedpeer.WaitTimeout):
		t.Fatal(failure)
	}
}

// A drain finds a connection idle, and a request arrives before the drain has set its read deadline. The deadline then
// expires while the head of the request is being read. The request must still be read and served, and its response must
// announce the close of the connection.
func TestRequestArrivingDuringDrainIsServed(t *testing.T) {
	listener := &deadlineDelayingListener{
		Listener:   scriptedpeer.Listen(t).Listener,
		draining:   make(chan struct{}),
		delayed:    make(chan struct{}),
		release:    make(chan struct{}),
		idleReads:  make(chan struct{}, 100),
		drainReads: make(chan struct{}, 100),
	}
	server := newTestServer(Limits{}, serveBody)
	served := make(chan struct{})
	go func() { server.ServeHTTP1(listener); close(served) }()
	client := scriptedpeer.Dial(t, listener.Addr().String())
	// Wait for the first read of the connection: before it, the connection itself would notice the drain and set the
	// deadline.
	waitForEvent(t, listener.idleReads, "the idle connection was not read")
	close(listener.draining)
	shutdown := make(chan int64)
	go func() { shutdown <- server.Shutdown() }()
	waitForEvent(t, listener.delayed, "the drain did not set a deadline on the idle connection")
	client.SendRaw("G")
	waitForEvent(t, listener.drainReads, "the rest of the request head was not read")
	close(listener.release)
	waitForEvent(t, listener.drainReads, "the request head was not read further after the deadline of the drain ended a read")
	client.SendRaw("ET / HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(client.Reader, nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("response %+v, error %v; want status 200 with Connection: close", resp, err)
	}
	if lost := <-shutdown; lost != 0 || server.Counters.BadRequests.Load() != 0 {
		t.Errorf("%d requests lost, %d bad requests, want none", lost, server.Counters.BadRequests.Load())
	}
	listener.Close()
	<-served
}
