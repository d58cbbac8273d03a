package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/configserver"
)

const (
	maxFollowed   = 3 // servers that a follower may follow: the writer, and other followers as alternatives
	listenTimeout = 10 * time.Second
)

func regionName(k int) string  { return fmt.Sprintf("r%d", k) }
func serviceName(k int) string { return fmt.Sprintf("service-%d", k) }

// servers are the configuration servers of a run; the first one is the writer.
type servers struct {
	plan           Plan
	launch         ServerLaunch
	settingsFolder string // folder of the settings files, which the writer reads
	stateFolder    string // folder of the servers' state files
	addresses      []string
	linkAddress    func(from, to int) string // address at which a follower reaches another server

	mu               sync.Mutex
	running          []*runningServer // nil: killed
	usageBeforeKills []usage          // usage of each server in its incarnations that were killed
}

// runningServer is a server that runs. Its pid is 0 if it runs in this process.
type runningServer struct {
	pid  int
	kill func() error // ends the server without a shutdown, and waits for its end
	stop func()       // shuts the server down, and waits for its end
}

// ServerLaunch starts a server, which runs until ctx is done.
type ServerLaunch func(ctx context.Context, options configserver.Options) (*runningServer, error)

// newServers prepares the servers of a plan, with their files in a folder.
func newServers(p Plan, launch ServerLaunch, dir string) (*servers, error) {
	s := &servers{plan: p, launch: launch, settingsFolder: filepath.Join(dir, "settings"), stateFolder: filepath.Join(dir, "state"),
		running: make([]*runningServer, p.Servers), usageBeforeKills: make([]usage, p.Servers)}
	for _, folder := range []string{s.settingsFolder, s.stateFolder} {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, err
		}
	}
	for range p.Servers {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s.addresses = append(s.addresses, address)
	}
	return s, nil
}

// The ports of servers are below the kernel's range of ephemeral ports, so that a killed server can listen at its port again
// when it is restarted.
const (
	firstServerPort = 10_240
	serverPortCount = 20_000
)

var triedPorts atomic.Int64

// freeAddress returns a loopback address at which no process listens.
func freeAddress() (string, error) {
	var lastErr error
	for range serverPortCount {
		port := firstServerPort + (int64(os.Getpid())*101+triedPorts.Add(1))%serverPortCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
		lastErr = err
	}
	return "", lastErr
}

// start starts all servers.
func (s *servers) start(ctx context.Context, linkAddress func(from, to int) string) error {
	s.linkAddress = linkAddress
	for k := range s.addresses {
		if err := s.startServer(ctx, k); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts a server, or restarts it after a kill, and waits until it responds.
func (s *servers) startServer(ctx context.Context, k int) error {
	server, err := s.launch(ctx, s.options(k))
	if err != nil {
		return fmt.Errorf("starting server %d: %w", k, err)
	}
	s.mu.Lock()
	s.running[k] = server
	s.mu.Unlock()
	for end := time.Now().Add(listenTimeout); ; time.Sleep(settleInterval) {
		err := s.checkStatus(ctx, k)
		if err == nil {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("waiting for the response of server %d: %w", k, err)
		}
	}
}

func serverName(k int) string { return fmt.Sprintf("server-%d", k) }

// checkStatus requests the status of a server. It returns an error if the server does not respond, or if another server
// responds at its address.
func (s *servers) checkStatus(ctx context.Context, k int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addresses[k]+configapi.StatusPath, nil)
	if err != nil {
		return err
	}
	response, err := statusClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var status configapi.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return err
	}
	if status.Server != serverName(k) {
		return fmt.Errorf("another server, %q, responds at the address", status.Server)
	}
	return nil
}

// statusClient keeps no connection open, as an open connection would delay the shutdown of a server.
var statusClient = &http.Client{Timeout: listenTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// options returns the options of one server: the writer reads the settings folder, the others follow the writer and each
// other.
func (s *servers) options(k int) configserver.Options {
	options := configserver.Options{Name: serverName(k), Region: regionName(s.plan.serverRegion(k)), Listen: s.addresses[k],
		StateFile: filepath.Join(s.stateFolder, fmt.Sprint(k))}
	if k == 0 {
		options.Folder = s.settingsFolder
		return options
	}
	for step := range min(maxFollowed, s.plan.Servers-1) {
		to := 0
		if step > 0 { // neither this server nor the writer
			to = 1 + (k-1+step)%(s.plan.Servers-1)
		}
		options.Upstreams = append(options.Upstreams, configclient.Server{Address: s.linkAddress(k, to), Region: regionName(s.plan.serverRegion(to))})
	}
	return options
}

// publish writes the settings file of a service.
func (s *servers) publish(service int, body []byte) error {
	return s.publishAs(serviceName(service), body)
}

func (s *servers) publishAs(name string, body []byte) error {
	return renameio.WriteFile(filepath.Join(s.settingsFolder, name+".json"), body, 0o600)
}

// kill kills a server, and adds its usage to usageBeforeKills.
func (s *servers) kill(k int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.running[k]
	s.running[k] = nil
	if server == nil {
		return errors.New("server is not running")
	}
	if server.pid > 0 {
		spent, err := processUsage(server.pid)
		if err != nil {
			return err
		}
		spent.resident = 0
		s.usageBeforeKills[k] = s.usageBeforeKills[k].add(spent)
	}
	return server.kill()
}

// usage returns the usage of one server over all its incarnations, and its current memory if it runs.
func (s *servers) usage(k int) (usage, error) {
	s.mu.Lock()
	server, total := s.running[k], s.usageBeforeKills[k]
	s.mu.Unlock()
	if server == nil || server.pid == 0 {
		return total, nil
	}
	current, err := processUsage(server.pid)
	return total.add(current), err
}

// pids returns the process IDs of the servers.
func (s *servers) pids() (pids []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.running {
		if server != nil && server.pid > 0 {
			pids = append(pids, server.pid)
		}
	}
	return pids
}

func (s *servers) stop() {
	for _, server := range s.running {
		if server != nil {
			server.stop()
		}
	}
}

// ServeInProcess runs a server in this process.
func ServeInProcess(ctx context.Context, o configserver.Options) (*runningServer, error) {
	server, err := configserver.New(o)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	kill := func() error {
		stop()
		return <-ended
	}
	return &runningServer{kill: kill, stop: func() { kill() }}, nil
}

// ServeProcesses runs servers as processes of the product's program.
func ServeProcesses(program string, log io.Writer) ServerLaunch {
	return func(ctx context.Context, o configserver.Options) (*runningServer, error) {
		c := exec.CommandContext(ctx, program, serverArguments(o)...)
		c.Stderr = log
		c.Cancel = func() error { return c.Process.Signal(syscall.SIGTERM) }
		c.WaitDelay = terminationTimeout
		if err := c.Start(); err != nil {
			return nil, err
		}
		kill := func() error {
			err := c.Process.Kill()
			c.Wait() // reports the kill as an error
			return err
		}
		terminate := func() {
			c.Process.Signal(syscall.SIGTERM)
			c.Wait()
		}
		return &runningServer{pid: c.Process.Pid, kill: kill, stop: terminate}, nil
	}
}

// serverArguments returns the command-line arguments for the options of a server.
func serverArguments(o configserver.Options) []string {
	arguments := []string{"configserver", "--name", o.Name, "--region", o.Region, "--listen", o.Listen, "--state", o.StateFile}
	if o.Folder != "" {
		return append(arguments, "--folder", o.Folder)
	}
	var follow []string
	for _, followed := range o.Upstreams {
		follow = append(follow, followed.Address+"="+followed.Region)
	}
	return append(arguments, "--follow", strings.Join(follow, ","))
}
