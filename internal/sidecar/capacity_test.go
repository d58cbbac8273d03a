package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"lilacbend/control"
	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
)

// readResponse reads the next response on a client's connection. It returns the status, followed by the reason if there is
// one, and by "broken off" if the body is incomplete.
func readResponse(conn *scriptedpeer.Conn) string {
	resp, err := http.ReadResponse(conn.Reader, nil)
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprint(resp.StatusCode)
	if reason := resp.Header.Get("Lilacbend-Reason"); reason != "" {
		text += " " + reason
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		text += " broken off"
	}
	return text
}

// With capacity for one request, or for one connection, a queued request is served as soon as the capacity is released.
func TestFreedCapacityServesQueuedRequests(t *testing.T) {
	const clients, requests = 8, 60
	testReplica := startReplica(t, nil)
	for name, limit := range map[string]string{"one request": "flows: 1, waiting: 1000, wait: 1m", "one connection": "replica_connections: 1, waiting: 1000, wait: 1m"} {
		t.Run(name, func(t *testing.T) {
			s := startSidecar(t, withLongTimeouts("limits: {", "limits: {"+limit+", ", ", flows: 500, replica_connections: 300", map[bool]string{true: ", replica_connections: 300", false: ", flows: 500"}[name == "one request"],
				"usual: again", "usual: once", "expiry: 2s", "expiry: 1m"), testReplica.Addr)
			var senders sync.WaitGroup
			for range clients {
				client := scriptedpeer.Dial(t, s.h1)
				senders.Go(func() {
					for range requests {
						client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
						if got := readResponse(client); got != "200" {
							t.Errorf("response %q, want 200", got)
							return
						}
					}
				})
			}
			senders.Wait()
			waitUntilIdle(t, s)
		})
	}
}

// A replica can be removed from the endpoint list at any moment, also between the pick and the sending of the request. The
// request is sent to the address of the picked replica, or is rejected because there is no replica. A replica without an
// address does not count as a failure of the replica.
func TestReplicaRemovedWhilePicked(t *testing.T) {
	testReplica := startReplica(t, nil)
	s := startSidecar(t, withLongTimeouts("usual: again", "usual: once"), testReplica.Addr)
	if err := (lockedDispatcher{s.proxy}).Apply([]dispatch.UpdatePart{{Replace: true, Weights: map[string]float64{"r0": 1}}}); err != nil {
		t.Fatal(err)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				s.updateEndpoints(false, map[string]dispatch.Endpoint{"r0": {State: control.Gone}})
				s.updateEndpoints(false, map[string]dispatch.Endpoint{"r0": {Address: testReplica.Addr, Zone: "a"}})
			}
		}
	}()
	client := scriptedpeer.Dial(t, s.h1)
	results := map[string]int{}
	for range 500 {
		client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
		results[readResponse(client)]++
	}
	close(stop)
	<-stopped
	if results["200"]+results["503 no-replica"] != 500 {
		t.Errorf("responses %v, want only 200 and 503 no-replica", results)
	}
	waitUntilIdle(t, s)
}
