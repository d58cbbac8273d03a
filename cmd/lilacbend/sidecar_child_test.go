package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"lilacbend/experiment/scriptedpeer"
)

// writeManifest writes a sidecar's manifest with one replica. The protocol is that of the listener, http1 or http2.
func writeManifest(t *testing.T, file, protocol, listen, replica string) {
	t.Helper()
	text := fmt.Sprintf(`
name: shop
proxy: 0
zone: a
listen: {%s: %q}
replicas: [{id: r0, zone: a, address: %q}]
groups: [{name: payout, effect: non-retriable, latency_budget: 10s, expiry: 1m}]
rules: [{group: payout}]
`, protocol, listen, replica)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A manifest that is missing or incomplete at SIGHUP is read again until it is complete, without a second SIGHUP.
func TestSidecarManifestIsReadAgain(t *testing.T) {
	listen, file := scriptedpeer.FreeAddress(t), filepath.Join(t.TempDir(), "shop.yaml")
	writeManifest(t, file, "http1", listen, "127.0.0.1:9")
	process := startProgram(t, nil, "sidecar", "--manifest", file)
	scriptedpeer.DialWhenUp(t, listen)
	for k, makeUnusable := range []func() error{func() error { return os.Remove(file) }, func() error { return os.WriteFile(file, []byte("name: sh"), 0o600) }} {
		if err := makeUnusable(); err != nil {
			t.Fatal(err)
		}
		process.signal(syscall.SIGHUP)
		scriptedpeer.WaitFor(t, "the failed reload is not logged once for the signal", func() bool { return process.log.Count("manifest reload failed") == k+1 })
		writeManifest(t, file, "http1", listen, "127.0.0.1:9")
		scriptedpeer.WaitFor(t, "the rules are not reloaded once", func() bool { return process.log.Count("manifest rules reloaded") == k+1 })
	}
	if process.expectExit(syscall.SIGTERM); process.log.Count("manifest reload failed") != 2 {
		t.Errorf("the log does not have two failed reloads: %s", process.log)
	}
}

// A sidecar receives SIGTERM with a request in flight, and SIGTERM and SIGHUP while it drains. The client receives the
// complete response, which closes the connection, and the exit is clean.
func TestSidecarSIGTERMTwiceWithRequestInFlight(t *testing.T) {
	replica, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := filepath.Join(t.TempDir(), "shop.yaml")
	writeManifest(t, file, "http1", listen, replica.Address())
	process := startProgram(t, nil, "sidecar", "--manifest", file)
	client := scriptedpeer.DialWhenUp(t, listen)
	client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
	upstream := replica.AcceptConn()
	upstream.ReadRequestHead()
	process.signal(syscall.SIGTERM)
	process.waitForLog("sidecar draining")
	process.signal(syscall.SIGTERM, syscall.SIGHUP)
	upstream.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	response, err := http.ReadResponse(client.Reader, nil)
	if err != nil || response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("response is %+v, error %v, want status 200 and a closed connection", response, err)
	}
	client.Close()
	if process.expectExit(); !process.logged("lost=0") {
		t.Errorf("the log does not contain lost=0: %s", process.log)
	}
}

// A collector with a connected sidecar and an unreachable controller exits cleanly and in time after SIGTERM.
func TestCollectorSIGTERM(t *testing.T) {
	listen := scriptedpeer.FreeAddress(t)
	process := startProgram(t, nil, "collector", "--zone", "a", "--listen", listen, "--governor", scriptedpeer.FreeAddress(t), "--every", "50ms")
	sidecar := scriptedpeer.DialWhenUp(t, listen)
	sidecar.Send("met target b count 3 fail 1 mean 10")
	process.expectExit(syscall.SIGTERM)
	sidecar.WaitForClose()
}
