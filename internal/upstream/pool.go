package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrFull: all connections that a replica may have are in use, and none came back in time.
var ErrFull = errors.New("all connections of the replica are in use")

// freshMost is how long a connection may have idled for a flow that must not run twice: the longer it has, the likelier
// its replica ends it at this moment, and then nobody can say whether the flow ran.
const freshMost = time.Second

// Pool holds the connections of one sidecar.
type Pool struct {
	most     int           // to one replica
	idleMost int           // of them kept while nothing runs
	idle     time.Duration // an idle one is ended after
	stall    time.Duration // without one byte of an answer's body
	dial     func(ctx context.Context, address string) (net.Conn, error)
	mu       sync.Mutex
	replicas map[string]*peer
	closed   bool
	count    Count
	waits    int           // for a connection that comes back
	back     chan struct{} // closed when one does, if any waits
}

type peer struct {
	open int // in use and idle
	idle []*conn
}

// Count is what a pool has counted.
type Count struct{ Dials, DialErrors, Reused, Dead, Open, Idle int64 }

// NewPool makes a pool of at most so many connections to a replica, so many of them idle, each for so long. An answer's
// body may stall for so long.
func NewPool(most, idleMost int, idle, stall time.Duration) *Pool {
	d := &net.Dialer{Timeout: dialMost}
	return &Pool{most: most, idleMost: idleMost, idle: idle, stall: stall, replicas: map[string]*peer{}, back: make(chan struct{}),
		dial: func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }}
}

// get takes the idle connection that was used last, or makes one. Where a replica has as many as it may, all in use, it
// waits for one to come back: a flow gives up its place in the core a moment before its connection, and whoever takes that
// place meanwhile has met no failure of the replica.
func (p *Pool) get(l *Leash, until time.Time, to string, fresh bool) (*conn, error) {
	p.mu.Lock()
	for p.replicas[to] != nil && len(p.replicas[to].idle) == 0 && p.replicas[to].open >= p.most && !p.closed {
		p.waits++
		back := p.back
		p.mu.Unlock()
		timer := time.NewTimer(time.Until(until))
		err := error(nil)
		select {
		case <-back:
		case <-l.Done():
			err = ErrCut
		case <-timer.C:
			err = ErrFull
		}
		timer.Stop()
		p.mu.Lock()
		if p.waits--; err != nil {
			p.mu.Unlock()
			return nil, err
		}
	}
	r := p.replicas[to]
	if r == nil {
		r = &peer{}
		p.replicas[to] = r
	}
	for len(r.idle) > 0 {
		c := r.idle[len(r.idle)-1]
		if fresh && time.Since(c.idled) > freshMost {
			break
		}
		r.idle = r.idle[:len(r.idle)-1]
		if c.alive() {
			p.count.Reused++
			p.mu.Unlock()
			c.used = true
			return c, nil
		}
		p.count.Dead++
		p.drop(c, r)
	}
	if r.open >= p.most && len(r.idle) > 0 { // an old one makes room
		c := r.idle[0]
		r.idle = r.idle[1:]
		p.drop(c, r)
	}
	if r.open >= p.most || p.closed {
		p.mu.Unlock()
		return nil, ErrFull
	}
	p.replicas[to] = r // the last of its connections may just have been dropped
	r.open++
	p.count.Dials++
	p.mu.Unlock()
	raw, err := p.connect(l, until, to)
	if err != nil {
		p.mu.Lock()
		p.count.DialErrors++
		p.leave(to, r)
		p.mu.Unlock()
		return nil, err
	}
	return newConn(p, to, raw), nil
}

func (p *Pool) connect(l *Leash, until time.Time, to string) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	dialed := make(chan struct{})
	defer close(dialed)
	go func() {
		select {
		case <-l.Done():
			cancel()
		case <-dialed:
		}
	}()
	return p.dial(ctx, to)
}

// drop ends a connection; the pool is locked.
func (p *Pool) drop(c *conn, r *peer) {
	c.Conn.Close()
	if c.r != nil {
		c.r.Reset(nil)
		readers.Put(c.r)
		c.r = nil
	}
	p.leave(c.to, r)
}

// leave takes a connection out of the count; the pool is locked.
func (p *Pool) leave(to string, r *peer) {
	p.wake()
	if r.open--; r.open == 0 {
		delete(p.replicas, to)
	}
}

// wake wakes who waits for a connection; the pool is locked.
func (p *Pool) wake() {
	if p.waits > 0 {
		close(p.back)
		p.back = make(chan struct{})
	}
}

// put gives a connection back; unless it is kept it ends.
func (p *Pool) put(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[c.to]
	if !keep || p.closed || len(r.idle) >= p.idleMost {
		p.drop(c, r)
		return
	}
	c.idled = time.Now()
	r.idle = append(r.idle, c)
	p.wake()
}

// Sweep ends connections that have idled too long, or that their replica has ended.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		kept := r.idle[:0]
		for _, c := range r.idle {
			if now.Sub(c.idled) > p.idle || !c.alive() {
				p.drop(c, r)
			} else {
				kept = append(kept, c)
			}
		}
		clear(r.idle[len(kept):])
		r.idle = kept
	}
}

// Close ends all idle connections; those in use end when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, r := range p.replicas {
		for _, c := range r.idle {
			p.drop(c, r)
		}
		r.idle = nil
	}
}

// Figures are the pool's counters.
func (p *Pool) Figures() Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.count
	for _, r := range p.replicas {
		n.Open, n.Idle = n.Open+int64(r.open), n.Idle+int64(len(r.idle))
	}
	return n
}
