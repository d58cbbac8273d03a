package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lilacbend/experiment/replica"
	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A reused connection ends during a request that must not be executed twice, at each point of it: the request gets one
// answer at once and is never sent twice, and the next request has a connection of its own.
func TestReusedConnectionEndsDuringARequest(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	close := func(r *scriptedpeer.Conn) { r.Close() }
	for name, c := range map[string]struct {
		before, end func(r *scriptedpeer.Conn) // before the request is written, and once its head has come
		body, want  string
	}{
		"before it is written":             {close, nil, "pay", "200"},
		"with bytes that nobody asked for": {func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n") }, nil, "pay", "200"},
		"in the middle of its body":        {nil, (*scriptedpeer.Conn).Reset, long, "503 unclear"},
		"after all of it":                  {nil, close, "pay", "503 unclear"},
		"after all of it, by a reset":      {nil, (*scriptedpeer.Conn).Reset, "pay", "503 unclear"},
		"after the first of an answer":     {nil, func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 200 OK\r\nCont"); r.Close() }, "pay", "503 unclear"},
		"in the middle of an answer":       {nil, func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"); r.Close() }, "pay", "200 broken off"},
		"after an answer, with bytes left": {nil, func(r *scriptedpeer.Conn) { r.SendRaw(okAnswer + okAnswer) }, "pay", "200"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at := scriptedpeer.Listen(t)
			s := start(t, patient("usual: again", "usual: twice-more"), at.Address())
			client := scriptedpeer.Dial(t, s.h1)
			pay := func(body string) {
				go fmt.Fprintf(client.Conn, "POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			pay("pay")
			replica := at.AcceptConn()
			replica.ReadRequestHead()
			replica.SendRaw(okAnswer)
			if got := readAnswer(client); got != "200" {
				t.Fatal(got)
			}
			if c.before != nil {
				c.before(replica)
			}
			pay(c.body)
			if c.end != nil {
				replica.ReadRequestHead() // on the kept connection
				c.end(replica)
			} else {
				replica = at.AcceptConn()
				replica.ReadRequestHead()
				replica.SendRaw(okAnswer)
			}
			if got := readAnswer(client); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
			if n := s.Counters().Requests.Attempts; n != 2 {
				t.Errorf("two requests had %d attempts", n)
			}
			if c.end != nil {
				client = scriptedpeer.Dial(t, s.h1)
				pay("pay")
				next := at.AcceptConn()
				next.ReadRequestHead()
				next.SendRaw(okAnswer)
				if got := readAnswer(client); got != "200" {
					t.Errorf("the next request: %q", got)
				}
			}
			nothingInFlight(t, s)
		})
	}
}

// A client leaves while its request waits for capacity, while its replica is silent (also for longer than a client may
// be), or ends its half alone, which counts as leaving: capacity and connection are released.
func TestClientLeavesDuringItsRequest(t *testing.T) {
	at := scriptedpeer.Listen(t)
	s := start(t, patient(" stall: 1m", " stall: 100ms", "limits: {", "limits: {waiting: 10, wait: 1m, ", "flows: 500", "flows: 1", "expiry: 2s", "expiry: 1m"), at.Address())
	const request = "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, pay := range []string{"POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay", // with a body that has come completely
		"POST /payouts HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npay\r\n0\r\n\r\n"} {
		client := scriptedpeer.Dial(t, s.h1)
		client.SendRaw(pay)
		replica := at.AcceptConn()
		replica.ReadRequestHead()
		client.Close()
		replica.WaitForClose()
		nothingInFlight(t, s)
	}
	first := scriptedpeer.Dial(t, s.h1)
	first.SendRaw(request)
	replica := at.AcceptConn()
	replica.ReadRequestHead()
	waits := scriptedpeer.Dial(t, s.h1)
	waits.SendRaw(request)
	scriptedpeer.WaitFor(t, "the second does not wait", func() bool { return s.Counters().InFlight == 2 })
	half := scriptedpeer.Dial(t, s.h1) // is ended for its silence: so long have the others been silent as well
	half.SendRaw("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	half.WaitForClose()
	waits.Close()
	scriptedpeer.WaitFor(t, "a request that has left still waits", func() bool { return s.Counters().InFlight == 1 })
	first.Close()
	replica.WaitForClose()
	nothingInFlight(t, s)
	last := scriptedpeer.Dial(t, s.h1)
	last.SendRaw(request)
	replica = at.AcceptConn()
	replica.ReadRequestHead()
	last.Conn.(*net.TCPConn).CloseWrite()
	replica.WaitForClose()
	last.WaitForClose()
	nothingInFlight(t, s)
	if f := s.Counters().Requests; f.Failed[dispatch.ErrClientGone] != 5 {
		t.Errorf("%+v", f)
	}
}

// A stream is reset as a retry is decided: either the reset comes first, and there is no retry; or the retry is on its
// way, ends with the reset, and is the last attempt.
func TestStreamResetDuringARetryDecision(t *testing.T) {
	for _, resetFirst := range []bool{true, false} {
		one, two := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
		s := start(t, patient("usual: again", "usual: twice-more", "expiry: 2s", "expiry: 1m", "latency_budget: 500ms", "latency_budget: 30s", "window: 2500ms", "window: 10m"), one.Address())
		client := dialHTTP2(t, s, 1<<20)
		client.OpenStream(1, "POST", "/orders", true, "content-length", "3")
		client.SendData(1, true, []byte("buy"))
		replica := one.AcceptConn()
		replica.ReadRequestHead()
		s.updateEndpoints(false, map[string]dispatch.Endpoint{"r1": {Zone: "a", Address: two.Address()}})
		if resetFirst {
			client.ResetStream(1)
			replica.WaitForClose() // it was noticed
			replica.Close()
		} else {
			replica.Close()
			next := two.AcceptConn()
			next.ReadRequestHead()
			client.ResetStream(1)
			next.WaitForClose()
		}
		nothingInFlight(t, s)
		tries := int64(2)
		if resetFirst {
			tries = 1
		}
		if f := s.Counters().Requests; f.Attempts != tries || f.Failed[dispatch.ErrClientGone] != 1 {
			t.Errorf("reset first %v: %+v", resetFirst, f)
		}
	}
}

// The drain is over, and requests go on whose connection nobody watches: with a body, and with another request behind
// them. They are ended all the same, and the sidecar with them.
func TestDrainEndsUnwatchedRequests(t *testing.T) {
	for name, text := range map[string]string{
		"a body":         "POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay",
		"another behind": "GET /stock HTTP/1.1\r\nHost: x\r\n\r\nGET /stock HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		at := scriptedpeer.Listen(t)
		s := start(t, patient("drain: 2s", "drain: 50ms", "expiry: 2s", "expiry: 1m"), at.Address())
		client := scriptedpeer.Dial(t, s.h1)
		client.SendRaw(text)
		replica := at.AcceptConn()
		replica.ReadRequestHead()
		ended := make(chan struct{})
		go func() { s.stop(); close(ended) }()
		select {
		case <-ended:
		case <-time.After(scriptedpeer.WaitTimeout):
			t.Fatalf("%s: the sidecar goes on", name)
		}
		client.WaitForClose()
		if n := s.Counters().Clients["lost"]; n != 1 {
			t.Errorf("%s: %d lost", name, n)
		}
	}
}

// A replica gives a long answer before it has read the body, and the client sends on: the answer arrives completely,
// though the sidecar closes the connection with bytes unread.
func TestAnswerArrivesThoughTheClientStillSends(t *testing.T) {
	const size = 1 << 20
	at := scriptedpeer.Listen(t)
	s := start(t, patient(), at.Address())
	client := scriptedpeer.Dial(t, s.h1)
	client.SendRaw("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n")
	go io.CopyN(client.Conn, zeros{}, 10_000_000)
	replica := at.AcceptConn()
	replica.ReadRequestHead()
	go fmt.Fprintf(replica.Conn, "HTTP/1.1 413 Too Large\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	nothingInFlight(t, s) // the answer has been written, and the client has read none of it
	resp, err := http.ReadResponse(client.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d of %d bytes: %v", n, size, err)
	}
}

// frames is an HTTP/2 client that reads a frame when the test says so.
type frames struct {
	*scriptedpeer.Conn
	*http2.Framer
	block bytes.Buffer
	enc   *hpack.Encoder
	room  int64 // that the connection leaves us
}

func dialFrames(t *testing.T, s running, window, connection uint32) *frames {
	c := &frames{Conn: scriptedpeer.Dial(t, s.h2), room: 65535}
	c.Framer = http2.NewFramer(c.Conn.Conn, c.Conn.Reader)
	c.enc = hpack.NewEncoder(&c.block)
	c.SendRaw(http2.ClientPreface)
	c.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: window})
	if connection > 65535 {
		c.WriteWindowUpdate(0, connection-65535)
	}
	return c
}

func (c *frames) open(id uint32, method, path string, end bool, pairs ...string) {
	c.block.Reset()
	pairs = append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "x"}, pairs...)
	for k := 0; k < len(pairs); k += 2 {
		c.enc.WriteField(hpack.HeaderField{Name: pairs[k], Value: pairs[k+1]})
	}
	b := c.block.Bytes()
	n := min(len(b), 16<<10)
	c.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b[:n], EndStream: end, EndHeaders: n == len(b)})
	if n < len(b) {
		c.WriteContinuation(id, true, b[n:])
	}
}

// next reads one frame and counts what the window of the connection allows.
func (c *frames) next() (http2.Frame, error) {
	f, err := c.ReadFrame()
	if u, ok := f.(*http2.WindowUpdateFrame); ok && u.StreamID == 0 {
		c.room += int64(u.Increment)
	}
	return f, err
}

// Bodies that are discarded because they differ from their content-length return to the window of their connection all
// the same: it carries any number of them.
func TestDiscardedDataReturnsToTheConnectionWindow(t *testing.T) {
	s := start(t, patient(), startReplica(t, nil).Addr)
	c := dialFrames(t, s, 1<<20, 1<<20)
	piece := make([]byte, 16<<10)
	for k := range uint32(60) {
		for c.room < int64(len(piece)) {
			if _, err := c.next(); err != nil {
				t.Fatalf("no room after %d pieces: %v", k, err)
			}
		}
		c.open(2*k+1, "POST", "/orders", false, "content-length", "1")
		c.WriteData(2*k+1, true, piece)
		c.room -= int64(len(piece))
	}
	c.Close()
	nothingInFlight(t, s)
}

// A head that was truncated is not forwarded: the missing fields could be those that say its class.
func TestTooLargeHTTP2HeadIsNotForwarded(t *testing.T) {
	r := startReplica(t, nil)
	s := start(t, patient(), r.Addr)
	c := dialFrames(t, s, 1<<20, 1<<20)
	c.Framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	var pairs []string
	for k := range 6 {
		pairs = append(pairs, fmt.Sprint("f", k), strings.Repeat("x", 4000))
	}
	c.open(1, "GET", "/stock", true, pairs...)
	for {
		f, err := c.next()
		if err != nil {
			t.Fatal(err)
		}
		if h, ok := f.(*http2.MetaHeadersFrame); ok {
			if h.PseudoValue("status") != "431" || r.RequestCount.Load() != 0 {
				t.Errorf("status %s, %d ran", h.PseudoValue("status"), r.RequestCount.Load())
			}
			return
		}
	}
}

// A client opens its windows and reads nothing: once a write has failed in the middle of a frame its connection is over,
// and no request that it still sends is executed without an answer.
func TestFailedWriteEndsItsConnection(t *testing.T) {
	r := startReplica(t, nil)
	r.BodySize.Store(64 << 20)
	s := start(t, patient(" stall: 1m", " stall: 100ms"), r.Addr)
	c := dialFrames(t, s, 1<<30, 1<<30)
	c.ShrinkBuffers()
	c.open(1, "GET", "/stock", true)
	scriptedpeer.WaitFor(t, "the connection stays", func() bool {
		f := s.Counters()
		return f.Clients["requests"] == 1 && f.Clients["open"] == 0
	})
	nothingInFlight(t, s)
}

// A drain sends its GOAWAYs while a client opens streams without a pause: each one up to the last that they name has its
// answer, and none above it is executed without one.
func TestStreamsThatCrossAGoAway(t *testing.T) {
	r := startReplica(t, nil)
	s := start(t, patient("streams: 100", "streams: 10000", "flows: 500", "flows: 10000", "waiting: 200", "waiting: 10000"), r.Addr)
	var all sync.WaitGroup
	began := make(chan struct{}, 8)
	for range 8 {
		c := dialHTTP2(t, s, 1<<20)
		all.Go(func() {
			opened := uint32(0)
			over := func(c *replica.HTTP2Client) bool { return c.Closed || len(c.GoAways) >= 2 }
			for id := uint32(1); id < 40_000; id += 2 {
				if id == 1 {
					began <- struct{}{}
				}
				if c.WaitFor(0, over) || c.OpenStream(id, "HEAD", "/stock", false) != nil {
					break
				}
				opened = id
				if id%16 == 1 { // not many more than can be answered
					c.WaitFor(scriptedpeer.WaitTimeout, func(c *replica.HTTP2Client) bool { return over(c) || c.Streams[id] != nil && c.Streams[id].Done() })
				}
			}
			if !c.WaitFor(scriptedpeer.WaitTimeout, func(c *replica.HTTP2Client) bool { return c.Closed && len(c.GoAways) == 2 }) {
				t.Errorf("ended %v, %d words of going away", c.Closed, len(c.GoAways))
				return
			}
			c.Conn.Close()
			last := c.GoAways[1].LastStreamID
			for id := uint32(1); id <= opened; id += 2 {
				got := c.Stream(id)
				if id <= last && got.Status != "200" && !(got.Reset && got.ErrCode == http2.ErrCodeRefusedStream) || id > last && got.Status != "" {
					t.Errorf("stream %d of %d, the last that counts is %d: %+v", id, opened, last, got)
					return
				}
			}
		})
	}
	for range 8 {
		<-began
	}
	scriptedpeer.WaitFor(t, "not all are taken in", func() bool { return s.Counters().Clients["open"] == 8 })
	s.stop()
	all.Wait()
}

// A sidecar ends while a client, which sends window updates as it reads, has yet to read its answer: the connection ends
// only once it has been read, so no reset destroys it.
func TestAnswerIsReadAsTheSidecarEnds(t *testing.T) {
	const size = 1 << 20
	r := startReplica(t, nil)
	r.BodySize.Store(size)
	s := start(t, patient("drain: 2s", "drain: 1m"), r.Addr)
	c := dialFrames(t, s, 1<<30, 1<<30)
	c.open(1, "GET", "/stock", true)
	scriptedpeer.WaitFor(t, "the answer is not written", func() bool {
		f := s.Counters()
		return f.Clients["requests"] == 1 && f.Clients["in_flight"] == 0 && f.InFlight == 0
	})
	ended := make(chan struct{})
	go func() { s.stop(); close(ended) }()
	got, words := 0, 0
	for {
		f, err := c.next()
		if err != nil {
			if err != io.EOF {
				t.Error(err)
			}
			break
		}
		switch f := f.(type) {
		case *http2.DataFrame:
			got += len(f.Data())
			c.WriteWindowUpdate(0, uint32(max(64, len(f.Data()))))
			if words == 0 { // the sidecar has hung up: what it had to say has all been written
				scriptedpeer.WaitFor(t, "it does not drain", s.server.Draining)
				time.Sleep(3 * 50 * time.Millisecond) // over its pauses: it would have closed
				words++
			}
		case *http2.GoAwayFrame:
			words++
		}
	}
	if got < size {
		t.Errorf("%d of %d bytes", got, size)
	}
	c.Close()
	<-ended
}

// A drain with a request in flight: from its first moment /health says that no request should come here.
func TestHealthDuringDrain(t *testing.T) {
	at, local := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	s := start(t, patient("drain: 2s", "drain: 1m", "listen: {", "listen: {local: \""+local+"\", "), at.Address())
	health := func() string {
		c := scriptedpeer.Dial(t, local)
		c.SendRaw("GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		return readAnswer(c)
	}
	if got := health(); got != "200" {
		t.Errorf("before: %q", got)
	}
	client := scriptedpeer.Dial(t, s.h1)
	client.SendRaw("GET /stock HTTP/1.1\r\nHost: x\r\n\r\n")
	replica := at.AcceptConn()
	replica.ReadRequestHead()
	ended := make(chan struct{})
	go func() { s.stop(); close(ended) }()
	scriptedpeer.WaitFor(t, "it does not drain", s.server.Draining)
	if got := health(); got != "503" {
		t.Errorf("during: %q", got)
	}
	replica.SendRaw(okAnswer)
	if got := readAnswer(client); got != "200" {
		t.Errorf("the request in flight: %q", got)
	}
	client.Close()
	<-ended
}
