// Command shop starts a small but complete installation on loopback: a controller, two zones with a collector and a sidecar
// each, discovery and six replicas. It serves HTTP/1.1 on 127.0.0.1:18080 and HTTP/2 cleartext on 127.0.0.1:18081, and stops
// on an interrupt.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lilacbend/experiment/installation"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "shop:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "lilacbend-shop-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	site, err := installation.Start(ctx, installation.Config{Zones: 2, Replicas: 6, ReplicaSlots: 8, Sidecars: 2, Controllers: 1, ServiceTime: 20 * time.Millisecond, SlowFactor: 2,
		HTTP1Address: "127.0.0.1:18080", HTTP2Address: "127.0.0.1:18081", KeepState: true, RunControllers: true, Dir: dir, Log: os.Stderr})
	if err != nil {
		return err
	}
	defer site.Stop()
	fmt.Println("shop: serving HTTP/1.1 on http://127.0.0.1:18080 and HTTP/2 cleartext on 127.0.0.1:18081")
	fmt.Println("shop: accepts GET /stock, POST /orders and POST /payouts; press Ctrl-C to stop")
	<-ctx.Done()
	return nil
}
