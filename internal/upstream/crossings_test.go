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

// A replica may have one connection, and it is in use: who comes then waits for it, for as long as his flow has, and takes
// it as it comes back. That is no failure of the replica.
func TestWhoFindsAllConnectionsInUseWaitsForOne(t *testing.T) {
	at := scriptedpeer.Listen(t)
	go func() {
		replica := at.Take()
		for range 2 {
			replica.Request()
			replica.Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	p := NewPool(1, 1, time.Minute, time.Minute)
	defer p.Close()
	do := func(l *Leash, until time.Time) (*Answer, error) {
		return p.Do(l, until, at.At(), &Request{Method: "GET", Target: "/", Host: "x"})
	}
	waiting := func(n int) {
		scriptedpeer.Until(t, "nobody waits for a connection", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.waits == n
		})
	}
	far := time.Now().Add(scriptedpeer.Patience)
	first, err := do(&Leash{}, far)
	if err != nil {
		t.Fatal(err)
	}
	var never *Failure
	if _, err := do(&Leash{}, time.Now().Add(time.Millisecond)); !errors.Is(err, ErrFull) || !errors.As(err, &never) || never.Reach != Unsent {
		t.Errorf("its time is over: %v", err)
	}
	cut, gone := &Leash{}, make(chan error)
	go func() { _, err := do(cut, far); gone <- err }()
	waiting(1)
	cut.Cut()
	if err := <-gone; !errors.Is(err, ErrCut) {
		t.Errorf("nobody waits for it: %v", err)
	}
	waiting(0)
	second := make(chan error)
	go func() {
		a, err := do(&Leash{}, far)
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
		t.Errorf("as the connection comes back: %v", err)
	}
	if f := p.Figures(); f.Dials != 1 || f.Open != 1 || f.Idle != 1 {
		t.Errorf("%+v", f)
	}
}

// Idle connections are ended for their time as they are picked: one that is picked is not ended, one that is ended is not
// picked, and no flow fails of it.
func TestIdleConnectionsEndAsTheyArePicked(t *testing.T) {
	at := scriptedpeer.Listen(t)
	at.Serve(func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := NewPool(4, 4, time.Minute, time.Minute)
	defer p.Close()
	end, swept := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(swept)
		for {
			select {
			case <-end:
				return
			default:
				p.Sweep(time.Now().Add(time.Hour)) // each idle one is over its time
			}
		}
	}()
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 50 {
				a, err := p.Do(&Leash{}, time.Now().Add(scriptedpeer.Patience), at.At(), &Request{Method: "POST", Target: "/", Host: "x", Fresh: true})
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
	<-swept
	if f := p.Figures(); f.Open != f.Idle {
		t.Errorf("%+v", f)
	}
}
