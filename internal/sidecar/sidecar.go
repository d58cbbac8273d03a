// Package sidecar assembles the sidecar, the proxy that runs beside a client process, from its configuration file: the
// listeners for clients (ingress), the forwarding of requests (proxy), the choice of replicas (dispatch), the connections to
// replicas (upstream), and the clients of controllers, collectors (controlclient) and discovery.
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
	"lilacbend/internal/httplimit"
	"lilacbend/internal/ingress"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

const (
	// idleCheckInterval is the time between two checks for connections to replicas that exceeded their idle timeout.
	idleCheckInterval = time.Second
	// heapFraction is the part of the configured memory that the Go runtime's memory limit is set to. The runtime needs
	// headroom beside the live heap.
	heapFraction = 0.8
	bytesPerMB   = 1 << 20
	// maxLocalConnections, and the timeouts for a header, for a response and of an idle connection, bound what the clients of
	// the local listener occupy.
	maxLocalConnections = 128
	localHeaderTimeout  = time.Second
	localWriteTimeout   = 5 * time.Second
	localIdleTimeout    = 10 * time.Second
	// noRevision is the revision of the endpoint list before the first one is received.
	noRevision = -1
)

// Keys of the listeners in the sidecar's file.
const (
	keyHTTP1 = "http1"
	keyHTTP2 = "http2"
	keyLocal = "local"
)

// errClassesChanged is returned by Reload if the new configuration defines other traffic classes.
var errClassesChanged = errors.New("groups differ from the running ones: restart the sidecar, since controllers identify traffic classes by their order")

// Sidecar serves clients according to one configuration.
type Sidecar struct {
	config          Config
	log             *slog.Logger
	started         time.Time
	proxy           *proxy.Proxy
	pool            *upstream.Pool
	server          *ingress.Server
	controlClient   *controlclient.Client
	reporter        *controlclient.Reporter
	discoveryEvents *eventloop.Queues // endpoint lists received from discovery
	endedRequests   atomic.Int64      // number of requests that have ended

	listeners map[string]net.Listener // by their key in the file
}

// New returns a sidecar that does not listen yet. Endpoints that are listed in the file are applied.
func New(config Config, log *slog.Logger) (*Sidecar, error) {
	dispatcher, err := dispatch.New(config.Dispatch)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{
		config:          config,
		log:             log,
		started:         time.Now(),
		pool:            upstream.NewPool(config.Upstream),
		discoveryEvents: eventloop.New(),
		listeners:       map[string]net.Listener{},
	}
	s.proxy = proxy.New(dispatcher, s.pool, proxy.Config{
		NotExecutedStatuses: config.NotExecutedStatuses,
		NonIdempotent:       config.nonIdempotent(),
		DispatcherTime:      s.now,
		OnPanic:             s.logPanic,
	})
	limits := config.Ingress
	limits.RequestMemory = config.requestMemory()
	s.server = ingress.New(ingress.Config{
		Limits:       limits,
		Handler:      s.proxy.Serve,
		Classify:     config.Classifier(),
		Log:          log,
		OnRequestEnd: s.logRequest,
	})
	s.controlClient = &controlclient.Client{
		Controllers: config.Controllers,
		ProxyID:     config.ProxyID,
		Zone:        config.Zone,
		Classes:     config.classNames(),
		Dispatcher:  lockedDispatcher{s.proxy},
		Seed:        config.Dispatch.Seed,
		Log:         log,
	}
	s.reporter = &controlclient.Reporter{
		Collectors:   config.Collectors,
		Interval:     config.ReportInterval,
		Seed:         config.Dispatch.Seed,
		TakeOutcomes: lockedDispatcher{s.proxy}.TakeOutcomes,
	}
	if len(config.Endpoints) > 0 {
		s.updateEndpoints(true, config.Endpoints)
	}
	return s, nil
}

// nonIdempotent returns for each traffic class, by its index, whether its requests must not be executed twice.
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

// now returns the time of the dispatcher's clock in nanoseconds. It is never 0, which means that no time is set.
func (s *Sidecar) now() int64 { return int64(time.Since(s.started)) + 1 }

// Listen opens the listeners of the file, so that an address that cannot be used is reported before any request is served.
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

// Address returns the address of the listener with the given key: http1, http2 or local.
func (s *Sidecar) Address(key string) string { return s.listeners[key].Addr().String() }

// Run serves until ctx is canceled, then drains. It returns after all goroutines that it started have ended.
func (s *Sidecar) Run(ctx context.Context) error {
	if len(s.listeners) == 0 {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	defer s.closeListeners()
	// The control streams outlive ctx, so that the demand and outcomes of requests that end during the drain are reported.
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	var running sync.WaitGroup
	local := httplimit.NewServer(s.localHandler(), httplimit.Timeouts{Header: localHeaderTimeout, Idle: localIdleTimeout})
	local.WriteTimeout = localWriteTimeout
	defer local.Close()
	s.startServers(&running, local)
	s.limitMemory()
	s.log.Info("sidecar serving", "http1", s.config.HTTP1, "http2", s.config.HTTP2,
		"controllers", s.config.Controllers, "classes", len(s.config.Dispatch.Classes))
	s.startControl(controlCtx, &running)
	s.closeIdleConnections(ctx)
	lost := s.drain()
	stopControl()
	s.pool.Close()
	s.closeListeners()
	running.Wait()
	s.log.Info("sidecar stopped", "lost", lost, "requests", s.server.Counters.Requests.Load())
	return nil
}

// startServers starts a server on each listener.
func (s *Sidecar) startServers(running *sync.WaitGroup, local *http.Server) {
	for key, l := range s.listeners {
		switch key {
		case keyHTTP1:
			running.Go(func() { s.server.ServeHTTP1(l) })
		case keyHTTP2:
			running.Go(func() { s.server.ServeHTTP2(l) })
		case keyLocal:
			running.Go(func() { local.Serve(httplimit.NewListener(l, maxLocalConnections)) })
		}
	}
}

// limitMemory sets the Go runtime's soft memory limit, near which the garbage collector runs more often. The size of the
// live heap is bounded by the other limits.
func (s *Sidecar) limitMemory() {
	if s.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(s.config.MemoryMB) * bytesPerMB))
	}
}

// startControl starts the clients of controllers, collectors and discovery, which run until ctx is canceled.
func (s *Sidecar) startControl(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { s.controlClient.Run(ctx) })
	if len(s.config.Collectors) > 0 {
		running.Go(func() { s.reporter.Run(ctx) })
	}
	if s.config.Discovery != "" {
		resolver := discovery.New(s.config.Discovery, noRevision, s.discoveryEvents, s.log, s.now, s.config.Dispatch.Seed)
		running.Go(func() { resolver.Run(ctx) })
		running.Go(func() { s.followDiscovery(ctx) })
	}
}

// closeIdleConnections closes connections to replicas that exceeded their idle timeout, until ctx is canceled.
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

// drain stops accepting clients, waits for the requests in flight up to the drain timeout, and returns the number of
// requests that were aborted. The local listener stays open, so that /health reports the drain.
func (s *Sidecar) drain() (lost int64) {
	s.log.Info("sidecar draining", "in_flight", s.server.Counters.InFlight.Load())
	for key, l := range s.listeners {
		if key != keyLocal {
			l.Close()
		}
	}
	return s.server.Shutdown()
}

// Reload applies the rules that assign requests to traffic classes, the only part of the configuration that can change at
// run time. It returns the names of the other fields that differ, which take effect at the next start.
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

// logPanic counts and logs a panic that ended one request.
func (s *Sidecar) logPanic(text string) {
	s.server.Counters.Panics.Add(1)
	s.log.Error("panic while serving a request", "panic", text)
}

// logRequest counts a request that has ended, and logs it if it is the last of LogEvery requests.
func (s *Sidecar) logRequest(record ingress.Record) {
	n := s.endedRequests.Add(1)
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
