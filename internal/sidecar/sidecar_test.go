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

const file = `
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

type running struct {
	*Sidecar
	h1, h2 string
	stop   func()
}

// start serves until the test ends, and checks that nothing is left behind.
func start(t testing.TB, change func(string) string, replicas ...string) running {
	r := running{}
	var rows []string
	for k, at := range replicas {
		rows = append(rows, fmt.Sprintf("{id: r%d, zone: a, address: %q}", k, at))
	}
	text := strings.NewReplacer("H1", `"127.0.0.1:0"`, "H2", `"127.0.0.1:00"`, "REPLICAS", strings.Join(rows, ", ")).Replace(file)
	if change != nil {
		text = change(text)
	}
	m, err := Parse("t.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if r.Sidecar, err = New(m, slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		t.Fatal(err)
	}
	if err := r.Listen(); err != nil {
		t.Fatal(err)
	}
	r.h1, r.h2 = r.Address("http1"), r.Address("http2")
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	var once sync.Once
	r.stop = func() {
		once.Do(func() {
			stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
			f := r.Counters()
			if f.InFlight != 0 || f.Clients["in_flight"] != 0 || f.Clients["open"] != 0 || f.Upstream.Open != 0 || f.Clients["panics"] != 0 {
				t.Errorf("left behind: %+v", f)
			}
		})
	}
	t.Cleanup(r.stop)
	return r
}

func startReplica(t testing.TB, handler http.HandlerFunc) *replica.Replica {
	r, err := replica.NewReplica("127.0.0.1:0", 0, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

// raw is a replica that serves each connection by a function.
func raw(t testing.TB, attend func(conn net.Conn, r *bufio.Reader)) string {
	l := scriptedpeer.Listen(t)
	l.Serve(func(conn net.Conn) { attend(conn, bufio.NewReader(conn)) })
	return l.Address()
}

// exchangeRaw sends bytes on a new connection and reads all that comes back.
func exchangeRaw(t testing.TB, at, text string) string {
	conn, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, text)
	raw, err := io.ReadAll(conn)
	if os.IsTimeout(err) {
		t.Errorf("%.60q: not ended", text)
	}
	return string(raw)
}

func TestHTTP1AnswersAreForwardedUnchanged(t *testing.T) {
	r := startReplica(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		h := w.Header()
		h.Set("Connection", "X-Hop")
		h.Set("X-Hop", "1")
		h.Set("X-Stays", "2")
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
			h.Set(http.TrailerPrefix+"Sum", "9")
		default:
			fmt.Fprintf(w, "%s %s %s te=%v len=%d trailer=%v hop=%q", req.Method, req.RequestURI, body, req.TransferEncoding, req.ContentLength, req.Trailer, req.Header.Get("X-Mine"))
		}
	})
	s := start(t, nil, r.Addr)
	const get, tail = "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\n\r\n", "Connection: close\r\n\r\n"
	for _, c := range []struct{ text, want string }{
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
		got := exchangeRaw(t, s.h1, c.text)
		if !strings.Contains(got, c.want) || strings.Contains(got, "X-Hop") {
			t.Errorf("%.50q: got %q\nwant %q", c.text, got, c.want)
		}
	}
	big := strings.Repeat("x", 200_000)
	if got := exchangeRaw(t, s.h1, fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s%s", len(big), tail, big)); !strings.Contains(got, "len=200000") || strings.Count(got, "x") < 200_000 {
		t.Errorf("a long body: %d bytes came back", len(got))
	}
}

// A request that two readers could understand differently is refused, and its connection ended.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	r := startReplica(t, nil)
	s := start(t, nil, r.Addr)
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
			t.Errorf("%q: %q", text, got)
		}
	}
	if n := r.RequestCount.Load(); n != 0 {
		t.Errorf("%d of them reached the replica", n)
	}
	if got := exchangeRaw(t, s.h1, get+"X: "+strings.Repeat("x", 20000)); !strings.HasPrefix(got, "HTTP/1.1 431 ") {
		t.Errorf("a large head: %.80q", got)
	}
	if got := exchangeRaw(t, s.h1, get); !strings.HasPrefix(got, "HTTP/1.1 408 ") {
		t.Errorf("half a head: %.80q", got)
	}
}

// counts answers by their status and reason.
func counts(t testing.TB, s running, n int, method, path, body string) map[string]int {
	got := map[string]int{}
	for k := range n {
		text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nKey: %s%d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", method, path, path, k, len(body), body)
		answer := exchangeRaw(t, s.h1, text)
		what := "nothing"
		if at := strings.LastIndex(answer, "HTTP/1.1 "); at >= 0 {
			what = answer[at+9 : at+12]
		}
		if _, after, ok := strings.Cut(answer, "Lilacbend-Reason: "); ok {
			what += " " + strings.SplitN(after, "\r\n", 2)[0]
		}
		got[what]++
	}
	return got
}

// Replicas that end requests in each way: each request gets one answer, at once, and none is executed twice that must not
// be.
func TestEachFailureEndsInOneAnswer(t *testing.T) {
	closes := func(after string) func(net.Conn, *bufio.Reader) {
		return func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(conn, after)
			}
		}
	}
	for name, c := range map[string]struct {
		attend               func(net.Conn, *bufio.Reader)
		stock, order, payout string
	}{
		"ends without a word": {closes(""), "200", "200", "503 unclear"},
		"half a head":         {closes("HTTP/1.1 200 OK\r\nContent-Le"), "200", "200", "503 unclear"},
		"nonsense":            {closes("hello\r\n\r\n"), "200", "200", "503 unclear"},
		"a head without end":  {closes("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 100<<10)), "200", "200", "503 unclear"},
		"early words":         {closes(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20)), "200", "200", "503 unclear"},
		"another protocol":    {closes("HTTP/1.1 101 Switching Protocols\r\n\r\n"), "200", "200", "503 unclear"},
		"half a body":         {closes("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"), "200", "200", "200"}, // it has begun: aborted, not retried
		// It says that it closes: a payout on a connection that closes unannounced is rightly unclear.
		"its own error": {closes("HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), "200", "200", "500"},
		"silence":       {func(conn net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }, "200", "200", "503 expired"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			good := startReplica(t, nil)
			bad := raw(t, c.attend)
			s := start(t, nil, bad, good.Addr)
			for path, want := range map[string]string{"/stock": c.stock, "/orders": c.order, "/payouts": c.payout} {
				method := "POST"
				if path == "/stock" {
					method = "GET"
				}
				got := counts(t, s, 6, method, path, "")
				n := got["200"]
				if want != "200" {
					n += got[want]
				}
				if n != 6 {
					t.Errorf("%s: %v, want 200 or %s", path, got, want)
				}
			}
			for key, n := range good.RunsByKey() {
				if strings.HasPrefix(key, "/payouts") && n > 1 {
					t.Errorf("%s ran %d times", key, n)
				}
			}
		})
	}
}

// Nobody listens there, so it is certain that nothing was executed, and even a payout is retried elsewhere.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	good := startReplica(t, nil)
	s := start(t, func(f string) string { return strings.Replace(f, "usual: again", "usual: never-ran", 1) }, scriptedpeer.FreeAddress(t), good.Addr)
	for path, body := range map[string]string{"/payouts": "", "/orders": "small", "/orders?long": strings.Repeat("x", 50_000)} {
		if got := counts(t, s, 10, "POST", path, body); got["200"] != 10 {
			t.Errorf("%s: %v", path, got)
		}
	}
	if n := s.Counters().Requests.Retries; n == 0 {
		t.Error("none was tried twice")
	}
	for key, n := range good.RunsByKey() {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// A replica closes idle connections at once: they are found dead, or the request is retried if it may be.
func TestDeadIdleConnectionFailsNoRequest(t *testing.T) {
	at := raw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	s := start(t, nil, at)
	conn, err := net.Dial("tcp", s.h1)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for k := range 20 {
		io.WriteString(conn, "POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("request %d: %v %v", k, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		time.Sleep(5 * time.Millisecond)
	}
	if f := s.Counters().Upstream; f.Dead == 0 {
		t.Errorf("%+v", f)
	}
}

// A replica answers before it has read the body: its answer is forwarded at once, and nothing hangs.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	at := raw(t, func(conn net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n")
		time.Sleep(100 * time.Millisecond)
	})
	s := start(t, nil, at)
	conn, err := net.Dial("tcp", s.h1)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n")
	go io.CopyN(conn, zeros{}, 100_000_000)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 413 {
		t.Fatalf("%v %v", resp, err)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Clients that send or take a byte now and then delay their own request, within the stall timeout, and nobody else's.
func TestSlowClientsDelayNobodyElse(t *testing.T) {
	r := startReplica(t, nil)
	r.BodySize.Store(50 << 20)
	s := start(t, nil, r.Addr)
	began := time.Now()
	half := exchangeRaw(t, s.h1, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	if took := time.Since(began); took > 3*time.Second || strings.HasPrefix(half, "HTTP/1.1 200") {
		t.Errorf("half a body held for %v: %q", took, half)
	}
	for _, head := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nffff\r\n"} { // they pass through, and stop
		began = time.Now()
		if half = exchangeRaw(t, s.h1, "POST /orders HTTP/1.1\r\nHost: x\r\n"+head+"half"); time.Since(began) > 1500*time.Millisecond || strings.HasPrefix(half, "HTTP/1.1 200") {
			t.Errorf("%q held for %v: %q", head, time.Since(began), half)
		}
	}
	nothingInFlight(t, s) // a request is counted after its connection has been closed
	if f := s.Counters().Requests; f.Failed["client-gone"] != 2 {
		t.Errorf("%+v", f)
	}
	s.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) {
		for id, sum := range d.TakeOutcomes() {
			if sum.Failures != 0 {
				t.Errorf("failures of clients count against %s: %+v", id, sum)
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
	if f := s.Counters(); f.InFlight != 0 || f.Requests.Failed["client-gone"] != 3 {
		t.Errorf("who takes nothing is still served: %+v", f)
	}
}

// Connections without a request hold no buffer. There are as many as any machine's limit on descriptors allows.
func TestIdleConnectionsHoldNoBuffer(t *testing.T) {
	const many = 400
	s := start(t, nil, startReplica(t, nil).Addr)
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	before := memory()
	for k := range many {
		conn, err := net.Dial("tcp", s.h1)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if k%2 == 0 { // has had a request, and is reused
			io.WriteString(conn, "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n")
			if _, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	if each := (int64(memory()) - int64(before)) / many; each > 24<<10 { // both ends of it
		t.Errorf("%d bytes for an idle connection", each)
	}
	if open := s.Counters().Clients["open"]; open < many {
		t.Errorf("%d are open", open)
	}
}

// What controllers do while requests are in flight: replicas ejected, tables emptied, no table at all.
func TestTablesChangeDuringRequests(t *testing.T) {
	one, two := startReplica(t, nil), startReplica(t, nil)
	one.ServiceTime.Store(int64(200 * time.Millisecond))
	s := start(t, nil, one.Addr, two.Addr)
	apply := func(parts ...dispatch.Update) {
		if err := (controlTarget{s.proxy}).Apply(parts); err != nil {
			t.Error(err)
		}
	}
	apply(dispatch.Update{Full: true, Weights: map[string]float64{"r0": 1}})
	answers := make(chan string)
	get := "GET /stock HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	go func() { answers <- exchangeRaw(t, s.h1, get) }()
	for one.RequestCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	apply(dispatch.Update{Eject: []string{"r0"}}) // the replica in use
	if got := exchangeRaw(t, s.h1, get); !strings.Contains(got, "Lilacbend-Reason: no-replica") {
		t.Errorf("all ejected: %q", got)
	}
	apply(dispatch.Update{Full: true, Weights: map[string]float64{"r1": 1}})
	if got := exchangeRaw(t, s.h1, get); !strings.Contains(got, two.Addr) {
		t.Errorf("another table: %q", got)
	}
	apply(dispatch.Update{Classes: []string{"stock"}, Full: true}) // empties one class alone
	if got := exchangeRaw(t, s.h1, get); !strings.Contains(got, "Lilacbend-Reason: no-replica") {
		t.Errorf("an empty table: %q", got)
	}
	if got := exchangeRaw(t, s.h1, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"); !strings.Contains(got, two.Addr) {
		t.Errorf("another class: %q", got)
	}
	apply(dispatch.Update{Classes: []string{"order"}, Settings: []dispatch.ClassSettings{{Admission: 0}}})
	if got := exchangeRaw(t, s.h1, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"); !strings.Contains(got, "Lilacbend-Reason: level") || !strings.Contains(got, "Retry-After: ") {
		t.Errorf("an admission of 0: %q", got)
	}
	if got := <-answers; !strings.Contains(got, one.Addr) {
		t.Errorf("the request in flight: %q", got)
	}
}

// HTTP/1.1 drains: the answer in flight says that it was the last, idle connections end, new ones are refused.
func TestHTTP1Drain(t *testing.T) {
	r := startReplica(t, nil)
	r.ServiceTime.Store(int64(300 * time.Millisecond))
	s := start(t, nil, r.Addr)
	idle, err := net.Dial("tcp", s.h1)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	answers := make(chan string)
	go func() { answers <- exchangeRaw(t, s.h1, "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n") }()
	for r.RequestCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.stop()
	if got := <-answers; !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.Contains(got, "Connection: close") || !strings.HasSuffix(got, r.Addr) {
		t.Errorf("%q", got)
	}
	idle.SetDeadline(time.Now().Add(moment))
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	if _, err := net.Dial("tcp", s.h1); err == nil {
		t.Error("somebody still listens")
	}
}
