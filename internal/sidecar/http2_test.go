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

const moment = 5 * time.Second

func dialHTTP2(t testing.TB, s running, window uint32) *replica.HTTP2Client {
	c, err := replica.DialHTTP2(s.h2, window)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Conn.Close() })
	return c
}

func done(ids ...uint32) func(*replica.HTTP2Client) bool {
	return func(c *replica.HTTP2Client) bool {
		for _, id := range ids {
			if s := c.Streams[id]; s == nil || !s.Done() {
				return false
			}
		}
		return true
	}
}

func TestHTTP2AnswersAreForwardedUnchanged(t *testing.T) {
	const piece = 10_000
	var forwarded atomic.Int64 // bytes of bodies that the replica has read
	r := startReplica(t, func(w http.ResponseWriter, req *http.Request) {
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
	s := start(t, nil, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	c.OpenStream(1, "GET", "/a?b=c", false, "cookie", "a=1", "cookie", "b=2")
	c.OpenStream(3, "HEAD", "/a", false)
	c.OpenStream(5, "GET", "/empty", false)
	c.OpenStream(7, "GET", "/early", false)
	c.OpenStream(9, "GET", "/large", false)
	c.OpenStream(11, "GET", "/trailer", false)
	c.OpenStream(13, "POST", "/orders", true, "content-length", "5")
	c.SendData(13, true, []byte("hello"))
	c.OpenStream(15, "POST", "/orders", true)
	for k := range int64(10) { // more than a window, which the client keeps to: no more than 60,000 bytes are on their way
		scriptedpeer.WaitFor(t, "the body is not forwarded", func() bool { return k*piece-forwarded.Load() <= 5*piece })
		c.SendData(15, false, make([]byte, piece))
	}
	c.SendData(15, true, nil)
	c.OpenStream(17, "DELETE", "/a", false)
	if !c.WaitFor(moment, done(1, 3, 5, 7, 9, 11, 13, 15, 17)) {
		t.Fatal("not all ended")
	}
	for id, want := range map[uint32]string{1: "GET /a?b=c 0 host=shop.example.org cookie=a=1; b=2", 13: "POST /orders 5 host=shop.example.org cookie= len=5", 15: "POST /orders 100000", 11: "x"} {
		if got := c.Stream(id); !strings.HasPrefix(string(got.Body), want) || got.Status != "200" || got.Reset {
			t.Errorf("%d: %+v, want %s", id, got, want)
		}
	}
	if a, b, d := c.Stream(3), c.Stream(5), c.Stream(11); len(a.Body) != 0 || a.Fields["content-length"] == "" || b.Status != "204" || d.Fields["sum"] != "9" {
		t.Errorf("%+v %+v %+v", a, b, d)
	}
	if large, none := c.Stream(9), c.Stream(17); len(large.Fields["large"]) != 40<<10 || none.Status != "404" || none.Fields["lilacbend-reason"] != "no-group" {
		t.Errorf("%d %+v", len(large.Fields["large"]), none)
	}
}

// countingReader counts what is read.
type countingReader struct {
	io.Reader
	count *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}

// A client that never opens its window: its streams end after the stall timeout, other connections keep their pace.
func TestWindowThatNeverOpens(t *testing.T) {
	r := startReplica(t, nil)
	r.BodySize.Store(4 << 20)
	s := start(t, nil, r.Addr)
	quick := startReplica(t, nil)
	_ = quick
	c, neighbour := dialHTTP2(t, s, 0), dialHTTP2(t, s, 1<<20)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for id := uint32(1); id < 100; id += 2 {
		c.OpenStream(id, "GET", "/stock", false)
	}
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 16<<20 {
		t.Errorf("50 stalled streams of 4 MiB hold %d bytes", grown)
	}
	began := time.Now()
	neighbour.OpenStream(1, "HEAD", "/stock", false)
	if !neighbour.WaitFor(moment, done(1)) || time.Since(began) > 300*time.Millisecond {
		t.Errorf("a neighbour waited %v", time.Since(began))
	}
	var all []uint32
	for id := uint32(1); id < 100; id += 2 {
		all = append(all, id)
	}
	if !c.WaitFor(moment, done(all...)) {
		t.Error("not all ended")
	}
	if got := c.Stream(99); !got.Reset || len(got.Body) != 0 || s.Counters().Clients["stalls"] != 50 {
		t.Errorf("%v, %d stalls", got.ErrCode, s.Counters().Clients["stalls"])
	}
	c.OpenStream(101, "HEAD", "/stock", false) // the connection is still good
	if !c.WaitFor(moment, done(101)) || c.Stream(101).Status != "200" {
		t.Errorf("%+v", c.Stream(101))
	}
}

// A reset before, while and after a payout is sent to its replica: it is executed at most once, and nothing is left over.
func TestStreamResetDuringAPayout(t *testing.T) {
	one, two := startReplica(t, nil), startReplica(t, nil)
	one.ServiceTime.Store(int64(20 * time.Millisecond))
	two.ServiceTime.Store(int64(20 * time.Millisecond))
	s := start(t, nil, one.Addr, two.Addr)
	c := dialHTTP2(t, s, 1<<20)
	id := uint32(1)
	var all []uint32
	for k := range 90 {
		c.OpenStream(id, "POST", "/payouts", true, append(replica.KeyField(k), "content-length", "4")...)
		c.SendData(id, false, []byte("pa"))
		switch k % 3 {
		case 0:
			c.ResetStream(id)
		case 1:
			c.SendData(id, true, []byte("ys"))
			time.Sleep(time.Duration(k%30) * time.Millisecond)
			c.ResetStream(id)
		default:
			c.SendData(id, true, []byte("ys"))
			all = append(all, id)
		}
		id += 2
	}
	if !c.WaitFor(moment, done(all...)) {
		t.Error("not all others ended")
	}
	for _, id := range all {
		if got := c.Stream(id); got.Status != "200" || got.Responses != 1 {
			t.Errorf("%d: %+v", id, got)
		}
	}
	ran := one.RunsByKey()
	for key, n := range two.RunsByKey() {
		ran[key] += n
	}
	for k := range 90 {
		switch n := ran[fmt.Sprint("k", k)]; {
		case n > 1:
			t.Errorf("payout %d ran %d times", k, n)
		case k%3 == 0 && n != 0: // its body never came completely
			t.Errorf("payout %d ran, though it was reset before its end", k)
		case k%3 == 2 && n != 1:
			t.Errorf("payout %d ran %d times", k, n)
		}
	}
}

// 100 streams, some stalled, some reset, each of the others with one answer; then a drain.
func TestHundredStreamsAndADrain(t *testing.T) {
	r := startReplica(t, nil)
	r.ServiceTime.Store(int64(300 * time.Millisecond))
	r.BodySize.Store(10_000)
	s := start(t, nil, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	var good, stalled []uint32
	for k := range 100 {
		id := uint32(2*k + 1)
		switch k % 5 {
		case 0:
			c.OpenStream(id, "POST", "/orders", true) // sends no more
			stalled = append(stalled, id)
		case 1:
			c.OpenStream(id, "GET", "/stock", false)
			c.ResetStream(id)
		default:
			c.OpenStream(id, "GET", "/stock", false, replica.KeyField(k)...)
			good = append(good, id)
		}
	}
	time.Sleep(100 * time.Millisecond)
	ended := make(chan struct{})
	go func() { s.stop(); close(ended) }()
	c.WaitFor(moment, func(c *replica.HTTP2Client) bool { return len(c.GoAways) >= 1 })
	c.OpenStream(201, "GET", "/stock", false) // sent after the first word, before the second
	good = append(good, 201)
	if !c.WaitFor(moment, done(append(good, stalled...)...)) {
		t.Error("not all ended")
	}
	<-ended
	if !c.WaitFor(moment, func(c *replica.HTTP2Client) bool { return c.Closed }) {
		t.Error("the connection stays")
	}
	for _, id := range good {
		if got := c.Stream(id); got.Status != "200" || got.Responses != 1 || got.Reset || len(got.Body) < 10_000 {
			t.Errorf("%d: %s, %d answers, reset %v, %d bytes", id, got.Status, got.Responses, got.Reset, len(got.Body))
		}
	}
	for _, id := range stalled {
		if got := c.Stream(id); !got.Done() || got.Responses > 1 {
			t.Errorf("stalled %d: %+v", id, got)
		}
	}
	if len(c.GoAways) != 2 || c.GoAways[0].LastStreamID != 1<<31-1 || c.GoAways[1].LastStreamID != 201 || c.GoAways[1].ErrCode != http2.ErrCodeNo {
		t.Errorf("going away: %+v", c.GoAways)
	}
}

// Requests outlast the drain: each open stream is reset, and counted as lost.
func TestStreamsOutlastTheDrain(t *testing.T) {
	r := startReplica(t, nil)
	r.Unresponsive.Store(true)
	s := start(t, func(f string) string { return strings.Replace(f, "drain: 2s", "drain: 200ms", 1) }, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id < 20; id += 2 {
		c.OpenStream(id, "GET", "/stock", false)
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	s.stop()
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %v", took)
	}
	if !c.WaitFor(moment, done(1, 3, 5, 7, 9, 11, 13, 15, 17, 19)) || s.Counters().Clients["lost"] != 10 {
		t.Errorf("lost without a word: %+v, %d counted", c.Stream(19), s.Counters().Clients["lost"])
	}
}

func TestAmbiguousHTTP2HeadsAreRefused(t *testing.T) {
	r := startReplica(t, nil)
	s := start(t, nil, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	id := uint32(1)
	for _, fields := range [][]string{{"connection", "close"}, {"transfer-encoding", "chunked"}, {"upgrade", "x"}, {"keep-alive", "1"}, {"te", "gzip"}, {"host", "other"},
		{"content-length", "4", "content-length", "4"}, {"content-length", "+4"}, {"content-length", "x"}, {"x", "a\r\nb: c"}, {"x", "a\x00b"}, {"X", "a"}, {"a b", "c"}, {":path", "/x"}} {
		c.OpenStream(id, "POST", "/orders", true, fields...)
		c.SendData(id, true, []byte("abcd"))
		if !c.WaitFor(moment, done(id)) || !c.Stream(id).Reset {
			t.Errorf("%q: %+v", fields, c.Stream(id))
		}
		id += 2
	}
	for _, path := range []string{"", "x", "http://x/", "/a b", "/a\r\nX: y", "/a#b"} {
		c.OpenStream(id, "GET", path, false)
		if !c.WaitFor(moment, done(id)) || !c.Stream(id).Reset {
			t.Errorf("path %q: %+v", path, c.Stream(id))
		}
		id += 2
	}
	for length, body := range map[string]string{"3": "abcd", "5": "abcd"} {
		c.OpenStream(id, "POST", "/payouts", true, "content-length", length)
		c.SendData(id, true, []byte(body))
		if !c.WaitFor(moment, done(id)) || c.Stream(id).ErrCode != http2.ErrCodeProtocol {
			t.Errorf("length %s of 4: %+v", length, c.Stream(id))
		}
		id += 2
	}
	if n := r.RequestCount.Load(); n != 0 {
		t.Errorf("%d of them reached the replica", n)
	}
	c.OpenStream(id, "GET", "/stock", false)
	if !c.WaitFor(moment, done(id)) || c.Stream(id).Status != "200" {
		t.Errorf("the connection is of no use any more: %+v", c.Stream(id))
	}
}

// Each way of keeping a sidecar busy ends its own connection, and harms no other.
func TestFloodsEndTheirConnectionAlone(t *testing.T) {
	r := startReplica(t, nil)
	r.ServiceTime.Store(int64(5 * time.Millisecond))
	s := start(t, nil, r.Addr)
	neighbour := dialHTTP2(t, s, 1<<20)
	for name, say := range map[string]func(c *replica.HTTP2Client, k uint32) error{
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
		"empty pieces": func(c *replica.HTTP2Client, k uint32) error {
			if k == 0 {
				c.OpenStream(1, "POST", "/orders", true)
			}
			return c.SendData(1, false, nil)
		},
		"single bytes": func(c *replica.HTTP2Client, k uint32) error {
			if k == 0 {
				c.OpenStream(1, "POST", "/orders", true)
			}
			return c.SendData(1, false, []byte("x"))
		},
		"tiny windows": func(c *replica.HTTP2Client, k uint32) error {
			return c.WriteFrames(func() error { return c.Framer.WriteWindowUpdate(0, 1) })
		},
		"bad heads": func(c *replica.HTTP2Client, k uint32) error {
			return c.OpenStream(2*k+1, "GET", "/stock", false, "connection", "x")
		},
		"header bombs": func(c *replica.HTTP2Client, k uint32) error {
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
		c := dialHTTP2(t, s, 1<<20)
		ended := false
		for k := uint32(0); k < 20000 && !ended; k++ {
			ended = say(c, k) != nil
			if k%500 == 0 {
				ended = ended || c.WaitFor(0, func(c *replica.HTTP2Client) bool { return c.Closed })
			}
		}
		if !c.WaitFor(moment, func(c *replica.HTTP2Client) bool { return c.Closed }) {
			t.Errorf("%s: the connection goes on", name)
		}
	}
	began := time.Now()
	neighbour.OpenStream(1, "GET", "/stock", false)
	if !neighbour.WaitFor(moment, done(1)) || neighbour.Stream(1).Status != "200" || time.Since(began) > time.Second {
		t.Errorf("a neighbour: %+v after %v", neighbour.Stream(1), time.Since(began))
	}
}

// A connection that waits for an answer is not idle; one without a request gets a GOAWAY before it ends.
func TestHTTP2IdleTimeout(t *testing.T) {
	r := startReplica(t, nil)
	r.ServiceTime.Store(int64(400 * time.Millisecond))
	s := start(t, func(f string) string { return strings.Replace(f, "idle: 5s", "idle: 100ms", 1) }, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	c.OpenStream(1, "GET", "/stock", false)
	if !c.WaitFor(moment, done(1)) || c.Stream(1).Status != "200" {
		t.Errorf("%+v", c.Stream(1))
	}
	if !c.WaitFor(moment, func(c *replica.HTTP2Client) bool { return c.Closed }) || len(c.GoAways) != 1 || c.GoAways[0].LastStreamID != 1 || c.GoAways[0].ErrCode != http2.ErrCodeNo {
		t.Errorf("ended %v, %+v", c.Closed, c.GoAways)
	}
}

func TestStreamsOverTheLimitAreRefused(t *testing.T) {
	r := startReplica(t, nil)
	r.ServiceTime.Store(int64(200 * time.Millisecond))
	s := start(t, func(f string) string { return strings.Replace(f, "streams: 100", "streams: 3", 1) }, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id <= 9; id += 2 {
		c.OpenStream(id, "GET", "/stock", false)
	}
	if !c.WaitFor(moment, done(1, 3, 5, 7, 9)) || c.Stream(9).ErrCode != http2.ErrCodeRefusedStream || c.Stream(5).Status != "200" || r.RequestCount.Load() != 3 {
		t.Errorf("%+v %+v, %d ran", c.Stream(9), c.Stream(5), r.RequestCount.Load())
	}
	if got := exchangeRaw(t, s.h2, "GET / HTTP/1.1\r\nHost: x\r\n\r\n------------------------"); strings.Contains(got, "HTTP/1.1 200") {
		t.Errorf("HTTP/1.1 on the port of HTTP/2: %q", got)
	}
}
