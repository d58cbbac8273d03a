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
	maxFollowed   = 3 // servers that each other one follows: the writer, and others in its stead
	listenTimeout = 10 * time.Second
)

func regionName(k int) string  { return fmt.Sprintf("r%d", k) }
func serviceName(k int) string { return fmt.Sprintf("service-%d", k) }

// servers are the configuration servers of a run; the first one is the writer.
type servers struct {
	plan      Plan
	launch    ServerLaunch
	folder    string // of settings
	state     string // folder of the servers' state files
	addresses []string
	via       func(from, to int) string

	mu      sync.Mutex
	running []*runningServer // nil: killed
	retired []usage          // what each has spent in lives that ended by a kill
}

// runningServer is one server. Its pid is 0 in this process.
type runningServer struct {
	pid  int
	kill func() error // without a word, and waits
	end  func()       // orderly, and waits
}

// ServerLaunch starts a server; ctx ends it.
type ServerLaunch func(ctx context.Context, options configserver.Options) (*runningServer, error)

// newServers prepares the servers of a plan, with their files in a folder.
func newServers(p Plan, launch ServerLaunch, dir string) (*servers, error) {
	s := &servers{plan: p, launch: launch, folder: filepath.Join(dir, "settings"), state: filepath.Join(dir, "state"),
		running: make([]*runningServer, p.Servers), retired: make([]usage, p.Servers)}
	for _, folder := range []string{s.folder, s.state} {
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

// Ports of servers are below those that the kernel gives to who asks for any: a server that is killed gets its port again.
const (
	serverPortLeast = 10_240
	serverPorts     = 20_000
)

var portsTried atomic.Int64

// freeAddress returns an address of loopback on which nothing listens.
func freeAddress() (string, error) {
	var failed error
	for range serverPorts {
		port := serverPortLeast + (int64(os.Getpid())*101+portsTried.Add(1))%serverPorts
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
		failed = err
	}
	return "", failed
}

func (s *servers) start(ctx context.Context, via func(from, to int) string) error {
	s.via = via
	for k := range s.addresses {
		if err := s.revive(ctx, k); err != nil {
			return err
		}
	}
	return nil
}

func (s *servers) revive(ctx context.Context, k int) error {
	r, err := s.launch(ctx, s.options(k))
	if err != nil {
		return fmt.Errorf("server %d: %w", k, err)
	}
	s.mu.Lock()
	s.running[k] = r
	s.mu.Unlock()
	for end := time.Now().Add(listenTimeout); ; time.Sleep(settleInterval) {
		err := s.answers(ctx, k)
		if err == nil {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("server %d: %w", k, err)
		}
	}
}

func serverName(k int) string { return fmt.Sprintf("server-%d", k) }

// answers requests the status of a server, and reports whether another one answers at its address.
func (s *servers) answers(ctx context.Context, k int) error {
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
		return fmt.Errorf("%q answers at its address", status.Server)
	}
	return nil
}

// statusClient keeps no connection open, which would delay a server's end.
var statusClient = &http.Client{Timeout: listenTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// options returns the options of one server: the writer reads the folder, the others follow it and each other.
func (s *servers) options(k int) configserver.Options {
	o := configserver.Options{Name: serverName(k), Region: regionName(s.plan.serverRegion(k)), Listen: s.addresses[k],
		StateFile: filepath.Join(s.state, fmt.Sprint(k))}
	if k == 0 {
		o.Folder = s.folder
		return o
	}
	for step := range min(maxFollowed, s.plan.Servers-1) {
		to := 0
		if step > 0 { // not itself, and not the writer again
			to = 1 + (k-1+step)%(s.plan.Servers-1)
		}
		o.Follow = append(o.Follow, configclient.Server{Address: s.via(k, to), Region: regionName(s.plan.serverRegion(to))})
	}
	return o
}

func (s *servers) publish(service int, body []byte) error {
	return s.publishAs(serviceName(service), body)
}

func (s *servers) publishAs(name string, body []byte) error {
	return renameio.WriteFile(filepath.Join(s.folder, name+".json"), body, 0o600)
}

func (s *servers) kill(k int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.running[k]
	s.running[k] = nil
	if r == nil {
		return errors.New("it does not run")
	}
	if r.pid > 0 {
		spent, err := processUsage(r.pid)
		if err != nil {
			return err
		}
		spent.resident = 0
		s.retired[k] = s.retired[k].plus(spent)
	}
	return r.kill()
}

// usage returns what one server has spent in all its incarnations, and its memory if it runs.
func (s *servers) usage(k int) (usage, error) {
	s.mu.Lock()
	r, spent := s.running[k], s.retired[k]
	s.mu.Unlock()
	if r == nil || r.pid == 0 {
		return spent, nil
	}
	now, err := processUsage(r.pid)
	return spent.plus(now), err
}

// pids returns the processes of the servers.
func (s *servers) pids() (pids []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.running {
		if r != nil && r.pid > 0 {
			pids = append(pids, r.pid)
		}
	}
	return pids
}

func (s *servers) stop() {
	for _, r := range s.running {
		if r != nil {
			r.end()
		}
	}
}

// ServeHere runs servers in this process.
func ServeHere(ctx context.Context, o configserver.Options) (*runningServer, error) {
	s, err := configserver.New(o)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	kill := func() error {
		stop()
		return <-ended
	}
	return &runningServer{kill: kill, end: func() { kill() }}, nil
}

// ServeAs runs servers as processes of the product's program.
func ServeAs(program string, log io.Writer) ServerLaunch {
	return func(ctx context.Context, o configserver.Options) (*runningServer, error) {
		c := exec.CommandContext(ctx, program, serverArguments(o)...)
		c.Stderr = log
		c.Cancel = func() error { return c.Process.Signal(syscall.SIGTERM) }
		c.WaitDelay = endTimeout
		if err := c.Start(); err != nil {
			return nil, err
		}
		kill := func() error {
			err := c.Process.Kill()
			c.Wait() // it was killed, which is an error there
			return err
		}
		end := func() {
			c.Process.Signal(syscall.SIGTERM)
			c.Wait()
		}
		return &runningServer{pid: c.Process.Pid, kill: kill, end: end}, nil
	}
}

func serverArguments(o configserver.Options) []string {
	arguments := []string{"configserver", "--name", o.Name, "--region", o.Region, "--listen", o.Listen, "--state", o.StateFile}
	if o.Folder != "" {
		return append(arguments, "--folder", o.Folder)
	}
	var follow []string
	for _, s := range o.Follow {
		follow = append(follow, s.Address+"="+s.Region)
	}
	return append(arguments, "--follow", strings.Join(follow, ","))
}
