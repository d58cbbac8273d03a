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

// readAnswer reads the next answer on a client's connection, as status, reason, and whether it was complete.
func readAnswer(c *scriptedpeer.Conn) string {
	resp, err := http.ReadResponse(c.Reader, nil)
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

// Capacity for one request, or one connection, and many requests: the one that waits gets it as it is freed.
func TestFreedCapacityIsTakenAtOnce(t *testing.T) {
	const clients, requests = 8, 60
	r := startReplica(t, nil)
	for name, limit := range map[string]string{"flows at once": "flows: 1, waiting: 1000, wait: 1m", "connections": "replica_connections: 1, waiting: 1000, wait: 1m"} {
		t.Run(name, func(t *testing.T) {
			s := start(t, patient("limits: {", "limits: {"+limit+", ", ", flows: 500, replica_connections: 300", map[bool]string{true: ", replica_connections: 300", false: ", flows: 500"}[name == "flows at once"],
				"usual: again", "usual: once", "expiry: 2s", "expiry: 1m"), r.Addr)
			var all sync.WaitGroup
			for range clients {
				client := scriptedpeer.Dial(t, s.h1)
				all.Go(func() {
					for range requests {
						client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
						if got := readAnswer(client); got != "200" {
							t.Errorf("%q", got)
							return
						}
					}
				})
			}
			all.Wait()
			nothingInFlight(t, s)
		})
	}
}

// A replica leaves the list at any moment, also between the pick and the sending: a request goes to the address of its
// pick, or is rejected because there is no replica. That a replica has no address any more is no failure of it.
func TestReplicaLeavesTheListAsItIsPicked(t *testing.T) {
	r := startReplica(t, nil)
	s := start(t, patient("usual: again", "usual: once"), r.Addr)
	if err := (controlTarget{s.proxy}).Apply([]dispatch.Update{{Full: true, Weights: map[string]float64{"r0": 1}}}); err != nil {
		t.Fatal(err)
	}
	end, flapped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(flapped)
		for {
			select {
			case <-end:
				return
			default:
				s.updateEndpoints(false, map[string]dispatch.Endpoint{"r0": {State: control.Gone}})
				s.updateEndpoints(false, map[string]dispatch.Endpoint{"r0": {Address: r.Addr, Zone: "a"}})
			}
		}
	}()
	client := scriptedpeer.Dial(t, s.h1)
	got := map[string]int{}
	for range 500 {
		client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
		got[readAnswer(client)]++
	}
	close(end)
	<-flapped
	if got["200"]+got["503 no-replica"] != 500 {
		t.Errorf("%v", got)
	}
	nothingInFlight(t, s)
}
