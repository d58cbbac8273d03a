// Package installation starts an installation on loopback for the example and the experiments: processes of lilacbend as
// controllers, collectors and sidecars, and within this process a scripted discovery service and scripted replicas.
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

// Config describes the size and the settings of an installation.
type Config struct {
	Zones        int
	Replicas     int
	ReplicaSlots int // concurrent requests of each replica; 0: no limit
	Sidecars     int
	Controllers  int
	ServiceTime  time.Duration // service time of a request at a replica
	SlowFactor   float64       // multiplies the service time of hardware class m2; 0: unchanged

	// HTTP1Address and HTTP2Address are the listen addresses of the first sidecar. If HTTP1Address is empty, Start selects
	// unused ports.
	HTTP1Address, HTTP2Address string

	RunControllers    bool   // start controllers and collectors; without them, sidecars weight all replicas equally
	KeepState         bool   // controllers save their learned state
	StandbyCollectors bool   // each zone has a second collector
	ReportBudget      int    // bytes a second that a collector may send to each controller; 0: no limit
	OperatorSections  string // YAML of further sections of the controllers' operator file

	Program string // path of a lilacbend binary; empty: Start builds one
	Dir     string // folder for the binary and the files of the processes
	Log     io.Writer
}

// Member is one replica in discovery's list.
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
	HTTP1Addresses, HTTP2Addresses []string // listen addresses of the sidecars

	program     string
	mu          sync.Mutex
	members     []Member
	revision    int
	changed     chan struct{}
	discovery   net.Listener
	controllers []string   // addresses of the controllers
	collectors  [][]string // addresses of the collectors by zone, the preferred collector first
	processes   map[string]*exec.Cmd
}

// baseLatencyBudgetMillis is the latency budget of the first traffic class, in milliseconds.
const baseLatencyBudgetMillis = 250

func zoneName(k int) string { return string(rune('a' + k)) }

// FreeAddress returns a loopback address that is not listened on.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// Start builds the program if necessary, starts the installation and waits until its sidecars serve requests. Its processes
// end when ctx is done.
func Start(ctx context.Context, config Config) (*Site, error) {
	s := &Site{Config: config, program: config.Program, revision: 1, changed: make(chan struct{}), processes: map[string]*exec.Cmd{}}
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
		if err := s.startReplica(k); err != nil {
			return err
		}
	}
	if err := s.startDiscovery(); err != nil {
		return err
	}
	for range s.Controllers {
		s.controllers = append(s.controllers, FreeAddress())
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
		if err := s.startSidecar(ctx, k); err != nil {
			return err
		}
	}
	return s.waitUntilReady(ctx)
}

func (s *Site) startDiscovery() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.discovery = listener
	go http.Serve(listener, http.HandlerFunc(s.serveDiscovery)) // returns when Stop closes the listener
	return nil
}

// startControllers starts the controllers if RunControllers is set.
func (s *Site) startControllers(ctx context.Context) error {
	if !s.RunControllers {
		return nil
	}
	for k := range s.controllers {
		if err := s.StartController(ctx, k); err != nil {
			return err
		}
	}
	return nil
}

// startCollectors starts the collectors of a zone, which for zone a are collector-a and, if configured, collector-a-standby.
func (s *Site) startCollectors(ctx context.Context, number int) error {
	names := []string{"collector-" + zoneName(number)}
	if s.StandbyCollectors {
		names = append(names, names[0]+"-standby")
	}
	var addresses []string
	for _, name := range names {
		address := FreeAddress()
		addresses = append(addresses, address)
		if !s.RunControllers {
			continue
		}
		arguments := []string{"collector", "--zone", zoneName(number), "--listen", address, "--every", "500ms", "--budget", strconv.Itoa(s.ReportBudget)}
		for _, g := range s.controllers {
			arguments = append(arguments, "--governor", g)
		}
		if err := s.startProcess(ctx, name, arguments...); err != nil {
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
		return fmt.Errorf("building lilacbend: %w: %s", err, out)
	}
	return nil
}

func (s *Site) startReplica(k int) error {
	r, err := replica.NewReplica("127.0.0.1:0", s.ReplicaSlots, nil)
	if err != nil {
		return err
	}
	serviceTime := s.ServiceTime
	if s.SlowFactor > 0 && k/s.Zones%2 == 1 {
		serviceTime = time.Duration(float64(serviceTime) * s.SlowFactor)
	}
	r.ServiceTime.Store(int64(serviceTime))
	s.Replicas = append(s.Replicas, r)
	s.members = append(s.members, Member{ID: fmt.Sprintf("box-%02d", k), HostPort: r.Addr, Zone: zoneName(k % s.Zones), HardwareClass: fmt.Sprint("m", 1+k/s.Zones%2), Phase: "Ready", Size: 1})
	return nil
}

// ChangeMember changes a replica in discovery's list.
func (s *Site) ChangeMember(k int, change func(m *Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.members[k])
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Site) listMembers() (raw []byte, revision int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := []Member{}
	for _, m := range s.members {
		if m.Phase != "Gone" {
			present = append(present, m)
		}
	}
	raw, _ = json.Marshal(map[string]any{"revision": s.revision, "complete": true, "members": present})
	return raw, s.revision, s.changed
}

func (s *Site) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	raw, revision, changed := s.listMembers()
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")); err == nil && since >= revision {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		raw, _, _ = s.listMembers()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

// startProcess starts a process of lilacbend under a name.
func (s *Site) startProcess(ctx context.Context, name string, args ...string) error {
	cmd := exec.CommandContext(ctx, s.program, args...)
	cmd.Stderr = s.Log
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 15 * time.Second
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = cmd
	return nil
}

// Kill kills a process and waits until it has ended.
func (s *Site) Kill(name string) {
	s.mu.Lock()
	cmd := s.processes[name]
	delete(s.processes, name)
	s.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

func (s *Site) writeFile(name, text string) (string, error) {
	path := filepath.Join(s.Dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// PID returns the process ID of a running process, or 0 if none has the name.
func (s *Site) PID(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cmd := s.processes[name]; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// ProcessNames returns the names of the running processes, sorted.
func (s *Site) ProcessNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.processes))
}

// Settings returns the controllers' settings as JSON, with the latency budget of the first traffic class extended by the
// given number of milliseconds.
func (s *Site) Settings(extraMillis int) string {
	zones, _ := json.Marshal([]string{"a", "b", "c", "d"}[:s.Zones])
	return fmt.Sprintf(settingsTemplate, s.Controllers, s.Sidecars, 100*s.Sidecars, zones, baseLatencyBudgetMillis+extraMillis)
}

// StartController starts the k-th controller, or starts it again after Kill.
func (s *Site) StartController(ctx context.Context, k int) error {
	raw, _, _ := s.listMembers()
	file, err := s.writeFile(fmt.Sprintf("governor-%d.json", k), fmt.Sprintf(controllerFileTemplate, k, s.controllers[k], s.discovery.Addr(), time.Now().UnixNano(), raw, s.Settings(0)))
	if err != nil {
		return err
	}
	arguments, operator := []string{"serve", "--config", file}, s.OperatorSections
	if s.KeepState {
		operator += fmt.Sprintf("state: {folder: state-%d, every: 1s}\n", k)
	}
	if operator != "" {
		operatorFile, err := s.writeFile(fmt.Sprintf("operator-%d.yaml", k), operator)
		if err != nil {
			return err
		}
		arguments = append(arguments, "--operator", operatorFile)
	}
	return s.startProcess(ctx, fmt.Sprint("governor-", k), arguments...)
}

func (s *Site) startSidecar(ctx context.Context, k int) error {
	h1, h2 := FreeAddress(), FreeAddress()
	if k == 0 && s.HTTP1Address != "" {
		h1, h2 = s.HTTP1Address, s.HTTP2Address
	}
	controllers, collectors := "[]", ""
	if s.RunControllers {
		controllers = asJSON(s.controllers)
		collectors = "collectors: " + asJSON(s.collectors[k%s.Zones])
	}
	file, err := s.writeFile(fmt.Sprintf("sidecar-%d.yaml", k), fmt.Sprintf(sidecarFileTemplate, k, k, zoneName(k%s.Zones), h1, h2, controllers, s.discovery.Addr(), collectors))
	if err != nil {
		return err
	}
	s.HTTP1Addresses, s.HTTP2Addresses = append(s.HTTP1Addresses, h1), append(s.HTTP2Addresses, h2)
	return s.startProcess(ctx, fmt.Sprint("sidecar-", k), "sidecar", "--manifest", file)
}

// asJSON returns addresses as a JSON array, which is also valid YAML.
func asJSON(addresses []string) string {
	raw, _ := json.Marshal(addresses) // strings can always be encoded
	return string(raw)
}

// waitUntilReady waits until all sidecars serve requests.
func (s *Site) waitUntilReady(ctx context.Context) error {
	for _, address := range s.HTTP1Addresses {
		var lastErr error
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get("http://" + address + "/stock")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
				err = errors.New(resp.Status)
			}
			if lastErr = err; time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("sidecar at %s not ready: %w", address, lastErr)
			}
		}
	}
	return nil
}

// Stop terminates all processes and waits for them, and then stops discovery and the replicas.
func (s *Site) Stop() {
	s.mu.Lock()
	processes := s.processes
	s.processes = map[string]*exec.Cmd{}
	s.mu.Unlock()
	for _, cmd := range processes {
		cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range processes {
		cmd.Wait()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
	for _, r := range s.Replicas {
		r.Stop()
	}
}

const controllerFileTemplate = `{"name": "n%d", "listen": %q, "discovery": %q, "seed": "%016x",
"limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024}, "known": %s, "settings": %s}
`

const settingsTemplate = `{"balancers": %d, "domain": {"admit": "fraction", "cycle_ms": 500.0, "envelope": 4.0, "pick": "random", "proxy_count": %d,
"pending_max": %d.0, "push_rate": 1200.0, "pushes_allowed": 30, "reload_span_ms": 10000.0, "shards": 0, "try_factor": 1.0, "usual_how": 1, "worst_transit_ms": 257.5},
"invariants": {"cold_from": 0.2, "tip_multiple": 3.0, "warm_after_ms": 10000.0}, "kinds": ["m1", "m2"], "zones": %s, "lanes": [
{"name": "stock", "effect": "read_like", "gain": 1.0, "slo_ms": %d.0, "deadline_ms": 1000.0},
{"name": "order", "effect": "idempotency_key", "group": "zone", "window_ms": 2500.0, "gain": 3.0, "slo_ms": 250.0, "deadline_ms": 1000.0},
{"name": "payout", "effect": "non_idempotent", "gain": 3.0, "slo_ms": 250.0, "deadline_ms": 1000.0}]}
`

const sidecarFileTemplate = `name: sidecar-%d
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
