// Package controlserver is the server side of the control plane. It accepts connections, lets proxies and collectors join,
// answers health checks, publishes what peers report as events, and writes updates to proxies. It limits the number of
// connections: those that have not joined are evicted first.
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
	// reservedDescriptors is how many descriptors are not for peers: the listener, discovery's connections, the log and the
	// runtime's own, with some to spare for a second connection to discovery while the first one closes.
	reservedDescriptors = 32
	// acceptRetryInterval is the pause after a failed accept, such as when no descriptor is left.
	acceptRetryInterval = 20 * time.Millisecond
	// warningInterval is the shortest time between two log lines of the same text; the counters count all.
	warningInterval = time.Second
)

// Server serves one listener.
type Server struct {
	queues         *eventloop.Queues
	pool           *resp.Pool
	log            *slog.Logger
	maxConnections int
	topology       atomic.Pointer[controller.Topology]
	goroutines     sync.WaitGroup // of peers

	mu          sync.Mutex
	peers       map[*peer]struct{}
	evictable   *list.List       // of *peer, in the order of eviction: peers that have not joined, and replaced collectors
	collectors  map[string]*peer // the last one to join, by zone
	lastStream  controller.StreamID
	lastWarning map[string]time.Time // by text
}

// New returns a server that uses at most so many file descriptors.
func New(queues *eventloop.Queues, pool *resp.Pool, log *slog.Logger, descriptors int, topology controller.Topology) *Server {
	s := &Server{
		queues:         queues,
		pool:           pool,
		log:            log,
		maxConnections: max(1, descriptors-reservedDescriptors),
		peers:          map[*peer]struct{}{},
		evictable:      list.New(),
		collectors:     map[string]*peer{},
		lastWarning:    map[string]time.Time{},
	}
	s.Reconfigure(topology)
	return s
}

// Reconfigure replaces the topology against which joins are checked. Peers that have joined stay.
func (s *Server) Reconfigure(topology controller.Topology) { s.topology.Store(&topology) }

// Serve accepts connections until ctx ends, then closes them all and waits for their goroutines.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.goroutines.Wait()
	defer s.closeAll()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accepting: %w", err)
		case err != nil:
			s.acceptFailed(err)
		default:
			s.admit(conn)
		}
	}
}

// acceptFailed frees a descriptor and waits before the next accept.
func (s *Server) acceptFailed(err error) {
	s.warn("cannot accept", err)
	s.mu.Lock()
	s.evict()
	s.mu.Unlock()
	time.Sleep(acceptRetryInterval)
}

// admit starts to serve a connection. At the connection limit it evicts another one, or closes the new one if none can be
// evicted.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) >= s.maxConnections && !s.evict() {
		s.queues.Counters.Refused.Add(1)
		conn.Close()
		return
	}
	s.queues.Counters.Accepted.Add(1)
	s.lastStream++
	p := &peer{server: s, conn: conn, stream: s.lastStream, done: make(chan struct{})}
	p.evictable = s.evictable.PushBack(p)
	s.peers[p] = struct{}{}
	conn.SetReadDeadline(time.Now().Add(joinTimeout))
	s.goroutines.Add(1)
	go p.serve()
}

// closeAll closes all connections, which ends their goroutines.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		p.conn.Close()
	}
}

// warn logs a line, unless one of the same text was logged less than warningInterval ago.
func (s *Server) warn(text string, err error, args ...any) {
	s.mu.Lock()
	suppressed := time.Since(s.lastWarning[text]) < warningInterval
	if !suppressed {
		s.lastWarning[text] = time.Now()
	}
	s.mu.Unlock()
	if !suppressed {
		s.log.Warn(text, append(args, "error", err)...)
	}
}
