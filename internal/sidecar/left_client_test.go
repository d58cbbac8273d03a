package sidecar

import (
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
)

// A client sends two requests at once and closes its connection while the first one is in flight. The bytes of the second one
// are unread, but the end behind them is noticed: the first request is canceled at its replica, and the second one is not
// sent.
func TestClientLeavesWithUnreadRequest(t *testing.T) {
	const requests = "POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npayPOST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay"
	listener := scriptedpeer.Listen(t)
	s := startSidecar(t, withLongTimeouts(" expiry: 2s", " expiry: 1m", "latency_budget: 500ms", "latency_budget: 1m"), listener.Address())
	client := scriptedpeer.Dial(t, s.h1)
	client.SendRaw(requests)
	replica := listener.AcceptConn()
	replica.ReadRequestHead()
	client.Close()
	replica.WaitForClose()
	waitUntilIdle(t, s)
	listener.ExpectNoConnection(200 * time.Millisecond)
	if counters := s.Counters().Requests; counters.Attempts != 1 || counters.Failed[dispatch.ErrClientGone] != 1 {
		t.Errorf("counters %+v, want one attempt and one request that failed because the client was gone", counters)
	}
}

// Requests that a client sends without waiting for the answers are served in their order.
func TestRequestsSentAtOnceAreServed(t *testing.T) {
	s := startSidecar(t, nil, startReplica(t, nil).Addr)
	client := scriptedpeer.Dial(t, s.h1)
	const requests = 20
	for range requests {
		client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay")
	}
	for k := range requests {
		if got := readResponse(client); got != "200" {
			t.Fatalf("request %d: response %q, want 200", k, got)
		}
	}
}
