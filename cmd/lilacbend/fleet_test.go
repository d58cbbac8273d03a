package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/resp"
)

// fleetConfiguration returns the example's configuration with the given numbers of controllers, replicas and proxies, and
// with limits that let all proxies connect to one controller.
func fleetConfiguration(t *testing.T, listen string, controllers, replicas, proxies int) configuration {
	file := exampleFile(t)
	var addresses []string
	for k := range controllers {
		addresses = append(addresses, fmt.Sprintf("127.3.%d.%d:7946", k/250, k%250+1))
	}
	var members []map[string]any
	for k := range replicas {
		members = append(members, map[string]any{"id": fmt.Sprintf("box-%d", k), "host_port": "127.0.0.1:9001", "locality": []string{"a", "b"}[k%2],
			"flavor": "m1", "cell": k / 4, "phase": "Ready", "size": 1.0, "up_since_ms": 0})
	}
	file["peers"], file["known"] = addresses, map[string]any{"revision": 1, "complete": true, "members": members}
	settings := file["settings"].(map[string]any)
	settings["balancers"] = controllers
	domain := settings["domain"].(map[string]any)
	domain["proxy_count"], domain["pending_max"], domain["push_rate"] = proxies, 40*proxies, 20000
	file["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": proxies + 200}
	raw, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseConfiguration(raw, options{listen: listen, discovery: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Only one of 350 controllers is left. All proxies connect to it at once, and each is bound to a table of 1,024 replicas. At
// the same time 20 connections do not read, and 20 others are closed at once.
func TestAllProxiesConnectAtOnce(t *testing.T) {
	const controllers, replicas, proxies = 350, 1024, 400
	address := scriptedpeer.FreeAddress(t)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		ended <- serve(ctx, fleetConfiguration(t, address, controllers, replicas, proxies), reloader{}, slog.New(slog.DiscardHandler))
	}()
	pool := resp.NewPool(64 << 20)
	dial := func() net.Conn {
		for range 500 {
			if conn, err := net.Dial("tcp", address); err == nil {
				conn.SetDeadline(time.Now().Add(40 * time.Second))
				return conn
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("no listener on %s", address)
		return nil
	}
	var unread []net.Conn
	for range 20 {
		unread = append(unread, dial())
		dial().Close()
	}
	var proxyGoroutines sync.WaitGroup
	bound := make([]bool, proxies)
	for id := range proxies {
		proxyGoroutines.Go(func() {
			conn := dial()
			if conn == nil {
				return
			}
			defer conn.Close()
			resp.Write(conn, pool, strings.Fields(fmt.Sprintf("hello id %d site %s rps 20 new 1", id, []string{"a", "b"}[id%2]))...)
			for reader := resp.NewReader(conn, pool); ; {
				words, err := reader.Next()
				if err != nil {
					t.Errorf("proxy %d: %v", id, err)
					return
				}
				text := strings.Join(words, " ")
				bound[id] = bound[id] || strings.HasPrefix(text, "push full 1 endpoints box-")
				if _, nonce, hasNonce := strings.Cut(text, "nonce_out "); hasNonce {
					resp.Write(conn, pool, "ack", "id", fmt.Sprint(id), "seq", strings.Fields(nonce)[0], "ms", "1")
					if bound[id] {
						return
					}
				}
			}
		})
	}
	proxyGoroutines.Wait()
	for id, isBound := range bound {
		if !isBound {
			t.Errorf("proxy %d of %d is not bound to a table", id, proxies)
		}
	}
	for _, conn := range unread {
		conn.Close()
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
