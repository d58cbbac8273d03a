package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseRun is one run of a case: its record, its temporary folder and the processes that it has started.
type caseRun struct {
	trouble bool   // false: TROUBLE=0, the same without the disruption
	dir     string // temporary folder
	start   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	broken    []string
	processes []*exec.Cmd
}

// execute runs a case, writes its record to the folder, and returns the exit status.
func execute(run func(c *caseRun) error, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer os.RemoveAll(dir)
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: bufio.NewWriter(file)}
	defer c.record.Flush()
	c.note("trouble=%v", c.trouble)
	err = run(c)
	c.stopProcesses()
	if err != nil {
		c.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitCannotRun
	}
	for _, text := range c.broken {
		c.note("BROKEN %s", text)
	}
	fmt.Printf("rule broken %d times\n", len(c.broken))
	c.note("rule broken %d times", len(c.broken))
	if len(c.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// note writes one line to the record, with the time since the start in seconds.
func (c *caseRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (c *caseRun) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.note("%s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// deployCommand returns the value of a key of the deploy file.
func deployCommand(key string) (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(raw)
	if found == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
	}
	return string(found[1]), nil
}

// program returns the program that the deploy file's run command starts.
func program() (string, error) {
	run, err := deployCommand("run")
	if err != nil {
		return "", err
	}
	words := strings.Fields(run)
	if len(words) < 2 || words[0] != "exec" {
		return "", fmt.Errorf("run command %q does not begin with exec", run)
	}
	return filepath.Abs(words[1])
}

// startCommand starts a shell command with additional environment variables. Its log goes to a file of the temporary folder.
func (c *caseRun) startCommand(name, command string, environment ...string) (*exec.Cmd, error) {
	return c.startProcess(name, exec.Command("/bin/sh", "-c", command), environment...)
}

func (c *caseRun) startProcess(name string, cmd *exec.Cmd, environment ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c.note("started %s, process %d", name, cmd.Process.Pid)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, cmd)
	return cmd, nil
}

// stopProcesses ends all processes, the last one first.
func (c *caseRun) stopProcesses() {
	for k := len(c.processes) - 1; k >= 0; k-- {
		cmd := c.processes[k]
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Signal(syscall.SIGTERM)
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		select {
		case <-ended:
		case <-time.After(2 * time.Second):
			cmd.Process.Kill()
			<-ended
		}
	}
}

// freeAddress returns a loopback address on which nobody listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// awaitListener waits until somebody listens on an address.
func awaitListener(address string) error {
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}
