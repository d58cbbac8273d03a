package proxy

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

func TestFailedAttemptIsNotExecutedOnlyIfItWasNotSent(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want dispatch.Outcome
	}{
		{"not sent", &upstream.AttemptError{Progress: upstream.NotSent, Err: io.EOF}, dispatch.NotExecuted},
		{"not sent in time", &upstream.AttemptError{Progress: upstream.NotSent, Err: context.DeadlineExceeded}, dispatch.NotExecuted},
		{"no response in time", &upstream.AttemptError{Progress: upstream.Sent, Err: context.DeadlineExceeded}, dispatch.TimedOut},
		{"connection ended", &upstream.AttemptError{Progress: upstream.Sent, Err: io.ErrUnexpectedEOF}, dispatch.Broken},
		{"response ended", &upstream.AttemptError{Progress: upstream.ResponseStarted, Err: io.ErrUnexpectedEOF}, dispatch.Broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := outcomeOf(c.err); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{"Accept": {"*/*"}, "Connection": {"close, x-one", " ,X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"},
		"Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"1"}, "Expect": {"100-continue"}, "Upgrade": {"h2c"}}
	kept := slices.Sorted(maps.Keys(RemoveHopByHop(header)))
	if want := []string{"Accept", "X-Three"}; !slices.Equal(kept, want) {
		t.Errorf("%v are kept, want %v", kept, want)
	}
}

func TestMayHaveBody(t *testing.T) {
	for _, c := range []struct {
		method string
		status int
		want   bool
	}{{"GET", 200, true}, {"HEAD", 200, false}, {"GET", 204, false}, {"GET", 304, false}, {"POST", 500, true}} {
		if got := mayHaveBody(c.method, c.status); got != c.want {
			t.Errorf("%s, %d: %v", c.method, c.status, got)
		}
	}
}

func TestStreamedBodyIsAskedForAndStoppedOnce(t *testing.T) {
	stops, asks := 0, 0
	body := &streamedBody{request: &Request{
		Body:           strings.NewReader("text"),
		ExpectContinue: true,
		StopBody:       func() { stops++ },
		Continue:       func() error { asks++; return nil },
	}}
	body.Stop()
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, upstream.ErrBodyStopped) || body.isConsumed() || stops != 0 || asks != 0 {
		t.Errorf("stopped before the first read: %v, consumed %v, %d stops, %d asks", err, body.isConsumed(), stops, asks)
	}
	body.resume()
	for range 2 {
		if n, err := body.Read(make([]byte, 1)); n != 1 || err != nil || !body.isConsumed() || asks != 1 {
			t.Errorf("%d bytes, %v, consumed %v, asked for %d times", n, err, body.isConsumed(), asks)
		}
	}
	body.Stop()
	body.Stop()
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, upstream.ErrBodyStopped) || stops != 1 {
		t.Errorf("stopped after a read: %v, %d stops", err, stops)
	}
}

func TestReadBodyHoldsShortBodiesOfKnownLength(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		held    bool
		none    bool
	}{
		{"none", Request{Length: -1}, false, true},
		{"empty", Request{Body: strings.NewReader("")}, false, true},
		{"short", Request{Body: strings.NewReader("text"), Length: 4}, true, false},
		{"longest that is held", Request{Body: strings.NewReader(strings.Repeat("x", maxReplay)), Length: maxReplay}, true, false},
		{"longer", Request{Body: strings.NewReader(strings.Repeat("x", maxReplay+1)), Length: maxReplay + 1}, false, false},
		{"unknown length", Request{Body: strings.NewReader("text"), Length: -1}, false, false},
		{"to be asked for", Request{Body: strings.NewReader("text"), Length: 4, ExpectContinue: true}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			transaction := &transaction{Request: &c.request}
			if err := transaction.readBody(); err != nil || (transaction.buffer != nil) != c.held || (c.request.Body == nil) != c.none {
				t.Errorf("%v, held: %v, none: %v", err, transaction.buffer != nil, c.request.Body == nil)
			}
			if transaction.buffer != nil {
				buffers.Put(transaction.buffer)
			}
		})
	}
}
