package ingress

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// This file writes an answer, as far as the windows of the client allow.

// h2Answer writes the answer of a stream. Its head waits for the first of the body, so that one without a body is
// one frame.
type h2Answer struct {
	stream *stream
	head   bool       // the answer to HEAD
	mu     sync.Mutex // a body is asked for beside the wait for the answer
	status int
	fields http.Header
	length int64
	sent   int64
	begun  bool
}

func (a *h2Answer) WriteInformational(status int, h http.Header) {
	a.inform(status, proxy.RemoveHopByHop(h))
}

func (a *h2Answer) inform(status int, h http.Header) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return upstream.ErrBodyStopped
	}
	return a.headers(status, h, -1, false)
}

func (a *h2Answer) WriteHeader(status int, h http.Header, length int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status, a.fields, a.length = status, h, length
	return nil
}

func (a *h2Answer) headers(status int, h http.Header, length int64, end bool) error {
	s, c := a.stream, a.stream.conn
	return c.write(func() error {
		if a.gone() {
			return errReset
		}
		c.headers.Reset()
		if status > 0 {
			c.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(status)})
		}
		for name, values := range h {
			name = strings.ToLower(name)
			for _, v := range values {
				c.encoder.WriteField(hpack.HeaderField{Name: name, Value: v})
			}
		}
		if length >= 0 && status != http.StatusNoContent {
			c.encoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.FormatInt(length, 10)})
		}
		return c.writeHeaders(s.id, end)
	})
}

// writeHeaders writes the encoded fields in as many frames as they need; whoever calls holds the pen.
func (c *h2) writeHeaders(id uint32, end bool) error {
	b := c.headers.Bytes()
	n := min(len(b), frameMost)
	if err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b[:n], EndStream: end, EndHeaders: n == len(b)}); err != nil {
		return err
	}
	for b = b[n:]; len(b) > 0; b = b[n:] {
		n = min(len(b), frameMost)
		if err := c.framer.WriteContinuation(id, n == len(b), b[:n]); err != nil {
			return err
		}
	}
	return nil
}

// gone says whether nobody waits for the answer any more.
func (a *h2Answer) gone() bool {
	c := a.stream.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	return a.stream.reset || c.ended
}

func (a *h2Answer) bodiless() bool {
	return a.head || a.status == http.StatusNoContent || a.status == http.StatusNotModified
}

func (a *h2Answer) Write(p []byte) (n int, err error) {
	if a.bodiless() {
		return len(p), nil
	}
	if !a.begun {
		a.begun = true
		if err := a.headers(a.status, a.fields, a.length, false); err != nil {
			return 0, err
		}
	}
	if a.sent += int64(len(p)); a.length >= 0 && a.sent > a.length {
		return 0, errors.New("an answer longer than its length")
	}
	for len(p) > 0 {
		k, err := a.room(len(p))
		if err != nil {
			return n, err
		}
		if err := a.stream.conn.write(func() error { return a.stream.conn.framer.WriteData(a.stream.id, false, p[:k]) }); err != nil {
			return n, err
		}
		n, p = n+k, p[k:]
	}
	return n, nil
}

// room waits until both windows have some, and takes it.
func (a *h2Answer) room(want int) (int, error) {
	s, c := a.stream, a.stream.conn
	var timer *time.Timer
	for {
		c.mu.Lock()
		k := int(min(int64(want), int64(c.frame), s.window, c.window))
		if s.reset {
			c.mu.Unlock()
			return 0, errReset
		}
		if k > 0 {
			s.window, c.window = s.window-int64(k), c.window-int64(k)
			c.mu.Unlock()
			return k, nil
		}
		changed := c.changed
		c.mu.Unlock()
		if timer == nil { // it has so long to open either window
			timer = time.NewTimer(c.server.Stall)
			defer timer.Stop()
		}
		select {
		case <-changed:
		case <-timer.C:
			c.server.Count.Stalls.Add(1)
			return 0, errStall
		case <-s.leash.Done():
			return 0, errEnded
		}
	}
}

func (a *h2Answer) Finish(trailer http.Header) error {
	if a.length >= 0 && a.sent < a.length && !a.bodiless() {
		return errors.New("an answer shorter than its length")
	}
	c := a.stream.conn
	c.mu.Lock()
	c.leave(a.stream)
	c.mu.Unlock()
	var err error
	switch {
	case !a.begun && len(trailer) == 0:
		a.begun = true
		err = a.headers(a.status, a.fields, a.length, true)
	case !a.begun:
		a.begun = true
		if err = a.headers(a.status, a.fields, a.length, false); err == nil {
			err = a.headers(0, trailer, -1, true)
		}
	case len(trailer) > 0:
		err = a.headers(0, trailer, -1, true)
	default:
		err = a.stream.conn.write(func() error {
			if a.gone() {
				return errReset
			}
			return a.stream.conn.framer.WriteData(a.stream.id, true, nil)
		})
	}
	return err
}

// Break leaves the stream to finish, which resets it.
func (a *h2Answer) Abort() {}
