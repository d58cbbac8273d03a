package main

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/discovery"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
)

type lines struct {
	sync.Mutex
	bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.Buffer.Write(b)
}

func (l *lines) has(text string) bool {
	l.Lock()
	defer l.Unlock()
	return strings.Contains(l.String(), text)
}

func exampleConfiguration(t *testing.T, listen string) configuration {
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseConfiguration(raw, options{listen: listen, discovery: "127.0.0.1:1"}) // nobody answers there
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A controller serves from its known list while discovery refuses, and shuts down in time.
func TestServeFromKnownList(t *testing.T) {
	at, out := scriptedpeer.FreeAddress(t), &lines{}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		ended <- serve(ctx, exampleConfiguration(t, at), reloader{}, slog.New(slog.NewTextHandler(out, nil)))
	}()
	var conn net.Conn
	for range 200 {
		var err error
		if conn, err = net.Dial("tcp", at); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if conn == nil {
		t.Fatal("nobody listens")
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	pool := resp.NewPool(1 << 20)
	r := resp.NewReader(conn, pool)
	for _, says := range []string{"probe", "hello id 3 site a rps 20 new 1"} {
		if _, err := resp.Write(conn, pool, strings.Fields(says)...); err != nil {
			t.Fatal(err)
		}
		words, err := r.Next()
		if text := strings.Join(words, " "); err != nil || text != "alive" && !strings.HasPrefix(text, "push full 1 endpoints box-") {
			t.Fatalf("%s: %q %v", says, text, err)
		}
	}
	syscall.Kill(os.Getpid(), syscall.SIGUSR1)
	for range 200 {
		if out.has("msg=counters") {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !out.has("msg=counters") {
		t.Error("no counters when asked for")
	}
	start := time.Now()
	stop()
	if err := <-ended; err != nil || time.Since(start) > 2*shutdownTimeout {
		t.Errorf("ended after %v: %v", time.Since(start), err)
	}
	for _, says := range []string{"msg=serving", "discovery call failed", "in.joins=1", "answered.alive=1", "sent.whole=1"} {
		if !out.has(says) {
			t.Errorf("no %q in the log", says)
		}
	}
}

func TestAddressInUseIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	err = serve(context.Background(), exampleConfiguration(t, l.Addr().String()), reloader{}, slog.New(slog.DiscardHandler))
	if err == nil || !strings.Contains(err.Error(), l.Addr().String()) || strings.Contains(err.Error(), "\n") {
		t.Errorf("got %v", err)
	}
}

// A reload changes the address of discovery, whatever the options of the start; an invalid file changes nothing.
func TestReloadOfConfiguration(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, file, x := exampleConfiguration(t, "127.0.0.1:1"), filepath.Join(t.TempDir(), "config.json"), eventloop.New()
	asked, log := make(chan os.Signal), slog.New(slog.DiscardHandler)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	client := discovery.New(c.discovery, 0, x, log, func() int64 { return 1 }, 1)
	go client.Run(ctx)
	go reloader{asked, options{discovery: c.discovery, file: file}}.run(ctx, c, client, x, log)
	moved := exampleAt(t, l.Addr().String())
	for k, raw := range [][]byte{moved, moved[:100]} { // the bad one last: it is read again until it is whole, which counts too
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		asked <- syscall.SIGHUP
		for x.Counters.Reloads.Load()+x.Counters.ReloadsFailed.Load() <= int64(k) {
			time.Sleep(time.Millisecond)
		}
	}
	l.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("discovery did not move: %v", err)
	}
	conn.Close()
	if x.Counters.Reloads.Load() != 1 || x.Counters.ReloadsFailed.Load() != 1 {
		t.Errorf("%d taken over, %d not usable", x.Counters.Reloads.Load(), x.Counters.ReloadsFailed.Load())
	}
}
