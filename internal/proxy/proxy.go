// Package proxy serves a request by one or more attempts, and writes its single response. Package ingress reads the request
// and sends the response to the client, package dispatch chooses each next step, and package upstream makes the attempts.
// The package makes no decisions itself.
package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

// Request is a request as the ingress has parsed it, without hop-by-hop fields.
type Request struct {
	Class  int // index of its traffic class
	Method string
	Target string
	Host   string
	Header http.Header
	Body   io.Reader // nil: none
	Length int64     // of the body; -1: unknown
	// Trailer is called after the end of Body.
	Trailer func() http.Header
	// StopBody immediately unblocks a read of Body that is waiting for data from the client. It is nil only if Body is nil.
	StopBody func()
	// ClientLeft reports whether the client has closed its connection. No attempt begins after that.
	ClientLeft func() bool
	// ExpectContinue reports that the client waits for a 100 Continue before it sends the body.
	ExpectContinue bool
	// Continue sends a 100 Continue. It returns upstream.ErrBodyStopped if the response has started.
	Continue func() error
}

// ResponseWriter writes the response to a request. Its user calls WriteHeader, then Write any number of times, and then
// either Finish or Abort.
type ResponseWriter interface {
	// WriteInformational forwards an informational response (status 1xx).
	WriteInformational(status int, header http.Header)
	// WriteHeader starts the response. The length is that of the body; -1: unknown.
	WriteHeader(status int, header http.Header, length int64) error
	// Write writes a part of the body.
	Write(p []byte) (int, error)
	// Finish ends a complete response.
	Finish(trailer http.Header) error
	// Abort ends an incomplete response in a way that lets the client detect that it is incomplete.
	Abort()
}

// Result describes how a request ended.
type Result struct {
	Status     int // of the response; 0: no response was started
	Reason     dispatch.Reason
	Replica    string // replica of the last attempt
	Attempts   int
	Incomplete bool // the client did not get a complete response
	Duration   time.Duration
}

// Config configures a Proxy.
type Config struct {
	// NotExecutedStatuses are the statuses with which replicas report that they have not executed a request.
	NotExecutedStatuses []int
	// NonIdempotent specifies for each traffic class, by its index, whether its requests must not be executed twice.
	NonIdempotent []bool
	// DispatcherTime returns the time of the dispatcher's clock in nanoseconds.
	DispatcherTime func() int64
	// OnPanic is called with the text of a panic; a panic ends only the request in which it occurs.
	OnPanic func(text string)
}

// Proxy serves requests. All requests share one dispatcher, which is called with mu held.
type Proxy struct {
	config              Config
	notExecutedStatuses map[int]bool
	pool                *upstream.Pool

	mu            sync.Mutex
	dispatcher    *dispatch.Dispatcher
	waiting       int           // requests that wait for capacity
	capacityFreed chan struct{} // closed when there may be capacity while a request waits
}

// New returns a Proxy that makes its attempts over the pool and gets their steps from the dispatcher.
func New(dispatcher *dispatch.Dispatcher, pool *upstream.Pool, config Config) *Proxy {
	p := &Proxy{
		config:              config,
		notExecutedStatuses: map[int]bool{},
		pool:                pool,
		dispatcher:          dispatcher,
		capacityFreed:       make(chan struct{}),
	}
	for _, status := range config.NotExecutedStatuses {
		p.notExecutedStatuses[status] = true
	}
	return p
}

// WithDispatcher calls a function with the current time and the dispatcher while the proxy is locked, and then wakes the
// requests that wait for capacity.
func (p *Proxy) WithDispatcher(call func(now int64, d *dispatch.Dispatcher)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call(p.config.DispatcherTime(), p.dispatcher)
	p.wakeWaiting()
}

// wakeWaiting wakes the requests that wait for capacity. The caller holds p.mu.
func (p *Proxy) wakeWaiting() {
	if p.waiting > 0 {
		close(p.capacityFreed)
		p.capacityFreed = make(chan struct{})
	}
}
