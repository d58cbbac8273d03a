package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// A replica may have one connection, and it is in use: the next request waits for it, within its deadline, and takes
// it as it is released. That is no failure of the replica.
func TestRequestWaitsForAConnectionInUse(t *testing.T) {
	at := scriptedpeer.Listen(t)
	go func() {
		replica := at.AcceptConn()
		for range 2 {
			replica.ReadRequestHead()
			replica.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	p := NewPool(Config{MaxConnections: 1, MaxIdle: 1, IdleTimeout: time.Minute, StallTimeout: time.Minute})
	defer p.Close()
	do := func(l *Cancellation, until time.Time) (*Response, error) {
		return p.Do(l, until, at.Address(), &Request{Method: "GET", Target: "/", Host: "x"})
	}
	waiting := func(n int) {
		scriptedpeer.WaitFor(t, "nobody waits for a connection", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.waiting == n
		})
	}
	far := time.Now().Add(scriptedpeer.WaitTimeout)
	first, err := do(&Cancellation{}, far)
	if err != nil {
		t.Fatal(err)
	}
	var attempt *AttemptError
	if _, err := do(&Cancellation{}, time.Now().Add(time.Millisecond)); !errors.Is(err, ErrConnectionLimit) || !errors.As(err, &attempt) || attempt.Progress != NotSent {
		t.Errorf("after its deadline: %v", err)
	}
	cancel, canceled := &Cancellation{}, make(chan error)
	go func() { _, err := do(cancel, far); canceled <- err }()
	waiting(1)
	cancel.Cancel()
	if err := <-canceled; !errors.Is(err, ErrCanceled) {
		t.Errorf("canceled: %v", err)
	}
	waiting(0)
	second := make(chan error)
	go func() {
		a, err := do(&Cancellation{}, far)
		if err == nil {
			io.Copy(io.Discard, a)
			a.Close()
		}
		second <- err
	}()
	waiting(1)
	io.Copy(io.Discard, first)
	first.Close()
	if err := <-second; err != nil {
		t.Errorf("as the connection is released: %v", err)
	}
	if f := p.Counters(); f.Dials != 1 || f.Open != 1 || f.Idle != 1 {
		t.Errorf("%+v", f)
	}
}

// Idle connections are closed as requests take them: one that is taken is not closed, one that is closed is not
// taken, and no request fails because of it.
func TestIdleConnectionsAreClosedAsTheyAreTaken(t *testing.T) {
	at := scriptedpeer.Listen(t)
	at.Serve(func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := NewPool(Config{MaxConnections: 4, MaxIdle: 4, IdleTimeout: time.Minute, StallTimeout: time.Minute})
	defer p.Close()
	end, closed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(closed)
		for {
			select {
			case <-end:
				return
			default:
				p.CloseIdle(time.Now().Add(time.Hour)) // each idle one is over its timeout
			}
		}
	}()
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 50 {
				a, err := p.Do(&Cancellation{}, time.Now().Add(scriptedpeer.WaitTimeout), at.Address(), &Request{Method: "POST", Target: "/", Host: "x", FreshConnection: true})
				if err != nil {
					t.Error(err)
					return
				}
				if text, err := io.ReadAll(a); string(text) != "ok" || err != nil {
					t.Errorf("%q, %v", text, err)
				}
				a.Close()
			}
		})
	}
	all.Wait()
	close(end)
	<-closed
	if f := p.Counters(); f.Open != f.Idle {
		t.Errorf("%+v", f)
	}
}
