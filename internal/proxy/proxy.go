// Package proxy carries a request through its attempts to its one answer. The ingress hands a request over as it has
// read it, and takes the answer; the dispatcher says what to do next; upstream does the attempts. The package decides
// nothing itself.
package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

// Request is a request as the ingress has read it, without hop-by-hop fields.
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
	// StopBody makes a read of Body that waits for the client return at once. It is set where Body is.
	StopBody func()
	// ExpectContinue says that the client waits to be asked for its body.
	ExpectContinue bool
	// Continue asks the client for its body. It returns upstream.ErrBodyStopped if the answer has begun.
	Continue func() error
}

// ResponseWriter takes the one answer to a request: WriteHeader, any number of writes, then either Finish or Abort.
type ResponseWriter interface {
	// WriteInformational passes an informational response (status 1xx) on.
	WriteInformational(status int, header http.Header)
	// WriteHeader begins the answer. The length is that of the body; -1: unknown.
	WriteHeader(status int, header http.Header, length int64) error
	// Write writes a part of the body.
	Write(p []byte) (int, error)
	// Finish ends a complete answer.
	Finish(trailer http.Header) error
	// Abort ends an answer that is not complete, in a way that shows the client that it is not.
	Abort()
}

// Result is what became of a request.
type Result struct {
	Status     int // of the answer; 0: none has begun
	Reason     dispatch.Reason
	Replica    string // of the last attempt
	Attempts   int
	Incomplete bool // the client got no complete answer
	Duration   time.Duration
}

// Config is what a Proxy is given about its requests.
type Config struct {
	// NotExecutedStatuses are those by which replicas say that they have not executed a request.
	NotExecutedStatuses []int
	// NonIdempotent says for each traffic class whether its requests must not be executed twice.
	NonIdempotent []bool
	// Now returns the time of the dispatcher's clock, in nanoseconds.
	Now func() int64
	// OnPanic gets the text of a panic, which ends one request alone.
	OnPanic func(text string)
}

// Proxy serves requests. All requests share one dispatcher, which is called under one lock.
type Proxy struct {
	config              Config
	notExecutedStatuses map[int]bool
	pool                *upstream.Pool

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiting    int           // requests that wait for capacity
	capacity   chan struct{} // closed when there may be capacity while a request waits
}

// New returns a Proxy.
func New(dispatcher *dispatch.Dispatcher, pool *upstream.Pool, config Config) *Proxy {
	p := &Proxy{
		config:              config,
		notExecutedStatuses: map[int]bool{},
		pool:                pool,
		dispatcher:          dispatcher,
		capacity:            make(chan struct{}),
	}
	for _, status := range config.NotExecutedStatuses {
		p.notExecutedStatuses[status] = true
	}
	return p
}

// WithDispatcher calls a function with the dispatcher, between the steps of requests.
func (p *Proxy) WithDispatcher(call func(now int64, d *dispatch.Dispatcher)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call(p.config.Now(), p.dispatcher)
	p.wakeWaiting()
}

// wakeWaiting wakes the requests that wait for capacity. The proxy is locked.
func (p *Proxy) wakeWaiting() {
	if p.waiting > 0 {
		close(p.capacity)
		p.capacity = make(chan struct{})
	}
}
