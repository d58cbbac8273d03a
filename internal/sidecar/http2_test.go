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

func dialHTTP2(t testing.TB, s running, window uint32) *replica.H2 {
	c, err := replica.DialH2(s.h2, window)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Conn.Close() })
	return c
}

func done(ids ...uint32) func(*replica.H2) bool {
	return func(c *replica.H2) bool {
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
	c.Open(1, "GET", "/a?b=c", false, "cookie", "a=1", "cookie", "b=2")
	c.Open(3, "HEAD", "/a", false)
	c.Open(5, "GET", "/empty", false)
	c.Open(7, "GET", "/early", false)
	c.Open(9, "GET", "/large", false)
	c.Open(11, "GET", "/trailer", false)
	c.Open(13, "POST", "/orders", true, "content-length", "5")
	c.Data(13, true, []byte("hello"))
	c.Open(15, "POST", "/orders", true)
	for k := range int64(10) { // more than a window, which the client keeps to: no more than 60,000 bytes are on their way
		scriptedpeer.Until(t, "the body is not forwarded", func() bool { return k*piece-forwarded.Load() <= 5*piece })
		c.Data(15, false, make([]byte, piece))
	}
	c.Data(15, true, nil)
	c.Open(17, "DELETE", "/a", false)
	if !c.Wait(moment, done(1, 3, 5, 7, 9, 11, 13, 15, 17)) {
		t.Fatal("not all ended")
	}
	for id, want := range map[uint32]string{1: "GET /a?b=c 0 host=shop.example.org cookie=a=1; b=2", 13: "POST /orders 5 host=shop.example.org cookie= len=5", 15: "POST /orders 100000", 11: "x"} {
		if got := c.Of(id); !strings.HasPrefix(string(got.Body), want) || got.Status != "200" || got.Reset {
			t.Errorf("%d: %+v, want %s", id, got, want)
		}
	}
	if a, b, d := c.Of(3), c.Of(5), c.Of(11); len(a.Body) != 0 || a.Fields["content-length"] == "" || b.Status != "204" || d.Fields["sum"] != "9" {
		t.Errorf("%+v %+v %+v", a, b, d)
	}
	if large, none := c.Of(9), c.Of(17); len(large.Fields["large"]) != 40<<10 || none.Status != "404" || none.Fields["lilacbend-reason"] != "no-group" {
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
	r.Size.Store(4 << 20)
	s := start(t, nil, r.Addr)
	quick := startReplica(t, nil)
	_ = quick
	c, neighbour := dialHTTP2(t, s, 0), dialHTTP2(t, s, 1<<20)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for id := uint32(1); id < 100; id += 2 {
		c.Open(id, "GET", "/stock", false)
	}
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 16<<20 {
		t.Errorf("50 stalled streams of 4 MiB hold %d bytes", grown)
	}
	began := time.Now()
	neighbour.Open(1, "HEAD", "/stock", false)
	if !neighbour.Wait(moment, done(1)) || time.Since(began) > 300*time.Millisecond {
		t.Errorf("a neighbour waited %v", time.Since(began))
	}
	var all []uint32
	for id := uint32(1); id < 100; id += 2 {
		all = append(all, id)
	}
	if !c.Wait(moment, done(all...)) {
		t.Error("not all ended")
	}
	if got := c.Of(99); !got.Reset || len(got.Body) != 0 || s.Counters().Clients["stalls"] != 50 {
		t.Errorf("%v, %d stalls", got.Code, s.Counters().Clients["stalls"])
	}
	c.Open(101, "HEAD", "/stock", false) // the connection is still good
	if !c.Wait(moment, done(101)) || c.Of(101).Status != "200" {
		t.Errorf("%+v", c.Of(101))
	}
}

// A reset before, while and after a payout is sent to its replica: it is executed at most once, and nothing is left over.
func TestStreamResetDuringAPayout(t *testing.T) {
	one, two := startReplica(t, nil), startReplica(t, nil)
	one.Span.Store(int64(20 * time.Millisecond))
	two.Span.Store(int64(20 * time.Millisecond))
	s := start(t, nil, one.Addr, two.Addr)
	c := dialHTTP2(t, s, 1<<20)
	id := uint32(1)
	var all []uint32
	for k := range 90 {
		c.Open(id, "POST", "/payouts", true, append(replica.Key(k), "content-length", "4")...)
		c.Data(id, false, []byte("pa"))
		switch k % 3 {
		case 0:
			c.Reset(id)
		case 1:
			c.Data(id, true, []byte("ys"))
			time.Sleep(time.Duration(k%30) * time.Millisecond)
			c.Reset(id)
		default:
			c.Data(id, true, []byte("ys"))
			all = append(all, id)
		}
		id += 2
	}
	if !c.Wait(moment, done(all...)) {
		t.Error("not all others ended")
	}
	for _, id := range all {
		if got := c.Of(id); got.Status != "200" || got.Answers != 1 {
			t.Errorf("%d: %+v", id, got)
		}
	}
	ran := one.Runs()
	for key, n := range two.Runs() {
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
	r.Span.Store(int64(300 * time.Millisecond))
	r.Size.Store(10_000)
	s := start(t, nil, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	var good, stalled []uint32
	for k := range 100 {
		id := uint32(2*k + 1)
		switch k % 5 {
		case 0:
			c.Open(id, "POST", "/orders", true) // sends no more
			stalled = append(stalled, id)
		case 1:
			c.Open(id, "GET", "/stock", false)
			c.Reset(id)
		default:
			c.Open(id, "GET", "/stock", false, replica.Key(k)...)
			good = append(good, id)
		}
	}
	time.Sleep(100 * time.Millisecond)
	ended := make(chan struct{})
	go func() { s.stop(); close(ended) }()
	c.Wait(moment, func(c *replica.H2) bool { return len(c.GoAways) >= 1 })
	c.Open(201, "GET", "/stock", false) // sent after the first word, before the second
	good = append(good, 201)
	if !c.Wait(moment, done(append(good, stalled...)...)) {
		t.Error("not all ended")
	}
	<-ended
	if !c.Wait(moment, func(c *replica.H2) bool { return c.Ended }) {
		t.Error("the connection stays")
	}
	for _, id := range good {
		if got := c.Of(id); got.Status != "200" || got.Answers != 1 || got.Reset || len(got.Body) < 10_000 {
			t.Errorf("%d: %s, %d answers, reset %v, %d bytes", id, got.Status, got.Answers, got.Reset, len(got.Body))
		}
	}
	for _, id := range stalled {
		if got := c.Of(id); !got.Done() || got.Answers > 1 {
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
	r.Silent.Store(true)
	s := start(t, func(f string) string { return strings.Replace(f, "drain: 2s", "drain: 200ms", 1) }, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id < 20; id += 2 {
		c.Open(id, "GET", "/stock", false)
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	s.stop()
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %v", took)
	}
	if !c.Wait(moment, done(1, 3, 5, 7, 9, 11, 13, 15, 17, 19)) || s.Counters().Clients["lost"] != 10 {
		t.Errorf("lost without a word: %+v, %d counted", c.Of(19), s.Counters().Clients["lost"])
	}
}

func TestAmbiguousHTTP2HeadsAreRefused(t *testing.T) {
	r := startReplica(t, nil)
	s := start(t, nil, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	id := uint32(1)
	for _, fields := range [][]string{{"connection", "close"}, {"transfer-encoding", "chunked"}, {"upgrade", "x"}, {"keep-alive", "1"}, {"te", "gzip"}, {"host", "other"},
		{"content-length", "4", "content-length", "4"}, {"content-length", "+4"}, {"content-length", "x"}, {"x", "a\r\nb: c"}, {"x", "a\x00b"}, {"X", "a"}, {"a b", "c"}, {":path", "/x"}} {
		c.Open(id, "POST", "/orders", true, fields...)
		c.Data(id, true, []byte("abcd"))
		if !c.Wait(moment, done(id)) || !c.Of(id).Reset {
			t.Errorf("%q: %+v", fields, c.Of(id))
		}
		id += 2
	}
	for _, path := range []string{"", "x", "http://x/", "/a b", "/a\r\nX: y", "/a#b"} {
		c.Open(id, "GET", path, false)
		if !c.Wait(moment, done(id)) || !c.Of(id).Reset {
			t.Errorf("path %q: %+v", path, c.Of(id))
		}
		id += 2
	}
	for length, body := range map[string]string{"3": "abcd", "5": "abcd"} {
		c.Open(id, "POST", "/payouts", true, "content-length", length)
		c.Data(id, true, []byte(body))
		if !c.Wait(moment, done(id)) || c.Of(id).Code != http2.ErrCodeProtocol {
			t.Errorf("length %s of 4: %+v", length, c.Of(id))
		}
		id += 2
	}
	if n := r.Serves.Load(); n != 0 {
		t.Errorf("%d of them reached the replica", n)
	}
	c.Open(id, "GET", "/stock", false)
	if !c.Wait(moment, done(id)) || c.Of(id).Status != "200" {
		t.Errorf("the connection is of no use any more: %+v", c.Of(id))
	}
}

// Each way of keeping a sidecar busy ends its own connection, and harms no other.
func TestFloodsEndTheirConnectionAlone(t *testing.T) {
	r := startReplica(t, nil)
	r.Span.Store(int64(5 * time.Millisecond))
	s := start(t, nil, r.Addr)
	neighbour := dialHTTP2(t, s, 1<<20)
	for name, say := range map[string]func(c *replica.H2, k uint32) error{
		"resets": func(c *replica.H2, k uint32) error { c.Open(2*k+1, "GET", "/stock", false); return c.Reset(2*k + 1) },
		"pings": func(c *replica.H2, k uint32) error {
			return c.Say(func() error { return c.Framer.WritePing(false, [8]byte{}) })
		},
		"settings": func(c *replica.H2, k uint32) error { return c.Say(func() error { return c.Framer.WriteSettings() }) },
		"priorities": func(c *replica.H2, k uint32) error {
			return c.Say(func() error { return c.Framer.WritePriority(2*k+1, http2.PriorityParam{}) })
		},
		"empty pieces": func(c *replica.H2, k uint32) error {
			if k == 0 {
				c.Open(1, "POST", "/orders", true)
			}
			return c.Data(1, false, nil)
		},
		"single bytes": func(c *replica.H2, k uint32) error {
			if k == 0 {
				c.Open(1, "POST", "/orders", true)
			}
			return c.Data(1, false, []byte("x"))
		},
		"tiny windows": func(c *replica.H2, k uint32) error {
			return c.Say(func() error { return c.Framer.WriteWindowUpdate(0, 1) })
		},
		"bad heads": func(c *replica.H2, k uint32) error { return c.Open(2*k+1, "GET", "/stock", false, "connection", "x") },
		"header bombs": func(c *replica.H2, k uint32) error {
			return c.Open(2*k+1, "GET", "/stock", false, "a", strings.Repeat("x", 4000), "a", strings.Repeat("x", 4000), "a", strings.Repeat("x", 4000), "a", strings.Repeat("x", 4000), "a", strings.Repeat("x", 4000))
		},
		"continuations": func(c *replica.H2, k uint32) error {
			return c.Say(func() error {
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
				ended = ended || c.Wait(0, func(c *replica.H2) bool { return c.Ended })
			}
		}
		if !c.Wait(moment, func(c *replica.H2) bool { return c.Ended }) {
			t.Errorf("%s: the connection goes on", name)
		}
	}
	began := time.Now()
	neighbour.Open(1, "GET", "/stock", false)
	if !neighbour.Wait(moment, done(1)) || neighbour.Of(1).Status != "200" || time.Since(began) > time.Second {
		t.Errorf("a neighbour: %+v after %v", neighbour.Of(1), time.Since(began))
	}
}

// A connection that waits for an answer is not idle; one without a request gets a GOAWAY before it ends.
func TestHTTP2IdleTimeout(t *testing.T) {
	r := startReplica(t, nil)
	r.Span.Store(int64(400 * time.Millisecond))
	s := start(t, func(f string) string { return strings.Replace(f, "idle: 5s", "idle: 100ms", 1) }, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	c.Open(1, "GET", "/stock", false)
	if !c.Wait(moment, done(1)) || c.Of(1).Status != "200" {
		t.Errorf("%+v", c.Of(1))
	}
	if !c.Wait(moment, func(c *replica.H2) bool { return c.Ended }) || len(c.GoAways) != 1 || c.GoAways[0].LastStreamID != 1 || c.GoAways[0].ErrCode != http2.ErrCodeNo {
		t.Errorf("ended %v, %+v", c.Ended, c.GoAways)
	}
}

func TestStreamsOverTheLimitAreRefused(t *testing.T) {
	r := startReplica(t, nil)
	r.Span.Store(int64(200 * time.Millisecond))
	s := start(t, func(f string) string { return strings.Replace(f, "streams: 100", "streams: 3", 1) }, r.Addr)
	c := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id <= 9; id += 2 {
		c.Open(id, "GET", "/stock", false)
	}
	if !c.Wait(moment, done(1, 3, 5, 7, 9)) || c.Of(9).Code != http2.ErrCodeRefusedStream || c.Of(5).Status != "200" || r.Serves.Load() != 3 {
		t.Errorf("%+v %+v, %d ran", c.Of(9), c.Of(5), r.Serves.Load())
	}
	if got := exchangeRaw(t, s.h2, "GET / HTTP/1.1\r\nHost: x\r\n\r\n------------------------"); strings.Contains(got, "HTTP/1.1 200") {
		t.Errorf("HTTP/1.1 on the port of HTTP/2: %q", got)
	}
}
