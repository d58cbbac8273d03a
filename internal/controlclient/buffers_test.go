package controlclient

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/resp"
)

// A connection that has ended returns its buffers. Otherwise each reconnect takes some of the memory for long messages for
// good, until no table or report of more than two buffers can be read any more.
func TestEndedConnectionsReturnTheirBuffers(t *testing.T) {
	for name, readUntilEnd := range map[string]func(conn net.Conn, pool *resp.Pool){
		"stream of a controller": func(conn net.Conn, pool *resp.Pool) {
			client := &Client{Dispatcher: &recordingDispatcher{}, Log: slog.New(slog.DiscardHandler), pool: pool}
			client.readUpdates(&messageWriter{conn: conn, pool: pool}, "address")
		},
		"connection of a sidecar": func(conn net.Conn, pool *resp.Pool) {
			collector := &Collector{Log: slog.New(slog.DiscardHandler), pool: pool}
			collector.readSidecar(conn)
		},
		"connection of a collector to a controller": func(conn net.Conn, pool *resp.Pool) {
			collector := &Collector{pool: pool}
			collector.waitForClose(conn)
		},
		"connection of a sidecar to a collector": func(conn net.Conn, pool *resp.Pool) {
			c := &collectorConn{writer: &messageWriter{conn: conn, pool: pool}, done: make(chan struct{})}
			c.stopContextWatch = context.AfterFunc(context.Background(), func() {})
			c.readAnswers(resp.NewReader(conn, pool))
		},
	} {
		t.Run(name, func(t *testing.T) {
			pool := resp.NewPool(1 << 20)
			listener := scriptedpeer.Listen(t)
			peer := scriptedpeer.Dial(t, listener.Address())
			conn := listener.AcceptConn()
			peer.Send("alive", "alive")
			peer.Close()
			readUntilEnd(conn.Conn, pool)
			if n := pool.InUse(); n != 0 {
				t.Errorf("%d buffers are in use after the end of the connection, want none", n)
			}
		})
	}
}
