package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/discovery"
	"lilacbend/internal/eventloop"
)

// completeListRequest is the request line of the discovery client for the complete list of replicas.
const completeListRequest = "GET /registry/instances HTTP/1.1"

// exampleAt returns the example's configuration file with another address of the service discovery.
func exampleAt(t *testing.T, discovery string) []byte {
	t.Helper()
	return exampleWith(t, map[string]any{"discovery": discovery})
}

func writeFile(t *testing.T, file string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// replaceFile replaces a file atomically.
func replaceFile(t *testing.T, file string, raw []byte) {
	t.Helper()
	writeFile(t, file+".new", raw)
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// startControllerOn starts a controller that listens on an address.
func startControllerOn(t *testing.T, file, listen string) *childProcess {
	return startProgram(t, []string{"PROXY_CONFIG=" + file, "PROXY_LISTEN=" + listen})
}

// A configuration file that is incomplete, empty or missing at SIGHUP is read again until it is complete, without a second
// SIGHUP. The failure is logged once.
func TestSIGHUPBeforeFileIsComplete(t *testing.T) {
	for name, makeUnusable := range map[string]func(file string, complete []byte){
		"half written": func(file string, complete []byte) { writeFile(t, file, complete[:len(complete)/2]) },
		"empty":        func(file string, _ []byte) { writeFile(t, file, nil) },
		"missing":      func(file string, _ []byte) { os.Remove(file) },
	} {
		t.Run(name, func(t *testing.T) {
			file, before, after := filepath.Join(t.TempDir(), "config.json"), scriptedpeer.Listen(t), scriptedpeer.Listen(t)
			writeFile(t, file, exampleAt(t, before.Address()))
			process := startControllerOn(t, file, scriptedpeer.FreeAddress(t))
			if got := before.AcceptConn().ReadRequestHead(); got != completeListRequest {
				t.Errorf("request is %q, want %q", got, completeListRequest)
			}
			makeUnusable(file, exampleAt(t, after.Address()))
			process.signal(syscall.SIGHUP)
			process.waitForLog("configuration reload failed")
			replaceFile(t, file, exampleAt(t, after.Address()))
			if got := after.AcceptConn().ReadRequestHead(); got != completeListRequest {
				t.Errorf("request is %q, want %q", got, completeListRequest)
			}
			process.expectExit(syscall.SIGTERM)
			for text, want := range map[string]int{"configuration reload failed": 1, "configuration reloaded": 1, "in.reloads=1 ": 1, "errors.misread=1 ": 1} {
				if got := process.log.Count(text); got != want {
					t.Errorf("%q is in the log %d times, want %d", text, got, want)
				}
			}
		})
	}
}

// SIGHUP does not delay or abort the shutdown, neither while an unusable file is retried nor together with SIGTERM or after
// it.
func TestSIGHUPDuringShutdown(t *testing.T) {
	file, agent, listen := filepath.Join(t.TempDir(), "config.json"), scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	writeFile(t, file, exampleAt(t, agent.Address()))
	process := startControllerOn(t, file, listen)
	agent.AcceptConn().ReadRequestHead()
	os.Remove(file)
	process.signal(syscall.SIGHUP)
	process.waitForLog("configuration reload failed")
	process.expectExit(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
	scriptedpeer.ListenOn(t, listen) // the address is free for the successor
}

// startReloader runs a reloader until the end of the test. The returned channel for signals is unbuffered: a send returns
// when the reloader has received the signal.
func startReloader(t *testing.T, file, address string) (chan<- os.Signal, *eventloop.Queues, *scriptedpeer.LogBuffer) {
	c, queues, out := exampleConfiguration(t, "127.0.0.1:1"), eventloop.New(), &scriptedpeer.LogBuffer{}
	hangups, log := make(chan os.Signal), slog.New(slog.NewTextHandler(out, nil))
	ctx, stop := context.WithCancel(context.Background())
	client := discovery.New(address, 0, queues, log, func() int64 { return 1 }, 1)
	clientDone, reloaderDone := make(chan struct{}), make(chan struct{})
	go func() { defer close(clientDone); client.Run(ctx) }()
	go func() {
		defer close(reloaderDone)
		reloader{hangups, options{discovery: address, file: file}}.run(ctx, c, client, queues, log)
	}()
	t.Cleanup(func() { stop(); <-clientDone; <-reloaderDone })
	return hangups, queues, out
}

// The discovery client uses the address in the file that was read last: after two signals in a row with an unchanged
// address, and after a change from one address to another and back.
func TestSIGHUPChangesDiscoveryAddressAndBack(t *testing.T) {
	file, oldAgent, newAgent := filepath.Join(t.TempDir(), "config.json"), scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	hangups, queues, _ := startReloader(t, file, oldAgent.Address())
	first := oldAgent.AcceptConn()
	first.ReadRequestHead()
	writeFile(t, file, exampleAt(t, oldAgent.Address()))
	hangups <- syscall.SIGHUP // the address is unchanged
	hangups <- syscall.SIGHUP // received only after the file has been read for the first signal
	scriptedpeer.WaitFor(t, "the file was not read twice", func() bool { return queues.Counters.ReloadsApplied.Load() == 2 })
	if dials := queues.Counters.DiscoveryDials.Load(); dials != 1 {
		t.Errorf("%d dials for an unchanged address, want 1", dials)
	}
	replaceFile(t, file, exampleAt(t, newAgent.Address()))
	hangups <- syscall.SIGHUP
	second := newAgent.AcceptConn()
	first.WaitForClose()
	second.ReadRequestHead()
	replaceFile(t, file, exampleAt(t, oldAgent.Address()))
	hangups <- syscall.SIGHUP
	third := oldAgent.AcceptConn()
	second.WaitForClose()
	if got := third.ReadRequestHead(); got != completeListRequest || queues.Counters.ReloadsApplied.Load() != 4 || queues.Counters.ReloadsFailed.Load() != 0 {
		t.Errorf("request is %q, want %q; %d reloads, want 4; %d reloads failed, want 0", got, completeListRequest,
			queues.Counters.ReloadsApplied.Load(), queues.Counters.ReloadsFailed.Load())
	}
}

// A file that stays missing for 10 s is read again with increasing intervals up to rereadLimit, then once in rereadLimit.
// The time is that of a synctest bubble.
func TestUnusableFileIsReadAgainWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file, queues, hangups := filepath.Join(t.TempDir(), "config.json"), eventloop.New(), make(chan os.Signal)
		c, log := exampleConfiguration(t, "127.0.0.1:1"), slog.New(slog.DiscardHandler)
		client := discovery.New(c.discovery, 0, queues, log, func() int64 { return 1 }, 1)
		reloaderDone := make(chan struct{})
		go func() {
			defer close(reloaderDone)
			reloader{hangups, options{file: file}}.run(t.Context(), c, client, queues, log)
		}()
		t.Cleanup(func() { <-reloaderDone })
		start := time.Now()
		hangups <- syscall.SIGHUP
		time.Sleep(10 * time.Second)
		synctest.Wait()
		writeFile(t, file, exampleAt(t, "127.0.0.1:2"))
		for queues.Counters.ReloadsApplied.Load() == 0 && time.Since(start) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		// The intervals are 50, 100, ... 800 ms, 1.55 s in total, and then 1 s each: the first attempt after 10 s is at
		// 10.55 s.
		want := 31*rereadInitial + 9*rereadLimit
		if elapsed := time.Since(start); elapsed < want || elapsed > want+2*time.Millisecond || queues.Counters.ReloadsFailed.Load() != 1 {
			t.Errorf("configuration reloaded after %v, want %v; %d signals with a failed reload, want 1", elapsed, want, queues.Counters.ReloadsFailed.Load())
		}
	})
}

// A second SIGHUP while an unusable file is retried reads the file at once. The failure is logged once for each signal.
func TestSIGHUPWhileFileIsRetried(t *testing.T) {
	file, oldAgent, newAgent := filepath.Join(t.TempDir(), "config.json"), scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	hangups, queues, out := startReloader(t, file, oldAgent.Address())
	oldAgent.AcceptConn().ReadRequestHead()
	hangups <- syscall.SIGHUP
	hangups <- syscall.SIGHUP
	scriptedpeer.WaitFor(t, "the file was not read twice", func() bool { return queues.Counters.ReloadsFailed.Load() == 2 })
	replaceFile(t, file, exampleAt(t, newAgent.Address()))
	hangups <- syscall.SIGHUP
	if got := newAgent.AcceptConn().ReadRequestHead(); got != completeListRequest {
		t.Errorf("request is %q, want %q", got, completeListRequest)
	}
	if failed := queues.Counters.ReloadsFailed.Load(); failed != 2 || out.Count("configuration reload failed") != 2 {
		t.Errorf("%d reloads failed, want 2; logged %d times, want 2", failed, out.Count("configuration reload failed"))
	}
}

// The list of replicas in the configuration is out of date. A proxy that connects before discovery answers receives
// endpoints from that list. Once discovery has sent its complete list, in which one of these replicas is draining, the
// controller removes this replica from the proxy.
func TestProxiesConnectBeforeDiscoveryAnswers(t *testing.T) {
	agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	c := exampleConfiguration(t, listen)
	c.discovery = agent.Address()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- serve(ctx, c, reloader{}, slog.New(slog.DiscardHandler)) }()
	defer func() { stop(); <-ended }()
	proxy := scriptedpeer.DialWhenUp(t, listen)
	proxy.Send("hello id 3 site a rps 20 new 1")
	first := proxy.WaitForMessage("push full 1 endpoints box-")
	conn := agent.AcceptConn()
	if got := conn.ReadRequestHead(); got != completeListRequest {
		t.Errorf("request is %q, want %q", got, completeListRequest)
	}
	drained := strings.SplitN(strings.Fields(first)[4], ":", 2)[0]
	var members []map[string]any
	for _, m := range c.known.Members {
		phase := "Ready"
		if m.ID == drained {
			phase = "Terminating"
		}
		members = append(members, map[string]any{"id": m.ID, "host_port": m.Address, "locality": m.Zone, "flavor": m.HardwareClass,
			"phase": phase})
	}
	body, err := json.Marshal(map[string]any{"revision": 9, "complete": true, "members": members})
	if err != nil {
		t.Fatal(err)
	}
	conn.SendRaw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	for {
		text := proxy.WaitForMessage("push ")
		if words := strings.Fields(text); removesReplica(words, drained) {
			break
		}
	}
}

// removesReplica reports whether an update removes a replica from its proxy.
func removesReplica(words []string, replica string) bool {
	for k := 1; k+1 < len(words); k += 2 {
		for _, part := range strings.Split(words[k+1], ",") {
			if words[k] == "eject" && part == replica || words[k] == "endpoints" && part == replica+":0" {
				return true
			}
		}
	}
	return false
}
