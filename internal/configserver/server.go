// Package configserver is a configuration server: it reads the settings of all services from a folder, or follows other
// servers, and serves whole copies and watches over HTTP/1.1.
package configserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/configstore"
	"lilacbend/internal/configwatch"
	"lilacbend/settings"
)

// What holds where the options do not say otherwise: 1,600 governors are shared by 8 servers, and all may come to one; a
// copy takes some milliseconds.
const (
	ConnectionsUsual = 4096
	CopiesUsual      = 64
	PollUsual        = time.Second
)

const (
	// headerMost and headerLate bound the head of a request.
	headerMost, headerLate = 8 << 10, 5 * time.Second
	// idleMost is how long a connection without a request is kept: longer than any follower pauses.
	idleMost = 2 * time.Minute
	// SIGKILL may follow 0.7 s after SIGTERM: connections get so long to end.
	partingMost = 300 * time.Millisecond
	// stateMost is for how much longer the last state is waited for.
	stateMost = 100 * time.Millisecond
	// saveEvery is the least time between two writes of the state file, which is all of the configuration. A server that starts
	// with an older one loses nothing: a writer's epoch is later whatever it holds, and all others catch up.
	saveEvery = 10 * time.Second
)

// Options say what a server serves, and where.
type Options struct {
	Name   string
	Region string
	Listen string
	// Folder holds one file of settings a service, for the writer. Follow are the servers that any other one follows, in
	// the order in which they are preferred: the writer first.
	Folder string
	Follow []configclient.Server
	// StateFile keeps epoch and configuration over restarts; empty: nothing is kept.
	StateFile   string
	PollEvery   time.Duration // of the folder
	Connections int           // at most
	Copies      int           // whole copies under way at most
	Seed        uint64
	Log         *slog.Logger
}

// Server is one configuration server.
type Server struct {
	options  Options
	start    time.Time
	listener *boundedListener
	http     *http.Server
	closing  chan struct{}
	rereads  chan struct{}
	counts   counters
	watcher  *configwatch.Watcher // nil at the writer
	folder   folder               // of the writer, read by one goroutine

	mu      sync.Mutex // guards what follows
	store   *configstore.Store
	book    *configstore.Book
	copies  *configstore.Copies
	faults  map[string]string        // by file
	changed map[string]chan struct{} // closed when a service changes; empty name: any
	absent  map[string]bool          // services without a file at the last scan
	dirty   bool                     // the state file is behind
	rival   bool                     // another writer was told of
}

type counters struct {
	requests, copies, changes, sentAway, bytesOut, writeErrors atomic.Int64
}

// Check says what is wrong with the settings of a service, by the code of a governor's start.
func Check(raw []byte) error {
	_, _, err := settings.Load(raw, 1)
	return err
}

// New makes a server that listens already.
func New(o Options) (*Server, error) {
	switch {
	case o.Folder == "" && len(o.Follow) == 0:
		return nil, errors.New("neither a folder nor a server to follow is named")
	case o.Folder != "" && len(o.Follow) > 0:
		return nil, errors.New("both a folder and a server to follow are named: a writer follows nobody")
	}
	defaults(&o)
	s := &Server{options: o, start: time.Now(), closing: make(chan struct{}), rereads: make(chan struct{}, 1),
		store: configstore.New(Check), book: configstore.NewBook(), copies: configstore.NewCopies(o.Copies),
		faults: map[string]string{}, changed: map[string]chan struct{}{}}
	if err := s.restore(); err != nil {
		return nil, err
	}
	if len(o.Follow) > 0 {
		if err := s.follow(); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("cannot listen: %w", err)
	}
	s.listener = &boundedListener{Listener: listener, most: int64(o.Connections)}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerLate, IdleTimeout: idleMost, MaxHeaderBytes: headerMost,
		ErrorLog: log.New(io.Discard, "", 0)}
	return s, nil
}

func defaults(o *Options) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.PollEvery <= 0 {
		o.PollEvery = PollUsual
	}
	if o.Connections <= 0 {
		o.Connections = ConnectionsUsual
	}
	if o.Copies <= 0 {
		o.Copies = CopiesUsual
	}
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) now() int64 { return time.Since(s.start).Nanoseconds() }

// Reread has the folder read again at once, all of its files.
func (s *Server) Reread() {
	select {
	case s.rereads <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends, and ends soon after.
func (s *Server) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.rescan(true)
	s.options.Log.Info("serving configuration", "listen", s.Address(), "folder", s.options.Folder, "follows", len(s.options.Follow),
		"version", s.Version().String(), "services", len(s.names()))
	var all sync.WaitGroup
	var broken error
	all.Go(func() {
		defer stop()
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			broken = err
		}
	})
	if s.watcher != nil {
		all.Go(func() { s.watcher.Run(ctx) })
	} else {
		all.Go(func() { s.poll(ctx) })
	}
	all.Go(func() { s.keep(ctx) })
	<-ctx.Done()
	close(s.closing)
	parting, done := context.WithTimeout(context.Background(), partingMost)
	defer done()
	if s.http.Shutdown(parting) != nil {
		s.http.Close()
	}
	ended := make(chan struct{})
	go func() { all.Wait(); close(ended) }()
	select {
	case <-ended:
		return broken
	case <-time.After(stateMost):
		s.options.Log.Warn("the state was not written in time")
		return nil
	}
}

// publish wakes those who wait for services.
func (s *Server) publish(services []string) {
	if len(services) == 0 {
		return
	}
	s.dirty = true
	for _, name := range append([]string{""}, services...) {
		if waiting := s.changed[name]; waiting != nil {
			close(waiting)
			delete(s.changed, name)
		}
	}
}

// waiting is closed when a service changes; the empty name stands for any.
func (s *Server) waiting(service string) <-chan struct{} {
	if s.changed[service] == nil {
		s.changed[service] = make(chan struct{})
	}
	return s.changed[service]
}

// follow prepares following other servers.
func (s *Server) follow() (err error) {
	s.watcher, err = configwatch.New(configwatch.Options{Instance: s.options.Name, Region: s.options.Region, Servers: s.options.Follow,
		Ordered: true, Seed: s.options.Seed, Log: s.options.Log, Take: s.take, Heard: s.heard})
	if err == nil {
		s.watcher.Begin(s.store.Version())
	}
	return err
}

func (s *Server) take(a configapi.Answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err := s.store.Merge(a, s.now())
	if err != nil {
		return err
	}
	s.publish(changed)
	return nil
}

func (s *Server) heard(a configapi.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Heard(a.AgeMS*int64(time.Millisecond), s.now())
}
