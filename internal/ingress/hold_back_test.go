package ingress

import (
	"io"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/ratelimit"
)

// A client sends small requests that no replica serves, or small frames, as fast as it can. It is read no faster than its rate
// allows, and a request of another client is answered meanwhile.
func TestClientThatFloodsIsHeldBack(t *testing.T) {
	const (
		messages = 5000
		request  = "DELETE /x HTTP/1.1\r\nHost: x\r\n\r\n"
	)
	// Far below what any machine reads. The burst leaves room for the single requests of the test.
	rate := ratelimit.Rate{PerSecond: 100, Burst: 200}
	frames := newRawClient()
	opening := frames.Len()
	frames.framer.WriteWindowUpdate(0, tinyFrame)
	update := frames.String()[opening:]
	for _, c := range []struct {
		name           string
		first, message string
		http2          bool
	}{
		{"HTTP/1.1 requests", "", request, false},
		{"HTTP/2 window updates", frames.String()[:opening], update, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, other := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
			server := newTestServer(Limits{MaxConnections: 2}, serveBody)
			server.rates = clientRates{frames: rate, unattempted: rate}
			go server.ServeHTTP1(other.Listener)
			if c.http2 {
				go server.ServeHTTP2(listener.Listener)
			} else {
				go server.ServeHTTP1(listener.Listener)
			}
			start := time.Now()
			flooding := scriptedpeer.Dial(t, listener.Address())
			go io.Copy(io.Discard, flooding.Reader)
			flooding.SendRaw(c.first)
			go flooding.Write([]byte(strings.Repeat(c.message, messages)))
			scriptedpeer.WaitFor(t, "the client is not held back", func() bool { return server.Counters.HeldBack.Load() > 0 })
			client := scriptedpeer.Dial(t, other.Address())
			client.SendRaw(request)
			if got := readHTTP1Response(client); got != "200" {
				t.Errorf("response %q to another client, want 200", got)
			}
			if !c.http2 {
				most := rate.Burst + rate.PerSecond*time.Since(start).Seconds() + 2
				if n := server.Counters.Requests.Load(); float64(n) > most {
					t.Errorf("%d requests were served within %v, want at most %.0f", n, time.Since(start), most)
				}
			}
		})
	}
}

// An HTTP/2 client sends many requests on one connection. Their frames do not count against the rate of frames.
func TestFramesOfRequestsAreNotHeldBack(t *testing.T) {
	const requests = 400
	listener := scriptedpeer.Listen(t)
	server := newTestServer(Limits{MaxStreams: requests, RequestMemory: 1 << 30}, serveBody)
	server.rates.frames = ratelimit.Rate{PerSecond: 1, Burst: 100}
	go server.ServeHTTP2(listener.Listener)
	raw := newRawClient()
	for k := range requests {
		id := uint32(2*k + 1)
		raw.open(id, false, requestHead())
		raw.framer.WriteData(id, true, []byte("pay"))
	}
	raw.framer.WritePing(false, [8]byte{})
	client := scriptedpeer.Dial(t, listener.Address())
	go client.Write(raw.Bytes())
	awaitPingAck(t, client)
	scriptedpeer.WaitFor(t, "not all requests were served", func() bool { return server.Counters.Requests.Load() == requests })
	if n := server.Counters.HeldBack.Load(); n != 0 {
		t.Errorf("the client was held back %d times, want never", n)
	}
}
