package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// member is one replica in the list of service discovery.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// registry is a stand-in for service discovery: the complete list, and watches by long polls.
type registry struct {
	mu       sync.Mutex
	revision int
	members  []member
	changed  chan struct{}
	listener net.Listener
}

func startRegistry(members []member) (*registry, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &registry{revision: 41, members: members, changed: make(chan struct{}), listener: listener}
	go http.Serve(listener, r)
	return r, nil
}

func (r *registry) address() string { return r.listener.Addr().String() }

// list returns the complete list as JSON, its revision, and a channel that is closed at the next change.
func (r *registry) list() (raw []byte, revision int, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	raw, _ = json.Marshal(map[string]any{"revision": r.revision, "complete": true, "members": r.members})
	return raw, r.revision, r.changed
}

// ServeHTTP answers a call for the list, or a watch once the list is newer than the caller's or its time has passed.
func (r *registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	raw, revision, changed := r.list()
	since, err := strconv.Atoi(request.URL.Query().Get("since"))
	millis, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
	if err == nil && since >= revision {
		select {
		case <-changed:
		case <-time.After(time.Duration(millis) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
		raw, revision, _ = r.list()
		if since >= revision {
			raw = fmt.Appendf(nil, `{"revision":%d,"complete":false,"members":[]}`, revision)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(raw)
}

// site is a small installation: a governor, sidecars, replicas, each in a process of its own, and discovery.
type site struct {
	registry *registry
	replicas []*exec.Cmd
	sidecars []*sidecar
}

// sidecar is a running sidecar and its addresses.
type sidecar struct {
	process             *exec.Cmd
	http1, http2, local string
}

const zones = 3

func zoneName(k int) string { return []string{"lahore", "islamabad", "multan"}[k%zones] }

// startSite starts an installation with a number of replicas and sidecars. limits is the sidecars' section of limits, in YAML.
func (c *caseRun) startSite(replicas, sidecars int, limits string) (*site, error) {
	s := &site{}
	var members []member
	for k := range replicas {
		m, cmd, err := c.startReplica(k)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
		s.replicas = append(s.replicas, cmd)
	}
	var err error
	s.registry, err = startRegistry(members)
	if err != nil {
		return nil, err
	}
	governor, err := c.startGovernor(s)
	if err != nil {
		return nil, err
	}
	for range sidecars {
		if err := c.startSidecar(s, governor, limits); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// startReplica starts a replica, which says on its standard output where it listens.
func (c *caseRun) startReplica(k int) (member, *exec.Cmd, error) {
	id := fmt.Sprintf("s-%02d", k)
	self, err := os.Executable()
	if err != nil {
		return member{}, nil, err
	}
	read, write, err := os.Pipe()
	if err != nil {
		return member{}, nil, err
	}
	cmd := exec.Command(self, "replica", id)
	cmd.Stdout = write
	cmd, err = c.startProcess(id, cmd)
	write.Close()
	if err != nil {
		return member{}, nil, err
	}
	var address string
	if _, err := fmt.Fscanln(read, &address); err != nil {
		return member{}, nil, fmt.Errorf("replica %s: %w", id, err)
	}
	go c.collectRuns(id, read)
	return member{ID: id, HostPort: address, Locality: zoneName(k), Flavor: "small-2c", Cell: k, Phase: "Ready", Size: 1}, cmd, nil
}

const settingsText = `{"balancers": 1, "domain": {"admit": "fraction", "blackhole_ms": 4100.0, "cycle_ms": 500.0, "envelope": 4.0, "pick": "random", "proxy_count": 9,
"pending_max": 1800.0, "push_rate": 1200.0, "pushes_allowed": 30, "reload_span_ms": 10000.0, "shards": 0, "strikes": 8, "transit_ms": 103.0, "try_factor": 1.0, "usual_how": 1, "worst_transit_ms": 257.5},
"invariants": {"cold_from": 0.18, "drain_grace_ms": 2500.0, "fall_ms": 3000.0, "tip_multiple": 4.0, "warm_after_ms": 18000.0}, "kinds": ["small-2c", "wide-4c"],
"zones": ["lahore", "islamabad", "multan"], "lanes": [
{"name": "stock-read", "effect": "read_like", "gain": 2.0, "slo_ms": 750.0, "deadline_ms": 2000.0},
{"name": "order-place", "effect": "idempotency_key", "group": "zone", "window_ms": 2500.0, "gain": 3.0, "slo_ms": 1200.0, "deadline_ms": 4000.0},
{"name": "payout-send", "effect": "non_idempotent", "gain": 3.0, "slo_ms": 750.0, "deadline_ms": 2000.0}]}`

// startGovernor starts a governor by the run command of the deploy file, and returns its address.
func (c *caseRun) startGovernor(s *site) (address string, err error) {
	run, err := deployCommand("run")
	if err != nil {
		return "", err
	}
	address, err = freeAddress()
	if err != nil {
		return "", err
	}
	known, _, _ := s.registry.list()
	config := fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": %s, "settings": %s}`,
		address, s.registry.address(), known, settingsText)
	file := filepath.Join(c.dir, "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return "", err
	}
	_, err = c.startCommand("governor", run, "PROXY_CONFIG="+file, "PROXY_LISTEN="+address, "PROXY_DISCOVERY="+s.registry.address(), "PROXY_NAME=n0")
	if err != nil {
		return "", err
	}
	return address, awaitListener(address)
}

const manifestText = `name: shop-%d
proxy: %d
zone: %s
listen: {http1: %q, http2: %q, local: %q}
governors: [%q]
discovery: %q
groups:
- {name: stock-read, effect: retriable, latency_budget: 750ms, expiry: 2s}
- {name: order-place, effect: deduped, scope: zone, window: 2500ms, latency_budget: 1200ms, expiry: 4s}
- {name: payout-send, effect: non-retriable, latency_budget: 750ms, expiry: 2s}
rules:
- {group: stock-read, method: GET, path: /stock*}
- {group: order-place, method: POST, path: /orders}
- {group: payout-send, method: POST, path: /payouts}
tries: {usual: never-ran, strikes: 8}
limits: {%s}
`

// startSidecar starts one more sidecar, and waits until it has a table of the governor and serves.
func (c *caseRun) startSidecar(s *site, governor, limits string) error {
	number := len(s.sidecars)
	started := &sidecar{}
	for _, address := range []*string{&started.http1, &started.http2, &started.local} {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	manifest := fmt.Sprintf(manifestText, number, number, zoneName(number), started.http1, started.http2, started.local, governor, s.registry.address(), limits)
	name := fmt.Sprintf("sidecar-%d", number)
	file := filepath.Join(c.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(manifest), 0o600); err != nil {
		return err
	}
	path, err := program()
	if err != nil {
		return err
	}
	started.process, err = c.startProcess(name, exec.Command(path, "sidecar", "--manifest", file))
	if err != nil {
		return err
	}
	s.sidecars = append(s.sidecars, started)
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if started.serves() {
			return nil
		}
	}
	return errors.New("a sidecar did not get a table within 15 s")
}

// serves reports whether the sidecar has applied a governor's table and answers a request.
func (s *sidecar) serves() bool {
	figures, err := http.Get("http://" + s.local + "/figures")
	if err != nil {
		return false
	}
	defer figures.Body.Close()
	var counters struct{ Controller string }
	if json.NewDecoder(figures.Body).Decode(&counters) != nil || counters.Controller == "" {
		return false
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.http1+"/payouts", strings.NewReader("ready"))
	if err != nil {
		return false
	}
	request.Header.Set(requestID, "start")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
