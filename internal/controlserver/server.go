// Package controlserver is the server side: it listens, tells collectors, proxies, probes and strangers apart, puts
// what they say into the exchange and writes to each proxy what waits in its outbox.
package controlserver

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
)

const (
	// Descriptors that are not connections of peers: the listener, discovery's connections, the log, the
	// runtime's own, and some to spare for a second call of discovery while the first one closes.
	reservedDescriptors = 32
	// A listener that cannot accept (no descriptor is left) tries again after this.
	acceptRetry = 20 * time.Millisecond
	// The log tells of broken connections once in so long; the counters tell of all.
	warningInterval = time.Second
	// Who connects says who it is at once, and may be put out after 1 s; one that does not is owed an answer
	// within 3 s. So long from the moment it was taken in it has, whatever else it says.
	joinTimeout = 2 * time.Second
)

// Server serves one listener.
type Server struct {
	exchange *eventloop.Queues
	pool     *resp.Pool
	log      *slog.Logger
	most     int
	topology atomic.Pointer[controller.Topology]

	mu          sync.Mutex
	peers       map[*peer]struct{}
	queue       *list.List       // the dispensable, who goes first in front: the unnamed, and collectors replaced
	zones       map[string]*peer // the last collector of each
	last        controller.StreamID
	lastWarning map[string]time.Time
	all         sync.WaitGroup
}

// New makes a server that holds no more than so many descriptors.
func New(x *eventloop.Queues, pool *resp.Pool, log *slog.Logger, descriptors int, topology controller.Topology) *Server {
	s := &Server{exchange: x, pool: pool, log: log, most: max(1, descriptors-reservedDescriptors),
		peers: map[*peer]struct{}{}, queue: list.New(), zones: map[string]*peer{},
		lastWarning: map[string]time.Time{}}
	s.Reconfigure(topology)
	return s
}

// Reconfigure has those who join from now on checked by another topology; who has joined stays.
func (s *Server) Reconfigure(topology controller.Topology) { s.topology.Store(&topology) }

// Serve accepts connections until ctx ends, then ends them all and waits for them.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer s.all.Wait()
	defer s.endAll()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accepting: %w", err)
		case err != nil:
			s.warn("cannot accept", err)
			s.mu.Lock()
			s.evict()
			s.mu.Unlock()
			time.Sleep(acceptRetry)
			continue
		}
		s.admit(conn)
	}
}

// admit takes a connection in. When all places are taken, the first in the queue of the dispensable goes.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) >= s.most && !s.evict() {
		s.exchange.Counters.Refused.Add(1)
		conn.Close()
		return
	}
	s.exchange.Counters.Accepted.Add(1)
	s.last++
	p := &peer{server: s, conn: conn, stream: s.last, done: make(chan struct{})}
	p.place = s.queue.PushBack(p)
	s.peers[p] = struct{}{}
	conn.SetReadDeadline(time.Now().Add(joinTimeout))
	s.all.Add(1)
	go p.serve()
}

func (s *Server) evict() bool {
	first := s.queue.Front()
	if first == nil {
		return false
	}
	p := first.Value.(*peer)
	s.drop(p)
	p.conn.Close()
	s.exchange.Counters.Evicted.Add(1)
	return true
}

// register notes that a peer is known now. A collector takes the place of the one before it in its zone, which may
// have vanished without a word: that one is not ended, but is dispensable from then on. Whose place went to another while its
// joining was read is not named: nothing is told of a connection that is closed already.
func (s *Server) register(p *peer, as role, zone string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, here := s.peers[p]; !here {
		return errEvicted
	}
	s.unqueue(p)
	p.conn.SetReadDeadline(time.Time{})
	p.role = as
	if p.zone = zone; p.role == collector {
		if before := s.zones[zone]; before != nil {
			before.place = s.queue.PushBack(before)
		}
		s.zones[zone] = p
	}
	return nil
}

// drop frees the place of a peer; twice does no harm.
func (s *Server) drop(p *peer) {
	delete(s.peers, p)
	if s.zones[p.zone] == p {
		delete(s.zones, p.zone)
	}
	s.unqueue(p)
}

func (s *Server) unqueue(p *peer) {
	if p.place != nil {
		s.queue.Remove(p.place)
		p.place = nil
	}
}

func (s *Server) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		p.conn.Close()
	}
}

// complain logs a line, unless it has just done so.
func (s *Server) warn(what string, err error, args ...any) {
	s.mu.Lock()
	quiet := time.Since(s.lastWarning[what]) < warningInterval
	if !quiet {
		s.lastWarning[what] = time.Now()
	}
	s.mu.Unlock()
	if !quiet {
		s.log.Warn(what, append(args, "error", err)...)
	}
}
