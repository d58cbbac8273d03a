// Package ingress serves the clients of a sidecar: HTTP/1.1 on one port, and HTTP/2 without TLS, by prior knowledge, on
// another. It reads requests, passes each to a handler and writes its single response. Limits bound the connections,
// memory and time that a client can occupy. The package decides only whether a message is valid; it neither routes nor
// retries requests.
package ingress

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

const (
	// maxHead bounds the head of a request, and the sum of the header fields of an HTTP/2 stream, in bytes.
	maxHead = 16 << 10
	// maxDiscard bounds how much of an unused request body is read and discarded to keep its connection open, in bytes.
	maxDiscard = 64 << 10
	// acceptRetryDelay is the wait after a failed accept before the next one.
	acceptRetryDelay = 20 * time.Millisecond
	// drainPause is the time between the first and the second GOAWAY of a drain: streams that a client has opened by then
	// are still served. HTTP/1 has no such message; there, an idle connection stays open for this time to receive a request
	// that was already sent.
	drainPause = 50 * time.Millisecond
)

// Reasons of the responses that the ingress itself generates. They are part of the protocol, because clients read them.
const (
	reasonNoClass      dispatch.Reason = "no-group"
	reasonHeadTooLarge dispatch.Reason = "head-too-large"
	reasonHeadTooSlow  dispatch.Reason = "head-too-slow"
	reasonBadRequest   dispatch.Reason = "bad-request"
)

// Limits bound the resources that clients can occupy.
type Limits struct {
	MaxConnections int           // on both ports together
	IdleTimeout    time.Duration // of a connection without a request
	HeadTimeout    time.Duration // for a head to arrive completely
	StallTimeout   time.Duration // for the client to send the next byte of a body, or to accept the next byte of a response
	MaxStreams     int           // concurrent streams on one HTTP/2 connection
	DrainTimeout   time.Duration // for requests in flight at shutdown
	// RequestMemory is the memory for HTTP/2 requests that are received or served, in bytes, beyond a reserve of each
	// connection. A stream that exceeds it is refused, or reset if it has begun.
	RequestMemory int64
}

// Handler serves a request and writes its response.
type Handler func(cancel *upstream.Cancellation, r *proxy.Request, out proxy.ResponseWriter) proxy.Result

// Classifier returns the index of a request's traffic class, or a negative number if the request belongs to none.
type Classifier func(method, host, path string, header http.Header) int

// Record describes a request that has ended.
type Record struct {
	Protocol string // h1 or h2
	Method   string
	Host     string
	Path     string
	Class    int // negative: none
	Result   proxy.Result
}

// Config configures a Server.
type Config struct {
	Limits   Limits
	Handler  Handler
	Classify Classifier
	Log      *slog.Logger
	// OnRequestEnd is called for each request that has ended. It must not block.
	OnRequestEnd func(Record)
}

// Counters are the cumulative counts of a Server, and its current numbers of connections and requests.
type Counters struct {
	Accepted      atomic.Int64 // connections
	Refused       atomic.Int64 // connections over the limit, or during shutdown
	Requests      atomic.Int64
	BadRequests   atomic.Int64
	Unclassified  atomic.Int64 // requests that belong to no traffic class
	Resets        atomic.Int64 // streams that clients have reset
	ControlFloods atomic.Int64 // connections ended for too many control frames
	IdleTimeouts  atomic.Int64 // connections closed because no request began in time
	Stalls        atomic.Int64 // streams whose client neither sent nor accepted data for too long
	HeldBack      atomic.Int64 // pauses in reading clients that send too many frames or requests
	MemoryRefused atomic.Int64 // streams refused or reset because the requests of all clients take too much memory
	CutOff        atomic.Int64 // requests that were cut off by a shutdown, or by the end of a connection with a flood
	Panics        atomic.Int64
	Open          atomic.Int64 // connections, currently
	InFlight      atomic.Int64 // requests, currently
}

// Server serves any number of listeners.
type Server struct {
	Counters Counters

	limits       Limits
	handler      Handler
	classifier   atomic.Pointer[Classifier]
	log          *slog.Logger
	onRequestEnd func(Record)

	requestMemory memoryLimit // of all HTTP/2 connections
	rates         clientRates

	mu             sync.Mutex
	conns          map[clientConn]struct{}
	draining       chan struct{} // closed by Shutdown
	connGoroutines sync.WaitGroup
}

// clientConn is a connection of either protocol.
type clientConn interface {
	// serve serves requests until the connection ends.
	serve()
	// drain makes the connection accept no further requests, and end once none is in flight.
	drain()
	// abort ends the connection at once.
	abort()
}

// New returns a Server, which accepts connections once ServeHTTP1 or ServeHTTP2 is called.
func New(config Config) *Server {
	s := &Server{
		limits:       config.Limits,
		handler:      config.Handler,
		log:          config.Log,
		onRequestEnd: config.OnRequestEnd,
		conns:        map[clientConn]struct{}{},
		draining:     make(chan struct{}),
		rates:        defaultClientRates,
	}
	s.requestMemory.limit = config.Limits.RequestMemory
	s.SetClassifier(config.Classify)
	return s
}

// SetClassifier replaces the classifier for all further requests.
func (s *Server) SetClassifier(classify Classifier) { s.classifier.Store(&classify) }

// ServeHTTP1 accepts HTTP/1 connections until the listener is closed or the server shuts down.
func (s *Server) ServeHTTP1(l net.Listener) {
	s.accept(l, func(conn net.Conn) clientConn { return newHTTP1Conn(s, conn) })
}

// ServeHTTP2 accepts HTTP/2 connections until the listener is closed or the server shuts down.
func (s *Server) ServeHTTP2(l net.Listener) {
	s.accept(l, func(conn net.Conn) clientConn { return newHTTP2Conn(s, conn) })
}

func (s *Server) accept(l net.Listener, newConn func(net.Conn) clientConn) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			s.admit(conn, newConn)
			continue
		}
		s.log.Warn("accepting a client connection failed", "error", err)
		select {
		case <-s.draining:
			return
		case <-time.After(acceptRetryDelay):
		}
	}
}

// admit serves a connection in a goroutine that Shutdown waits for, or closes the connection if it may not be served.
func (s *Server) admit(conn net.Conn, newConn func(net.Conn) clientConn) {
	c := newConn(conn)
	if !s.register(c) {
		s.Counters.Refused.Add(1)
		conn.Close()
		return
	}
	s.Counters.Accepted.Add(1)
	s.Counters.Open.Add(1)
	go func() {
		defer s.connGoroutines.Done()
		defer s.Counters.Open.Add(-1)
		defer s.unregister(c)
		c.serve()
	}()
}

// register adds a connection, unless there are too many or the server shuts down.
func (s *Server) register(c clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.limits.MaxConnections || s.Draining() {
		return false
	}
	s.conns[c] = struct{}{}
	s.connGoroutines.Add(1)
	return true
}

func (s *Server) unregister(c clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Shutdown drains all connections, and aborts those that have not ended within the drain timeout. It returns when all
// connections have ended, with the number of requests that were cut off.
func (s *Server) Shutdown() (lost int64) {
	var notifications sync.WaitGroup
	defer notifications.Wait()
	s.mu.Lock()
	close(s.draining)
	for c := range s.conns {
		notifications.Go(c.drain)
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		s.connGoroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return 0
	case <-time.After(s.limits.DrainTimeout):
	}
	lost = s.Counters.InFlight.Load()
	s.Counters.CutOff.Add(lost)
	s.mu.Lock()
	for c := range s.conns {
		notifications.Go(c.abort)
	}
	s.mu.Unlock()
	<-ended
	return lost
}

// Draining reports whether Shutdown was called.
func (s *Server) Draining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// serveRequest classifies a request and passes it to the handler. It responds itself if the request belongs to no traffic
// class. It returns how the request ended.
func (s *Server) serveRequest(cancel *upstream.Cancellation, protocol string, r *proxy.Request, out proxy.ResponseWriter) proxy.Result {
	path, _, _ := strings.Cut(r.Target, "?")
	r.Class = (*s.classifier.Load())(r.Method, r.Host, path, r.Header)
	s.Counters.Requests.Add(1)
	s.Counters.InFlight.Add(1)
	defer s.Counters.InFlight.Add(-1)
	var result proxy.Result
	if r.Class < 0 {
		s.Counters.Unclassified.Add(1)
		err := writeErrorResponse(out, http.StatusNotFound, reasonNoClass)
		result = proxy.Result{Status: http.StatusNotFound, Reason: reasonNoClass, Incomplete: err != nil}
	} else {
		result = s.handler(cancel, r, out)
	}
	s.onRequestEnd(Record{Protocol: protocol, Method: r.Method, Host: r.Host, Path: path, Class: r.Class, Result: result})
	return result
}

// writeErrorResponse writes a response that the ingress itself generates.
func writeErrorResponse(out proxy.ResponseWriter, status int, reason dispatch.Reason) error {
	text := string(reason) + "\n"
	header := http.Header{proxy.ReasonHeader: {string(reason)}, "Content-Type": {"text/plain; charset=utf-8"}}
	if err := out.WriteHeader(status, header, int64(len(text))); err != nil {
		return err
	}
	if _, err := io.WriteString(out, text); err != nil {
		return err
	}
	return out.Finish(nil)
}
