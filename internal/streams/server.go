// Package streams is the server side: it listens, tells collectors, proxies, probes and strangers apart, puts
// what they say into the exchange and writes to each proxy what waits in its outbox.
package streams

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"lilacbend/internal/exchange"
	"lilacbend/internal/governor"
	"lilacbend/internal/resp"
)

const (
	// Descriptors that are not connections of peers: the listener, discovery's connections, the log, the
	// runtime's own, and some to spare for a second call of discovery while the first one closes.
	descriptorsKept = 24
	// A listener that cannot accept (no descriptor is left) tries again after this.
	acceptPause = 20 * time.Millisecond
	// The log tells of broken connections once in so long; the counters tell of all.
	complaintPause = time.Second
)

// Server serves one listener.
type Server struct {
	exchange *exchange.Exchange
	pool     *resp.Pool
	log      *slog.Logger
	most     int

	mu         sync.Mutex
	peers      map[*peer]struct{}
	unnamed    *list.List // the oldest first
	last       governor.Stream
	complained time.Time
	all        sync.WaitGroup
}

// New makes a server that holds no more than so many descriptors.
func New(x *exchange.Exchange, pool *resp.Pool, log *slog.Logger, descriptors int) *Server {
	return &Server{exchange: x, pool: pool, log: log, most: max(1, descriptors-descriptorsKept),
		peers: map[*peer]struct{}{}, unnamed: list.New()}
}

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
			s.complain("cannot accept", err)
			s.evict()
			time.Sleep(acceptPause)
			continue
		}
		s.admit(conn)
	}
}

// admit takes a connection in. When all places are taken, the unnamed one that has come first goes.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	full := len(s.peers) >= s.most
	s.mu.Unlock()
	if full && !s.evict() {
		s.exchange.Tally.Refused.Add(1)
		conn.Close()
		return
	}
	s.exchange.Tally.Accepted.Add(1)
	s.mu.Lock()
	s.last++
	p := &peer{server: s, conn: conn, stream: s.last, done: make(chan struct{})}
	p.place = s.unnamed.PushBack(p)
	s.peers[p] = struct{}{}
	s.mu.Unlock()
	s.all.Add(1)
	go p.attend()
}

func (s *Server) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.unnamed.Front()
	if oldest == nil {
		return false
	}
	p := oldest.Value.(*peer)
	s.drop(p)
	p.conn.Close()
	return true
}

// name says that a peer is known now.
func (s *Server) name(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.place != nil {
		s.unnamed.Remove(p.place)
		p.place = nil
	}
}

// drop frees the place of a peer; twice does no harm.
func (s *Server) drop(p *peer) {
	delete(s.peers, p)
	if p.place != nil {
		s.unnamed.Remove(p.place)
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
func (s *Server) complain(what string, err error, args ...any) {
	s.mu.Lock()
	quiet := time.Since(s.complained) < complaintPause
	if !quiet {
		s.complained = time.Now()
	}
	s.mu.Unlock()
	if !quiet {
		s.log.Warn(what, append(args, "error", err)...)
	}
}
