package ingress

import (
	"errors"
	"testing"

	"golang.org/x/net/http2"
)

func TestGrowWindow(t *testing.T) {
	const open, closed, unopened = 1, 3, 5
	for _, c := range []struct {
		name      string
		stream    uint32
		increment int64
		overflow  bool
		err       error
	}{
		{"connection", 0, 1, false, nil},
		{"connection beyond the maximum", 0, maxWindow, false, errFlowControl},
		{"stream", open, 1, false, nil},
		{"stream beyond the maximum", open, maxWindow, true, nil},
		{"closed stream", closed, maxWindow, false, nil},
		{"stream that was never opened", unopened, 1, false, errProtocol},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := newHTTP2Conn(New(Config{}), nil)
			conn.lastStream = closed
			conn.streams[open] = &stream{id: open, conn: conn, sendWindow: defaultWindow}
			overflow, err := conn.growWindow(c.stream, c.increment)
			if overflow != c.overflow || !errors.Is(err, c.err) {
				t.Errorf("growWindow: overflow %v, error %v, want %v, %v", overflow, err, c.overflow, c.err)
			}
		})
	}
}

func TestHasWrongLength(t *testing.T) {
	for _, c := range []struct {
		length, received int64
		complete, wrong  bool
	}{
		{-1, 10, true, false},
		{4, 3, false, false},
		{4, 4, false, false},
		{4, 4, true, false},
		{4, 3, true, true},
		{4, 5, false, true},
	} {
		s := &stream{length: c.length, receivedLength: c.received}
		if got := s.hasWrongLength(c.complete); got != c.wrong {
			t.Errorf("%+v: hasWrongLength returned %v", c, got)
		}
	}
}

func TestClientErrorCode(t *testing.T) {
	for _, c := range []struct {
		err         error
		code        http2.ErrCode
		clientError bool
	}{
		{errProtocol, http2.ErrCodeProtocol, true},
		{errFlowControl, http2.ErrCodeFlowControl, true},
		{http2.ErrFrameTooLarge, http2.ErrCodeFrameSize, true},
		{errConnEnded, http2.ErrCodeNo, false},
	} {
		if code, clientError := clientErrorCode(c.err); code != c.code || clientError != c.clientError {
			t.Errorf("%v: code %v, client error %v, want %v, %v", c.err, code, clientError, c.code, c.clientError)
		}
	}
}
