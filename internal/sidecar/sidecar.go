// Package sidecar is the program beside a client process. It puts together what serves clients (ingress, proxy), decides
// (dispatch), talks to replicas (upstream) and to controllers, collectors and discovery, as the sidecar's file says.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/control"
	"lilacbend/internal/controlclient"
	"lilacbend/internal/discovery"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/ingress"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

const (
	// idleCheckInterval is the time between two looks for connections that were idle for too long.
	idleCheckInterval = time.Second
	// heapFraction is the part of the memory limit for the heap: the runtime needs room beside what is live.
	heapFraction = 0.8
	bytesPerMB   = 1 << 20
	// noRevision says that no endpoint list is known yet.
	noRevision = -1
)

// Keys of the listeners, as in the sidecar's file.
const (
	keyHTTP1 = "http1"
	keyHTTP2 = "http2"
	keyLocal = "local"
)

// errClassesChanged is returned by Reload for other traffic classes.
var errClassesChanged = errors.New("groups differ: start anew, since governors know them by their order")

// Sidecar is one running sidecar.
type Sidecar struct {
	config    Config
	log       *slog.Logger
	started   time.Time
	proxy     *proxy.Proxy
	pool      *upstream.Pool
	server    *ingress.Server
	client    *controlclient.Client
	reporter  *controlclient.Reporter
	discovery *eventloop.Queues // queue of endpoint lists
	requests  atomic.Int64      // that have ended

	listeners map[string]net.Listener // by key
}

// New returns a sidecar that does not listen yet.
func New(config Config, log *slog.Logger) (*Sidecar, error) {
	dispatcher, err := dispatch.New(config.Dispatch)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{
		config:    config,
		log:       log,
		started:   time.Now(),
		pool:      upstream.NewPool(config.Upstream),
		discovery: eventloop.New(),
		listeners: map[string]net.Listener{},
	}
	s.proxy = proxy.New(dispatcher, s.pool, proxy.Config{
		NotExecutedStatuses: config.NotExecutedStatuses,
		NonIdempotent:       config.nonIdempotent(),
		Now:                 s.now,
		OnPanic:             s.logPanic,
	})
	s.server = ingress.New(ingress.Config{
		Limits:       config.Ingress,
		Handler:      s.proxy.Serve,
		Classify:     config.Classifier(),
		Log:          log,
		OnRequestEnd: s.logRequest,
	})
	s.client = &controlclient.Client{
		Controllers: config.Controllers,
		ID:          config.ProxyID,
		Zone:        config.Zone,
		Classes:     config.classNames(),
		Dispatcher:  controlTarget{s.proxy},
		Seed:        config.Dispatch.Seed,
		Log:         log,
	}
	s.reporter = &controlclient.Reporter{
		Collectors:   config.Collectors,
		Interval:     config.ReportInterval,
		Seed:         config.Dispatch.Seed,
		TakeOutcomes: controlTarget{s.proxy}.TakeOutcomes,
	}
	if len(config.Endpoints) > 0 {
		s.updateEndpoints(true, config.Endpoints)
	}
	return s, nil
}

// nonIdempotent says for each traffic class whether its requests must not be executed twice.
func (c Config) nonIdempotent() []bool {
	var classes []bool
	for _, class := range c.Dispatch.Classes {
		classes = append(classes, class.Idempotency == control.NotIdempotent)
	}
	return classes
}

// classNames returns the names of the traffic classes in their order.
func (c Config) classNames() []string {
	var names []string
	for _, class := range c.Dispatch.Classes {
		names = append(names, class.Name)
	}
	return names
}

// now is the dispatcher's clock, in nanoseconds. It is never 0, which stands for no time.
func (s *Sidecar) now() int64 { return int64(time.Since(s.started)) + 1 }

// Listen takes the addresses of the file, so that what is wrong with them is known before anything is served.
func (s *Sidecar) Listen() error {
	for key, address := range map[string]string{keyHTTP1: s.config.HTTP1, keyHTTP2: s.config.HTTP2, keyLocal: s.config.Local} {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			s.closeListeners()
			return fmt.Errorf("%s: listen.%s: %w", s.config.File, key, err)
		}
		s.listeners[key] = l
	}
	return nil
}

func (s *Sidecar) closeListeners() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// Address returns where a port listens: http1, http2 or local.
func (s *Sidecar) Address(key string) string { return s.listeners[key].Addr().String() }

// Run serves until ctx ends, then lets requests in flight end. It returns when all it has started has ended.
func (s *Sidecar) Run(ctx context.Context) error {
	if len(s.listeners) == 0 {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	defer s.closeListeners()
	// The control streams outlive ctx, so that controllers learn of the requests that end while the sidecar drains.
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	var running sync.WaitGroup
	local := &http.Server{Handler: s.localHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
	defer local.Close()
	s.startServers(&running, local)
	s.limitMemory()
	s.log.Info("sidecar serves", "http1", s.config.HTTP1, "http2", s.config.HTTP2,
		"controllers", s.config.Controllers, "classes", len(s.config.Dispatch.Classes))
	s.startControl(controlCtx, &running)
	s.closeIdleConnections(ctx)
	lost := s.drain()
	stopControl()
	s.pool.Close()
	s.closeListeners()
	running.Wait()
	s.log.Info("sidecar ends", "lost", lost, "requests", s.server.Counters.Requests.Load())
	return nil
}

// startServers serves the listeners.
func (s *Sidecar) startServers(running *sync.WaitGroup, local *http.Server) {
	for key, l := range s.listeners {
		switch key {
		case keyHTTP1:
			running.Go(func() { s.server.ServeHTTP1(l) })
		case keyHTTP2:
			running.Go(func() { s.server.ServeHTTP2(l) })
		case keyLocal:
			running.Go(func() { local.Serve(l) })
		}
	}
}

// limitMemory makes the garbage collector work harder near the limit. What is live is bounded by the other limits.
func (s *Sidecar) limitMemory() {
	if s.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(s.config.MemoryMB) * bytesPerMB))
	}
}

// startControl follows a controller and discovery, and reports to collectors, until ctx ends.
func (s *Sidecar) startControl(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { s.client.Run(ctx) })
	if len(s.config.Collectors) > 0 {
		running.Go(func() { s.reporter.Run(ctx) })
	}
	if s.config.Discovery != "" {
		resolver := discovery.New(s.config.Discovery, noRevision, s.discovery, s.log, s.now, s.config.Dispatch.Seed)
		running.Go(func() { resolver.Run(ctx) })
		running.Go(func() { s.followDiscovery(ctx) })
	}
}

// closeIdleConnections closes connections to replicas that were idle for too long, until ctx ends.
func (s *Sidecar) closeIdleConnections(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.pool.CloseIdle(now)
		}
	}
}

// drain lets requests in flight end, and returns the number of those that were cut off. The local port stays: it says
// that the sidecar drains.
func (s *Sidecar) drain() (lost int64) {
	s.log.Info("sidecar drains", "in_flight", s.server.Counters.InFlight.Load())
	for key, l := range s.listeners {
		if key != keyLocal {
			l.Close()
		}
	}
	return s.server.Shutdown()
}

// Reload takes over what may change while the sidecar runs: which requests belong to which traffic class. It returns the
// names of the other fields that differ, which wait for the next start.
func (s *Sidecar) Reload(config Config) (pending []string, err error) {
	if !reflect.DeepEqual(config.Dispatch.Classes, s.config.Dispatch.Classes) {
		return nil, errClassesChanged
	}
	s.server.SetClassifier(config.Classifier())
	current := s.config
	current.Rules = nil
	config.Rules = nil
	currentValue := reflect.ValueOf(current)
	newValue := reflect.ValueOf(config)
	for k := range currentValue.NumField() {
		if !reflect.DeepEqual(currentValue.Field(k).Interface(), newValue.Field(k).Interface()) {
			pending = append(pending, currentValue.Type().Field(k).Name)
		}
	}
	return pending, nil
}

// logPanic logs a panic that has ended one request.
func (s *Sidecar) logPanic(text string) {
	s.server.Counters.Panics.Add(1)
	s.log.Error("panic in a request", "panic", text)
}

// logRequest logs one of so many requests that have ended.
func (s *Sidecar) logRequest(record ingress.Record) {
	n := s.requests.Add(1)
	if s.config.LogEvery == 0 || n%int64(s.config.LogEvery) != 0 {
		return
	}
	class := "none"
	if record.Class >= 0 {
		class = s.config.Dispatch.Classes[record.Class].Name
	}
	result := record.Result
	s.log.Info("request", "protocol", record.Protocol, "method", record.Method, "host", record.Host, "path", record.Path,
		"class", class, "status", result.Status, "reason", result.Reason, "replica", result.Replica,
		"attempts", result.Attempts, "incomplete", result.Incomplete, "duration", result.Duration)
}
