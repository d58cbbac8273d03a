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

const wholeList = "GET /registry/instances HTTP/1.1"

// exampleAt returns the example's configuration with another address of discovery.
func exampleAt(t *testing.T, discovery string) []byte {
	t.Helper()
	return exampleWith(t, map[string]any{"discovery": discovery})
}

func write(t *testing.T, file string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// replace replaces a file atomically.
func replace(t *testing.T, file string, raw []byte) {
	t.Helper()
	write(t, file+".new", raw)
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// times returns how often a text is in the log.
func (l *lines) times(text string) int {
	l.Lock()
	defer l.Unlock()
	return strings.Count(l.String(), text)
}

func launch(t *testing.T, file, listen string) *child {
	return program(t, []string{"PROXY_CONFIG=" + file, "PROXY_LISTEN=" + listen})
}

// A file that is incomplete, empty or missing at SIGHUP is read again until it is complete, without a second SIGHUP, and
// logged once.
func TestSIGHUPBeforeFileIsComplete(t *testing.T) {
	for name, spoil := range map[string]func(file string, whole []byte){
		"half written": func(file string, whole []byte) { write(t, file, whole[:len(whole)/2]) },
		"empty":        func(file string, _ []byte) { write(t, file, nil) },
		"missing":      func(file string, _ []byte) { os.Remove(file) },
	} {
		t.Run(name, func(t *testing.T) {
			file, before, after := filepath.Join(t.TempDir(), "config.json"), scriptedpeer.Listen(t), scriptedpeer.Listen(t)
			write(t, file, exampleAt(t, before.Address()))
			p := launch(t, file, scriptedpeer.FreeAddress(t))
			if got := before.AcceptConn().ReadRequestHead(); got != wholeList {
				t.Errorf("asked %q", got)
			}
			spoil(file, exampleAt(t, after.Address()))
			p.signal(syscall.SIGHUP)
			p.until("cannot be used")
			replace(t, file, exampleAt(t, after.Address()))
			if got := after.AcceptConn().ReadRequestHead(); got != wholeList {
				t.Errorf("asked %q", got)
			}
			p.expectExit(syscall.SIGTERM)
			for text, times := range map[string]int{"cannot be used": 1, "read again": 1, "in.reloads=1 ": 1, "errors.misread=1 ": 1} {
				if got := p.out.times(text); got != times {
					t.Errorf("%q %d times, want %d", text, got, times)
				}
			}
		})
	}
}

// SIGHUP does not affect the shutdown: while a file is retried, together with SIGTERM, and after it.
func TestSIGHUPDuringShutdown(t *testing.T) {
	file, agent, at := filepath.Join(t.TempDir(), "config.json"), scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	write(t, file, exampleAt(t, agent.Address()))
	p := launch(t, file, at)
	agent.AcceptConn().ReadRequestHead()
	os.Remove(file)
	p.signal(syscall.SIGHUP)
	p.until("cannot be used")
	p.expectExit(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
	scriptedpeer.ListenOn(t, at) // it is free for the successor
}

// reloading runs a reloader until the end of the test. The channel is unbuffered: a signal is sent when it is received.
func reloading(t *testing.T, file, address string) (chan<- os.Signal, *eventloop.Queues, *lines) {
	c, x, out := exampleConfiguration(t, "127.0.0.1:1"), eventloop.New(), &lines{}
	asked, log := make(chan os.Signal), slog.New(slog.NewTextHandler(out, nil))
	ctx, stop := context.WithCancel(context.Background())
	client := discovery.New(address, 0, x, log, func() int64 { return 1 }, 1)
	moved, read := make(chan struct{}), make(chan struct{})
	go func() { defer close(moved); client.Run(ctx) }()
	go func() {
		defer close(read)
		reloader{asked, options{discovery: address, file: file}}.run(ctx, c, client, x, log)
	}()
	t.Cleanup(func() { stop(); <-moved; <-read })
	return asked, x, out
}

// Two signals at once, the same address, and A to B and back to A: the last file that was read counts.
func TestSIGHUPAddressThereAndBack(t *testing.T) {
	file, a, b := filepath.Join(t.TempDir(), "config.json"), scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	asked, x, _ := reloading(t, file, a.Address())
	first := a.AcceptConn()
	first.ReadRequestHead()
	write(t, file, exampleAt(t, a.Address()))
	asked <- syscall.SIGHUP // to where it is
	asked <- syscall.SIGHUP // taken once the first has been read
	scriptedpeer.WaitFor(t, "not read twice", func() bool { return x.Counters.Reloads.Load() == 2 })
	if dials := x.Counters.Dials.Load(); dials != 1 {
		t.Errorf("%d dials", dials)
	}
	replace(t, file, exampleAt(t, b.Address()))
	asked <- syscall.SIGHUP
	there := b.AcceptConn()
	first.WaitForClose()
	there.ReadRequestHead()
	replace(t, file, exampleAt(t, a.Address()))
	asked <- syscall.SIGHUP
	back := a.AcceptConn()
	there.WaitForClose()
	if got := back.ReadRequestHead(); got != wholeList || x.Counters.Reloads.Load() != 4 || x.Counters.ReloadsFailed.Load() != 0 {
		t.Errorf("asked %q, %d reloads", got, x.Counters.Reloads.Load())
	}
}

// In virtual time: a file that stays incomplete is read again once in rereadLimit.
func TestIncompleteFileIsReadAgainWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file, x, asked := filepath.Join(t.TempDir(), "config.json"), eventloop.New(), make(chan os.Signal)
		c, log := exampleConfiguration(t, "127.0.0.1:1"), slog.New(slog.DiscardHandler)
		client := discovery.New(c.discovery, 0, x, log, func() int64 { return 1 }, 1)
		read := make(chan struct{})
		go func() { defer close(read); reloader{asked, options{file: file}}.run(t.Context(), c, client, x, log) }()
		t.Cleanup(func() { <-read })
		start := time.Now()
		asked <- syscall.SIGHUP
		time.Sleep(10 * time.Second)
		synctest.Wait()
		write(t, file, exampleAt(t, "127.0.0.1:2"))
		for x.Counters.Reloads.Load() == 0 && time.Since(start) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		// 50, 100, ... 800 ms apart, which is 1.55 s in all, then a second each: the next one is at 10.55 s.
		want := 31*rereadInitial + 9*rereadLimit
		if took := time.Since(start); took < want || took > want+2*time.Millisecond || x.Counters.ReloadsFailed.Load() != 1 {
			t.Errorf("taken over after %v, want %v; %d misread", took, want, x.Counters.ReloadsFailed.Load())
		}
	})
}

// A second SIGHUP while a file is retried reads it at once; each signal that finds it unusable is logged.
func TestSIGHUPWhileFileIsRetried(t *testing.T) {
	file, a, b := filepath.Join(t.TempDir(), "config.json"), scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	asked, x, out := reloading(t, file, a.Address())
	a.AcceptConn().ReadRequestHead()
	asked <- syscall.SIGHUP
	asked <- syscall.SIGHUP
	scriptedpeer.WaitFor(t, "not read twice", func() bool { return x.Counters.ReloadsFailed.Load() == 2 })
	replace(t, file, exampleAt(t, b.Address()))
	asked <- syscall.SIGHUP
	if got := b.AcceptConn().ReadRequestHead(); got != wholeList {
		t.Errorf("asked %q", got)
	}
	if n := x.Counters.ReloadsFailed.Load(); n != 2 || out.times("cannot be used") != 2 {
		t.Errorf("%d misread, said %d times", n, out.times("cannot be used"))
	}
}

// The configuration's list is out of date. It serves the proxies that connect before discovery answers with the complete list;
// then draining replicas are withdrawn.
func TestProxiesConnectBeforeDiscoveryAnswers(t *testing.T) {
	agent, at := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	c := exampleConfiguration(t, at)
	c.discovery = agent.Address()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- serve(ctx, c, reloader{}, slog.New(slog.DiscardHandler)) }()
	defer func() { stop(); <-ended }()
	proxy := scriptedpeer.DialWhenUp(t, at)
	proxy.Send("hello id 3 site a rps 20 new 1")
	first := proxy.WaitForMessage("push full 1 endpoints box-")
	conn := agent.AcceptConn()
	if got := conn.ReadRequestHead(); got != wholeList {
		t.Errorf("asked %q", got)
	}
	name := strings.SplitN(strings.Fields(first)[4], ":", 2)[0]
	var members []map[string]any
	for _, m := range c.known.Members {
		phase := "Ready"
		if m.ID == name {
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
		if words := strings.Fields(text); withdraws(words, name) {
			break
		}
	}
}

// withdraws reports whether an update removes a replica from its proxy.
func withdraws(words []string, name string) bool {
	for k := 1; k+1 < len(words); k += 2 {
		for _, part := range strings.Split(words[k+1], ",") {
			if words[k] == "eject" && part == name || words[k] == "endpoints" && part == name+":0" {
				return true
			}
		}
	}
	return false
}
