// Package ingress is the client side of a sidecar: HTTP/1.1 on one port and HTTP/2 cleartext by prior knowledge on
// another. It reads flows, hands them to the relay and writes the one answer of each. What a client can make it
// hold is bounded, and it decides nothing but whether a message can be used.
package ingress

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

const (
	// A request's head, and the sum of the fields of one HTTP/2 stream.
	headMost = 16 << 10
	// What a refused request still has to send is read up to so much, so that its connection can be kept.
	drainMost = 64 << 10
	// A listener that cannot accept tries again after this.
	acceptPause = 20 * time.Millisecond
)

// Bounds are what clients are held to. Each has a stated value in the sidecar's file.
type Bounds struct {
	Connections int           // on both ports together
	Idle        time.Duration // a connection without a flow ends after
	Head        time.Duration // for a head to come whole
	Stall       time.Duration // without one byte of a body, or one byte taken of an answer
	Streams     int           // at once on one HTTP/2 connection
	Drain       time.Duration // flows in hand get so long at the end
}

// Serve passes a flow on and puts its answer into out.
type Serve func(l *upstream.Cancellation, q *proxy.Request, out proxy.ResponseWriter) proxy.Result

// Classify says which traffic group a flow belongs to, below 0: none.
type Classify func(method, host, path string, h http.Header) int

// Count is what the fronts have counted.
type Count struct {
	Accepted, Refused, Flows, BadRequests, Unclassified, Resets, Floods, Stalls, Lost, Panics atomic.Int64
	Open, InHand                                                                              atomic.Int64
}

// Server serves any number of listeners.
type Server struct {
	Bounds
	Count    Count
	serve    Serve
	classify atomic.Pointer[Classify]
	log      *slog.Logger
	record   func(protocol, method, host, path string, group int, r proxy.Result)

	mu       sync.Mutex
	conns    map[client]struct{}
	draining chan struct{}
	all      sync.WaitGroup
}

// client is a connection of either kind.
type client interface {
	// part tells it to take no new flow and to end once it has none.
	part()
	// end ends it at once.
	end()
}

// New makes a server. Record is told of each flow that has ended; it must not wait.
func New(b Bounds, serve Serve, classify Classify, log *slog.Logger, record func(protocol, method, host, path string, group int, r proxy.Result)) *Server {
	s := &Server{Bounds: b, serve: serve, log: log, record: record, conns: map[client]struct{}{}, draining: make(chan struct{})}
	s.Reclassify(classify)
	return s
}

// Reclassify changes how flows that come from now on are told apart.
func (s *Server) Reclassify(c Classify) { s.classify.Store(&c) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener, h2 bool) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.log.Warn("cannot accept", "error", err)
			select {
			case <-s.draining:
				return nil
			case <-time.After(acceptPause):
			}
			continue
		}
		s.admit(conn, h2)
	}
}

func (s *Server) admit(conn net.Conn, h2 bool) {
	var c client
	var attend func()
	if h2 {
		two := newH2(s, conn)
		c, attend = two, two.attend
	} else {
		one := &h1{server: s, conn: conn, done: make(chan bool, 1)}
		c, attend = one, one.attend
	}
	s.mu.Lock()
	over := len(s.conns) >= s.Connections
	select {
	case <-s.draining:
		over = true
	default:
	}
	if !over {
		s.conns[c] = struct{}{}
		s.all.Add(1)
	}
	s.mu.Unlock()
	if over {
		s.Count.Refused.Add(1)
		conn.Close()
		return
	}
	s.Count.Accepted.Add(1)
	s.Count.Open.Add(1)
	go func() {
		defer s.all.Done()
		defer s.Count.Open.Add(-1)
		defer func() {
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
		attend()
	}()
}

// Part lets flows in hand end, for as long as the bound says, and then ends what is left. It returns when all
// connections have ended; lost says how many flows got no whole answer by then.
func (s *Server) Part() (lost int64) {
	s.mu.Lock()
	close(s.draining)
	for c := range s.conns {
		go c.part()
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() { s.all.Wait(); close(ended) }()
	select {
	case <-ended:
		return 0
	case <-time.After(s.Drain):
	}
	lost = s.Count.InHand.Load()
	s.Count.Lost.Add(lost)
	s.mu.Lock()
	for c := range s.conns {
		go c.end()
	}
	s.mu.Unlock()
	<-ended
	return lost
}

// Parting says whether no new connection is taken, since Part.
func (s *Server) Parting() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// flow serves one flow that has been read.
func (s *Server) flow(l *upstream.Cancellation, protocol string, q *proxy.Request, out proxy.ResponseWriter) {
	path, _, _ := cut(q.Target)
	q.Class = (*s.classify.Load())(q.Method, q.Host, path, q.Header)
	s.Count.Flows.Add(1)
	s.Count.InHand.Add(1)
	defer s.Count.InHand.Add(-1)
	var r proxy.Result
	if q.Class < 0 {
		s.Count.Unclassified.Add(1)
		r = proxy.Result{Status: http.StatusNotFound, Reason: "no-group"}
		r.Incomplete = answer(out, http.StatusNotFound, "no-group") != nil
	} else {
		r = s.serve(l, q, out)
	}
	s.record(protocol, q.Method, q.Host, path, q.Class, r)
}

// answer is an answer of our own.
func answer(out proxy.ResponseWriter, status int, reason string) error {
	h := http.Header{proxy.ReasonHeader: {reason}, "Content-Type": {"text/plain; charset=utf-8"}}
	if err := out.WriteHeader(status, h, int64(len(reason)+1)); err != nil {
		return err
	}
	if _, err := io.WriteString(out, reason+"\n"); err != nil {
		return err
	}
	return out.Finish(nil)
}

func cut(target string) (path, query string, has bool) {
	for k := range len(target) {
		if target[k] == '?' {
			return target[:k], target[k+1:], true
		}
	}
	return target, "", false
}
