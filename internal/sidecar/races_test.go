package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A reused connection to a replica ends at some point of a non-idempotent request: the request gets one response at once,
// it is never sent twice, and the next request uses a new connection.
func TestReusedConnectionClosesDuringRequest(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	closeConn := func(r *scriptedpeer.Conn) { r.Close() }
	for name, test := range map[string]struct {
		// Called before the request is sent, and after the replica has received its head. nil: not called.
		beforeRequest, afterHead func(r *scriptedpeer.Conn)
		body, want               string
	}{
		"closed before the request":               {closeConn, nil, "pay", "200"},
		"unsolicited response before the request": {func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n") }, nil, "pay", "200"},
		"reset during the request body":           {nil, (*scriptedpeer.Conn).Reset, long, "503 unclear"},
		"closed after the request":                {nil, closeConn, "pay", "503 unclear"},
		"reset after the request":                 {nil, (*scriptedpeer.Conn).Reset, "pay", "503 unclear"},
		"closed during the response head":         {nil, func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 200 OK\r\nCont"); r.Close() }, "pay", "503 unclear"},
		"closed during the response body":         {nil, func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"); r.Close() }, "pay", "200 broken off"},
		"extra bytes after the response":          {nil, func(r *scriptedpeer.Conn) { r.SendRaw(okResponse + okResponse) }, "pay", "200"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := scriptedpeer.Listen(t)
			s := startSidecar(t, withLongTimeouts("usual: again", "usual: twice-more"), listener.Address())
			client := scriptedpeer.Dial(t, s.h1)
			sendPayout := func(body string) {
				go fmt.Fprintf(client.Conn, "POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			sendPayout("pay")
			replica := listener.AcceptConn()
			replica.ReadRequestHead()
			replica.SendRaw(okResponse)
			if got := readResponse(client); got != "200" {
				t.Fatalf("first request: %q, want 200", got)
			}
			if test.beforeRequest != nil {
				test.beforeRequest(replica)
			}
			sendPayout(test.body)
			if test.afterHead != nil {
				replica.ReadRequestHead() // on the reused connection
				test.afterHead(replica)
			} else {
				replica = listener.AcceptConn()
				replica.ReadRequestHead()
				replica.SendRaw(okResponse)
			}
			if got := readResponse(client); got != test.want {
				t.Errorf("response %q, want %q", got, test.want)
			}
			if n := s.Counters().Requests.Attempts; n != 2 {
				t.Errorf("two requests had %d attempts, want 2", n)
			}
			if test.afterHead != nil {
				client = scriptedpeer.Dial(t, s.h1)
				sendPayout("pay")
				next := listener.AcceptConn()
				next.ReadRequestHead()
				next.SendRaw(okResponse)
				if got := readResponse(client); got != "200" {
					t.Errorf("request on a new connection: %q, want 200", got)
				}
			}
			waitUntilIdle(t, s)
		})
	}
}

// A client disconnects while its request is queued or while its replica does not respond (also for longer than the stall
// timeout of clients), or closes only its sending half, which counts as a disconnect: capacity and connection are released.
func TestClientDisconnectReleasesCapacity(t *testing.T) {
	listener := scriptedpeer.Listen(t)
	s := startSidecar(t, withLongTimeouts(" stall: 1m", " stall: 100ms", "limits: {", "limits: {waiting: 10, wait: 1m, ", "flows: 500", "flows: 1", "expiry: 2s", "expiry: 1m"), listener.Address())
	const request = "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, payout := range []string{"POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay", // with a completely received body
		"POST /payouts HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npay\r\n0\r\n\r\n"} {
		client := scriptedpeer.Dial(t, s.h1)
		client.SendRaw(payout)
		replica := listener.AcceptConn()
		replica.ReadRequestHead()
		client.Close()
		replica.WaitForClose()
		waitUntilIdle(t, s)
	}
	inFlight := scriptedpeer.Dial(t, s.h1)
	inFlight.SendRaw(request)
	replica := listener.AcceptConn()
	replica.ReadRequestHead()
	queued := scriptedpeer.Dial(t, s.h1)
	queued.SendRaw(request)
	scriptedpeer.WaitFor(t, "the second request is not queued", func() bool { return s.Counters().InFlight == 2 })
	stalled := scriptedpeer.Dial(t, s.h1) // closed at the stall timeout, which has then passed for the other clients too
	stalled.SendRaw("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	stalled.WaitForClose()
	queued.Close()
	scriptedpeer.WaitFor(t, "the request of a disconnected client is still queued", func() bool { return s.Counters().InFlight == 1 })
	inFlight.Close()
	replica.WaitForClose()
	waitUntilIdle(t, s)
	halfClosed := scriptedpeer.Dial(t, s.h1)
	halfClosed.SendRaw(request)
	replica = listener.AcceptConn()
	replica.ReadRequestHead()
	halfClosed.Conn.(*net.TCPConn).CloseWrite()
	replica.WaitForClose()
	halfClosed.WaitForClose()
	waitUntilIdle(t, s)
	if counters := s.Counters().Requests; counters.Failed[dispatch.ErrClientGone] != 5 {
		t.Errorf("counters %+v, want 5 requests that failed because the client was gone", counters)
	}
}

// A stream is reset around the time when a retry is decided. If the reset is first, there is no retry. If the retry has
// been sent, the reset aborts it, and it is the last attempt.
func TestStreamResetDuringRetryDecision(t *testing.T) {
	for _, resetFirst := range []bool{true, false} {
		firstReplica, secondReplica := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
		s := startSidecar(t, withLongTimeouts("usual: again", "usual: twice-more", "expiry: 2s", "expiry: 1m", "latency_budget: 500ms", "latency_budget: 30s", "window: 2500ms", "window: 10m"), firstReplica.Address())
		client := dialHTTP2(t, s, 1<<20)
		client.OpenStream(1, "POST", "/orders", true, "content-length", "3")
		client.SendData(1, true, []byte("buy"))
		replica := firstReplica.AcceptConn()
		replica.ReadRequestHead()
		s.updateEndpoints(false, map[string]dispatch.Endpoint{"r1": {Zone: "a", Address: secondReplica.Address()}})
		if resetFirst {
			client.ResetStream(1)
			replica.WaitForClose() // the sidecar has noticed the reset
			replica.Close()
		} else {
			replica.Close()
			retry := secondReplica.AcceptConn()
			retry.ReadRequestHead()
			client.ResetStream(1)
			retry.WaitForClose()
		}
		waitUntilIdle(t, s)
		wantAttempts := int64(2)
		if resetFirst {
			wantAttempts = 1
		}
		if counters := s.Counters().Requests; counters.Attempts != wantAttempts || counters.Failed[dispatch.ErrClientGone] != 1 {
			t.Errorf("stream reset before the retry %v: %+v", resetFirst, counters)
		}
	}
}

// At the drain timeout there are requests whose client connection is not being read, so that a disconnect would not be
// noticed: a request with a body, and a request with a pipelined one behind it. They are aborted, and the sidecar stops.
func TestDrainAbortsRequestsOfUnreadConnections(t *testing.T) {
	for name, text := range map[string]string{
		"with a body":              "POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\npay",
		"with a pipelined request": "GET /stock HTTP/1.1\r\nHost: x\r\n\r\nGET /stock HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		listener := scriptedpeer.Listen(t)
		s := startSidecar(t, withLongTimeouts("drain: 2s", "drain: 50ms", "expiry: 2s", "expiry: 1m"), listener.Address())
		client := scriptedpeer.Dial(t, s.h1)
		client.SendRaw(text)
		replica := listener.AcceptConn()
		replica.ReadRequestHead()
		stopped := make(chan struct{})
		go func() { s.stop(); close(stopped) }()
		select {
		case <-stopped:
		case <-time.After(scriptedpeer.WaitTimeout):
			t.Fatalf("%s: sidecar is still running after the drain timeout", name)
		}
		client.WaitForClose()
		if n := s.Counters().Clients["lost"]; n != 1 {
			t.Errorf("%s: %d requests counted as lost, want 1", name, n)
		}
	}
}

// A replica sends a long response before it has read the request body, while the client is still sending: the client gets
// the complete response, although the sidecar closes the connection with unread bytes.
func TestResponseArrivesWhileClientStillSends(t *testing.T) {
	const size = 1 << 20
	listener := scriptedpeer.Listen(t)
	s := startSidecar(t, withLongTimeouts(), listener.Address())
	client := scriptedpeer.Dial(t, s.h1)
	client.SendRaw("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n")
	go io.CopyN(client.Conn, zeroReader{}, 10_000_000)
	replica := listener.AcceptConn()
	replica.ReadRequestHead()
	go fmt.Fprintf(replica.Conn, "HTTP/1.1 413 Too Large\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	waitUntilIdle(t, s) // the sidecar has written the response, and the client has read none of it
	resp, err := http.ReadResponse(client.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("read %d of %d bytes of the response: %v", n, size, err)
	}
}

// frameClient is an HTTP/2 client that reads frames only when the test calls nextFrame.
type frameClient struct {
	*scriptedpeer.Conn
	*http2.Framer
	block            bytes.Buffer
	encoder          *hpack.Encoder
	connectionCredit int64 // bytes that the sidecar's connection window allows
}

func dialFrameClient(t *testing.T, s testSidecar, streamWindow, connectionWindow uint32) *frameClient {
	client := &frameClient{Conn: scriptedpeer.Dial(t, s.h2), connectionCredit: 65535}
	client.Framer = http2.NewFramer(client.Conn.Conn, client.Conn.Reader)
	client.encoder = hpack.NewEncoder(&client.block)
	client.SendRaw(http2.ClientPreface)
	client.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow})
	if connectionWindow > 65535 {
		client.WriteWindowUpdate(0, connectionWindow-65535)
	}
	return client
}

func (c *frameClient) openStream(id uint32, method, path string, endStream bool, pairs ...string) {
	c.block.Reset()
	pairs = append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "x"}, pairs...)
	for k := 0; k < len(pairs); k += 2 {
		c.encoder.WriteField(hpack.HeaderField{Name: pairs[k], Value: pairs[k+1]})
	}
	block := c.block.Bytes()
	firstLength := min(len(block), 16<<10)
	c.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block[:firstLength], EndStream: endStream, EndHeaders: firstLength == len(block)})
	if firstLength < len(block) {
		c.WriteContinuation(id, true, block[firstLength:])
	}
}

// nextFrame reads one frame and adds updates of the connection window to the credit.
func (c *frameClient) nextFrame() (http2.Frame, error) {
	frame, err := c.ReadFrame()
	if update, ok := frame.(*http2.WindowUpdateFrame); ok && update.StreamID == 0 {
		c.connectionCredit += int64(update.Increment)
	}
	return frame, err
}

// Bodies that are discarded because they differ from their content-length are returned to the connection window, so that
// a connection can carry any number of them.
func TestDiscardedDataIsReturnedToConnectionWindow(t *testing.T) {
	s := startSidecar(t, withLongTimeouts(), startReplica(t, nil).Addr)
	client := dialFrameClient(t, s, 1<<20, 1<<20)
	piece := make([]byte, 16<<10)
	for k := range uint32(60) {
		for client.connectionCredit < int64(len(piece)) {
			if _, err := client.nextFrame(); err != nil {
				t.Fatalf("no connection window left after %d bodies: %v", k, err)
			}
		}
		client.openStream(2*k+1, "POST", "/orders", false, "content-length", "1")
		client.WriteData(2*k+1, true, piece)
		client.connectionCredit -= int64(len(piece))
	}
	client.Close()
	waitUntilIdle(t, s)
}

// A truncated request head is not forwarded: the missing fields could be those that determine its traffic class.
func TestTooLargeHTTP2HeadersAreNotForwarded(t *testing.T) {
	testReplica := startReplica(t, nil)
	s := startSidecar(t, withLongTimeouts(), testReplica.Addr)
	client := dialFrameClient(t, s, 1<<20, 1<<20)
	client.Framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	var pairs []string
	for k := range 6 {
		pairs = append(pairs, fmt.Sprint("f", k), strings.Repeat("x", 4000))
	}
	client.openStream(1, "GET", "/stock", true, pairs...)
	for {
		frame, err := client.nextFrame()
		if err != nil {
			t.Fatal(err)
		}
		if response, ok := frame.(*http2.MetaHeadersFrame); ok {
			if response.PseudoValue("status") != "431" || testReplica.RequestCount.Load() != 0 {
				t.Errorf("status %s, %d requests reached the replica, want 431 and none", response.PseudoValue("status"), testReplica.RequestCount.Load())
			}
			return
		}
	}
}

// A client opens its windows and reads nothing. After a write has failed in the middle of a frame the connection is closed,
// so that no further request on it is executed without a response.
func TestFailedWriteClosesConnection(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.BodySize.Store(64 << 20)
	s := startSidecar(t, withLongTimeouts(" stall: 1m", " stall: 100ms"), testReplica.Addr)
	client := dialFrameClient(t, s, 1<<30, 1<<30)
	client.ShrinkBuffers()
	client.openStream(1, "GET", "/stock", true)
	scriptedpeer.WaitFor(t, "the connection is still open", func() bool {
		counters := s.Counters()
		return counters.Clients["requests"] == 1 && counters.Clients["open"] == 0
	})
	waitUntilIdle(t, s)
}

// A sidecar stops while a client, which sends window updates as it reads, has not read its response yet. The sidecar closes
// the connection only after the client has read the response, since a reset caused by unread window updates would destroy
// it.
func TestShutdownWaitsForClientToReadResponse(t *testing.T) {
	const size = 1 << 20
	testReplica := startReplica(t, nil)
	testReplica.BodySize.Store(size)
	s := startSidecar(t, withLongTimeouts("drain: 2s", "drain: 1m"), testReplica.Addr)
	client := dialFrameClient(t, s, 1<<30, 1<<30)
	client.openStream(1, "GET", "/stock", true)
	scriptedpeer.WaitFor(t, "the response is not written completely", func() bool {
		counters := s.Counters()
		return counters.Clients["requests"] == 1 && counters.Clients["in_flight"] == 0 && counters.InFlight == 0
	})
	stopped := make(chan struct{})
	go func() { s.stop(); close(stopped) }()
	received, events := 0, 0
	for {
		frame, err := client.nextFrame()
		if err != nil {
			if err != io.EOF {
				t.Error(err)
			}
			break
		}
		switch f := frame.(type) {
		case *http2.DataFrame:
			received += len(f.Data())
			client.WriteWindowUpdate(0, uint32(max(64, len(f.Data()))))
			if events == 0 { // the sidecar has written all of the response
				scriptedpeer.WaitFor(t, "the sidecar is not draining", s.server.Draining)
				// Longer than the pauses of the drain: without the wait for the client the sidecar would have closed.
				time.Sleep(3 * 50 * time.Millisecond)
				events++
			}
		case *http2.GoAwayFrame:
			events++
		}
	}
	if received < size {
		t.Errorf("read %d of %d bytes of the response", received, size)
	}
	client.Close()
	<-stopped
}

// From the beginning of a drain, while a request is still in flight, /health reports that no new requests are accepted.
func TestHealthDuringDrain(t *testing.T) {
	listener, local := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	s := startSidecar(t, withLongTimeouts("drain: 2s", "drain: 1m", "listen: {", "listen: {local: \""+local+"\", "), listener.Address())
	checkHealth := func() string {
		conn := scriptedpeer.Dial(t, local)
		conn.SendRaw("GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		return readResponse(conn)
	}
	if got := checkHealth(); got != "200" {
		t.Errorf("health before the drain: %q, want 200", got)
	}
	client := scriptedpeer.Dial(t, s.h1)
	client.SendRaw("GET /stock HTTP/1.1\r\nHost: x\r\n\r\n")
	replica := listener.AcceptConn()
	replica.ReadRequestHead()
	stopped := make(chan struct{})
	go func() { s.stop(); close(stopped) }()
	scriptedpeer.WaitFor(t, "the sidecar is not draining", s.server.Draining)
	if got := checkHealth(); got != "503" {
		t.Errorf("health during the drain: %q, want 503", got)
	}
	replica.SendRaw(okResponse)
	if got := readResponse(client); got != "200" {
		t.Errorf("request in flight during the drain: %q, want 200", got)
	}
	client.Close()
	<-stopped
}
