package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site holds what one case has started: a temporary folder, the record and the processes.
type site struct {
	dir     string
	record  *record
	trouble bool // false: the same without the disruption

	mu        sync.Mutex
	processes []*process
	stopped   bool
}

func newSite(recordFile string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordFile)
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return &site{dir: dir, record: r, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// stop ends all processes that the case started, removes its folder and closes its record.
func (s *site) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	for _, p := range s.processes {
		p.kill()
	}
	os.RemoveAll(s.dir)
	s.record.close()
}

// write writes a file in the folder of the case and returns its path.
func (s *site) write(name, content string) string {
	path := filepath.Join(s.dir, name)
	temporary := path + ".new"
	must(os.WriteFile(temporary, []byte(content), 0o600))
	must(os.Rename(temporary, path))
	return path
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) string {
	file, err := os.Open("deploy/balancer.toml")
	must(err)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		value, found := strings.CutPrefix(lines.Text(), key+" = \"")
		if found {
			return value[:strings.LastIndexByte(value, '"')]
		}
	}
	panic("deploy/balancer.toml has no " + key)
}

// process is one of the project's programs.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a shell command, which has to end in exec, with an environment in addition to that of the case.
func (s *site) start(name, command string, env ...string) *process {
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	must(err)
	defer log.Close()
	p := &process{name: name, ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	must(p.cmd.Start())
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	s.record.printf("started %s as process %d: %s", name, p.cmd.Process.Pid, command)
	return p
}

func (p *process) signal(sig syscall.Signal) { p.cmd.Process.Signal(sig) }

// running reports whether the process has not ended yet.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if !p.running() {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// logTail returns the last lines of a process's log.
func (s *site) logTail(name string, lines int) string {
	raw, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
	all := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// awaitListener waits until something accepts connections at an address.
func awaitListener(address string) {
	for range 200 {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			conn.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic("nothing listens at " + address)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// at returns a time as seconds since the start of the case.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{r.at(time.Now())}, args...)...)
}

// verdict writes a line to the record and to standard output.
func (r *record) verdict(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() { must(errors.Join(r.out.Flush(), r.file.Close())) }
