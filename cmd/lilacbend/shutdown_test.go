package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"lilacbend/experiment/scriptedpeer"
)

// The tests in this file check starts and shutdowns that race with other events, in processes of their own.

// A controller that waits for an address in use exits cleanly at SIGTERM; without a signal it listens once the address is
// free.
func TestSIGTERMWhileAddressIsInUse(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{"SIGTERM": {syscall.SIGTERM}, "SIGHUP, SIGTERM, SIGTERM": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}} {
		listener := scriptedpeer.Listen(t)
		process := startController(t, writeExampleConfiguration(t, map[string]any{"listen": listener.Address(), "discovery": "127.0.0.1:1"})).waitForLog("listen address is in use")
		process.expectExit(signals...)
		if process.logged("controller serving") {
			t.Errorf("%s: the controller serves", name)
		}
	}
	listener := scriptedpeer.Listen(t)
	process := startController(t, writeExampleConfiguration(t, map[string]any{"listen": listener.Address(), "discovery": "127.0.0.1:1"})).waitForLog("listen address is in use")
	listener.Close()
	conn := scriptedpeer.DialWhenUp(t, listener.Address())
	conn.Send("probe")
	conn.WaitForMessage("alive")
	process.expectExit(syscall.SIGTERM)
}

// The shutdown does not wait for a proxy that does not read, an incomplete message, a rejected peer, a collector in the
// middle of a report, or a response of discovery in the middle of its body. Further signals change nothing. The address is
// free at once.
func TestShutdownWithUnfinishedMessages(t *testing.T) {
	discovery, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	var members []map[string]any
	for k := range 3000 {
		members = append(members, map[string]any{"id": fmt.Sprint(strings.Repeat("replica-", 12), k), "host_port": "127.0.0.1:9", "locality": "a",
			"flavor": "m1", "cell": 1, "phase": "Ready", "size": 1.0, "up_since_ms": 0})
	}
	file := writeExampleConfiguration(t, map[string]any{"listen": listen, "discovery": discovery.Address(), "known": map[string]any{"revision": 1, "complete": true, "members": members}})
	for range 2 { // the second is the successor of the first
		process := startController(t, file)
		call := discovery.AcceptConn()
		call.ReadRequestHead()
		call.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"revision\":2,")
		var conns []*scriptedpeer.Conn
		for id, message := range []string{"hello id 0 site a rps 2 new 1", "hello id 1 site a rps 2 new 1", "agent site a", "nonsense"} {
			conn := scriptedpeer.DialWhenUp(t, listen)
			if conns = append(conns, conn); id == 0 {
				conn.ShrinkBuffers()
			}
			conn.Send(message)
		}
		conns[1].WaitForMessage("push full 1 endpoints replica-")
		conns[1].SendRaw("*7\r\n$3\r\nack\r\n$2\r\ni")
		conns[2].SendRaw("*11\r\n$8\r\noutcomes\r\n$4\r\nsi")
		conns[3].WaitForMessage("error")
		process.expectExit(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
		if listener, err := net.Listen("tcp", listen); err != nil {
			t.Errorf("the address is not free after the exit: %v", err)
		} else {
			listener.Close()
		}
		if !process.logged("msg=counters") {
			t.Error("no counters in the log after the shutdown")
		}
		call.Reset()
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// A proxy reconnects to a restarted controller before discovery answers. The controller serves it from the list of replicas
// in the configuration file, and sends it a drain as soon as discovery reports one. The proxy still sends acks for nonces
// that it received before the restart. The controller may read the ack of nonce 1 before or after it has sent a nonce 1
// itself. In the second case it accepts the ack, considers the proxy bound, and sends it the drain as a weight of 0.
func TestProxiesReconnectBeforeDiscoveryAnswers(t *testing.T) {
	discovery, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := writeExampleConfiguration(t, map[string]any{"listen": listen, "discovery": discovery.Address()})
	process := startController(t, file)
	call := discovery.AcceptConn()
	call.ReadRequestHead()
	proxy := scriptedpeer.DialWhenUp(t, listen)
	proxy.Send("hello id 3 site a rps 20 new 0", "ack id 3 seq 1 ms 1", "ack id 3 seq 77 ms 1", "demand id 3 lane lookup count 9 fail 0 over 500")
	if text := proxy.WaitForMessage("push"); !strings.Contains(text, "endpoints") || !strings.Contains(text, "box-2:") {
		t.Errorf("first update is %q, want endpoints with box-2", text)
	}
	body := `{"revision":99,"complete":false,"members":[]}`
	call.SendRaw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)) // changes only, although the complete list was requested
	call.WaitForClose()
	call = discovery.AcceptConn()
	if first := call.ReadRequestHead(); strings.Contains(first, "since") {
		t.Errorf("request is %q, want one for the complete list, as discovery has not sent a list yet", first)
	}
	body = exampleList(t, 100, "box-2")
	call.SendRaw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	for !removesReplica(strings.Fields(proxy.WaitForMessage("push")), "box-2") {
	}
	process.expectExit(syscall.SIGTERM)
}
