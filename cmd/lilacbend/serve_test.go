package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/discovery"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
)

// exampleConfiguration returns the example's configuration with an address to listen on and a service discovery that refuses
// connections.
func exampleConfiguration(t *testing.T, listen string) configuration {
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseConfiguration(raw, options{listen: listen, discovery: "127.0.0.1:1"}) // nothing listens there
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A controller serves proxies from the list of replicas in its configuration while discovery refuses connections, and shuts
// down in time.
func TestServeFromKnownList(t *testing.T) {
	listen, log := scriptedpeer.FreeAddress(t), &scriptedpeer.LogBuffer{}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		ended <- serve(ctx, exampleConfiguration(t, listen), reloader{}, slog.New(slog.NewTextHandler(log, nil)))
	}()
	var conn net.Conn
	for range 200 {
		var err error
		if conn, err = net.Dial("tcp", listen); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if conn == nil {
		t.Fatalf("no listener on %s", listen)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	pool := resp.NewPool(1 << 20)
	reader := resp.NewReader(conn, pool)
	for _, message := range []string{"probe", "hello id 3 site a rps 20 new 1"} {
		if _, err := resp.Write(conn, pool, strings.Fields(message)...); err != nil {
			t.Fatal(err)
		}
		words, err := reader.Next()
		if text := strings.Join(words, " "); err != nil || text != "alive" && !strings.HasPrefix(text, "push full 1 endpoints box-") {
			t.Fatalf("answer to %q is %q, error %v", message, text, err)
		}
	}
	syscall.Kill(os.Getpid(), syscall.SIGUSR1)
	for range 200 {
		if log.Contains("msg=counters") {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !log.Contains("msg=counters") {
		t.Error("no counters in the log after SIGUSR1")
	}
	start := time.Now()
	stop()
	if err := <-ended; err != nil || time.Since(start) > 2*shutdownTimeout {
		t.Errorf("serve returned after %v, want at most %v; error %v", time.Since(start), 2*shutdownTimeout, err)
	}
	for _, want := range []string{`msg="controller serving"`, "discovery call failed", "in.joins=1", "answered.alive=1", "sent.whole=1"} {
		if !log.Contains(want) {
			t.Errorf("the log does not contain %q", want)
		}
	}
}

func TestAddressInUseIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	err = serve(context.Background(), exampleConfiguration(t, listener.Addr().String()), reloader{}, slog.New(slog.DiscardHandler))
	if err == nil || !strings.Contains(err.Error(), listener.Addr().String()) || strings.Contains(err.Error(), "\n") {
		t.Errorf("error is %v, want one line with %s", err, listener.Addr())
	}
}

// A reload changes the address of discovery even if an option set it at the start. An invalid file changes nothing.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, file, queues := exampleConfiguration(t, "127.0.0.1:1"), filepath.Join(t.TempDir(), "config.json"), eventloop.New()
	hangups, log := make(chan os.Signal), slog.New(slog.DiscardHandler)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	client := discovery.New(c.discovery, 0, queues, log, func() int64 { return 1 }, 1)
	go client.Run(ctx)
	go reloader{hangups, options{discovery: c.discovery, file: file}}.run(ctx, c, client, queues, log)
	moved := exampleAt(t, listener.Addr().String())
	for k, raw := range [][]byte{moved, moved[:100]} { // the invalid file comes last, as a reload that is retried would be counted
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		hangups <- syscall.SIGHUP
		for queues.Counters.ReloadsApplied.Load()+queues.Counters.ReloadsFailed.Load() <= int64(k) {
			time.Sleep(time.Millisecond)
		}
	}
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatalf("discovery did not connect to the new address: %v", err)
	}
	conn.Close()
	if queues.Counters.ReloadsApplied.Load() != 1 || queues.Counters.ReloadsFailed.Load() != 1 {
		t.Errorf("%d reloads, want 1; %d reloads failed, want 1", queues.Counters.ReloadsApplied.Load(), queues.Counters.ReloadsFailed.Load())
	}
}
