// Package configserver implements a configuration server. One server, the writer, reads the settings of all services from a
// folder; every other one follows other servers. All serve complete copies and watches to their followers, which are
// controllers and other servers, over HTTP/1.1.
package configserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/configstore"
	"lilacbend/internal/configwatch"
	"lilacbend/internal/httplimit"
	"lilacbend/settings"
)

// Defaults of Options. An installation has 1,600 controllers and 8 servers, and all controllers may connect to the same
// server; sending a complete copy takes a few milliseconds.
const (
	DefaultMaxConnections      = 4096
	DefaultMaxConcurrentCopies = 64
	DefaultPollInterval        = time.Second
)

const (
	// headerTimeout limits the time to receive a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection without a request stays open. It exceeds the longest pause of a follower between
	// two polls.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout is how long open connections may take to end at shutdown. SIGKILL may follow 0.7 s after SIGTERM.
	shutdownTimeout = 300 * time.Millisecond
	// finalSaveTimeout is how long Run waits, after all connections have ended, for the last write of the state file.
	finalSaveTimeout = 100 * time.Millisecond
	// saveInterval is the shortest time between two writes of the state file, which holds the whole configuration. A server
	// that starts with an outdated state file loses nothing: a writer begins a later epoch, and any other server catches up.
	saveInterval = 10 * time.Second
)

// Errors of New for Options that fit neither a writer nor a server that follows others.
var (
	ErrNoSource   = errors.New("neither a folder nor a server to follow is configured")
	ErrTwoSources = errors.New("both a folder and a server to follow are configured: a writer follows no server")
)

// Options configure a Server.
type Options struct {
	Name   string
	Region string
	Listen string
	// Folder is where the writer reads the settings, in one file for each service. Upstreams lists the servers that any
	// other server follows, in order of preference, the writer first. Exactly one of Folder and Upstreams is set.
	Folder    string
	Upstreams []configclient.Server
	// StateFile stores the epoch and the configuration across restarts; empty: neither is stored.
	StateFile           string
	PollInterval        time.Duration // pause between two scans of Folder
	MaxConnections      int
	MaxConcurrentCopies int // complete copies sent at once; a large one counts as several
	Seed                uint64
	Log                 *slog.Logger
}

// Server is one configuration server.
type Server struct {
	options  Options
	start    time.Time
	listener *httplimit.Listener
	http     *http.Server
	closing  chan struct{} // closed at shutdown
	rescans  chan struct{} // requests by Rescan
	counts   counters
	upstream *configwatch.Watcher // nil at the writer
	folder   folder               // the writer's folder; used by one goroutine at a time

	mu                  sync.Mutex // guards the following fields
	store               *configstore.Store
	watchers            *configstore.WatcherTable
	copies              *configstore.CopyLimiter
	faults              map[string]string        // reasons of the faults, by file, or by folder if the whole folder is unusable
	changeSignals       map[string]chan struct{} // by service, closed when the service changes; empty name: any service
	absent              map[string]bool          // services that had no file at the last scan
	dirty               bool                     // the configuration has changed since the last write of the state file
	anotherWriterLogged bool                     // the existence of another writer was logged
}

// Check returns an error if the settings of a service are invalid. It checks them as a controller does at its start.
func Check(raw []byte) error {
	_, _, err := settings.Load(raw, 1)
	return err
}

// New returns a server that listens, but does not serve before Run is called.
func New(options Options) (*Server, error) {
	switch {
	case options.Folder == "" && len(options.Upstreams) == 0:
		return nil, ErrNoSource
	case options.Folder != "" && len(options.Upstreams) > 0:
		return nil, ErrTwoSources
	}
	setDefaults(&options)
	s := &Server{
		options:       options,
		start:         time.Now(),
		closing:       make(chan struct{}),
		rescans:       make(chan struct{}, 1),
		store:         configstore.New(Check),
		watchers:      configstore.NewWatcherTable(),
		copies:        configstore.NewCopyLimiter(options.MaxConcurrentCopies),
		faults:        map[string]string{},
		changeSignals: map[string]chan struct{}{},
	}
	if err := s.restore(); err != nil {
		return nil, err
	}
	if len(options.Upstreams) > 0 {
		if err := s.followUpstream(); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("cannot listen: %w", err)
	}
	s.listener = httplimit.NewListener(listener, options.MaxConnections)
	s.http = httplimit.NewServer(s.handler(), httplimit.Timeouts{Header: headerTimeout, Idle: idleTimeout})
	s.http.ConnContext = withFollowerNames
	return s, nil
}

func setDefaults(options *Options) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.PollInterval <= 0 {
		options.PollInterval = DefaultPollInterval
	}
	if options.MaxConnections <= 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	if options.MaxConcurrentCopies <= 0 {
		options.MaxConcurrentCopies = DefaultMaxConcurrentCopies
	}
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) now() int64 { return time.Since(s.start).Nanoseconds() }

// isWriter reports whether the server reads a folder and follows no other server.
func (s *Server) isWriter() bool { return s.upstream == nil }

// Rescan requests that all files of the folder are read now, without waiting for the next scan.
func (s *Server) Rescan() {
	select {
	case s.rescans <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends. It then returns within the sum of shutdownTimeout and finalSaveTimeout.
func (s *Server) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.scan(true)
	s.options.Log.Info("serving configuration", "listen", s.Address(), "folder", s.options.Folder, "follows", len(s.options.Upstreams),
		"version", s.Version().String(), "services", len(s.serviceNames()))
	var goroutines sync.WaitGroup
	var serveErr error
	goroutines.Go(func() {
		defer stop()
		err := s.http.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			serveErr = err
		}
	})
	if s.isWriter() {
		goroutines.Go(func() { s.pollFolder(ctx) })
	} else {
		goroutines.Go(func() { s.upstream.Run(ctx) })
	}
	goroutines.Go(func() { s.saveChanges(ctx) })
	<-ctx.Done()
	s.shutdown()
	ended := make(chan struct{})
	go func() {
		goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return serveErr
	case <-time.After(finalSaveTimeout):
		s.options.Log.Warn("final write of the state file did not end in time")
		return nil
	}
}

// shutdown answers waiting followers and closes all connections.
func (s *Server) shutdown() {
	close(s.closing)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// publish records that services have changed: it marks the state file as outdated and wakes the followers that wait for one
// of them or for any service. The caller holds mu.
func (s *Server) publish(services []string) {
	if len(services) == 0 {
		return
	}
	s.dirty = true
	for _, name := range append([]string{""}, services...) {
		if signal := s.changeSignals[name]; signal != nil {
			close(signal)
			delete(s.changeSignals, name)
		}
	}
}

// changeSignal returns a channel that is closed when a service changes or, for the empty name, when any service changes.
// The caller holds mu.
func (s *Server) changeSignal(service string) <-chan struct{} {
	if s.changeSignals[service] == nil {
		s.changeSignals[service] = make(chan struct{})
	}
	return s.changeSignals[service]
}

// followUpstream creates the watcher of the followed servers, whose active version is that of the restored state.
func (s *Server) followUpstream() error {
	upstream, err := configwatch.New(configwatch.Options{
		Instance: s.options.Name,
		Region:   s.options.Region,
		Servers:  s.options.Upstreams,
		Ordered:  true,
		Seed:     s.options.Seed,
		Log:      s.options.Log,
		Merge:    s.merge,
		OnAnswer: s.recordWriterAge,
	})
	if err != nil {
		return err
	}
	s.upstream = upstream
	s.upstream.SetActive(s.store.Version())
	return nil
}

// merge stores an answer of a followed server.
func (s *Server) merge(answer configapi.Answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err := s.store.Merge(answer, s.now())
	if err != nil {
		return err
	}
	s.publish(changed)
	return nil
}

// recordWriterAge records how long before a followed server's answer the writer was last known to be running.
func (s *Server) recordWriterAge(answer configapi.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.WriterSeen(answer.AgeMS*int64(time.Millisecond), s.now())
}
