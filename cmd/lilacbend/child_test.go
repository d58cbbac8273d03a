package main

import (
	"encoding/json"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// asProgram makes the test binary run as lilacbend, so that signals and exit codes are those of a process.
const asProgram = "LILACBEND_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// partingLimit is how long after SIGTERM a platform may send SIGKILL.
const partingLimit = 700 * time.Millisecond

// child is the program in its own process.
type child struct {
	*exec.Cmd
	t    testing.TB
	out  *lines // its log
	over chan error
}

// program starts the program with an environment and arguments.
func program(t testing.TB, env []string, args ...string) *child {
	t.Helper()
	c := &child{exec.Command(os.Args[0], args...), t, &lines{}, make(chan error, 1)}
	// The race detector waits for 1 s at the end of a program, which is not ours to count.
	c.Env = append(append(os.Environ(), asProgram+"=1", "GORACE=atexit_sleep_ms=0"), env...)
	stderr, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		io.Copy(struct{ io.Writer }{c.out}, stderr) // its Write alone locks
		c.over <- c.Wait()
	}()
	t.Cleanup(func() { c.Process.Kill() })
	return c
}

// run starts a controller with a configuration.
func run(t testing.TB, file string) *child { return program(t, []string{"PROXY_CONFIG=" + file}) }

func (c *child) logged(text string) bool { return c.out.has(text) }

// until waits for a text in the log.
func (c *child) until(text string) *child {
	c.t.Helper()
	scriptedpeer.WaitFor(c.t, "the log does not say "+text, func() bool { return c.logged(text) })
	return c
}

// signal sends signals.
func (c *child) signal(signals ...syscall.Signal) {
	for _, s := range signals {
		c.Process.Signal(s)
	}
}

// expectExit sends signals and waits for the exit, with code 0 and, after a signal, in time.
func (c *child) expectExit(signals ...syscall.Signal) {
	c.t.Helper()
	begun := time.Now()
	c.signal(signals...)
	select {
	case err := <-c.over:
		if span := time.Since(begun); err != nil || len(signals) > 0 && span > partingLimit {
			c.t.Errorf("ended after %v: %v: %s", span, err, c.out)
		}
	case <-time.After(scriptedpeer.WaitTimeout):
		c.t.Error("it does not end")
	}
}

// example returns the example's configuration.
func example(t testing.TB) (file map[string]any) {
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

// exampleWith returns the example's configuration with other values at some keys.
func exampleWith(t testing.TB, values map[string]any) []byte {
	t.Helper()
	file := example(t)
	maps.Copy(file, values)
	raw, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// configured writes the example's configuration with other values at some keys, and returns the file's name.
func configured(t testing.TB, values map[string]any) string {
	t.Helper()
	at := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(at, exampleWith(t, values), 0o600); err != nil {
		t.Fatal(err)
	}
	return at
}

// exampleList returns the example's list of replicas in discovery's format, with one of them draining.
func exampleList(t testing.TB, revision int, drains string) string {
	t.Helper()
	known := example(t)["known"].(map[string]any)
	known["revision"] = revision
	for _, m := range known["members"].([]any) {
		if m := m.(map[string]any); m["id"] == drains {
			m["phase"] = "Terminating"
		}
	}
	raw, err := json.Marshal(known)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
