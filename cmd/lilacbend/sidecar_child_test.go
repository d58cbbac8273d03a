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

// shop writes a sidecar's manifest with one replica.
func shop(t *testing.T, file, listen, replica string) {
	t.Helper()
	text := fmt.Sprintf(`
name: shop
proxy: 0
zone: a
listen: {http1: %q}
replicas: [{id: r0, zone: a, address: %q}]
groups: [{name: payout, effect: non-retriable, latency_budget: 10s, expiry: 1m}]
rules: [{group: payout}]
`, listen, replica)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A manifest that is missing or incomplete at SIGHUP is read again until it is complete, without a second SIGHUP.
func TestSidecarManifestIsReadAgain(t *testing.T) {
	listen, file := scriptedpeer.FreeAddress(t), filepath.Join(t.TempDir(), "shop.yaml")
	shop(t, file, listen, "127.0.0.1:9")
	c := program(t, nil, "sidecar", "--manifest", file)
	scriptedpeer.DialWhenUp(t, listen)
	for k, spoil := range []func() error{func() error { return os.Remove(file) }, func() error { return os.WriteFile(file, []byte("name: sh"), 0o600) }} {
		if err := spoil(); err != nil {
			t.Fatal(err)
		}
		c.signal(syscall.SIGHUP)
		scriptedpeer.WaitFor(t, "it is not said", func() bool { return c.out.times("cannot be used") == k+1 })
		shop(t, file, listen, "127.0.0.1:9")
		scriptedpeer.WaitFor(t, "it is not taken over", func() bool { return c.out.times("rules taken over") == k+1 })
	}
	if c.expectExit(syscall.SIGTERM); c.out.times("cannot be used") != 2 {
		t.Error(c.out)
	}
}

// SIGTERM with a request in flight, and once more with a SIGHUP while it drains: the request gets its complete answer, which
// closes the connection, and the exit is clean.
func TestSidecarSIGTERMTwiceWithRequestInFlight(t *testing.T) {
	replica, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := filepath.Join(t.TempDir(), "shop.yaml")
	shop(t, file, listen, replica.Address())
	c := program(t, nil, "sidecar", "--manifest", file)
	client := scriptedpeer.DialWhenUp(t, listen)
	client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
	flow := replica.AcceptConn()
	flow.ReadRequestHead()
	c.signal(syscall.SIGTERM)
	c.until("sidecar draining")
	c.signal(syscall.SIGTERM, syscall.SIGHUP)
	flow.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	resp, err := http.ReadResponse(client.Reader, nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
	client.Close()
	if c.expectExit(); !c.logged("lost=0") {
		t.Error(c.out)
	}
}

// SIGTERM at a collector with sidecars and an unreachable controller: the exit is clean and in time.
func TestCollectorSIGTERM(t *testing.T) {
	listen := scriptedpeer.FreeAddress(t)
	c := program(t, nil, "collector", "--zone", "a", "--listen", listen, "--governor", scriptedpeer.FreeAddress(t), "--every", "50ms")
	sidecar := scriptedpeer.DialWhenUp(t, listen)
	sidecar.Send("met target b count 3 fail 1 mean 10")
	c.expectExit(syscall.SIGTERM)
	sidecar.WaitForClose()
}
