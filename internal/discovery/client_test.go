package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
)

const someList = `{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"h:1","locality":"a","flavor":"m2",` +
	`"cell":3,"phase":"Ready","size":1.5,"up_since_ms":2}]}`

func client(known int64) (*Client, *eventloop.Queues) {
	x := eventloop.New()
	return New("", known, x, slog.New(slog.DiscardHandler), func() int64 { return 7 }, 1), x
}

func TestParse(t *testing.T) {
	l, err := Parse([]byte(someList))
	want := controller.Member{ID: "s-1", Zone: "a", HardwareClass: "m2", Address: "h:1", Cell: "3", Weight: 1.5, UpSince: 2e6}
	if err != nil || l.Revision != 41 || !l.Complete || len(l.Members) != 1 || l.Members[0] != want {
		t.Errorf("%+v %v", l, err)
	}
	for _, c := range []struct {
		member   string
		state    control.State
		unusable bool
	}{
		{`{"id":"s","phase":"Terminating"}`, control.Draining, false}, {`{"id":"s","phase":"Gone"}`, control.Gone, false},
		{`{"id":"s","phase":"Sleeping"}`, 0, true}, {`{"id":"s"}`, 0, true}, {`{"phase":"Ready"}`, 0, true},
		{`{"id":"a,b","phase":"Ready"}`, 0, true}, {`{"id":"a:b","phase":"Ready"}`, 0, true},
		{`{"id":"a b","phase":"Ready"}`, 0, true}, {`{"id":"s","phase":"Ready","size":-1}`, 0, true},
		{`{"id":"` + strings.Repeat("s", maxIDLength+1) + `","phase":"Ready"}`, 0, true},
	} {
		l, err := Parse([]byte(`{"revision":1,"complete":false,"members":[` + c.member + `]}`))
		if err != nil || l.Members[0].State != c.state || l.Members[0].Unusable != c.unusable {
			t.Errorf("%s: %+v %v", c.member, l, err)
		}
	}
	for _, bad := range []string{"", "null", "[]", "{}", `{"revision":1}`, `{"revision":"x","complete":true,"members":[]}`,
		`{"revision":1,"complete":true}`, `{"revision":1,"complete":true,"members":null}`, `{"revision":1,"members":[]}`, someList[:50],
		`{"revision":1,"complete":true,"members":[{"id":4}]}`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q is read as a list", bad)
		}
	}
}

func TestApplyIgnoresStaleAnswers(t *testing.T) {
	answer := func(revision int, complete bool) []byte {
		return fmt.Appendf(nil, `{"revision":%d,"complete":%v,"members":[]}`, revision, complete)
	}
	moved, _ := client(41)
	moved.staleAnswers = staleAnswersLimit - staleAnswersLimitAfterMove
	for k := range staleAnswersLimitAfterMove {
		if _, err := moved.apply(answer(3, true)); (err != nil) != (k+1 < staleAnswersLimitAfterMove) {
			t.Errorf("answer %d at a new address that counts anew: %v", k, err)
		}
	}
	for name, c := range map[string]struct {
		answers   [][]byte
		known     int64 // after the last
		published int
		fails     bool // the last
		complete  bool // the complete list is requested next
	}{
		"first":            {[][]byte{answer(41, true)}, 41, 1, false, false},
		"changes at first": {[][]byte{answer(44, false)}, 41, 0, true, true},
		"newer":            {[][]byte{answer(41, true), answer(43, false)}, 43, 2, false, false},
		"nothing new":      {[][]byte{answer(41, true), answer(41, false)}, 41, 1, false, false},
		"the same list":    {[][]byte{answer(41, true), answer(41, true)}, 41, 2, false, false},
		"older changes":    {[][]byte{answer(41, true), answer(40, false)}, 41, 1, true, true},
		"an older list":    {[][]byte{answer(41, true), answer(40, true)}, 41, 1, true, true},
		"not a list":       {[][]byte{answer(41, true), []byte("<html>")}, 41, 1, true, false},
		"count restarted":  {slices.Repeat([][]byte{answer(3, true)}, staleAnswersLimit), 3, 1, false, false},
	} {
		cl, x := client(41)
		var err error
		for _, a := range c.answers {
			_, err = cl.apply(a)
		}
		if published := len(x.Drain()); cl.revision != c.known || published != c.published || (err != nil) != c.fails || cl.synced == c.complete {
			t.Errorf("%s: revision %d, %d published, complete list next %v: %v", name, cl.revision, published, !cl.synced, err)
		}
	}
}

// answerOnce is the service's end of a connection: it reads one call, checks its request and sends the pieces.
func answerOnce(t *testing.T, want string, pieces ...string) *pacedConn {
	local, remote := net.Pipe()
	go func() {
		req, err := http.ReadRequest(bufio.NewReader(remote))
		if err == nil && req.URL.RequestURI() != want {
			t.Errorf("requested %s, want %s", req.URL.RequestURI(), want)
		}
		for k, text := range pieces {
			time.Sleep(time.Duration(min(k, 1)) * answerTimeout * 2 / 5)
			fmt.Fprint(remote, text)
		}
		remote.Close()
	}()
	return &pacedConn{Conn: local}
}

func TestCallByAnswer(t *testing.T) {
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		60, someList[:60], len(someList)-60, someList[60:])
	sized := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(someList), someList)
	many := `{"revision":42,"complete":true,"members":[` + strings.Repeat(`{"id":"s-1","phase":"Ready"},`, 5000) + `{"id":"s-2","phase":"Ready"}]}`
	for name, c := range map[string]struct {
		text      string
		stage     Stage
		says      string // in the error
		kept      bool
		published int
	}{
		"sized":          {sized, "", "", true, 1},
		"chunked":        {chunked, "", "", true, 1},
		"closed":         {"HTTP/1.0 200 OK\r\n\r\n" + someList, "", "", false, 1},
		"thousands":      {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(many), many), "", "", true, 1},
		"more follows":   {sized + "HTTP/1.1 200 OK\r\n", "", "", false, 1},
		"cut off":        {sized[:len(sized)-9], StageBody, "after ", false, 0},
		"chunk cut off":  {chunked[:120], StageBody, "after ", false, 0},
		"nothing":        {"", StageStatus, "EOF", false, 0},
		"not HTTP":       {"+OK\r\n", StageStatus, "malformed", false, 0},
		"an error":       {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", StageStatus, "answered 503 Busy", false, 0},
		"not JSON":       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", StageList, "not a list", false, 0},
		"over the limit": {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat(" ", maxBodySize+1), StageBody, "over ", false, 0},
	} {
		cl, x := client(41)
		conn := answerOnce(t, path, c.text)
		got, err := cl.call(conn, bufio.NewReader(iotest.HalfReader(conn)))
		var failure *CallError
		if errors.As(err, &failure) != (c.stage != "") {
			t.Errorf("%s: %v", name, err)
		}
		if err != nil && (failure.Stage != c.stage || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: %v", name, err)
		}
		if published := len(x.Drain()); got.reusable != c.kept || published != c.published {
			t.Errorf("%s: kept %v, %d published", name, got.reusable, published)
		}
		conn.Close()
	}
	cl, x := client(41)
	conn := answerOnce(t, path, sized[:9], sized[9:40], sized[40:99], sized[99:]) // takes longer than answerTimeout
	if _, err := cl.call(conn, bufio.NewReader(conn)); err != nil || len(x.Drain()) != 1 {
		t.Errorf("in slow pieces: %v", err)
	}
	cl.synced = true
	conn = answerOnce(t, fmt.Sprintf("%s?since=41&timeout_ms=%d", path, watchTimeout.Milliseconds()), sized)
	if _, err := cl.call(conn, bufio.NewReader(conn)); err != nil {
		t.Error(err)
	}
}

// startServer serves each connection by the next handler, and by the last one from then on.
func startServer(t *testing.T, handlers ...func(net.Conn)) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for k := 0; ; k++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handlers[min(k, len(handlers)-1)](conn)
		}
	}()
	return l
}

func TestRunRecoversFromFailedConnections(t *testing.T) {
	requests := make(chan string, 100)
	serving := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for revision := 50; ; revision++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			requests <- req.URL.RawQuery
			body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[]}`, revision, req.URL.RawQuery == "")
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}
	garbage := func(conn net.Conn) { fmt.Fprint(conn, "garbage\r\n\r\n"); conn.Close() }
	silent := func(conn net.Conn) { io.Copy(io.Discard, conn) }
	l := startServer(t, func(conn net.Conn) { conn.Close() }, garbage, silent, serving)
	defer l.Close()
	c, x := client(41)
	c.address = l.Addr().String()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	for _, want := range []string{"", "since=50&timeout_ms=2000", "since=51&timeout_ms=2000"} {
		if got := <-requests; got != want {
			t.Errorf("requested %q, want %q", got, want)
		}
	}
	stop()
	<-ended
	if x.Counters.Timeouts.Load() != 1 || x.Counters.Dials.Load() != 4 || len(x.Drain()) < 2 {
		t.Errorf("%d dials", x.Counters.Dials.Load())
	}
}

// A new address ends a waiting call, and the complete list is requested from it.
func TestSetAddressRequestsCompleteList(t *testing.T) {
	requests := make(chan string, 10)
	list := func(conn net.Conn) {
		r := bufio.NewReader(conn)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		requests <- req.Host + " " + req.URL.RawQuery
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(someList), someList)
		if req, err = http.ReadRequest(r); err == nil { // a watch, which waits
			requests <- req.Host + " " + req.URL.RawQuery
			io.Copy(io.Discard, conn)
		}
		conn.Close()
	}
	first, second := startServer(t, list), startServer(t, list)
	defer first.Close()
	defer second.Close()
	c, x := client(40)
	c.address = first.Addr().String()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	start := time.Now()
	for _, l := range []net.Listener{first, second} {
		at := l.Addr().String()
		c.SetAddress(at)
		for _, query := range []string{"", "since=41&timeout_ms=2000"} {
			if got := <-requests; got != at+" "+query {
				t.Errorf("requested %q of %s", got, at)
			}
		}
		c.SetAddress(at) // the same address: no effect
	}
	if time.Since(start) > time.Second || x.Counters.Dials.Load() != 2 || len(x.Drain()) != 2 {
		t.Errorf("%d dials in %v", x.Counters.Dials.Load(), time.Since(start))
	}
	stop()
	<-ended
}
