package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lilacbend/lab/peers"
)

// asProgram has the test's own program be lilacbend: signals and exit codes are those of a real process.
const asProgram = "LILACBEND_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// partingLimit is when a platform may kill what it has told to end.
const partingLimit = 700 * time.Millisecond

// child is a governor in a process of its own.
type child struct {
	t    testing.TB
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  strings.Builder
	over chan struct{} // its log has ended
}

// run starts the program with arguments and a configuration.
func run(t testing.TB, file string, args ...string) *child {
	t.Helper()
	c := &child{t: t, cmd: exec.Command(os.Args[0], args...), over: make(chan struct{})}
	// The race detector waits for 1 s at the end of a program, which is not ours to count.
	c.cmd.Env = append(os.Environ(), asProgram+"=1", "PROXY_CONFIG="+file, "GORACE=atexit_sleep_ms=0")
	out, err := c.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(c.over)
		for r := bufio.NewScanner(out); r.Scan(); {
			c.mu.Lock()
			c.log.WriteString(r.Text() + "\n")
			c.mu.Unlock()
		}
	}()
	t.Cleanup(func() { c.cmd.Process.Kill() })
	return c
}

func (c *child) says(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Contains(c.log.String(), text)
}

// until waits for a line of the log.
func (c *child) until(text string) *child {
	c.t.Helper()
	peers.Until(c.t, "the log does not say "+text, func() bool { return c.says(text) })
	return c
}

// ends sends signals and waits for the end: the exit code, in time.
func (c *child) ends(code int, signals ...syscall.Signal) {
	c.t.Helper()
	begun := time.Now()
	for _, s := range signals {
		c.cmd.Process.Signal(s)
	}
	<-c.over
	err := c.cmd.Wait()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) && exit.ExitCode() != code || err == nil && code != 0 {
		c.t.Errorf("ended with %v, want %d: %s", err, code, c.log.String())
	}
	if span := time.Since(begun); len(signals) > 0 && span > partingLimit {
		c.t.Errorf("it took %v to end: %s", span, c.log.String())
	}
}

// configured writes the example's configuration with some values of its own, and names the file.
func configured(t testing.TB, values map[string]any) string {
	t.Helper()
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var file map[string]any
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	for k, v := range values {
		file[k] = v
	}
	if raw, err = json.Marshal(file); err != nil {
		t.Fatal(err)
	}
	at := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(at, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return at
}

// exampleList is the example's list of replicas as discovery would write it, one of them draining.
func exampleList(t testing.TB, revision int, drains string) string {
	t.Helper()
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Known struct {
			Revision int              `json:"revision"`
			Complete bool             `json:"complete"`
			Members  []map[string]any `json:"members"`
		}
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	file.Known.Revision = revision
	for _, m := range file.Known.Members {
		if m["id"] == drains {
			m["phase"] = "Terminating"
		}
	}
	if raw, err = json.Marshal(file.Known); err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
