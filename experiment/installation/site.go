// Package installation starts an installation on loopback: the product's program as controllers, collectors and sidecars, with
// scripted discovery and replicas. The example and the experiments use it.
package installation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lilacbend/experiment/replica"
)

// Config is the size of an installation, and where it listens.
type Config struct {
	Zones, Replicas, ReplicaSlots, Sidecars, Controllers int
	ServiceTime                                          time.Duration // of a flow at a replica
	SlowFactor                                           float64       // every second replica takes so many times as long; 0: equal
	HTTP1Address, HTTP2Address                           string        // of the first sidecar; empty: any
	KeepState                                            bool          // governors keep what they learn
	StandbyCollectors                                    bool          // each zone has a second collector
	ReportBudget                                         int           // bytes a second of a collector to each governor; 0: no limit
	OperatorSections                                     string        // further sections of the governors' operator file
	Program                                              string        // that is built already; empty: it is built
	Controlled                                           bool          // else sidecars have equal tables
	Dir                                                  string
	Log                                                  io.Writer
}

// Member is one replica as discovery lists it.
type Member struct {
	ID            string  `json:"id"`
	HostPort      string  `json:"host_port"`
	Zone          string  `json:"locality"`
	HardwareClass string  `json:"flavor"`
	Cell          int     `json:"cell"`
	Phase         string  `json:"phase"`
	Size          float64 `json:"size"`
	UpSince       int64   `json:"up_since_ms"`
}

// Site is a running installation.
type Site struct {
	Config
	Replicas                       []*replica.Replica
	HTTP1Addresses, HTTP2Addresses []string // of the sidecars

	program    string
	mu         sync.Mutex
	members    []Member
	revision   int
	news       chan struct{}
	discovery  net.Listener
	governors  []string
	collectors [][]string // of each zone, the preferred one first
	procs      map[string]*exec.Cmd
}

// usualBudget is the latency budget of the first traffic group, in milliseconds.
const usualBudget = 250

func zone(k int) string { return string(rune('a' + k)) }

// FreeAddress returns an address of loopback on which nothing listens.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// Start builds the program and starts the installation. Its processes end with ctx.
func Start(ctx context.Context, shape Config) (*Site, error) {
	s := &Site{Config: shape, program: shape.Program, revision: 1, news: make(chan struct{}), procs: map[string]*exec.Cmd{}}
	err := s.start(ctx)
	if err != nil {
		s.Stop()
	}
	return s, err
}

func (s *Site) start(ctx context.Context) error {
	if s.program == "" {
		if err := s.build(ctx); err != nil {
			return err
		}
	}
	for k := range s.Config.Replicas {
		if err := s.replica(k); err != nil {
			return err
		}
	}
	if err := s.startDiscovery(); err != nil {
		return err
	}
	for range s.Controllers {
		s.governors = append(s.governors, FreeAddress())
	}
	for k := range s.Zones {
		if err := s.startCollectors(ctx, k); err != nil {
			return err
		}
	}
	if err := s.startControllers(ctx); err != nil {
		return err
	}
	for k := range s.Sidecars {
		if err := s.sidecar(ctx, k); err != nil {
			return err
		}
	}
	return s.ready(ctx)
}

func (s *Site) startDiscovery() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.discovery = listener
	go http.Serve(listener, http.HandlerFunc(s.discover)) // ends when Stop closes the listener
	return nil
}

// startControllers starts the controllers, if sidecars are to be controlled.
func (s *Site) startControllers(ctx context.Context) error {
	if !s.Controlled {
		return nil
	}
	for k := range s.governors {
		if err := s.StartController(ctx, k); err != nil {
			return err
		}
	}
	return nil
}

// startCollectors starts the collectors of a zone: collector-a, and collector-a-standby.
func (s *Site) startCollectors(ctx context.Context, number int) error {
	names := []string{"collector-" + zone(number)}
	if s.StandbyCollectors {
		names = append(names, names[0]+"-standby")
	}
	var addresses []string
	for _, name := range names {
		at := FreeAddress()
		addresses = append(addresses, at)
		if !s.Controlled {
			continue
		}
		args := []string{"collector", "--zone", zone(number), "--listen", at, "--every", "500ms", "--budget", strconv.Itoa(s.ReportBudget)}
		for _, g := range s.governors {
			args = append(args, "--governor", g)
		}
		if err := s.run(ctx, name, args...); err != nil {
			return err
		}
	}
	s.collectors = append(s.collectors, addresses)
	return nil
}

func (s *Site) build(ctx context.Context) error {
	s.program = filepath.Join(s.Dir, "lilacbend")
	out, err := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", s.program, "lilacbend/cmd/lilacbend").CombinedOutput()
	if err != nil {
		return fmt.Errorf("building: %w: %s", err, out)
	}
	return nil
}

func (s *Site) replica(k int) error {
	r, err := replica.NewReplica("127.0.0.1:0", s.ReplicaSlots, nil)
	if err != nil {
		return err
	}
	span := s.ServiceTime
	if s.SlowFactor > 0 && k/s.Zones%2 == 1 {
		span = time.Duration(float64(span) * s.SlowFactor)
	}
	r.ServiceTime.Store(int64(span))
	s.Replicas = append(s.Replicas, r)
	s.members = append(s.members, Member{ID: fmt.Sprintf("box-%02d", k), HostPort: r.Addr, Zone: zone(k % s.Zones), HardwareClass: fmt.Sprint("m", 1+k/s.Zones%2), Phase: "Ready", Size: 1})
	return nil
}

// ChangeMember changes a replica in discovery's list.
func (s *Site) ChangeMember(k int, change func(m *Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.members[k])
	s.revision++
	close(s.news)
	s.news = make(chan struct{})
}

func (s *Site) list() (raw []byte, revision int, news <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := []Member{}
	for _, m := range s.members {
		if m.Phase != "Gone" {
			present = append(present, m)
		}
	}
	raw, _ = json.Marshal(map[string]any{"revision": s.revision, "complete": true, "members": present})
	return raw, s.revision, s.news
}

func (s *Site) discover(w http.ResponseWriter, r *http.Request) {
	raw, revision, news := s.list()
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")); err == nil && since >= revision {
		select {
		case <-news:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		raw, _, _ = s.list()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

// run starts the product's program.
func (s *Site) run(ctx context.Context, name string, args ...string) error {
	cmd := exec.CommandContext(ctx, s.program, args...)
	cmd.Stderr = s.Log
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 15 * time.Second
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.procs[name] = cmd
	return nil
}

// Kill kills a process and waits for it.
func (s *Site) Kill(name string) {
	s.mu.Lock()
	cmd := s.procs[name]
	delete(s.procs, name)
	s.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

func (s *Site) file(name, text string) (string, error) {
	path := filepath.Join(s.Dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// PID returns the id of the process of a name, or 0.
func (s *Site) PID(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cmd := s.procs[name]; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// ProcessNames returns the running processes, sorted.
func (s *Site) ProcessNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.procs))
}

// Settings returns the controllers' settings, with a latency budget that is some milliseconds longer.
func (s *Site) Settings(longer int) string {
	zones, _ := json.Marshal([]string{"a", "b", "c", "d"}[:s.Zones])
	return fmt.Sprintf(settingsFile, s.Controllers, s.Sidecars, 100*s.Sidecars, zones, usualBudget+longer)
}

// StartController starts or restarts a controller.
func (s *Site) StartController(ctx context.Context, k int) error {
	raw, _, _ := s.list()
	file, err := s.file(fmt.Sprintf("governor-%d.json", k), fmt.Sprintf(governorFile, k, s.governors[k], s.discovery.Addr(), time.Now().UnixNano(), raw, s.Settings(0)))
	if err != nil {
		return err
	}
	args, operator := []string{"serve", "--config", file}, s.OperatorSections
	if s.KeepState {
		operator += fmt.Sprintf("state: {folder: state-%d, every: 1s}\n", k)
	}
	if operator != "" {
		rules, err := s.file(fmt.Sprintf("operator-%d.yaml", k), operator)
		if err != nil {
			return err
		}
		args = append(args, "--operator", rules)
	}
	return s.run(ctx, fmt.Sprint("governor-", k), args...)
}

func (s *Site) sidecar(ctx context.Context, k int) error {
	h1, h2 := FreeAddress(), FreeAddress()
	if k == 0 && s.HTTP1Address != "" {
		h1, h2 = s.HTTP1Address, s.HTTP2Address
	}
	governors, collectors := "[]", ""
	if s.Controlled {
		governors = asJSON(s.governors)
		collectors = "collectors: " + asJSON(s.collectors[k%s.Zones])
	}
	file, err := s.file(fmt.Sprintf("sidecar-%d.yaml", k), fmt.Sprintf(sidecarFile, k, k, zone(k%s.Zones), h1, h2, governors, s.discovery.Addr(), collectors))
	if err != nil {
		return err
	}
	s.HTTP1Addresses, s.HTTP2Addresses = append(s.HTTP1Addresses, h1), append(s.HTTP2Addresses, h2)
	return s.run(ctx, fmt.Sprint("sidecar-", k), "sidecar", "--manifest", file)
}

// asJSON returns addresses as JSON, which is YAML, too.
func asJSON(addresses []string) string {
	raw, _ := json.Marshal(addresses) // texts can always be encoded
	return string(raw)
}

// ready waits until all sidecars answer.
func (s *Site) ready(ctx context.Context) error {
	for _, at := range s.HTTP1Addresses {
		var last error
		for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get("http://" + at + "/stock")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
				err = errors.New(resp.Status)
			}
			if last = err; time.Now().After(until) || ctx.Err() != nil {
				return fmt.Errorf("sidecar at %s: %w", at, last)
			}
		}
	}
	return nil
}

// Stop ends all processes and waits for them.
func (s *Site) Stop() {
	s.mu.Lock()
	procs := s.procs
	s.procs = map[string]*exec.Cmd{}
	s.mu.Unlock()
	for _, cmd := range procs {
		cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range procs {
		cmd.Wait()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
	for _, r := range s.Replicas {
		r.Stop()
	}
}

const governorFile = `{"name": "n%d", "listen": %q, "discovery": %q, "seed": "%016x",
"limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024}, "known": %s, "settings": %s}
`

const settingsFile = `{"balancers": %d, "domain": {"admit": "fraction", "cycle_ms": 500.0, "envelope": 4.0, "pick": "random", "proxy_count": %d,
"pending_max": %d.0, "push_rate": 1200.0, "pushes_allowed": 30, "reload_span_ms": 10000.0, "shards": 0, "try_factor": 1.0, "usual_how": 1, "worst_transit_ms": 257.5},
"invariants": {"cold_from": 0.2, "tip_multiple": 3.0, "warm_after_ms": 10000.0}, "kinds": ["m1", "m2"], "zones": %s, "lanes": [
{"name": "stock", "effect": "read_like", "gain": 1.0, "slo_ms": %d.0, "deadline_ms": 1000.0},
{"name": "order", "effect": "idempotency_key", "group": "zone", "window_ms": 2500.0, "gain": 3.0, "slo_ms": 250.0, "deadline_ms": 1000.0},
{"name": "payout", "effect": "non_idempotent", "gain": 3.0, "slo_ms": 250.0, "deadline_ms": 1000.0}]}
`

const sidecarFile = `name: sidecar-%d
proxy: %d
zone: %s
listen: {http1: %q, http2: %q}
governors: %s
discovery: %q
%s
report_every: 500ms
groups:
- {name: stock, effect: retriable, latency_budget: 250ms, expiry: 1s}
- {name: order, effect: deduped, scope: zone, window: 2500ms, latency_budget: 250ms, expiry: 1s}
- {name: payout, effect: non-retriable, latency_budget: 250ms, expiry: 1s}
rules:
- {group: stock, method: GET, path: /stock*}
- {group: order, method: POST, path: /orders}
- {group: payout, method: POST, path: /payouts}
limits: {replica_connections: 1024, flows: 2000, waiting: 1000}
`
