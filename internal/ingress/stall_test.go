package ingress

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// serveBody answers a request with 200 once it has read the body, and aborts it if the body cannot be read.
func serveBody(_ *upstream.Cancellation, r *proxy.Request, out proxy.ResponseWriter) proxy.Result {
	if r.Body != nil {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			out.Abort()
			return proxy.Result{Incomplete: true}
		}
	}
	out.WriteHeader(http.StatusOK, http.Header{}, 2)
	io.WriteString(out, "ok")
	out.Finish(nil)
	return proxy.Result{Status: http.StatusOK}
}

// newTestServer returns a server with the given limits, whose other limits a test does not reach.
func newTestServer(limits Limits, handler Handler) *Server {
	for _, timeout := range []*time.Duration{&limits.IdleTimeout, &limits.HeadTimeout, &limits.StallTimeout, &limits.DrainTimeout} {
		if *timeout == 0 {
			*timeout = time.Minute
		}
	}
	limits.MaxConnections = max(limits.MaxConnections, 1)
	limits.MaxStreams = max(limits.MaxStreams, 1)
	return New(Config{
		Limits:       limits,
		Handler:      handler,
		Classify:     func(string, string, string, http.Header) int { return 0 },
		Log:          slog.New(slog.DiscardHandler),
		OnRequestEnd: func(Record) {},
	})
}

// readHTTP1Response returns the status of the next response, or the error of reading it.
func readHTTP1Response(client *scriptedpeer.Conn) string {
	response, err := http.ReadResponse(client.Reader, nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(response.StatusCode)
}

// readHTTP2Response returns the status of the first response, or why there is none.
func readHTTP2Response(client *scriptedpeer.Conn) string {
	framer := http2.NewFramer(client.Conn, client.Reader)
	framer.ReadMetaHeaders = hpack.NewDecoder(maxHeaderTable, nil)
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return err.Error()
		}
		switch frame := frame.(type) {
		case *http2.MetaHeadersFrame:
			return frame.PseudoValue("status")
		case *http2.GoAwayFrame, *http2.RSTStreamFrame:
			return fmt.Sprint(frame)
		}
	}
}

// http2Request returns a HEADERS frame that opens stream 1 with a request without a body.
func http2Request() string {
	client := newRawClient()
	opening := client.Len()
	client.open(1, true, requestHead())
	return client.String()[opening:]
}

// A process stands still while it waits for its client. The client sends in time, but the process asks for what has arrived
// only after the deadline: the request is served all the same, as the client could not learn whether it was executed.
func TestBytesThatArriveDuringStallAreRead(t *testing.T) {
	const (
		timeout  = 100 * time.Millisecond
		settings = http2.ClientPreface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	)
	for _, test := range []struct {
		name        string
		limits      Limits
		http2       bool
		before      string // sent before the stall
		stalledRead int64
		during      string // sent during the stall
	}{
		{"HTTP/1.1 request before the idle timeout", Limits{IdleTimeout: timeout}, false, "", 1, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"rest of an HTTP/1.1 head", Limits{HeadTimeout: timeout}, false, "G", 2, "ET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"HTTP/1.1 body", Limits{StallTimeout: timeout}, false, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n", 3, "pay"},
		{"HTTP/2 preface", Limits{HeadTimeout: timeout}, true, "", 1, settings + http2Request()},
		{"HTTP/2 request before the idle timeout", Limits{IdleTimeout: timeout}, true, settings, 3, http2Request()},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			stall := scriptedpeer.NewStall(test.stalledRead)
			listener := scriptedpeer.Listen(t)
			server := newTestServer(test.limits, serveBody)
			serve, readResponse := server.ServeHTTP1, readHTTP1Response
			if test.http2 {
				serve, readResponse = server.ServeHTTP2, readHTTP2Response
			}
			go serve(stall.Listener(listener.Listener))
			client := scriptedpeer.Dial(t, listener.Address())
			client.SendRaw(test.before)
			stall.AwaitBegin(t)
			client.SendRaw(test.during)
			time.Sleep(2 * timeout)
			stall.Resume()
			if got := readResponse(client); got != "200" {
				t.Errorf("response %q, want 200", got)
			}
			if n := server.Counters.IdleTimeouts.Load(); n != 0 {
				t.Errorf("%d connections counted as idle, want none", n)
			}
		})
	}
}

// A connection on which nothing has arrived is closed and counted after the idle timeout.
func TestIdleConnectionIsClosedAndCounted(t *testing.T) {
	listener := scriptedpeer.Listen(t)
	server := newTestServer(Limits{IdleTimeout: 50 * time.Millisecond}, serveBody)
	go server.ServeHTTP1(listener.Listener)
	scriptedpeer.Dial(t, listener.Address()).WaitForClose()
	if n := server.Counters.IdleTimeouts.Load(); n != 1 {
		t.Errorf("%d connections counted as idle, want 1", n)
	}
}
