package upstream

import (
	"context"
	"errors"
	"io"
	"testing"
)

func TestCanReconnect(t *testing.T) {
	notSent := &AttemptError{NotSent, "send", io.ErrUnexpectedEOF}
	body := io.LimitReader(nil, 0)
	canceled := &Cancellation{}
	canceled.Cancel()
	for _, c := range []struct {
		name    string
		cancel  *Cancellation
		request Request
		err     error
		want    bool
	}{
		{"success", &Cancellation{}, Request{}, nil, false},
		{"nothing was sent", &Cancellation{}, Request{}, notSent, true},
		{"may have been executed", &Cancellation{}, Request{}, &AttemptError{Sent, "send", io.EOF}, false},
		{"body may have been read", &Cancellation{}, Request{Body: body}, notSent, false},
		{"canceled", canceled, Request{}, notSent, false},
		{"not an AttemptError", &Cancellation{}, Request{}, io.EOF, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := canReconnect(c.cancel, &c.request, c.err); got != c.want {
				t.Errorf("canReconnect returned %v, want %v", got, c.want)
			}
		})
	}
}

func TestBodyReaderWrapsErrors(t *testing.T) {
	for _, c := range []struct {
		err    error
		marked bool
	}{{io.EOF, false}, {ErrBodyStopped, false}, {io.ErrUnexpectedEOF, true}, {context.DeadlineExceeded, true}} {
		_, err := bodyReader{failingReader{c.err}}.Read(nil)
		var marked *BodyError
		if errors.As(err, &marked) != c.marked || !errors.Is(err, c.err) {
			t.Errorf("bodyReader returned %v for %v; want it wrapped in a BodyError: %v", err, c.err, c.marked)
		}
	}
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
