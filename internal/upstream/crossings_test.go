package upstream

import (
	"errors"
	"io"
	"testing"
	"time"

	"lilacbend/lab/peers"
)

// A replica may have one connection, and it is in use: who comes then waits for it, for as long as his flow has, and takes
// it as it comes back. That is no failure of the replica.
func TestWhoFindsAllConnectionsInUseWaitsForOne(t *testing.T) {
	at := peers.Listen(t)
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
		peers.Until(t, "nobody waits for a connection", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.waits == n
		})
	}
	far := time.Now().Add(peers.Patience)
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
