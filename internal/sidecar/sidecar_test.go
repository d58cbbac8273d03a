package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"lilacbend/experiment/replica"
	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
)

const sidecarFile = `
name: shop
proxy: 3
zone: a
listen: {http1: H1, http2: H2}
replicas: [REPLICAS]
groups:
- {name: stock, effect: retriable, latency_budget: 500ms, expiry: 2s}
- {name: order, effect: deduped, scope: zone, window: 2500ms, latency_budget: 500ms, expiry: 2s}
- {name: payout, effect: non-retriable, latency_budget: 500ms, expiry: 2s}
rules:
- {group: stock, method: GET}
- {group: stock, method: HEAD}
- {group: order, method: POST, path: /orders}
- {group: payout, method: POST, path: /payouts}
tries: {strikes: 0, repeat_share: 1, repeat_burst: 1000, usual: again}
limits: {idle: 5s, head: 300ms, stall: 700ms, drain: 2s, flows: 500, replica_connections: 300, streams: 100, replica_stall: 700ms}
`

// testSidecar is a running sidecar with the addresses of its listeners. stop drains it and waits until it has stopped.
type testSidecar struct {
	*Sidecar
	h1, h2 string
	stop   func()
}

// startSidecar runs a sidecar until the test ends, and checks that no request or connection is left over and that there was
// no panic. The function change, if any, changes the text of the file.
func startSidecar(t testing.TB, change func(string) string, replicas ...string) testSidecar {
	s := testSidecar{}
	var endpoints []string
	for k, address := range replicas {
		endpoints = append(endpoints, fmt.Sprintf("{id: r%d, zone: a, address: %q}", k, address))
	}
	text := strings.NewReplacer("H1", `"127.0.0.1:0"`, "H2", `"127.0.0.1:00"`, "REPLICAS", strings.Join(endpoints, ", ")).Replace(sidecarFile)
	if change != nil {
		text = change(text)
	}
	config, err := Parse("t.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Sidecar, err = New(config, slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	s.h1, s.h2 = s.Address("http1"), s.Address("http2")
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	var once sync.Once
	s.stop = func() {
		once.Do(func() {
			stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
			counters := s.Counters()
			if counters.InFlight != 0 || counters.Clients["in_flight"] != 0 || counters.Clients["open"] != 0 || counters.Upstream.Open != 0 || counters.Clients["panics"] != 0 {
				t.Errorf("requests, connections or panics after the end: %+v", counters)
			}
		})
	}
	t.Cleanup(s.stop)
	return s
}

func startReplica(t testing.TB, handler http.HandlerFunc) *replica.Replica {
	r, err := replica.NewReplica("127.0.0.1:0", 0, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

// startRawReplica starts a replica that serves each connection with a function, and returns its address.
func startRawReplica(t testing.TB, serve func(conn net.Conn, r *bufio.Reader)) string {
	listener := scriptedpeer.Listen(t)
	listener.Serve(func(conn net.Conn) { serve(conn, bufio.NewReader(conn)) })
	return listener.Address()
}

// exchangeRaw sends bytes on a new connection and reads until the connection is closed.
func exchangeRaw(t testing.TB, address, text string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, text)
	received, err := io.ReadAll(conn)
	if os.IsTimeout(err) {
		t.Errorf("%.60q: connection is still open after 5s", text)
	}
	return string(received)
}

func TestHTTP1ResponsesAreForwardedUnchanged(t *testing.T) {
	testReplica := startReplica(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		header := w.Header()
		header.Set("Connection", "X-Hop")
		header.Set("X-Hop", "1")
		header.Set("X-Stays", "2")
		switch req.URL.Path {
		case "/empty":
			w.WriteHeader(204)
		case "/same":
			w.WriteHeader(304)
		case "/early":
			w.Header().Set("Link", "x")
			w.WriteHeader(103)
			fmt.Fprint(w, "late")
		case "/pieces":
			for k := range 3 {
				fmt.Fprint(w, k)
				w.(http.Flusher).Flush()
			}
			header.Set(http.TrailerPrefix+"Sum", "9")
		default:
			fmt.Fprintf(w, "%s %s %s te=%v len=%d trailer=%v hop=%q", req.Method, req.RequestURI, body, req.TransferEncoding, req.ContentLength, req.Trailer, req.Header.Get("X-Mine"))
		}
	})
	s := startSidecar(t, nil, testReplica.Addr)
	const get, tail = "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\n\r\n", "Connection: close\r\n\r\n"
	for _, test := range []struct{ text, want string }{
		{fmt.Sprintf(get, "/a?b=c"), "GET /a?b=c  te=[] len=0 trailer=map[] hop=\"\""},
		{fmt.Sprintf(get, "/empty"), "HTTP/1.1 204 No Content\r\n"},
		{fmt.Sprintf(get, "/same"), "HTTP/1.1 304 Not Modified\r\n"},
		{fmt.Sprintf(get, "/early"), "HTTP/1.1 103 Early Hints\r\n"},
		{fmt.Sprintf(get, "/pieces"), "\r\n0\r\nSum: 9\r\n\r\n"},
		{"HEAD /x HTTP/1.1\r\nHost: x\r\n" + tail, "HTTP/1.1 200 OK\r\n"},
		{"GET /old HTTP/1.0\r\n\r\n", "GET /old  te=[]"},
		{"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n" + tail + "hello", "POST /orders hello te=[] len=5"},
		{"POST /orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n" + tail + "5\r\nhello\r\n0\r\nSum: 4\r\n\r\n", "POST /orders hello te=[chunked] len=-1"},
		{"POST /orders HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n" + tail + "hello", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"},
		{"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n" + tail, "GET /b  te="},
		{"DELETE /a HTTP/1.1\r\nHost: x\r\n" + tail, "HTTP/1.1 404 Not Found\r\n"},
	} {
		got := exchangeRaw(t, s.h1, test.text)
		if !strings.Contains(got, test.want) || strings.Contains(got, "X-Hop") {
			t.Errorf("%.50q: got %q\nwant %q", test.text, got, test.want)
		}
	}
	longBody := strings.Repeat("x", 200_000)
	if got := exchangeRaw(t, s.h1, fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s%s", len(longBody), tail, longBody)); !strings.Contains(got, "len=200000") || strings.Count(got, "x") < 200_000 {
		t.Errorf("request with a long body: response of %d bytes", len(got))
	}
}

// A request that two HTTP parsers could interpret differently is rejected, and its connection is closed.
func TestAmbiguousHTTP1RequestsAreRejected(t *testing.T) {
	testReplica := startReplica(t, nil)
	s := startSidecar(t, nil, testReplica.Addr)
	const get, post = "GET / HTTP/1.1\r\nHost: x\r\n", "POST /orders HTTP/1.1\r\nHost: x\r\n"
	for _, text := range []string{
		post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", post + "Content-Length: 4, 4\r\n\r\nabcd", post + "Content-Length: +4\r\n\r\nabcd",
		post + "Content-Length: 4e0\r\n\r\nabcd", post + "Content-Length: 99999999999999999999\r\n\r\n", post + "Content-Length:\r\n\r\n",
		post + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		post + "Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n", "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		get + " folded: 1\r\n\r\n", get + "X: 1\r\n 2\r\n\r\n", get + "X: a\rb\r\n\r\n", get + "X: a\nY: b\r\n\r\n", get + "X\x00: 1\r\n\r\n", get + "X: \x00\r\n\r\n",
		get + "Host: y\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", "GET  / HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/2.0\r\nHost: x\r\n\r\n",
		"GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n", "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", "GET /a\x7f HTTP/1.1\r\nHost: x\r\n\r\n", "G(T / HTTP/1.1\r\nHost: x\r\n\r\n", ": 1\r\n\r\n",
		"GET / HTTP/1.1\nHost: x\n\n",
	} {
		got := exchangeRaw(t, s.h1, text+"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n")
		if !strings.HasPrefix(got, "HTTP/1.1 400 ") && !strings.HasPrefix(got, "HTTP/1.1 408 ") || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%q: %q, want one response with 400 or 408", text, got)
		}
	}
	if n := testReplica.RequestCount.Load(); n != 0 {
		t.Errorf("%d rejected requests reached the replica", n)
	}
	if got := exchangeRaw(t, s.h1, get+"X: "+strings.Repeat("x", 20000)); !strings.HasPrefix(got, "HTTP/1.1 431 ") {
		t.Errorf("request head of over 20,000 bytes: %.80q", got)
	}
	if got := exchangeRaw(t, s.h1, get); !strings.HasPrefix(got, "HTTP/1.1 408 ") {
		t.Errorf("incomplete request head: %.80q", got)
	}
}

// countResults sends n requests and counts the responses by their status and reason.
func countResults(t testing.TB, s testSidecar, n int, method, path, body string) map[string]int {
	got := map[string]int{}
	for k := range n {
		text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nKey: %s%d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", method, path, path, k, len(body), body)
		response := exchangeRaw(t, s.h1, text)
		result := "no response"
		if statusLine := strings.LastIndex(response, "HTTP/1.1 "); statusLine >= 0 {
			result = response[statusLine+9 : statusLine+12]
		}
		if _, after, ok := strings.Cut(response, "Lilacbend-Reason: "); ok {
			result += " " + strings.SplitN(after, "\r\n", 2)[0]
		}
		got[result]++
	}
	return got
}

// A replica fails requests in one of several ways: each request gets one response at once, and no non-idempotent request is
// executed twice.
func TestEachReplicaFailureGivesOneResponse(t *testing.T) {
	sendAndClose := func(text string) func(net.Conn, *bufio.Reader) {
		return func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(conn, text)
			}
		}
	}
	for name, test := range map[string]struct {
		serve                func(net.Conn, *bufio.Reader)
		stock, order, payout string
	}{
		"no response":                      {sendAndClose(""), "200", "200", "503 unclear"},
		"incomplete head":                  {sendAndClose("HTTP/1.1 200 OK\r\nContent-Le"), "200", "200", "503 unclear"},
		"malformed response":               {sendAndClose("hello\r\n\r\n"), "200", "200", "503 unclear"},
		"endless head":                     {sendAndClose("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 100<<10)), "200", "200", "503 unclear"},
		"too many informational responses": {sendAndClose(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20)), "200", "200", "503 unclear"},
		"switch of protocols":              {sendAndClose("HTTP/1.1 101 Switching Protocols\r\n\r\n"), "200", "200", "503 unclear"},
		// The response has begun, so it is aborted and the request is not retried.
		"incomplete body": {sendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"), "200", "200", "200"},
		// The response announces the close. Without that, the next payout on the connection could end as unclear, rightly so.
		"error response": {sendAndClose("HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), "200", "200", "500"},
		"unresponsive":   {func(conn net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }, "200", "200", "503 expired"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			healthyReplica := startReplica(t, nil)
			failingReplica := startRawReplica(t, test.serve)
			s := startSidecar(t, nil, failingReplica, healthyReplica.Addr)
			for path, want := range map[string]string{"/stock": test.stock, "/orders": test.order, "/payouts": test.payout} {
				method := "POST"
				if path == "/stock" {
					method = "GET"
				}
				got := countResults(t, s, 6, method, path, "")
				n := got["200"]
				if want != "200" {
					n += got[want]
				}
				if n != 6 {
					t.Errorf("%s: responses %v, want 200 or %s", path, got, want)
				}
			}
			for key, n := range healthyReplica.RunsByKey() {
				if strings.HasPrefix(key, "/payouts") && n > 1 {
					t.Errorf("%s was executed %d times", key, n)
				}
			}
		})
	}
}

// A refused connection proves that the request was not executed, so even a non-idempotent request is retried on another
// replica.
func TestRefusedConnectionIsRetriedOnAnotherReplica(t *testing.T) {
	healthyReplica := startReplica(t, nil)
	s := startSidecar(t, func(f string) string { return strings.Replace(f, "usual: again", "usual: never-ran", 1) }, scriptedpeer.FreeAddress(t), healthyReplica.Addr)
	for path, body := range map[string]string{"/payouts": "", "/orders": "small", "/orders?long": strings.Repeat("x", 50_000)} {
		if got := countResults(t, s, 10, "POST", path, body); got["200"] != 10 {
			t.Errorf("%s: responses %v, want only 200", path, got)
		}
	}
	if n := s.Counters().Requests.Retries; n == 0 {
		t.Error("no request was retried")
	}
	for key, n := range healthyReplica.RunsByKey() {
		if n != 1 {
			t.Errorf("%s was executed %d times, want once", key, n)
		}
	}
}

// A replica closes each connection after its response. The sidecar detects closed connections before it reuses them, or
// retries the request where that is safe, so that no request fails.
func TestDeadIdleConnectionFailsNoRequest(t *testing.T) {
	replicaAddress := startRawReplica(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	s := startSidecar(t, nil, replicaAddress)
	conn, err := net.Dial("tcp", s.h1)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for k := range 20 {
		io.WriteString(conn, "POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("request %d: response %v, error %v", k, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		time.Sleep(5 * time.Millisecond)
	}
	if counters := s.Counters().Upstream; counters.Dead == 0 {
		t.Errorf("no closed connection was detected: %+v", counters)
	}
}

// A replica responds before it has read the body: the response is forwarded at once, and the request does not hang.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	replicaAddress := startRawReplica(t, func(conn net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n")
		time.Sleep(100 * time.Millisecond)
	})
	s := startSidecar(t, nil, replicaAddress)
	conn, err := net.Dial("tcp", s.h1)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n")
	go io.CopyN(conn, zeroReader{}, 100_000_000)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 413 {
		t.Fatalf("response %v, error %v, want status 413", resp, err)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Clients that stop sending or reading are cut off at the stall timeout. They delay only their own requests, and do not
// count as failures of replicas.
func TestSlowClientsDelayOnlyTheirOwnRequests(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.BodySize.Store(50 << 20)
	s := startSidecar(t, nil, testReplica.Addr)
	start := time.Now()
	response := exchangeRaw(t, s.h1, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	if duration := time.Since(start); duration > 3*time.Second || strings.HasPrefix(response, "HTTP/1.1 200") {
		t.Errorf("request with an incomplete body held for %v: %q", duration, response)
	}
	// Bodies that are forwarded while they are received, and that stop before their end.
	for _, head := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nffff\r\n"} {
		start = time.Now()
		if response = exchangeRaw(t, s.h1, "POST /orders HTTP/1.1\r\nHost: x\r\n"+head+"half"); time.Since(start) > 1500*time.Millisecond || strings.HasPrefix(response, "HTTP/1.1 200") {
			t.Errorf("request with %q and an incomplete body held for %v: %q", head, time.Since(start), response)
		}
	}
	waitUntilIdle(t, s) // a request is counted after its connection has been closed
	if counters := s.Counters().Requests; counters.Failed["client-gone"] != 2 {
		t.Errorf("counters %+v, want 2 requests that failed because the client was gone", counters)
	}
	s.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) {
		for id, outcomes := range d.TakeOutcomes() {
			if outcomes.Failures != 0 {
				t.Errorf("failures of clients are counted as failures of replica %s: %+v", id, outcomes)
			}
		}
	})
	conn, err := net.Dial("tcp", s.h1)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n")
	for range 100 {
		if s.Counters().Requests.Failed["client-gone"] == 3 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if counters := s.Counters(); counters.InFlight != 0 || counters.Requests.Failed["client-gone"] != 3 {
		t.Errorf("request of a client that does not read has not ended: %+v", counters)
	}
}

// Connections without a request hold no buffer. The number of connections fits into any machine's limit on file descriptors.
func TestIdleConnectionsHoldNoBuffer(t *testing.T) {
	const connections = 400
	s := startSidecar(t, nil, startReplica(t, nil).Addr)
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	before := memory()
	for k := range connections {
		conn, err := net.Dial("tcp", s.h1)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if k%2 == 0 { // keep-alive after a request
			io.WriteString(conn, "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n")
			if _, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	// The figure includes the memory of the client's end of each connection.
	if bytesPerConnection := (int64(memory()) - int64(before)) / connections; bytesPerConnection > 24<<10 {
		t.Errorf("%d bytes for each idle connection, want at most 24 KiB", bytesPerConnection)
	}
	if open := s.Counters().Clients["open"]; open < connections {
		t.Errorf("%d connections are counted as open", open)
	}
}

// Controllers change tables while requests are in flight: they eject replicas, replace and empty tables, and set the
// admission to 0.
func TestTablesChangeDuringRequests(t *testing.T) {
	firstReplica, secondReplica := startReplica(t, nil), startReplica(t, nil)
	firstReplica.ServiceTime.Store(int64(200 * time.Millisecond))
	s := startSidecar(t, nil, firstReplica.Addr, secondReplica.Addr)
	apply := func(updates ...dispatch.UpdatePart) {
		if err := (lockedDispatcher{s.proxy}).Apply(updates); err != nil {
			t.Error(err)
		}
	}
	apply(dispatch.UpdatePart{Replace: true, Weights: map[string]float64{"r0": 1}})
	responses := make(chan string)
	get := "GET /stock HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	go func() { responses <- exchangeRaw(t, s.h1, get) }()
	for firstReplica.RequestCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	apply(dispatch.UpdatePart{Eject: []string{"r0"}}) // the replica of the request in flight
	if got := exchangeRaw(t, s.h1, get); !strings.Contains(got, "Lilacbend-Reason: no-replica") {
		t.Errorf("all replicas ejected: %q", got)
	}
	apply(dispatch.UpdatePart{Replace: true, Weights: map[string]float64{"r1": 1}})
	if got := exchangeRaw(t, s.h1, get); !strings.Contains(got, secondReplica.Addr) {
		t.Errorf("replaced table: %q", got)
	}
	apply(dispatch.UpdatePart{Classes: []string{"stock"}, Replace: true}) // empties the table of one class
	if got := exchangeRaw(t, s.h1, get); !strings.Contains(got, "Lilacbend-Reason: no-replica") {
		t.Errorf("empty table of the class: %q", got)
	}
	if got := exchangeRaw(t, s.h1, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"); !strings.Contains(got, secondReplica.Addr) {
		t.Errorf("class whose table was not emptied: %q", got)
	}
	apply(dispatch.UpdatePart{Classes: []string{"order"}, Settings: []dispatch.ClassSettings{{Admission: 0}}})
	if got := exchangeRaw(t, s.h1, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"); !strings.Contains(got, "Lilacbend-Reason: level") || !strings.Contains(got, "Retry-After: ") {
		t.Errorf("admission of 0: %q", got)
	}
	if got := <-responses; !strings.Contains(got, firstReplica.Addr) {
		t.Errorf("request in flight during the changes: %q", got)
	}
}

// An HTTP/1.1 drain: the response in flight announces the close of its connection, idle connections are closed, and new
// ones are refused.
func TestHTTP1Drain(t *testing.T) {
	testReplica := startReplica(t, nil)
	testReplica.ServiceTime.Store(int64(300 * time.Millisecond))
	s := startSidecar(t, nil, testReplica.Addr)
	idle, err := net.Dial("tcp", s.h1)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	responses := make(chan string)
	go func() { responses <- exchangeRaw(t, s.h1, "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n") }()
	for testReplica.RequestCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.stop()
	if got := <-responses; !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.Contains(got, "Connection: close") || !strings.HasSuffix(got, testReplica.Addr) {
		t.Errorf("response in flight during the drain: %q", got)
	}
	idle.SetDeadline(time.Now().Add(streamTimeout))
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read on an idle connection: %v, want EOF", err)
	}
	if _, err := net.Dial("tcp", s.h1); err == nil {
		t.Error("listener still accepts connections")
	}
}

// The local listener refuses a header that is too large instead of holding it.
func TestLocalListenerRefusesLargeHeaders(t *testing.T) {
	s := startSidecar(t, func(text string) string {
		return strings.Replace(text, "listen: {", `listen: {local: "127.0.0.1:000", `, 1)
	}, "127.0.0.1:9")
	client := scriptedpeer.Dial(t, s.Address("local"))
	client.SendRaw("GET /figures HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 100_000))
	if got := readResponse(client); !strings.HasPrefix(got, "431") { // the end of its body may be lost by a reset
		t.Errorf("response %q, want 431", got)
	}
}
