package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// runAsProgramEnv is the environment variable that makes the test binary run as lilacbend, so that tests can check the
// signal handling and the exit code of a process.
const runAsProgramEnv = "LILACBEND_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// killDelay is the time after SIGTERM at which a platform may send SIGKILL.
const killDelay = 700 * time.Millisecond

// childProcess is the program running in its own process.
type childProcess struct {
	*exec.Cmd
	t      testing.TB
	log    *scriptedpeer.LogBuffer // standard error of the process
	exited chan error              // receives the result of Wait
}

// startProgram starts the program with additional environment variables and arguments.
func startProgram(t testing.TB, env []string, args ...string) *childProcess {
	t.Helper()
	c := &childProcess{exec.Command(os.Args[0], args...), t, &scriptedpeer.LogBuffer{}, make(chan error, 1)}
	// By default the race detector delays the exit of a program by 1 s, which the time limit of expectExit does not allow
	// for.
	c.Env = append(append(os.Environ(), runAsProgramEnv+"=1", "GORACE=atexit_sleep_ms=0"), env...)
	stderr, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		io.Copy(struct{ io.Writer }{c.log}, stderr) // hides the promoted ReadFrom of bytes.Buffer, which does not lock
		c.exited <- c.Wait()
	}()
	t.Cleanup(func() { c.Process.Kill() })
	return c
}

// startController starts a controller with a configuration file.
func startController(t testing.TB, file string) *childProcess {
	return startProgram(t, []string{"PROXY_CONFIG=" + file})
}

func (c *childProcess) logged(text string) bool { return c.log.Contains(text) }

// waitForLog waits until the log contains a text.
func (c *childProcess) waitForLog(text string) *childProcess {
	c.t.Helper()
	scriptedpeer.WaitFor(c.t, "the log does not contain "+text, func() bool { return c.logged(text) })
	return c
}

// signal sends signals to the process.
func (c *childProcess) signal(signals ...syscall.Signal) {
	for _, s := range signals {
		c.Process.Signal(s)
	}
}

// stop stops the process, and waits until all of its threads stand still: SIGSTOP alone lets them run on for a moment.
func (c *childProcess) stop() {
	c.t.Helper()
	c.signal(syscall.SIGSTOP)
	scriptedpeer.WaitFor(c.t, "the process runs on after SIGSTOP", c.stopped)
}

// resume lets a stopped process go on.
func (c *childProcess) resume() { c.signal(syscall.SIGCONT) }

// stopped reports whether all threads of the process are stopped (see proc_pid_stat(5)).
func (c *childProcess) stopped() bool {
	c.t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", c.Process.Pid))
	if err != nil || len(threads) == 0 {
		c.t.Fatalf("no threads of process %d: %v", c.Process.Pid, err)
	}
	for _, thread := range threads {
		status, err := os.ReadFile(thread)
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) { // the thread has ended
			continue
		}
		if err != nil {
			c.t.Fatal(err)
		}
		_, fields, _ := bytes.Cut(status, []byte(") ")) // the name of the program, in parentheses, precedes the state
		if !bytes.HasPrefix(fields, []byte("T")) {
			return false
		}
	}
	return true
}

// expectExit sends signals and waits for the exit. The exit code has to be 0, and the exit has to come within killDelay if
// there are signals.
func (c *childProcess) expectExit(signals ...syscall.Signal) {
	c.t.Helper()
	start := time.Now()
	c.signal(signals...)
	select {
	case err := <-c.exited:
		if elapsed := time.Since(start); err != nil || len(signals) > 0 && elapsed > killDelay {
			c.t.Errorf("process exited after %v: %v: %s", elapsed, err, c.log)
		}
	case <-time.After(scriptedpeer.WaitTimeout):
		c.t.Errorf("process did not exit within %v", scriptedpeer.WaitTimeout)
	}
}

// exampleFile returns the example's configuration file as decoded JSON.
func exampleFile(t testing.TB) (file map[string]any) {
	t.Helper()
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	return file
}

// exampleWith returns the example's configuration file with the given top-level values replaced.
func exampleWith(t testing.TB, values map[string]any) []byte {
	t.Helper()
	file := exampleFile(t)
	maps.Copy(file, values)
	raw, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// writeExampleConfiguration writes the example's configuration file with the given top-level values replaced, and returns
// its path.
func writeExampleConfiguration(t testing.TB, values map[string]any) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, exampleWith(t, values), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// exampleList returns the example's list of replicas in the format of the service discovery, with one replica draining.
func exampleList(t testing.TB, revision int, draining string) string {
	t.Helper()
	known := exampleFile(t)["known"].(map[string]any)
	known["revision"] = revision
	for _, m := range known["members"].([]any) {
		if m := m.(map[string]any); m["id"] == draining {
			m["phase"] = "Terminating"
		}
	}
	raw, err := json.Marshal(known)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
