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

func newTestClient(revision int64) (*Client, *eventloop.Queues) {
	queues := eventloop.New()
	return New("", revision, queues, slog.New(slog.DiscardHandler), func() int64 { return 7 }, 1), queues
}

func TestParse(t *testing.T) {
	list, err := Parse([]byte(someList))
	want := controller.Member{ID: "s-1", Zone: "a", HardwareClass: "m2", Address: "h:1", Cell: "3", Weight: 1.5, StartedAt: 2e6}
	if err != nil || list.Revision != 41 || !list.Complete || len(list.Members) != 1 || list.Members[0] != want {
		t.Errorf("parsed list: %+v, error %v", list, err)
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
		list, err := Parse([]byte(`{"revision":1,"complete":false,"members":[` + c.member + `]}`))
		if err != nil || list.Members[0].State != c.state || list.Members[0].StateUnreadable != c.unusable {
			t.Errorf("member %s: parsed list %+v, error %v", c.member, list, err)
		}
	}
	for _, bad := range []string{"", "null", "[]", "{}", `{"revision":1}`, `{"revision":"x","complete":true,"members":[]}`,
		`{"revision":1,"complete":true}`, `{"revision":1,"complete":true,"members":null}`, `{"revision":1,"members":[]}`, someList[:50],
		`{"revision":1,"complete":true,"members":[{"id":4}]}`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("Parse accepts %q", bad)
		}
	}
}

func TestApplyIgnoresStaleAnswers(t *testing.T) {
	answer := func(revision int, complete bool) []byte {
		return fmt.Appendf(nil, `{"revision":%d,"complete":%v,"members":[]}`, revision, complete)
	}
	moved, _ := newTestClient(41)
	moved.staleAnswers = staleAnswersLimit - staleAnswersLimitAfterMove
	for k := range staleAnswersLimitAfterMove {
		if _, err := moved.apply(answer(3, true)); (err != nil) != (k+1 < staleAnswersLimitAfterMove) {
			t.Errorf("answer %d at a new address with a lower revision count: %v", k, err)
		}
	}
	for name, c := range map[string]struct {
		answers   [][]byte
		revision  int64 // revision in use after the last answer
		published int
		fails     bool // the last answer is an error
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
		client, queues := newTestClient(41)
		var err error
		for _, answer := range c.answers {
			_, err = client.apply(answer)
		}
		if published := len(queues.Drain()); client.revision != c.revision || published != c.published || (err != nil) != c.fails || client.synced == c.complete {
			t.Errorf("%s: revision %d, %d lists published, complete list requested next: %v; error %v", name, client.revision, published, !client.synced, err)
		}
	}
}

// answerOnce returns the client's end of a connection. The service at the other end reads one request, checks that it
// requests want, sends the pieces with pauses between them, and closes the connection.
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
	longList := `{"revision":42,"complete":true,"members":[` + strings.Repeat(`{"id":"s-1","phase":"Ready"},`, 5000) + `{"id":"s-2","phase":"Ready"}]}`
	for name, c := range map[string]struct {
		text      string
		stage     Stage
		errorText string // contained in the error
		reusable  bool
		published int
	}{
		"sized":          {sized, "", "", true, 1},
		"chunked":        {chunked, "", "", true, 1},
		"no length":      {"HTTP/1.0 200 OK\r\n\r\n" + someList, "", "", false, 1},
		"long list":      {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(longList), longList), "", "", true, 1},
		"extra bytes":    {sized + "HTTP/1.1 200 OK\r\n", "", "", false, 1},
		"cut off":        {sized[:len(sized)-9], StageBody, "after ", false, 0},
		"chunk cut off":  {chunked[:120], StageBody, "after ", false, 0},
		"no answer":      {"", StageStatus, "EOF", false, 0},
		"not HTTP":       {"+OK\r\n", StageStatus, "malformed", false, 0},
		"error status":   {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", StageStatus, "answered 503 Busy", false, 0},
		"not JSON":       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", StageList, "not a list", false, 0},
		"over the limit": {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat(" ", maxBodySize+1), StageBody, "exceeds ", false, 0},
	} {
		client, queues := newTestClient(41)
		conn := answerOnce(t, instancesPath, c.text)
		got, err := client.call(conn, bufio.NewReader(iotest.HalfReader(conn)))
		var callError *CallError
		if errors.As(err, &callError) != (c.stage != "") {
			t.Errorf("%s: error %v", name, err)
		}
		if err != nil && (callError.Stage != c.stage || !strings.Contains(err.Error(), c.errorText)) {
			t.Errorf("%s: wrong stage or text of error: %v", name, err)
		}
		if published := len(queues.Drain()); got.reusable != c.reusable || published != c.published {
			t.Errorf("%s: connection reusable: %v, %d lists published", name, got.reusable, published)
		}
		conn.Close()
	}
	client, queues := newTestClient(41)
	conn := answerOnce(t, instancesPath, sized[:9], sized[9:40], sized[40:99], sized[99:]) // takes longer than answerTimeout
	if _, err := client.call(conn, bufio.NewReader(conn)); err != nil || len(queues.Drain()) != 1 {
		t.Errorf("answer in slow pieces: %v", err)
	}
	client.synced = true
	conn = answerOnce(t, fmt.Sprintf("%s?since=41&timeout_ms=%d", instancesPath, watchTimeout.Milliseconds()), sized)
	if _, err := client.call(conn, bufio.NewReader(conn)); err != nil { // the watch
		t.Error(err)
	}
}

// startServer starts a server that handles the first connection with the first handler, the second connection with the
// second handler, and so on. It handles all further connections with the last handler.
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
	answerAll := func(conn net.Conn) {
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
	l := startServer(t, func(conn net.Conn) { conn.Close() }, garbage, silent, answerAll)
	defer l.Close()
	client, queues := newTestClient(41)
	client.address = l.Addr().String()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	ended := make(chan struct{})
	go func() { client.Run(ctx); close(ended) }()
	for _, want := range []string{"", "since=50&timeout_ms=2000", "since=51&timeout_ms=2000"} {
		if got := <-requests; got != want {
			t.Errorf("requested %q, want %q", got, want)
		}
	}
	stop()
	<-ended
	if queues.Counters.DiscoveryTimeouts.Load() != 1 || queues.Counters.DiscoveryDials.Load() != 4 || len(queues.Drain()) < 2 {
		t.Errorf("%d dials, want 4 dials, 1 timeout and at least 2 lists", queues.Counters.DiscoveryDials.Load())
	}
}

// A new address ends the call that is waiting, and the complete list is requested from the new address.
func TestSetAddressRequestsCompleteList(t *testing.T) {
	requests := make(chan string, 10)
	serveListOnce := func(conn net.Conn) {
		r := bufio.NewReader(conn)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		requests <- req.Host + " " + req.URL.RawQuery
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(someList), someList)
		if req, err = http.ReadRequest(r); err == nil { // a watch, which is not answered
			requests <- req.Host + " " + req.URL.RawQuery
			io.Copy(io.Discard, conn)
		}
		conn.Close()
	}
	first, second := startServer(t, serveListOnce), startServer(t, serveListOnce)
	defer first.Close()
	defer second.Close()
	client, queues := newTestClient(40)
	client.address = first.Addr().String()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	ended := make(chan struct{})
	go func() { client.Run(ctx); close(ended) }()
	start := time.Now()
	for _, listener := range []net.Listener{first, second} {
		address := listener.Addr().String()
		client.SetAddress(address)
		for _, query := range []string{"", "since=41&timeout_ms=2000"} {
			if got := <-requests; got != address+" "+query {
				t.Errorf("requested %q, want another request from %s", got, address)
			}
		}
		client.SetAddress(address) // the same address: no effect
	}
	if time.Since(start) > time.Second || queues.Counters.DiscoveryDials.Load() != 2 || len(queues.Drain()) != 2 {
		t.Errorf("%d dials in %v, want 2 dials and 2 lists in less than 1 s", queues.Counters.DiscoveryDials.Load(), time.Since(start))
	}
	stop()
	<-ended
}
