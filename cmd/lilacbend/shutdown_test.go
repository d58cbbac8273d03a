package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"lilacbend/experiment/scriptedpeer"
)

// Shutdowns and starts that race with something else, in real processes.

// A controller that waits for an address in use exits cleanly at SIGTERM; without a signal it listens once the address is free.
func TestSIGTERMWhileAddressIsInUse(t *testing.T) {
	for name, end := range map[string][]syscall.Signal{"term": {syscall.SIGTERM}, "hangup, term, term": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}} {
		l := scriptedpeer.Listen(t)
		c := run(t, configured(t, map[string]any{"listen": l.Address(), "discovery": "127.0.0.1:1"})).until("the address is in use")
		c.expectExit(end...)
		if c.logged("msg=serving") {
			t.Errorf("%s: it serves", name)
		}
	}
	l := scriptedpeer.Listen(t)
	c := run(t, configured(t, map[string]any{"listen": l.Address(), "discovery": "127.0.0.1:1"})).until("the address is in use")
	l.Close()
	conn := scriptedpeer.DialWhenUp(t, l.Address())
	conn.Send("probe")
	conn.WaitForMessage("alive")
	c.expectExit(syscall.SIGTERM)
}

// The shutdown does not wait for a proxy that does not read, an incomplete message, a rejected peer, a collector in the middle
// of a report, or discovery in the middle of a body; further signals change nothing. The address is free at once.
func TestShutdownWithAllInFlight(t *testing.T) {
	disco, at := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	var members []map[string]any
	for k := range 3000 {
		members = append(members, map[string]any{"id": fmt.Sprint(strings.Repeat("replica-", 12), k), "host_port": "127.0.0.1:9", "locality": "a",
			"flavor": "m1", "cell": 1, "phase": "Ready", "size": 1.0, "up_since_ms": 0})
	}
	file := configured(t, map[string]any{"listen": at, "discovery": disco.Address(), "known": map[string]any{"revision": 1, "complete": true, "members": members}})
	for range 2 { // the second is the successor of the first
		c := run(t, file)
		call := disco.AcceptConn()
		call.ReadRequestHead()
		call.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"revision\":2,")
		var open []*scriptedpeer.Conn
		for id, says := range []string{"hello id 0 site a rps 2 new 1", "hello id 1 site a rps 2 new 1", "agent site a", "nonsense"} {
			conn := scriptedpeer.DialWhenUp(t, at)
			if open = append(open, conn); id == 0 {
				conn.ShrinkBuffers()
			}
			conn.Send(says)
		}
		open[1].WaitForMessage("push full 1 endpoints replica-")
		open[1].SendRaw("*7\r\n$3\r\nack\r\n$2\r\ni")
		open[2].SendRaw("*11\r\n$8\r\noutcomes\r\n$4\r\nsi")
		open[3].WaitForMessage("error")
		c.expectExit(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
		if l, err := net.Listen("tcp", at); err != nil {
			t.Errorf("the address is not free: %v", err)
		} else {
			l.Close()
		}
		if !c.logged("msg=counters") {
			t.Error("no counters at the end")
		}
		call.Reset()
		for _, conn := range open {
			conn.Close()
		}
	}
}

// A restarted controller serves reconnected proxies from its known list before discovery answers; a drain that discovery then
// reports reaches them at once. The acks are of nonces of an earlier incarnation. The controller may read that of nonce 1 before
// or after it has sent its own nonce 1; in the second case the proxy counts as bound and receives the drain as a weight of 0.
func TestProxiesReconnectBeforeDiscoveryAnswers(t *testing.T) {
	disco, at := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := configured(t, map[string]any{"listen": at, "discovery": disco.Address()})
	c := run(t, file)
	call := disco.AcceptConn()
	call.ReadRequestHead()
	proxy := scriptedpeer.DialWhenUp(t, at)
	proxy.Send("hello id 3 site a rps 20 new 0", "ack id 3 seq 1 ms 1", "ack id 3 seq 77 ms 1", "demand id 3 lane lookup count 9 fail 0 over 500")
	if text := proxy.WaitForMessage("push"); !strings.Contains(text, "endpoints") || !strings.Contains(text, "box-2:") {
		t.Errorf("told %q", text)
	}
	body := `{"revision":99,"complete":false,"members":[]}`
	call.SendRaw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)) // changes, where all of it was asked for
	call.WaitForClose()
	call = disco.AcceptConn()
	if first := call.ReadRequestHead(); strings.Contains(first, "since") {
		t.Errorf("asked %q before it has a list from discovery", first)
	}
	body = exampleList(t, 100, "box-2")
	call.SendRaw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	for !withdraws(strings.Fields(proxy.WaitForMessage("push")), "box-2") {
	}
	c.expectExit(syscall.SIGTERM)
}
