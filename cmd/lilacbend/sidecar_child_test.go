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

// shop writes a sidecar's file with one replica.
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

// A file that is missing or half written when SIGHUP comes is taken over once it is whole, without a second SIGHUP.
func TestSidecarManifestIsReadAgain(t *testing.T) {
	listen, file := scriptedpeer.Free(t), filepath.Join(t.TempDir(), "shop.yaml")
	shop(t, file, listen, "127.0.0.1:9")
	c := program(t, nil, "sidecar", "--manifest", file)
	scriptedpeer.DialWhenUp(t, listen)
	for k, spoil := range []func() error{func() error { return os.Remove(file) }, func() error { return os.WriteFile(file, []byte("name: sh"), 0o600) }} {
		if err := spoil(); err != nil {
			t.Fatal(err)
		}
		c.tell(syscall.SIGHUP)
		scriptedpeer.Until(t, "it is not said", func() bool { return c.out.times("cannot be used") == k+1 })
		shop(t, file, listen, "127.0.0.1:9")
		scriptedpeer.Until(t, "it is not taken over", func() bool { return c.out.times("rules taken over") == k+1 })
	}
	if c.ends(syscall.SIGTERM); c.out.times("cannot be used") != 2 {
		t.Error(c.out)
	}
}

// SIGTERM finds a flow in flight, and comes once more during the drain, with a SIGHUP: the flow has its whole answer, that
// says that it was the last, and the exit is a clean one.
func TestSidecarSIGTERMTwiceWithRequestInFlight(t *testing.T) {
	replica, listen := scriptedpeer.Listen(t), scriptedpeer.Free(t)
	file := filepath.Join(t.TempDir(), "shop.yaml")
	shop(t, file, listen, replica.At())
	c := program(t, nil, "sidecar", "--manifest", file)
	client := scriptedpeer.DialWhenUp(t, listen)
	client.Raw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
	flow := replica.Take()
	flow.Request()
	c.tell(syscall.SIGTERM)
	c.until("sidecar drains")
	c.tell(syscall.SIGTERM, syscall.SIGHUP)
	flow.Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	resp, err := http.ReadResponse(client.Read, nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
	client.Close()
	if c.ends(); !c.says("lost=0") {
		t.Error(c.out)
	}
}

// SIGTERM finds a collector with sidecars and with a governor that is not there: the exit is clean, and soon.
func TestCollectorSIGTERM(t *testing.T) {
	listen := scriptedpeer.Free(t)
	c := program(t, nil, "collector", "--zone", "a", "--listen", listen, "--governor", scriptedpeer.Free(t), "--every", "50ms")
	sidecar := scriptedpeer.DialWhenUp(t, listen)
	sidecar.Say("met target b count 3 fail 1 mean 10")
	c.ends(syscall.SIGTERM)
	sidecar.Ends()
}
