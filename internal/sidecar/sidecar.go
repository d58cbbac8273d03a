package sidecar

import (
	"context"
	"encoding/json"
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
	"lilacbend/internal/controller"
	"lilacbend/internal/discovery"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/ingress"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

const (
	sweepEvery = time.Second
	// The runtime's own needs room beside what is live.
	memoryPart = 0.8
)

// Sidecar is one running sidecar.
type Sidecar struct {
	manifest Config
	log      *slog.Logger
	began    time.Time
	proxy    *proxy.Proxy
	pool     *upstream.Pool
	server   *ingress.Server
	client   *controlclient.Client
	teller   *controlclient.Reporter
	lists    *eventloop.Queues
	flows    atomic.Int64

	listeners map[string]net.Listener
}

// New puts a sidecar together.
func New(m Config, log *slog.Logger) (*Sidecar, error) {
	desk, err := dispatch.New(m.Dispatch)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{manifest: m, log: log, began: time.Now(), lists: eventloop.New(), listeners: map[string]net.Listener{},
		pool: upstream.NewPool(upstream.Config{MaxConnections: m.Connections, MaxIdle: m.IdleConns, IdleTimeout: m.IdleSpan, StallTimeout: m.ReplicaStall})}
	var once []bool
	var names []string
	for _, g := range m.Dispatch.Classes {
		once, names = append(once, g.Idempotency == control.NotIdempotent), append(names, g.Name)
	}
	s.proxy = proxy.New(desk, s.pool, proxy.Config{NotExecutedStatuses: m.NotExecutedStatuses, NonIdempotent: once, Now: s.now, OnPanic: func(text string) {
		s.server.Counters.Panics.Add(1)
		log.Error("panic in a flow", "panic", text)
	}})
	s.server = ingress.New(ingress.Config{Limits: m.Ingress, Handler: s.proxy.Serve, Classify: m.Classify(), Log: log, OnRequestEnd: s.record})
	s.client = &controlclient.Client{Controllers: m.Controllers, ID: m.ProxyID, Zone: m.Zone, Classes: names, Core: core{s}, Seed: m.Dispatch.Seed, Log: log}
	s.teller = &controlclient.Reporter{Collectors: m.Collectors, Interval: m.ReportInterval, Seed: m.Dispatch.Seed, Sums: func() (all map[string]*dispatch.Outcomes) {
		s.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { all = d.TakeOutcomes() })
		return all
	}}
	if len(m.Endpoints) > 0 {
		s.list(true, m.Endpoints)
	}
	return s, nil
}

func (s *Sidecar) now() int64 { return int64(time.Since(s.began)) + 1 }

// core is the sidecar's core as the conversation with a governor sees it.
type core struct{ *Sidecar }

func (c core) Apply(parts []dispatch.Update) (err error) {
	c.proxy.WithDispatcher(func(now int64, d *dispatch.Dispatcher) { err = d.Apply(now, parts...) })
	return err
}

func (c core) HasTables() (has bool) {
	c.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { has = d.HasTables() })
	return has
}

func (c core) TakeDemand() (all []dispatch.Demand) {
	c.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { all = d.TakeDemand() })
	return all
}

// list takes over who there is. While no governor has pushed a table, all of them have one line each: a sidecar that
// starts while governors are away serves.
func (s *Sidecar) list(whole bool, members map[string]dispatch.Endpoint) {
	s.proxy.WithDispatcher(func(now int64, d *dispatch.Dispatcher) {
		d.UpdateEndpoints(whole, members)
		d.UseEqualWeights(now)
	})
}

// Listen takes the addresses of the file, so that what is wrong with them is known before anything is served.
func (s *Sidecar) Listen() error {
	for key, at := range map[string]string{"http1": s.manifest.HTTP1, "http2": s.manifest.HTTP2, "local": s.manifest.Local} {
		if at == "" {
			continue
		}
		l, err := net.Listen("tcp", at)
		if err != nil {
			s.unlisten()
			return fmt.Errorf("%s: listen.%s: %w", s.manifest.File, key, err)
		}
		s.listeners[key] = l
	}
	return nil
}

func (s *Sidecar) unlisten() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// Address is where a port listens: http1, http2 or local.
func (s *Sidecar) Address(key string) string { return s.listeners[key].Addr().String() }

// Run serves until ctx ends, then lets flows in hand end.
func (s *Sidecar) Run(ctx context.Context) error {
	m := s.manifest
	if len(s.listeners) == 0 {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	defer s.unlisten()
	var all sync.WaitGroup
	talk, hangUp := context.WithCancel(context.Background()) // governors hear of the flows that end at the end
	defer hangUp()
	for key, l := range s.listeners {
		if key == "local" {
			door := &http.Server{Handler: s.door(), ReadHeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
			all.Go(func() { door.Serve(l) })
			defer door.Close()
			continue
		}
		serve := s.server.ServeHTTP1
		if key == "http2" {
			serve = s.server.ServeHTTP2
		}
		all.Go(func() { serve(l) })
	}
	if m.MemoryMB > 0 { // the collector works harder near it; what is held is bounded by the other limits
		debug.SetMemoryLimit(int64(memoryPart * float64(m.MemoryMB) * (1 << 20)))
	}
	s.log.Info("sidecar serves", "http1", m.HTTP1, "http2", m.HTTP2, "governors", m.Controllers, "groups", len(m.Dispatch.Classes))
	all.Go(func() { s.client.Run(talk) })
	if len(m.Collectors) > 0 {
		all.Go(func() { s.teller.Run(talk) })
	}
	if m.Discovery != "" {
		r := discovery.New(m.Discovery, -1, s.lists, s.log, s.now, m.Dispatch.Seed)
		all.Go(func() { r.Run(talk) })
		all.Go(func() { s.follow(talk) })
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-sweep.C:
			s.pool.CloseIdle(now)
		}
	}
	s.log.Info("sidecar drains", "in_hand", s.server.Counters.InFlight.Load())
	for key, l := range s.listeners {
		if key != "local" {
			l.Close()
		}
	}
	lost := s.server.Shutdown()
	hangUp()
	s.pool.Close()
	s.unlisten()
	all.Wait()
	s.log.Info("sidecar ends", "lost", lost, "flows", s.server.Counters.Requests.Load())
	return nil
}

// follow takes over lists as discovery tells them.
func (s *Sidecar) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.lists.Ready():
		}
		for _, note := range s.lists.Drain() {
			l, ok := note.(controller.ReplicaList)
			if !ok {
				continue
			}
			members := map[string]dispatch.Endpoint{}
			for _, m := range l.Members {
				if !m.Unusable {
					members[m.ID] = dispatch.Endpoint{Zone: m.Zone, Cell: m.Cell, Address: m.Address, State: m.State}
				}
			}
			s.list(l.Complete, members)
		}
	}
}

// Reload takes over what may change while it runs: which flows belong to which group. It names the rest.
func (s *Sidecar) Reload(m Config) (waits []string, err error) {
	if !reflect.DeepEqual(m.Dispatch.Classes, s.manifest.Dispatch.Classes) {
		return nil, errors.New("groups differ: start anew, since governors know them by their order")
	}
	s.server.SetClassifier(m.Classify())
	now, next := s.manifest, m
	now.Rules, next.Rules = nil, nil
	a, b := reflect.ValueOf(now), reflect.ValueOf(next)
	for k := range a.NumField() {
		if !reflect.DeepEqual(a.Field(k).Interface(), b.Field(k).Interface()) {
			waits = append(waits, a.Type().Field(k).Name)
		}
	}
	return waits, nil
}

// record is told of each flow that has ended.
func (s *Sidecar) record(r ingress.Record) {
	if n := s.flows.Add(1); s.manifest.LogEvery == 0 || n%int64(s.manifest.LogEvery) != 0 {
		return
	}
	name := "none"
	if r.Class >= 0 {
		name = s.manifest.Dispatch.Classes[r.Class].Name
	}
	s.log.Info("flow", "protocol", r.Protocol, "method", r.Method, "host", r.Host, "path", r.Path, "group", name, "status", r.Result.Status,
		"reason", r.Result.Reason, "replica", r.Result.Replica, "tries", r.Result.Attempts, "broken", r.Result.Incomplete, "took", r.Result.Duration)
}

// Figures are the counters.
type Figures struct {
	Governor string
	Tables   map[string]int
	InHand   int
	Core     dispatch.Counters
	Replicas upstream.Counters
	Clients  map[string]int64
	Steering map[string]int64
}

// Figures tells the counters as of now.
func (s *Sidecar) Figures() Figures {
	f := Figures{Governor: s.client.Controller(), Replicas: s.pool.Counters()}
	s.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) {
		f.Core, f.Tables, f.InHand = d.Counters.Clone(), d.TableSizes(), d.InFlight()
	})
	c, t := &s.server.Counters, &s.client.Counters
	f.Clients = map[string]int64{"accepted": c.Accepted.Load(), "refused": c.Refused.Load(), "open": c.Open.Load(), "flows": c.Requests.Load(),
		"in_hand": c.InFlight.Load(), "bad_requests": c.BadRequests.Load(), "unclassified": c.Unclassified.Load(), "resets": c.Resets.Load(),
		"floods": c.Floods.Load(), "stalls": c.Stalls.Load(), "lost": c.Lost.Load(), "panics": c.Panics.Load()}
	f.Steering = map[string]int64{"dials": t.Dials.Load(), "streams": t.Streams.Load(), "broken": t.Broken.Load(), "pushes": t.Updates.Load(),
		"marks": t.Acks.Load(), "unusable": t.Unusable.Load(), "demands": t.Demands.Load(), "sums_lost": s.teller.Lost.Load(),
		"sums_unconfirmed": s.teller.Unconfirmed.Load(), "collectors_given_up": s.teller.Failovers.Load()}
	return f
}

// door is the local port: /health says 200 while flows are taken and a replica can be picked, /figures the counters.
func (s *Sidecar) door() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if s.server.Draining() {
			http.Error(w, "drains", http.StatusServiceUnavailable)
			return
		}
		lines := 0
		for _, n := range s.Figures().Tables {
			lines += n
		}
		if lines == 0 {
			http.Error(w, "no replica", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "serves")
	})
	mux.HandleFunc("GET /figures", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		e.Encode(s.Figures())
	})
	return mux
}
