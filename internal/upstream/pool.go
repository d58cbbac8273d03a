// Package upstream sends requests to replicas over a pool of connections, one request at a time on each connection, and
// reads their responses. Its errors report the progress of a failed attempt, in particular whether the replica can have
// executed the request. The package neither picks replicas nor retries requests.
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
	// maxFreshIdle is the longest time that a connection may have been idle before it is used for a request that must not
	// be executed twice. The longer a connection was idle, the more likely the replica closes it just as the request is
	// sent, and then it is unknown whether the request was executed.
	maxFreshIdle = time.Second
)

// Config bounds the connections of a Pool.
type Config struct {
	MaxConnections int           // connections to one replica
	MaxIdle        int           // idle connections to one replica
	IdleTimeout    time.Duration // idle connections are closed after this time
	StallTimeout   time.Duration // for each read of a streamed response
}

// Pool holds the connections of a sidecar to its replicas.
type Pool struct {
	config Config
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	replicas map[string]*replica // by address
	closed   bool
	counters Counters
	waiting  int           // requests that wait for a connection
	released chan struct{} // closed when a connection is released or closed while a request waits
}

// replica holds the connections to one address.
type replica struct {
	open int     // in use and idle
	idle []*conn // ordered by last use; the last one was used most recently
}

// Counters are the cumulative counts of a Pool, and its current numbers of connections (Open, Idle).
type Counters struct {
	Dials      int64
	DialErrors int64
	Reused     int64
	Dead       int64 // idle connections that were found unusable when a request was about to use them
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

// Do sends a request to an address and waits for the head of the response until the deadline. An error is an
// AttemptError. The body of the request is read no faster than the replica accepts it.
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

// canReconnect reports whether an attempt over a reused connection failed before the request was sent, so that the request
// can be sent over another connection in the same attempt.
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

// acquire returns the most recently used idle connection, or a new one. If all of a replica's MaxConnections connections
// are in use, it waits until one is released. That is not a failure of the replica: the dispatcher frees the capacity of a
// request shortly before the request releases its connection, so the next request may arrive in between.
func (p *Pool) acquire(cancel *Cancellation, deadline time.Time, address string, requireFresh bool) (*conn, error) {
	c, r, err := p.reserve(cancel, deadline, address, requireFresh)
	if c != nil || err != nil {
		return c, err
	}
	netConn, err := p.connect(cancel, deadline, address)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.counters.DialErrors++
		p.decrementOpen(address, r)
		return nil, err
	}
	return newConn(p, address, netConn), nil
}

// reserve takes an idle connection. If there is none, it counts a new connection to the replica, which the caller dials.
func (p *Pool) reserve(cancel *Cancellation, deadline time.Time, address string, requireFresh bool) (*conn, *replica, error) {
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
	if c := p.takeIdle(r, requireFresh); c != nil {
		return c, nil, nil
	}
	if r.open >= p.config.MaxConnections && len(r.idle) > 0 { // no idle connection is fresh enough: close the oldest
		oldest := r.idle[0]
		r.idle = r.idle[1:]
		p.closeConn(oldest, r)
	}
	if r.open >= p.config.MaxConnections || p.closed { // a closed pool returns the same error, as the sidecar is shutting down
		return nil, nil, ErrConnectionLimit
	}
	p.replicas[address] = r // closeConn may have removed it with its last connection
	r.open++
	p.counters.Dials++
	return nil, r, nil
}

// exhausted reports whether all of the MaxConnections connections to a replica are in use. The caller holds p.mu.
func (p *Pool) exhausted(address string) bool {
	r := p.replicas[address]
	return r != nil && len(r.idle) == 0 && r.open >= p.config.MaxConnections && !p.closed
}

// awaitRelease waits until any connection is released or closed. The caller holds p.mu, which is released during
// the wait and reacquired before awaitRelease returns.
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

// takeIdle returns the most recently used idle connection to a replica, or nil if there is none or requireFresh is set and
// it was idle for longer than maxFreshIdle. Connections that are found unusable are closed. The caller holds p.mu.
func (p *Pool) takeIdle(r *replica, requireFresh bool) *conn {
	for len(r.idle) > 0 {
		last := len(r.idle) - 1
		c := r.idle[last]
		if requireFresh && time.Since(c.idleSince) > maxFreshIdle {
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

// connect dials an address until the deadline or the cancellation. Its goroutine that watches for the cancellation ends
// before it returns.
func (p *Pool) connect(cancel *Cancellation, deadline time.Time, address string) (net.Conn, error) {
	ctx, cancelDial := context.WithDeadline(context.Background(), deadline)
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-cancel.Done():
			cancelDial()
		case <-ctx.Done():
		}
	}()
	defer func() {
		cancelDial()
		<-watcherDone
	}()
	return p.dial(ctx, address)
}

// closeConn closes a connection that no request uses. The caller holds p.mu.
func (p *Pool) closeConn(c *conn, r *replica) {
	c.Conn.Close()
	if c.reader != nil {
		c.reader.Reset(nil)
		readers.Put(c.reader)
		c.reader = nil
	}
	p.decrementOpen(c.address, r)
}

// decrementOpen removes a connection from the count of a replica. The caller holds p.mu.
func (p *Pool) decrementOpen(address string, r *replica) {
	p.wakeWaiting()
	r.open--
	if r.open == 0 {
		delete(p.replicas, address)
	}
}

// wakeWaiting wakes the requests that wait for a connection. The caller holds p.mu.
func (p *Pool) wakeWaiting() {
	if p.waiting > 0 {
		close(p.released)
		p.released = make(chan struct{})
	}
}

// release returns a connection to the pool, which closes it unless it is reusable and there is room for an idle one.
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

// CloseIdle closes connections that were idle for longer than IdleTimeout or are no longer usable.
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
