package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"lilacbend/experiment/replica"
	"lilacbend/experiment/scriptedpeer"
)

// streamTimeout limits the wait for streams and connections to end.
const streamTimeout = 5 * time.Second

func dialHTTP2(t testing.TB, s testSidecar, window uint32) *replica.HTTP2Client {
	client, err := replica.DialHTTP2(s.h2, window)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Conn.Close() })
	return client
}

// streamsDone returns a condition that holds once all given streams have ended.
func streamsDone(ids ...uint32) func(*replica.HTTP2Client) bool {
	return func(client *replica.HTTP2Client) bool {
		for _, id := range ids {
			if s := client.Streams[id]; s == nil || !s.Done() {
				return false
			}
		}
		return true
	}
}

func TestHTTP2ResponsesAreForwardedUnchanged(t *testing.T) {
	const piece = 10_000
	var forwarded atomic.Int64 // bytes of bodies that the replica has read
	testReplica := startReplica(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(countingReader{req.Body, &forwarded})
		switch req.URL.Path {
		case "/empty":
			w.WriteHeader(204)
		case "/early":
			w.WriteHeader(103)
		case "/large":
			w.Header().Set("Large", strings.Repeat("x", 40<<10))
		case "/trailer":
			w.Write([]byte("x"))
			w.(http.Flusher).Flush()
			w.Header().Set(http.TrailerPrefix+"Sum", "9")
		default:
			fmt.Fprintf(w, "%s %s %d host=%s cookie=%s len=%d trailer=%s", req.Method, req.RequestURI, len(body), req.Host, req.Header.Get("Cookie"), req.ContentLength, req.Trailer.Get("Sum"))
		}
	})
	s := startSidecar(t, nil, testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	client.OpenStream(1, "GET", "/a?b=c", false, "cookie", "a=1", "cookie", "b=2")
	client.OpenStream(3, "HEAD", "/a", false)
	client.OpenStream(5, "GET", "/empty", false)
	client.OpenStream(7, "GET", "/early", false)
	client.OpenStream(9, "GET", "/large", false)
	client.OpenStream(11, "GET", "/trailer", false)
	client.OpenStream(13, "POST", "/orders", true, "content-length", "5")
	client.SendData(13, true, []byte("hello"))
	client.OpenStream(15, "POST", "/orders", true)
	// The body is longer than a stream window. At most 60,000 bytes are in transit, so the client never exceeds the window.
	for k := range int64(10) {
		scriptedpeer.WaitFor(t, "the replica did not receive the body", func() bool { return k*piece-forwarded.Load() <= 5*piece })
		client.SendData(15, false, make([]byte, piece))
	}
	client.SendData(15, true, nil)
	client.OpenStream(17, "DELETE", "/a", false)
	if !client.WaitFor(streamTimeout, streamsDone(1, 3, 5, 7, 9, 11, 13, 15, 17)) {
		t.Fatal("some streams have not ended")
	}
	for id, want := range map[uint32]string{1: "GET /a?b=c 0 host=shop.example.org cookie=a=1; b=2", 13: "POST /orders 5 host=shop.example.org cookie= len=5", 15: "POST /orders 100000", 11: "x"} {
		if got := client.Stream(id); !strings.HasPrefix(string(got.Body), want) || got.Status != "200" || got.Reset {
			t.Errorf("stream %d: %+v, want body %s", id, got, want)
		}
	}
	if headResponse, emptyResponse, trailerResponse := client.Stream(3), client.Stream(5), client.Stream(11); len(headResponse.Body) != 0 || headResponse.Fields["content-length"] == "" || emptyResponse.Status != "204" || trailerResponse.Fields["sum"] != "9" {
		t.Errorf("responses to HEAD %+v, to /empty %+v, to /trailer %+v", headResponse, emptyResponse, trailerResponse)
	}
	if largeResponse, unclassifiedResponse := client.Stream(9), client.Stream(17); len(largeResponse.Fields["large"]) != 40<<10 || unclassifiedResponse.Status != "404" || unclassifiedResponse.Fields["lilacbend-reason"] != "no-group" {
		t.Errorf("large header field of %d bytes, unclassified request got %+v", len(largeResponse.Fields["large"]), unclassifiedResponse)
	}
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	count *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}

// A client that never opens its stream windows: its streams end after the stall timeout, and requests of other connections
// are not delayed.
func TestClosedStreamWindowsDelayNoOtherConnection(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.BodySize.Store(4 << 20)
	s := startSidecar(t, nil, testReplica.Addr)
	client, otherClient := dialHTTP2(t, s, 0), dialHTTP2(t, s, 1<<20)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for id := uint32(1); id < 100; id += 2 {
		client.OpenStream(id, "GET", "/stock", false)
	}
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 16<<20 {
		t.Errorf("heap grew by %d bytes with 50 stalled streams of 4 MiB, want at most 16 MiB", grown)
	}
	start := time.Now()
	otherClient.OpenStream(1, "HEAD", "/stock", false)
	if !otherClient.WaitFor(streamTimeout, streamsDone(1)) || time.Since(start) > 300*time.Millisecond {
		t.Errorf("request of another connection took %v", time.Since(start))
	}
	var all []uint32
	for id := uint32(1); id < 100; id += 2 {
		all = append(all, id)
	}
	if !client.WaitFor(streamTimeout, streamsDone(all...)) {
		t.Error("some stalled streams have not ended")
	}
	if got := client.Stream(99); !got.Reset || len(got.Body) != 0 || s.Counters().Clients["stalls"] != 50 {
		t.Errorf("stream 99 ended with %v, %d stalls counted, want 50", got.ErrCode, s.Counters().Clients["stalls"])
	}
	client.OpenStream(101, "HEAD", "/stock", false) // the connection is still usable
	if !client.WaitFor(streamTimeout, streamsDone(101)) || client.Stream(101).Status != "200" {
		t.Errorf("request after the stalled streams: %+v", client.Stream(101))
	}
}

// A non-idempotent request whose stream is reset before, during or after it is sent to its replica is executed at most
// once, and none of it stays in flight.
func TestResetStreamIsExecutedAtMostOnce(t *testing.T) {
	firstReplica, secondReplica := startReplica(t, nil), startReplica(t, nil)
	firstReplica.ServiceTime.Store(int64(20 * time.Millisecond))
	secondReplica.ServiceTime.Store(int64(20 * time.Millisecond))
	s := startSidecar(t, nil, firstReplica.Addr, secondReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	id := uint32(1)
	var all []uint32
	for k := range 90 {
		client.OpenStream(id, "POST", "/payouts", true, append(replica.KeyField(k), "content-length", "4")...)
		client.SendData(id, false, []byte("pa"))
		switch k % 3 {
		case 0:
			client.ResetStream(id)
		case 1:
			client.SendData(id, true, []byte("ys"))
			time.Sleep(time.Duration(k%30) * time.Millisecond)
			client.ResetStream(id)
		default:
			client.SendData(id, true, []byte("ys"))
			all = append(all, id)
		}
		id += 2
	}
	if !client.WaitFor(streamTimeout, streamsDone(all...)) {
		t.Error("some streams that were not reset have not ended")
	}
	for _, id := range all {
		if got := client.Stream(id); got.Status != "200" || got.Responses != 1 {
			t.Errorf("stream %d: %+v, want one response with 200", id, got)
		}
	}
	executions := firstReplica.RunsByKey()
	for key, n := range secondReplica.RunsByKey() {
		executions[key] += n
	}
	for k := range 90 {
		switch n := executions[fmt.Sprint("k", k)]; {
		case n > 1:
			t.Errorf("payout %d was executed %d times", k, n)
		case k%3 == 0 && n != 0: // its body was never sent completely
			t.Errorf("payout %d was executed, though its stream was reset before the end of its body", k)
		case k%3 == 2 && n != 1:
			t.Errorf("payout %d was executed %d times, want once", k, n)
		}
	}
}

// A drain starts with 100 streams, some of which are stalled and some reset: each of the others gets one complete response.
func TestDrainWithHundredStreams(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.ServiceTime.Store(int64(300 * time.Millisecond))
	testReplica.BodySize.Store(10_000)
	s := startSidecar(t, nil, testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	var completing, stalled []uint32
	for k := range 100 {
		id := uint32(2*k + 1)
		switch k % 5 {
		case 0:
			client.OpenStream(id, "POST", "/orders", true) // sends no body
			stalled = append(stalled, id)
		case 1:
			client.OpenStream(id, "GET", "/stock", false)
			client.ResetStream(id)
		default:
			client.OpenStream(id, "GET", "/stock", false, replica.KeyField(k)...)
			completing = append(completing, id)
		}
	}
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan struct{})
	go func() { s.stop(); close(stopped) }()
	client.WaitFor(streamTimeout, func(c *replica.HTTP2Client) bool { return len(c.GoAways) >= 1 })
	client.OpenStream(201, "GET", "/stock", false) // opened between the two GOAWAY frames
	completing = append(completing, 201)
	if !client.WaitFor(streamTimeout, streamsDone(append(completing, stalled...)...)) {
		t.Error("some streams have not ended")
	}
	<-stopped
	if !client.WaitFor(streamTimeout, func(c *replica.HTTP2Client) bool { return c.Closed }) {
		t.Error("connection is still open after the drain")
	}
	for _, id := range completing {
		if got := client.Stream(id); got.Status != "200" || got.Responses != 1 || got.Reset || len(got.Body) < 10_000 {
			t.Errorf("stream %d: status %s, %d responses, reset %v, body of %d bytes", id, got.Status, got.Responses, got.Reset, len(got.Body))
		}
	}
	for _, id := range stalled {
		if got := client.Stream(id); !got.Done() || got.Responses > 1 {
			t.Errorf("stalled stream %d: %+v", id, got)
		}
	}
	if len(client.GoAways) != 2 || client.GoAways[0].LastStreamID != 1<<31-1 || client.GoAways[1].LastStreamID != 201 || client.GoAways[1].ErrCode != http2.ErrCodeNo {
		t.Errorf("GOAWAY frames %+v, want one without a limit and one with last stream 201", client.GoAways)
	}
}

// Streams that are still open at the drain timeout are reset and counted as lost.
func TestStreamsAreResetAfterDrainTimeout(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.Unresponsive.Store(true)
	s := startSidecar(t, func(f string) string { return strings.Replace(f, "drain: 2s", "drain: 200ms", 1) }, testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id < 20; id += 2 {
		client.OpenStream(id, "GET", "/stock", false)
	}
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	s.stop()
	if duration := time.Since(start); duration > time.Second {
		t.Errorf("drain took %v, want at most 1s", duration)
	}
	if !client.WaitFor(streamTimeout, streamsDone(1, 3, 5, 7, 9, 11, 13, 15, 17, 19)) || s.Counters().Clients["lost"] != 10 {
		t.Errorf("stream 19 after the drain: %+v, %d requests counted as lost, want 10", client.Stream(19), s.Counters().Clients["lost"])
	}
}

func TestAmbiguousHTTP2HeadersAreRejected(t *testing.T) {
	testReplica := startReplica(t, nil)
	s := startSidecar(t, nil, testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	id := uint32(1)
	for _, fields := range [][]string{{"connection", "close"}, {"transfer-encoding", "chunked"}, {"upgrade", "x"}, {"keep-alive", "1"}, {"te", "gzip"}, {"host", "other"},
		{"content-length", "4", "content-length", "4"}, {"content-length", "+4"}, {"content-length", "x"}, {"x", "a\r\nb: c"}, {"x", "a\x00b"}, {"X", "a"}, {"a b", "c"}, {":path", "/x"}} {
		client.OpenStream(id, "POST", "/orders", true, fields...)
		client.SendData(id, true, []byte("abcd"))
		if !client.WaitFor(streamTimeout, streamsDone(id)) || !client.Stream(id).Reset {
			t.Errorf("fields %q: %+v", fields, client.Stream(id))
		}
		id += 2
	}
	for _, path := range []string{"", "x", "http://x/", "/a b", "/a\r\nX: y", "/a#b"} {
		client.OpenStream(id, "GET", path, false)
		if !client.WaitFor(streamTimeout, streamsDone(id)) || !client.Stream(id).Reset {
			t.Errorf("path %q: %+v", path, client.Stream(id))
		}
		id += 2
	}
	for length, body := range map[string]string{"3": "abcd", "5": "abcd"} {
		client.OpenStream(id, "POST", "/payouts", true, "content-length", length)
		client.SendData(id, true, []byte(body))
		if !client.WaitFor(streamTimeout, streamsDone(id)) || client.Stream(id).ErrCode != http2.ErrCodeProtocol {
			t.Errorf("content-length %s with a body of 4 bytes: %+v", length, client.Stream(id))
		}
		id += 2
	}
	if n := testReplica.RequestCount.Load(); n != 0 {
		t.Errorf("%d rejected requests reached the replica", n)
	}
	client.OpenStream(id, "GET", "/stock", false)
	if !client.WaitFor(streamTimeout, streamsDone(id)) || client.Stream(id).Status != "200" {
		t.Errorf("valid request after the rejected ones: %+v", client.Stream(id))
	}
}

// Each kind of flood closes the connection that sends it, and leaves other connections unaffected.
func TestFloodsCloseOnlyTheirConnection(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.ServiceTime.Store(int64(5 * time.Millisecond))
	s := startSidecar(t, nil, testReplica.Addr)
	otherClient := dialHTTP2(t, s, 1<<20)
	for name, send := range map[string]func(c *replica.HTTP2Client, k uint32) error{
		"resets": func(c *replica.HTTP2Client, k uint32) error {
			c.OpenStream(2*k+1, "GET", "/stock", false)
			return c.ResetStream(2*k + 1)
		},
		"pings": func(c *replica.HTTP2Client, k uint32) error {
			return c.WriteFrames(func() error { return c.Framer.WritePing(false, [8]byte{}) })
		},
		"settings": func(c *replica.HTTP2Client, k uint32) error {
			return c.WriteFrames(func() error { return c.Framer.WriteSettings() })
		},
		"priorities": func(c *replica.HTTP2Client, k uint32) error {
			return c.WriteFrames(func() error { return c.Framer.WritePriority(2*k+1, http2.PriorityParam{}) })
		},
		"empty data frames": func(c *replica.HTTP2Client, k uint32) error {
			if k == 0 {
				c.OpenStream(1, "POST", "/orders", true)
			}
			return c.SendData(1, false, nil)
		},
		"one-byte data frames": func(c *replica.HTTP2Client, k uint32) error {
			if k == 0 {
				c.OpenStream(1, "POST", "/orders", true)
			}
			return c.SendData(1, false, []byte("x"))
		},
		"one-byte window updates": func(c *replica.HTTP2Client, k uint32) error {
			return c.WriteFrames(func() error { return c.Framer.WriteWindowUpdate(0, 1) })
		},
		"invalid header fields": func(c *replica.HTTP2Client, k uint32) error {
			return c.OpenStream(2*k+1, "GET", "/stock", false, "connection", "x")
		},
		"oversized headers": func(c *replica.HTTP2Client, k uint32) error {
			return c.OpenStream(2*k+1, "GET", "/stock", false, "a", strings.Repeat("x", 4000), "a", strings.Repeat("x", 4000), "a", strings.Repeat("x", 4000), "a", strings.Repeat("x", 4000), "a", strings.Repeat("x", 4000))
		},
		"continuations": func(c *replica.HTTP2Client, k uint32) error {
			return c.WriteFrames(func() error {
				if k == 0 {
					return c.Framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82}})
				}
				return c.Framer.WriteContinuation(1, false, bytes.Repeat([]byte{0x40, 1, 'a', 1, 'b'}, 100))
			})
		},
	} {
		client := dialHTTP2(t, s, 1<<20)
		failed := false
		for k := uint32(0); k < 20000 && !failed; k++ {
			failed = send(client, k) != nil
			if k%500 == 0 {
				failed = failed || client.WaitFor(0, func(c *replica.HTTP2Client) bool { return c.Closed })
			}
		}
		if !client.WaitFor(streamTimeout, func(c *replica.HTTP2Client) bool { return c.Closed }) {
			t.Errorf("flood of %s: connection is still open", name)
		}
	}
	start := time.Now()
	otherClient.OpenStream(1, "GET", "/stock", false)
	if !otherClient.WaitFor(streamTimeout, streamsDone(1)) || otherClient.Stream(1).Status != "200" || time.Since(start) > time.Second {
		t.Errorf("request of another connection: %+v after %v", otherClient.Stream(1), time.Since(start))
	}
}

// A connection that waits for a response is not idle. A connection without a request gets a GOAWAY before it is closed.
func TestHTTP2IdleTimeout(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.ServiceTime.Store(int64(400 * time.Millisecond))
	s := startSidecar(t, strings.NewReplacer("idle: 5s", "idle: 100ms", shortRequests, longRequests).Replace, testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	client.OpenStream(1, "GET", "/stock", false)
	if !client.WaitFor(streamTimeout, streamsDone(1)) || client.Stream(1).Status != "200" {
		t.Errorf("request that takes longer than the idle timeout: %+v", client.Stream(1))
	}
	if !client.WaitFor(streamTimeout, func(c *replica.HTTP2Client) bool { return c.Closed }) || len(client.GoAways) != 1 || client.GoAways[0].LastStreamID != 1 || client.GoAways[0].ErrCode != http2.ErrCodeNo {
		t.Errorf("connection closed %v, GOAWAY frames %+v, want one", client.Closed, client.GoAways)
	}
}

func TestStreamsOverTheLimitAreRefused(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.ServiceTime.Store(int64(200 * time.Millisecond))
	s := startSidecar(t, func(f string) string { return strings.Replace(f, "streams: 100", "streams: 3", 1) }, testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id <= 9; id += 2 {
		client.OpenStream(id, "GET", "/stock", false)
	}
	if !client.WaitFor(streamTimeout, streamsDone(1, 3, 5, 7, 9)) || client.Stream(9).ErrCode != http2.ErrCodeRefusedStream || client.Stream(5).Status != "200" || testReplica.RequestCount.Load() != 3 {
		t.Errorf("stream over the limit %+v, stream within it %+v, %d requests reached the replica", client.Stream(9), client.Stream(5), testReplica.RequestCount.Load())
	}
	if got := exchangeRaw(t, s.h2, "GET / HTTP/1.1\r\nHost: x\r\n\r\n------------------------"); strings.Contains(got, "HTTP/1.1 200") {
		t.Errorf("HTTP/1.1 request to the HTTP/2 listener: %q", got)
	}
}

// A drain follows streams that were refused. Its GOAWAY names the last stream that was served, so that the client knows
// that it may repeat the refused ones.
func TestGoAwayNamesTheLastServedStream(t *testing.T) {
	const lastServed, lastOpened = 5, 9
	testReplica := startReplica(t, nil)
	testReplica.ServiceTime.Store(int64(200 * time.Millisecond))
	s := startSidecar(t, func(f string) string { return strings.Replace(f, "streams: 100", "streams: 3", 1) }, testReplica.Addr)
	client := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id <= lastOpened; id += 2 {
		client.OpenStream(id, "GET", "/stock", false)
	}
	if !client.WaitFor(streamTimeout, streamsDone(lastOpened)) || client.Stream(lastOpened).ErrCode != http2.ErrCodeRefusedStream {
		t.Fatalf("stream over the limit: %+v", client.Stream(lastOpened))
	}
	s.stop()
	if !client.WaitFor(streamTimeout, func(c *replica.HTTP2Client) bool { return c.Closed }) {
		t.Fatal("connection is still open after the drain")
	}
	if len(client.GoAways) != 2 || client.GoAways[1].LastStreamID != lastServed {
		t.Errorf("GOAWAY frames %+v, want two, the second with last stream %d", client.GoAways, lastServed)
	}
	if got := client.Stream(lastServed); got.Status != "200" {
		t.Errorf("last served stream: %+v, want 200", got)
	}
}
