package sidecar

import (
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"lilacbend/experiment/replica"
	"lilacbend/experiment/scriptedpeer"
)

// shortRequests are the timeouts of each traffic class in the file of the tests; longRequests replace them where no request
// may time out.
const (
	shortRequests = "latency_budget: 500ms, expiry: 2s"
	longRequests  = "latency_budget: 1m, expiry: 1m"
)

// controlFloods are ways to send more control frames than any budget covers. Each sends the k-th frame; stream 1 has ended.
var controlFloods = map[string]func(c *replica.HTTP2Client, k int) error{
	"pings": func(c *replica.HTTP2Client, _ int) error {
		return c.WriteFrames(func() error { return c.Framer.WritePing(false, [8]byte{}) })
	},
	"settings": func(c *replica.HTTP2Client, _ int) error {
		return c.WriteFrames(func() error { return c.Framer.WriteSettings() })
	},
	"resets of ended streams": func(c *replica.HTTP2Client, _ int) error {
		return c.ResetStream(1)
	},
	"tiny window updates": func(c *replica.HTTP2Client, _ int) error {
		return c.WriteFrames(func() error { return c.Framer.WriteWindowUpdate(0, 1) })
	},
	"headers of ended streams": func(c *replica.HTTP2Client, _ int) error {
		return c.OpenStream(1, "GET", "/stock", false)
	},
	"lengths without a body": func(c *replica.HTTP2Client, k int) error {
		return c.OpenStream(uint32(1001+2*k), "POST", "/orders", false, "content-length", "5")
	},
	"malformed requests": func(c *replica.HTTP2Client, k int) error {
		return c.OpenStream(uint32(1001+2*k), "GET", "/stock", false, "connection", "x")
	},
}

// sendFlood sends control frames until the sidecar has announced the end of the connection, and then as many again.
func sendFlood(t *testing.T, client *replica.HTTP2Client, send func(c *replica.HTTP2Client, k int) error) {
	t.Helper()
	const maxFrames = 50_000
	goingAway := func(c *replica.HTTP2Client) bool { return c.Closed || len(c.GoAways) > 0 }
	for k := range maxFrames {
		if send(client, k) != nil || client.WaitFor(0, goingAway) {
			for again := range k {
				if send(client, k+again) != nil {
					return
				}
			}
			return
		}
	}
	t.Fatalf("no GOAWAY after %d frames", maxFrames)
}

// A client sends too many control frames while its requests are in flight. Each of these requests gets its response, a
// non-idempotent one as well, and no request after the last stream of the GOAWAY is executed.
func TestFloodLosesNoRequestInFlight(t *testing.T) {
	const payouts = 20
	for name, send := range controlFloods {
		t.Run(name, func(t *testing.T) {
			testReplica := startReplica(t, nil)
			testReplica.ServiceTime.Store(int64(400 * time.Millisecond))
			s := startSidecar(t, withLongTimeouts(shortRequests, longRequests, "drain: 2s", "drain: 1m"), testReplica.Addr)
			client := dialHTTP2(t, s, 1<<20)
			client.OpenStream(1, "DELETE", "/stock", false) // answered by the sidecar itself
			if !client.WaitFor(streamTimeout, streamsDone(1)) {
				t.Fatal("stream 1 has not ended")
			}
			var inFlight []uint32
			for k := range payouts {
				id := uint32(3 + 2*k)
				client.OpenStream(id, "POST", "/payouts", false, replica.KeyField(k)...)
				inFlight = append(inFlight, id)
			}
			scriptedpeer.WaitFor(t, "not all requests reached the replica", func() bool { return testReplica.RequestCount.Load() == payouts })
			sendFlood(t, client, send)
			client.OpenStream(200_001, "POST", "/payouts", false, "key", "late")
			client.WaitFor(streamTimeout, streamsDone(inFlight...))
			for _, id := range inFlight {
				if got := client.Stream(id); got.Status != "200" || got.Responses != 1 || got.Reset {
					t.Errorf("stream %d: %+v, want one response with 200", id, got)
				}
			}
			if !client.WaitFor(streamTimeout, func(c *replica.HTTP2Client) bool { return c.Closed }) {
				t.Error("connection is still open after the last response")
			}
			if len(client.GoAways) != 1 || client.GoAways[0].ErrCode != http2.ErrCodeEnhanceYourCalm || client.GoAways[0].LastStreamID < inFlight[payouts-1] || client.GoAways[0].LastStreamID >= 200_001 {
				t.Errorf("GOAWAY frames %+v, want one with ENHANCE_YOUR_CALM and a last stream from %d on", client.GoAways, inFlight[payouts-1])
			}
			if late := client.Stream(200_001); late.Status != "" || testReplica.RunsByKey()["late"] != 0 {
				t.Errorf("request after the GOAWAY: %+v, executed %d times", late, testReplica.RunsByKey()["late"])
			}
			if n := s.Counters().Clients["floods"]; n != 1 {
				t.Errorf("%d floods counted, want 1", n)
			}
		})
	}
}

// A client goes on sending control frames after the GOAWAY. Its connection is closed all the same: soon after the last
// response, or once the drain timeout has passed, when the requests that are still in flight are reset and counted as lost.
func TestEndlessFloodIsClosed(t *testing.T) {
	for _, c := range []struct {
		name     string
		inFlight int
		within   time.Duration
	}{
		{"no request in flight", 0, 3 * time.Second},
		{"requests without a response", 3, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			testReplica := startReplica(t, nil)
			testReplica.Unresponsive.Store(true)
			s := startSidecar(t, withLongTimeouts(shortRequests, longRequests, "drain: 2s", "drain: 300ms"), testReplica.Addr)
			client := dialHTTP2(t, s, 1<<20)
			for k := range c.inFlight {
				client.OpenStream(uint32(1+2*k), "GET", "/stock", false)
			}
			scriptedpeer.WaitFor(t, "not all requests reached the replica", func() bool { return testReplica.RequestCount.Load() == int64(c.inFlight) })
			start := time.Now()
			for time.Since(start) < 2*c.within && controlFloods["pings"](client, 0) == nil {
			}
			if duration := time.Since(start); duration > c.within {
				t.Errorf("connection was closed after %v, want at most %v", duration, c.within)
			}
			if !client.WaitFor(streamTimeout, func(c *replica.HTTP2Client) bool { return c.Closed }) {
				t.Fatal("connection is still open")
			}
			if n := s.Counters().Clients["lost"]; n != int64(c.inFlight) {
				t.Errorf("%d requests counted as lost, want %d", n, c.inFlight)
			}
			if client.Pings > 5000 {
				t.Errorf("%d pings were acknowledged, want at most those that the budget covers", client.Pings)
			}
		})
	}
}

// A drain begins after a flood on the same connection, or a flood during a drain. The request in flight gets its response,
// and no GOAWAY names a later last stream than the one before.
func TestFloodAndDrainOfOneConnection(t *testing.T) {
	const inFlight = 3
	goAways := func(n int) func(*replica.HTTP2Client) bool {
		return func(c *replica.HTTP2Client) bool { return len(c.GoAways) >= n }
	}
	flood := func(client *replica.HTTP2Client) {
		for range 10_000 {
			controlFloods["pings"](client, 0)
		}
	}
	for _, c := range []struct {
		name string
		end  func(client *replica.HTTP2Client, drain func())
		want []http2.ErrCode // of the GOAWAY frames
	}{
		{"drain after a flood", func(client *replica.HTTP2Client, drain func()) {
			flood(client)
			client.WaitFor(streamTimeout, goAways(1))
			drain()
		}, []http2.ErrCode{http2.ErrCodeEnhanceYourCalm}},
		{"flood after a drain", func(client *replica.HTTP2Client, drain func()) {
			drain()
			client.WaitFor(streamTimeout, goAways(2))
			flood(client)
		}, []http2.ErrCode{http2.ErrCodeNo, http2.ErrCodeNo}},
	} {
		t.Run(c.name, func(t *testing.T) {
			testReplica := startReplica(t, nil)
			testReplica.ServiceTime.Store(int64(400 * time.Millisecond))
			s := startSidecar(t, withLongTimeouts(shortRequests, longRequests, "drain: 2s", "drain: 1m"), testReplica.Addr)
			client := dialHTTP2(t, s, 1<<20)
			client.OpenStream(1, "DELETE", "/stock", false)
			client.OpenStream(inFlight, "POST", "/payouts", false)
			scriptedpeer.WaitFor(t, "the request did not reach the replica", func() bool { return testReplica.RequestCount.Load() == 1 })
			var drained sync.WaitGroup
			c.end(client, func() { drained.Go(s.stop) })
			if !client.WaitFor(streamTimeout, streamsDone(inFlight)) || client.Stream(inFlight).Status != "200" {
				t.Errorf("request in flight: %+v", client.Stream(inFlight))
			}
			drained.Wait()
			if !client.WaitFor(streamTimeout, func(c *replica.HTTP2Client) bool { return c.Closed }) {
				t.Fatal("connection is still open")
			}
			var got []http2.ErrCode
			last := uint32(1<<31 - 1)
			for _, frame := range client.GoAways {
				got = append(got, frame.ErrCode)
				if frame.LastStreamID > last {
					t.Errorf("a GOAWAY names stream %d after one that names %d", frame.LastStreamID, last)
				}
				last = frame.LastStreamID
			}
			if !slices.Equal(got, c.want) || last != inFlight {
				t.Errorf("GOAWAY frames with %v, last stream %d, want %v and %d", got, last, c.want, inFlight)
			}
		})
	}
}

// A client whose requests a slow replica answers too late gives up on all of them, again and again, within its limit of
// streams. The connection stays, and requests that the client still waits for get their responses.
func TestResetsOfLateRequestsEndNoConnection(t *testing.T) {
	const (
		rounds    = 8
		abandoned = 90 // in each round, of the 100 streams that the sidecar allows at once
		waitedFor = 2  // in each round
		patience  = 250 * time.Millisecond
	)
	testReplica := startReplica(t, nil)
	testReplica.ServiceTime.Store(int64(2 * patience))
	s := startSidecar(t, withLongTimeouts(shortRequests, longRequests), testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	id := uint32(1)
	var waiting []uint32
	for range rounds {
		for range waitedFor {
			client.OpenStream(id, "POST", "/payouts", false)
			waiting = append(waiting, id)
			id += 2
		}
		first := id
		for range abandoned {
			client.OpenStream(id, "GET", "/stock", false)
			id += 2
		}
		time.Sleep(patience)
		for reset := first; reset < id; reset += 2 {
			client.ResetStream(reset)
		}
	}
	client.WaitFor(streamTimeout, streamsDone(waiting...))
	for _, id := range waiting {
		if got := client.Stream(id); got.Status != "200" || got.Responses != 1 {
			t.Errorf("stream %d: %+v, want one response with 200", id, got)
		}
	}
	if len(client.GoAways) != 0 || s.Counters().Clients["floods"] != 0 {
		t.Errorf("GOAWAY frames %+v, %d floods counted, want none", client.GoAways, s.Counters().Clients["floods"])
	}
}

// A sidecar reads nothing for a while, as when it or its machine stands still, and then finds at once all that a client has
// sent meanwhile: requests, and the resets by which the client has given up on them in time for others. The connection
// stays.
func TestResetsCollectedWhileUnreadEndNoConnection(t *testing.T) {
	const (
		rounds  = 5 // 2 s and more with a client that waits 400 ms for each response
		streams = 100
	)
	testReplica := startReplica(t, nil)
	testReplica.ServiceTime.Store(int64(100 * time.Millisecond))
	s := startSidecar(t, withLongTimeouts(), testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	id := uint32(1)
	for range rounds {
		first := id
		for range streams {
			client.OpenStream(id, "GET", "/stock", false)
			id += 2
		}
		for reset := first; reset < id; reset += 2 {
			client.ResetStream(reset)
		}
	}
	waitUntilIdle(t, s)
	client.OpenStream(id, "GET", "/stock", false)
	if !client.WaitFor(streamTimeout, streamsDone(id)) || client.Stream(id).Status != "200" {
		t.Errorf("request after the resets: %+v", client.Stream(id))
	}
	if len(client.GoAways) != 0 || s.Counters().Clients["floods"] != 0 {
		t.Errorf("GOAWAY frames %+v, %d floods counted, want none", client.GoAways, s.Counters().Clients["floods"])
	}
}

// A client sends many requests with small bodies of unknown length, each as a data frame that does not end its stream and
// an empty one that does. These frames are no flood.
func TestSmallBodiesAreNoFlood(t *testing.T) {
	const (
		requests = 4000
		batch    = 50
	)
	testReplica := startReplica(t, nil)
	s := startSidecar(t, withLongTimeouts(), testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	for first := uint32(1); first < 2*requests; first += 2 * batch {
		var ids []uint32
		for id := first; id < first+2*batch; id += 2 {
			client.OpenStream(id, "POST", "/payouts", true)
			client.SendData(id, false, []byte("pa"))
			client.SendData(id, true, nil)
			ids = append(ids, id)
		}
		if !client.WaitFor(streamTimeout, streamsDone(ids...)) {
			t.Fatalf("streams %d to %d have not ended, GOAWAY frames %+v", first, first+2*batch, client.GoAways)
		}
		for _, id := range ids {
			if got := client.Stream(id); got.Status != "200" {
				t.Fatalf("stream %d: %+v, GOAWAY frames %+v", id, got, client.GoAways)
			}
		}
	}
}
