// Package controlserver is the server side of the control plane. It accepts connections, lets proxies and collectors join,
// answers health checks, publishes the peers' reports as events, and writes updates to proxies. It limits the number of
// connections: at the limit it evicts those that have not joined and those of replaced collectors.
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
	// reservedDescriptors is the number of file descriptors that are not available to peers: those of the listener, of
	// discovery's connections, of the log and of the runtime, and some spare ones for a second connection to discovery while
	// the first one closes.
	reservedDescriptors = 32
	// acceptRetryInterval is the pause after a failed accept, such as when no descriptor is left.
	acceptRetryInterval = 20 * time.Millisecond
	// warningInterval is the shortest time between two log lines of the same text; the counters count every event.
	warningInterval = time.Second
)

// Server serves one listener.
type Server struct {
	queues         *eventloop.Queues
	pool           *resp.Pool
	log            *slog.Logger
	maxConnections int
	topology       atomic.Pointer[controller.Topology]
	goroutines     sync.WaitGroup // goroutines that serve peers

	mu          sync.Mutex
	peers       map[*peer]struct{}
	evictable   *list.List       // of *peer, in the order of eviction: peers that have not joined, and replaced collectors
	collectors  map[string]*peer // the last collector to join, by zone
	lastStream  controller.StreamID
	lastWarning map[string]time.Time // time of the last log line with a text, by text
}

// New returns a server for a process with the given limit of file descriptors, of which reservedDescriptors are not for
// peers.
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

// Reconfigure replaces the topology against which joins are checked. Peers that have joined stay connected.
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
			return fmt.Errorf("accepting connections: %w", err)
		case err != nil:
			s.handleAcceptError(err)
		default:
			s.addConnection(conn)
		}
	}
}

// handleAcceptError logs the error, evicts a peer to free a descriptor, and waits before the next accept.
func (s *Server) handleAcceptError(err error) {
	s.warn("accepting a connection failed", err)
	s.mu.Lock()
	s.evict()
	s.mu.Unlock()
	time.Sleep(acceptRetryInterval)
}

// addConnection starts to serve a connection. At the connection limit it evicts another connection, or closes the new one if
// none can be evicted.
func (s *Server) addConnection(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) >= s.maxConnections && !s.evict() {
		s.queues.Counters.ConnectionsRefused.Add(1)
		conn.Close()
		return
	}
	s.queues.Counters.ConnectionsAccepted.Add(1)
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

// warn logs a warning, unless one of the same text was logged less than warningInterval ago.
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
