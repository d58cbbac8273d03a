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

func TestOutcomeIsNotExecutedOnlyForUnsentAttempts(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want dispatch.Outcome
	}{
		{"not sent", &upstream.AttemptError{Progress: upstream.NotSent, Err: io.EOF}, dispatch.NotExecuted},
		{"not sent in time", &upstream.AttemptError{Progress: upstream.NotSent, Err: context.DeadlineExceeded}, dispatch.NotExecuted},
		{"no response in time", &upstream.AttemptError{Progress: upstream.Sent, Err: context.DeadlineExceeded}, dispatch.TimedOut},
		{"connection ended", &upstream.AttemptError{Progress: upstream.Sent, Err: io.ErrUnexpectedEOF}, dispatch.Incomplete},
		{"response ended", &upstream.AttemptError{Progress: upstream.ResponseStarted, Err: io.ErrUnexpectedEOF}, dispatch.Incomplete},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := outcomeOf(c.err); got != c.want {
				t.Errorf("outcome %d, want %d", got, c.want)
			}
		})
	}
}

func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{"Accept": {"*/*"}, "Connection": {"close, x-one", " ,X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"},
		"Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"1"}, "Expect": {"100-continue"}, "Upgrade": {"h2c"}}
	kept := slices.Sorted(maps.Keys(RemoveHopByHop(header)))
	if want := []string{"Accept", "X-Three"}; !slices.Equal(kept, want) {
		t.Errorf("remaining fields %v, want %v", kept, want)
	}
}

func TestMayHaveBody(t *testing.T) {
	for _, c := range []struct {
		method string
		status int
		want   bool
	}{{"GET", 200, true}, {"HEAD", 200, false}, {"GET", 204, false}, {"GET", 304, false}, {"POST", 500, true}} {
		if got := mayHaveBody(c.method, c.status); got != c.want {
			t.Errorf("mayHaveBody(%s, %d) returned %v, want %v", c.method, c.status, got, c.want)
		}
	}
}

func TestStreamedBodyCallsContinueAndStopBodyOnce(t *testing.T) {
	stopCalls, continueCalls := 0, 0
	body := &streamedBody{request: &Request{
		Body:           strings.NewReader("text"),
		ExpectContinue: true,
		StopBody:       func() { stopCalls++ },
		Continue:       func() error { continueCalls++; return nil },
	}}
	body.Stop()
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, upstream.ErrBodyStopped) || body.isConsumed() || stopCalls != 0 || continueCalls != 0 {
		t.Errorf("read after a stop before the first read: %v, consumed %v, %d calls of StopBody, %d of Continue", err, body.isConsumed(), stopCalls, continueCalls)
	}
	body.resume()
	for range 2 {
		if n, err := body.Read(make([]byte, 1)); n != 1 || err != nil || !body.isConsumed() || continueCalls != 1 {
			t.Errorf("read after resume: %d bytes, %v, consumed %v, %d calls of Continue", n, err, body.isConsumed(), continueCalls)
		}
	}
	body.Stop()
	body.Stop()
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, upstream.ErrBodyStopped) || stopCalls != 1 {
		t.Errorf("read after a stop that followed a read: %v, %d calls of StopBody", err, stopCalls)
	}
}

func TestReadBodyBuffersShortBodiesOfKnownLength(t *testing.T) {
	for _, c := range []struct {
		name     string
		request  Request
		buffered bool
		noBody   bool
	}{
		{"no body", Request{Length: -1}, false, true},
		{"empty", Request{Body: strings.NewReader("")}, false, true},
		{"short", Request{Body: strings.NewReader("text"), Length: 4}, true, false},
		{"longest that is buffered", Request{Body: strings.NewReader(strings.Repeat("x", maxReplay)), Length: maxReplay}, true, false},
		{"longer than maxReplay", Request{Body: strings.NewReader(strings.Repeat("x", maxReplay+1)), Length: maxReplay + 1}, false, false},
		{"unknown length", Request{Body: strings.NewReader("text"), Length: -1}, false, false},
		{"client expects 100 Continue", Request{Body: strings.NewReader("text"), Length: 4, ExpectContinue: true}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			transaction := &transaction{Request: &c.request}
			if err := transaction.readBody(); err != nil || (transaction.buffer != nil) != c.buffered || (c.request.Body == nil) != c.noBody {
				t.Errorf("readBody: %v, buffered: %v, no body: %v", err, transaction.buffer != nil, c.request.Body == nil)
			}
			if transaction.buffer != nil {
				buffers.Put(transaction.buffer)
			}
		})
	}
}
