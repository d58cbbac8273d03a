package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// serveEarly answers requests without reading their body, except those with a field Read.
func serveEarly(cancel *upstream.Cancellation, r *proxy.Request, out proxy.ResponseWriter) proxy.Result {
	if r.Header.Get("Read") != "" {
		return serveBody(cancel, r, out)
	}
	out.WriteHeader(http.StatusInternalServerError, http.Header{}, 2)
	io.WriteString(out, "no")
	out.Finish(nil)
	return proxy.Result{Status: http.StatusInternalServerError}
}

// A response is sent before the body of its request was read. If the rest of the body is too long to be discarded, the
// response announces the close of the connection, so that the client sends no request that would be discarded as well.
// Otherwise the next request is served.
func TestResponseBeforeLongBodyAnnouncesClose(t *testing.T) {
	long := strings.Repeat("x", 3*maxDiscard)
	for _, c := range []struct {
		name      string
		request   string // after the request line and the host
		wantClose bool
	}{
		{"long body that was not sent", "Content-Length: 300000\r\n\r\n", true},
		{"long body", "Content-Length: 196608\r\n\r\n" + long, true},
		{"chunked body", "Transfer-Encoding: chunked\r\n\r\n3\r\npay\r\n0\r\n\r\n", true},
		{"body that was not asked for", "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", true},
		{"short body", "Content-Length: 3\r\n\r\npay", false},
		{"long body that was read", "Read: 1\r\nContent-Length: 196608\r\n\r\n" + long, false},
		{"chunked body that was read", "Read: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npay\r\n0\r\n\r\n", false},
		{"no body", "\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener := scriptedpeer.Listen(t)
			server := newTestServer(Limits{}, serveEarly)
			go server.ServeHTTP1(listener.Listener)
			client := scriptedpeer.Dial(t, listener.Address())
			go io.WriteString(client.Conn, "POST / HTTP/1.1\r\nHost: x\r\n"+c.request)
			response, err := http.ReadResponse(client.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, response.Body)
			if response.Close != c.wantClose {
				t.Fatalf("response announces the close of the connection: %v, want %v", response.Close, c.wantClose)
			}
			if c.wantClose {
				return
			}
			client.SendRaw("GET / HTTP/1.1\r\nHost: x\r\nRead: 1\r\n\r\n")
			if got := readHTTP1Response(client); got != "200" {
				t.Errorf("next request on the connection: %s, want 200", got)
			}
		})
	}
}
