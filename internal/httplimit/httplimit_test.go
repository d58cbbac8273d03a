package httplimit

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

var respondOK = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })

// serve runs a server with a limit of connections until the test ends, and returns its address.
func serve(t *testing.T, limit int) string {
	listener := scriptedpeer.Listen(t)
	server := NewServer(respondOK, Timeouts{Header: time.Minute, Idle: time.Minute})
	t.Cleanup(func() { server.Close() })
	go server.Serve(NewListener(listener.Listener, limit))
	return listener.Address()
}

// request returns a request with a number of header fields that have one byte each.
func request(fields int) string {
	return "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
}

// A header of very many short fields is refused before it is parsed.
func TestTooManyFieldsAreRefused(t *testing.T) {
	address := serve(t, 10)
	for _, c := range []struct {
		name   string
		fields int
		want   int
	}{{"few", 20, http.StatusOK}, {"many", 2 * maxLines, http.StatusBadRequest}} {
		client := scriptedpeer.Dial(t, address)
		client.SendRaw(request(c.fields))
		response, err := http.ReadResponse(client.Reader, nil)
		if err != nil || response.StatusCode != c.want {
			t.Errorf("%s fields: response %+v, error %v, want %d", c.name, response, err, c.want)
		}
	}
}

// The lines of earlier requests do not count against a connection.
func TestLinesCountForOneRequest(t *testing.T) {
	client := scriptedpeer.Dial(t, serve(t, 10))
	const fields = 100
	for k := range 2 + 2*maxLines/fields {
		client.SendRaw(request(fields))
		response, err := http.ReadResponse(client.Reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: response %+v, error %v, want 200", k, response, err)
		}
		io.Copy(io.Discard, response.Body)
	}
}

// A large header is refused, and a connection beyond the limit is closed at once.
func TestLargeHeadersAndConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	address := serve(t, 1)
	client := scriptedpeer.Dial(t, address)
	client.SendRaw("GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 4*maxHeaderBytes))
	response, err := http.ReadResponse(client.Reader, nil)
	if err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("large header: response %+v, error %v, want 431", response, err)
	}
	client.WaitForClose()
	scriptedpeer.WaitFor(t, "the connection does not count as closed", func() bool {
		first := scriptedpeer.Dial(t, address)
		first.SendRaw(request(0))
		response, err := http.ReadResponse(first.Reader, nil)
		return err == nil && response.StatusCode == http.StatusOK
	})
	scriptedpeer.Dial(t, address).WaitForClose()
}

// A client that sends requests as fast as it can is read more slowly after a burst.
func TestFastClientIsHeldBack(t *testing.T) {
	const excess = 100
	client := scriptedpeer.Dial(t, serve(t, 10))
	start := time.Now()
	for k := range int(requestRate.Burst) + excess {
		client.SendRaw(request(0))
		response, err := http.ReadResponse(client.Reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: response %+v, error %v, want 200", k, response, err)
		}
		io.Copy(io.Discard, response.Body)
	}
	// The last wait follows the last response.
	if took, least := time.Since(start), time.Duration((excess-1)/requestRate.PerSecond*float64(time.Second)); took < least {
		t.Errorf("%d requests beyond the burst took %v, want at least %v", excess, took, least)
	}
}
