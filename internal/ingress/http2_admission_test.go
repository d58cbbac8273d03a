package ingress

import (
	"testing"
	"time"

	"golang.org/x/net/http2"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// slowToStop serves requests with a body until they are canceled, and a time longer. It answers others at once.
func slowToStop(stopping time.Duration) Handler {
	return func(cancel *upstream.Cancellation, r *proxy.Request, out proxy.ResponseWriter) proxy.Result {
		if r.Body == nil {
			return serveBody(cancel, r, out)
		}
		<-cancel.Done()
		time.Sleep(stopping)
		return proxy.Result{Incomplete: true}
	}
}

// resetStreams returns the bytes of a client that opens streams and resets them, each time as many as it may, and then opens
// one more.
func resetStreams(rounds, maxStreams int, head [][2]string) string {
	raw := newRawClient()
	id := uint32(1)
	for range rounds {
		first := id
		for range maxStreams {
			raw.open(id, false, head)
			id += 2
		}
		for reset := first; reset < id; reset += 2 {
			raw.framer.WriteRSTStream(reset, http2.ErrCodeCancel)
		}
	}
	raw.open(id, true, requestHead())
	return raw.String()
}

// A client that was read late has reset streams in time and opened others. The requests of the reset streams take up the
// connection, or the memory of all clients, until they have stopped. The next request within the client's limit of streams is
// served, and not refused.
func TestStreamAfterResetsIsServed(t *testing.T) {
	const stopping = 50 * time.Millisecond
	for _, test := range []struct {
		name       string
		maxStreams int
		rounds     int
		head       [][2]string
	}{
		{"too many requests", 10, 6, requestHead()},
		{"out of memory", 15, 2, requestHead(manyFields(200)...)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener := scriptedpeer.Listen(t)
			server := newTestServer(Limits{MaxStreams: test.maxStreams, RequestMemory: 1 << 20}, slowToStop(stopping))
			go server.ServeHTTP2(listener.Listener)
			client := scriptedpeer.Dial(t, listener.Address())
			client.SendRaw(resetStreams(test.rounds, test.maxStreams, test.head))
			if got := readHTTP2Response(client); got != "200" {
				t.Errorf("response %q, want 200", got)
			}
		})
	}
}

// Requests of reset streams do not stop. New streams are refused, and they delay the frames that follow only once.
func TestRequestsThatDoNotStopDelayFramesOnce(t *testing.T) {
	const (
		maxStreams = 2
		refusals   = 4
	)
	stop := make(chan struct{})
	defer close(stop)
	handler := func(*upstream.Cancellation, *proxy.Request, proxy.ResponseWriter) proxy.Result {
		<-stop
		return proxy.Result{Incomplete: true}
	}
	listener := scriptedpeer.Listen(t)
	go newTestServer(Limits{MaxStreams: maxStreams, RequestMemory: 1 << 20}, handler).ServeHTTP2(listener.Listener)
	raw := newRawClient()
	for k := range 2*maxStreams + refusals {
		id := uint32(2*k + 1)
		raw.open(id, false, requestHead())
		raw.framer.WriteRSTStream(id, http2.ErrCodeCancel)
	}
	raw.framer.WritePing(false, [8]byte{})
	client := scriptedpeer.Dial(t, listener.Address())
	begin := time.Now()
	client.SendRaw(raw.String())
	if got := countRefusals(t, client); got != refusals {
		t.Errorf("%d streams were refused, want %d", got, refusals)
	}
	if took := time.Since(begin); took < unwindTimeout || took >= 2*unwindTimeout {
		t.Errorf("the frames took %v, want one wait of %v", took, unwindTimeout)
	}
}

// countRefusals returns how many streams are refused before the acknowledgement of a PING.
func countRefusals(t *testing.T, client *scriptedpeer.Conn) (refusals int) {
	t.Helper()
	framer := http2.NewFramer(nil, client.Reader)
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			t.Fatal(err)
		}
		switch frame := frame.(type) {
		case *http2.RSTStreamFrame:
			if frame.ErrCode == http2.ErrCodeRefusedStream {
				refusals++
			}
		case *http2.PingFrame:
			return refusals
		}
	}
}
