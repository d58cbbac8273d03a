// Package upstream sends requests to replicas. It keeps connections for further requests, sends one request over one
// connection and reads its response. Its errors say how far an attempt came, above all whether the replica can have
// executed the request. It neither picks replicas nor retries.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// maxFreshIdle is how long a connection may have been idle for a request that must not be executed twice. The
	// longer it has been, the more likely its replica closes it at this moment, and then it is unknown whether the
	// request was executed.
	maxFreshIdle = time.Second
)

// Config bounds the connections of a Pool.
type Config struct {
	MaxConnections int           // to one replica
	MaxIdle        int           // of them, while no request uses them
	IdleTimeout    time.Duration // after which an idle connection is closed
	StallTimeout   time.Duration // for each read of a streamed response
}

// Pool holds the connections of one sidecar.
type Pool struct {
	config Config
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	replicas map[string]*replica // by address
	closed   bool
	counters Counters
	waiting  int           // requests that wait for a connection
	released chan struct{} // closed when a connection is released while a request waits
}

// replica holds the connections to one address.
type replica struct {
	open int     // in use and idle
	idle []*conn // the last one was used last
}

// Counters are what a Pool has counted, and how many connections it has now.
type Counters struct {
	Dials      int64
	DialErrors int64
	Reused     int64
	Dead       int64 // idle connections that were found closed when a request was to use them
	Open       int64
	Idle       int64
}

// NewPool returns a Pool without connections.
func NewPool(config Config) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Pool{
		config:   config,
		replicas: map[string]*replica{},
		released: make(chan struct{}),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// Do sends a request to an address and waits for the head of the response until a deadline. An error is an
// AttemptError. The body of the request is read as fast as the replica takes it.
func (p *Pool) Do(cancel *Cancellation, deadline time.Time, address string, r *Request) (*Response, error) {
	for {
		c, err := p.acquire(cancel, deadline, address, r.FreshConnection)
		if err != nil {
			return nil, &AttemptError{NotSent, "connect to " + address, err}
		}
		reused := c.reused
		response, err := c.roundTrip(cancel, deadline, r)
		if !reused || !canReconnect(cancel, r, err) {
			return response, err
		}
	}
}

// canReconnect reports whether a kept connection ended before anything went out, so that another one can be used in the
// same attempt.
func canReconnect(cancel *Cancellation, r *Request, err error) bool {
	if err == nil {
		return false
	}
	var attempt *AttemptError
	if !errors.As(err, &attempt) || attempt.Progress != NotSent {
		return false
	}
	return r.Body == nil && !cancel.Canceled()
}

// acquire returns the idle connection that was used last, or a new one. Where a replica has as many as it may, all in
// use, it waits until one is released: the dispatcher frees a request's capacity a moment before its connection, so the
// request that takes it has met no failure of the replica.
func (p *Pool) acquire(cancel *Cancellation, deadline time.Time, address string, fresh bool) (*conn, error) {
	c, r, err := p.reserve(cancel, deadline, address, fresh)
	if c != nil || err != nil {
		return c, err
	}
	netConn, err := p.connect(cancel, deadline, address)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.counters.DialErrors++
		p.forget(address, r)
		return nil, err
	}
	return newConn(p, address, netConn), nil
}

// reserve takes an idle connection, or counts a new one to a replica, which is to be dialed.
func (p *Pool) reserve(cancel *Cancellation, deadline time.Time, address string, fresh bool) (*conn, *replica, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.exhausted(address) {
		if err := p.awaitRelease(cancel, deadline); err != nil {
			return nil, nil, err
		}
	}
	r := p.replicas[address]
	if r == nil {
		r = &replica{}
		p.replicas[address] = r
	}
	if c := p.takeIdle(r, fresh); c != nil {
		return c, nil, nil
	}
	if r.open >= p.config.MaxConnections && len(r.idle) > 0 { // one that is not fresh enough makes way
		oldest := r.idle[0]
		r.idle = r.idle[1:]
		p.closeConn(oldest, r)
	}
	if r.open >= p.config.MaxConnections || p.closed { // a closed pool reports it too, as the sidecar ends then
		return nil, nil, ErrConnectionLimit
	}
	p.replicas[address] = r // closing the last of its connections may just have removed it
	r.open++
	p.counters.Dials++
	return nil, r, nil
}

// exhausted reports whether a replica has as many connections as it may, all in use. The pool is locked.
func (p *Pool) exhausted(address string) bool {
	r := p.replicas[address]
	return r != nil && len(r.idle) == 0 && r.open >= p.config.MaxConnections && !p.closed
}

// awaitRelease waits until any connection is released. The pool is locked, but not while it waits.
func (p *Pool) awaitRelease(cancel *Cancellation, deadline time.Time) error {
	p.waiting++
	released := p.released
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var err error
	select {
	case <-released:
	case <-cancel.Done():
		err = ErrCanceled
	case <-timer.C:
		err = ErrConnectionLimit
	}
	p.mu.Lock()
	p.waiting--
	return err
}

// takeIdle returns the idle connection of a replica that was used last; nil: there is none. Connections that have ended
// are closed on the way. The pool is locked.
func (p *Pool) takeIdle(r *replica, fresh bool) *conn {
	for len(r.idle) > 0 {
		last := len(r.idle) - 1
		c := r.idle[last]
		if fresh && time.Since(c.idleSince) > maxFreshIdle {
			return nil
		}
		r.idle = r.idle[:last]
		if c.usable() {
			p.counters.Reused++
			c.reused = true
			return c
		}
		p.counters.Dead++
		p.closeConn(c, r)
	}
	return nil
}

// connect dials an address. The goroutine that watches for a cancellation ends with it.
func (p *Pool) connect(cancel *Cancellation, deadline time.Time, address string) (net.Conn, error) {
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-cancel.Done():
			stop()
		case <-ctx.Done():
		}
	}()
	defer func() {
		stop()
		<-watched
	}()
	return p.dial(ctx, address)
}

// closeConn closes a connection that no request uses. The pool is locked.
func (p *Pool) closeConn(c *conn, r *replica) {
	c.Conn.Close()
	if c.reader != nil {
		c.reader.Reset(nil)
		readers.Put(c.reader)
		c.reader = nil
	}
	p.forget(c.address, r)
}

// forget takes a connection out of the count. The pool is locked.
func (p *Pool) forget(address string, r *replica) {
	p.wakeWaiting()
	r.open--
	if r.open == 0 {
		delete(p.replicas, address)
	}
}

// wakeWaiting wakes the requests that wait for a connection. The pool is locked.
func (p *Pool) wakeWaiting() {
	if p.waiting > 0 {
		close(p.released)
		p.released = make(chan struct{})
	}
}

// release gives a connection back, and closes it unless it can be kept.
func (p *Pool) release(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[c.address]
	if !reusable || p.closed || len(r.idle) >= p.config.MaxIdle {
		p.closeConn(c, r)
		return
	}
	c.idleSince = time.Now()
	r.idle = append(r.idle, c)
	p.wakeWaiting()
}

// CloseIdle closes connections that were idle for too long, or that their replica has ended.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		kept := r.idle[:0]
		for _, c := range r.idle {
			if now.Sub(c.idleSince) > p.config.IdleTimeout || !c.usable() {
				p.closeConn(c, r)
			} else {
				kept = append(kept, c)
			}
		}
		clear(r.idle[len(kept):])
		r.idle = kept
	}
}

// Close closes all idle connections; those in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, r := range p.replicas {
		for _, c := range r.idle {
			p.closeConn(c, r)
		}
		r.idle = nil
	}
}

// Counters returns the counters as of now.
func (p *Pool) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	counters := p.counters
	for _, r := range p.replicas {
		counters.Open += int64(r.open)
		counters.Idle += int64(len(r.idle))
	}
	return counters
}
