package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// The only connection allowed to a replica is in use. The next request waits for it within its deadline and takes it when
// it is released, which is not a failure of the replica.
func TestRequestWaitsForAConnectionInUse(t *testing.T) {
	listener := scriptedpeer.Listen(t)
	go func() {
		replica := listener.AcceptConn()
		for range 2 {
			replica.ReadRequestHead()
			replica.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	pool := NewPool(Config{MaxConnections: 1, MaxIdle: 1, IdleTimeout: time.Minute, StallTimeout: time.Minute})
	defer pool.Close()
	do := func(cancellation *Cancellation, deadline time.Time) (*Response, error) {
		return pool.Do(cancellation, deadline, listener.Address(), &Request{Method: "GET", Target: "/", Host: "x"})
	}
	waitForWaitingRequests := func(n int) {
		scriptedpeer.WaitFor(t, "number of requests that wait for a connection is not the expected one", func() bool {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.waiting == n
		})
	}
	distantDeadline := time.Now().Add(scriptedpeer.WaitTimeout)
	first, err := do(&Cancellation{}, distantDeadline)
	if err != nil {
		t.Fatal(err)
	}
	var attempt *AttemptError
	if _, err := do(&Cancellation{}, time.Now().Add(time.Millisecond)); !errors.Is(err, ErrConnectionLimit) || !errors.As(err, &attempt) || attempt.Progress != NotSent {
		t.Errorf("request that waits beyond its deadline: %v, want an AttemptError with progress NotSent and %v", err, ErrConnectionLimit)
	}
	cancel, canceled := &Cancellation{}, make(chan error)
	go func() { _, err := do(cancel, distantDeadline); canceled <- err }()
	waitForWaitingRequests(1)
	cancel.Cancel()
	if err := <-canceled; !errors.Is(err, ErrCanceled) {
		t.Errorf("waiting request that is canceled: %v, want %v", err, ErrCanceled)
	}
	waitForWaitingRequests(0)
	second := make(chan error)
	go func() {
		response, err := do(&Cancellation{}, distantDeadline)
		if err == nil {
			io.Copy(io.Discard, response)
			response.Close()
		}
		second <- err
	}()
	waitForWaitingRequests(1)
	io.Copy(io.Discard, first)
	first.Close()
	if err := <-second; err != nil {
		t.Errorf("waiting request after the connection is released: %v", err)
	}
	if counters := pool.Counters(); counters.Dials != 1 || counters.Open != 1 || counters.Idle != 1 {
		t.Errorf("counters %+v, want one dial, and one connection that is open and idle", counters)
	}
}

// Idle connections are closed while requests concurrently take connections. A connection that was taken must not be closed,
// one that was closed must not be taken, and no request may fail because of a close.
func TestCloseIdleConcurrentWithRequests(t *testing.T) {
	listener := scriptedpeer.Listen(t)
	listener.Serve(func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool(Config{MaxConnections: 4, MaxIdle: 4, IdleTimeout: time.Minute, StallTimeout: time.Minute})
	defer pool.Close()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				pool.CloseIdle(time.Now().Add(time.Hour)) // all idle connections have exceeded their timeout
			}
		}
	}()
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for range 50 {
				response, err := pool.Do(&Cancellation{}, time.Now().Add(scriptedpeer.WaitTimeout), listener.Address(), &Request{Method: "POST", Target: "/", Host: "x", FreshConnection: true})
				if err != nil {
					t.Error(err)
					return
				}
				if text, err := io.ReadAll(response); string(text) != "ok" || err != nil {
					t.Errorf("response body %q, error %v, want \"ok\"", text, err)
				}
				response.Close()
			}
		})
	}
	clients.Wait()
	close(stop)
	<-stopped
	if counters := pool.Counters(); counters.Open != counters.Idle {
		t.Errorf("counters %+v, want all open connections idle", counters)
	}
}

// A response arrives in time while the process stands still, and the process asks for it only after the deadline: the attempt
// succeeds, as the replica has executed the request.
func TestResponseThatArrivesDuringStallIsRead(t *testing.T) {
	const timeout = 100 * time.Millisecond
	listener := scriptedpeer.Listen(t)
	stall := scriptedpeer.NewStall(1)
	pool := NewPool(Config{MaxConnections: 1, MaxIdle: 1, IdleTimeout: time.Minute, StallTimeout: time.Minute})
	defer pool.Close()
	dial := pool.dial
	pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return stall.Conn(conn), nil
	}
	go func() {
		replica := listener.AcceptConn()
		replica.ReadRequestHead()
		replica.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(2 * timeout)
		stall.Resume()
	}()
	response, err := pool.Do(&Cancellation{}, time.Now().Add(timeout), listener.Address(), &Request{Method: "GET", Target: "/", Host: "x"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if body, err := io.ReadAll(response); err != nil || string(body) != "ok" {
		t.Errorf("body %q, error %v, want ok", body, err)
	}
}
