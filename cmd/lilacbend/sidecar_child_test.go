package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"lilacbend/lab/peers"
)

// process starts the program and keeps its log.
func process(t *testing.T, args ...string) (*exec.Cmd, *lines) {
	log := &lines{}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1", "GORACE=atexit_sleep_ms=0") // see run
	cmd.Stderr = struct{ io.Writer }{log}                                      // what it has besides writing is not locked
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return cmd, log
}

// SIGTERM finds a flow in flight, and comes once more during the drain, with a SIGHUP: the flow has its whole answer, that
// says that it was the last, and the exit is a clean one.
func TestASidecarIsToldToEndTwiceWithAFlowInFlight(t *testing.T) {
	replica, listen := peers.Listen(t), peers.Free(t)
	file := filepath.Join(t.TempDir(), "shop.yaml")
	text := fmt.Sprintf(`
name: shop
proxy: 0
zone: a
listen: {http1: %q}
replicas: [{id: r0, zone: a, address: %q}]
groups: [{name: payout, effect: non-retriable, latency_budget: 10s, expiry: 1m}]
rules: [{group: payout}]
`, listen, replica.At())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := process(t, "sidecar", "--manifest", file)
	client := peers.DialWhenUp(t, listen)
	client.Raw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
	flow := replica.Take()
	flow.Request()
	cmd.Process.Signal(syscall.SIGTERM)
	peers.Until(t, "it does not drain", func() bool { return log.has("sidecar drains") })
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	flow.Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	resp, err := http.ReadResponse(client.Read, nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
	client.Close()
	if err := cmd.Wait(); err != nil || !log.has("lost=0") {
		t.Errorf("%v: %s", err, log.String())
	}
}

// SIGTERM finds a collector with sidecars and with a governor that is not there: the exit is clean, and soon.
func TestACollectorIsToldToEnd(t *testing.T) {
	listen := peers.Free(t)
	cmd, log := process(t, "collector", "--zone", "a", "--listen", listen, "--governor", peers.Free(t), "--every", "50ms")
	sidecar := peers.DialWhenUp(t, listen)
	sidecar.Say("met target b count 3 fail 1 mean 10")
	began := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || time.Since(began) > 700*time.Millisecond {
		t.Errorf("%v after %v: %s", err, time.Since(began), log.String())
	}
	sidecar.Ends()
}
