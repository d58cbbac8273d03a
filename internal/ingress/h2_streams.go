package ingress

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"

	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// This file has the life of a stream: its head, its request, its end.

// stream is one flow.
type stream struct {
	id      uint32
	conn    *h2
	leash   upstream.Cancellation
	window  int64
	reset   bool // by either side
	over    bool // the answer has ended
	inbox   bytes.Buffer
	arrived chan struct{}
	ended   bool // all of the body has come
	halted  bool // it is read no further
	length  int64
	got     int64
	trailer http.Header
	fault   error
}

// drop ends a stream without a word. Its answer, if one is under way, ends soon after, and counts until then.
func (c *h2) drop(s *stream, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.reset = true
	if s.fault == nil {
		s.fault = why
	}
	c.give(int64(s.inbox.Len()))
	s.inbox = bytes.Buffer{}
	delete(c.streams, s.id)
	s.leash.Cancel()
	c.wake()
}

func (c *h2) arrive(s *stream) {
	close(s.arrived)
	s.arrived = make(chan struct{})
}

func (c *h2) headersIn(f *http2.MetaHeadersFrame) error {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	c.mu.Unlock()
	if s != nil {
		return c.trailersIn(s, f)
	}
	if f.StreamID <= c.last {
		if f.StreamID%2 == 0 {
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
		c.fault(f.StreamID, http2.ErrCodeStreamClosed) // trailers of one that is over
		return nil
	}
	if f.StreamID%2 == 0 {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	c.mu.Lock()
	c.last = f.StreamID
	leaving, over := c.leaving, len(c.streams) >= c.server.Streams || c.active >= 2*c.server.Streams
	if !leaving && !over {
		c.active++ // from the moment that it counts as taken: one that part has named is waited for
	}
	c.mu.Unlock()
	if leaving || over { // it has not run: the client may send it again
		if err := c.chat(1); err != nil {
			return err
		}
		return c.write(func() error { return c.framer.WriteRSTStream(f.StreamID, http2.ErrCodeRefusedStream) })
	}
	q, err := requestOf(f)
	if f.Truncated { // some of its fields are missing: it gets an answer, and goes nowhere
		q = nil
	}
	s = &stream{id: f.StreamID, conn: c, window: 0, length: -1, arrived: make(chan struct{}), ended: f.StreamEnded()}
	out := &h2Answer{stream: s}
	if err != nil || f.Truncated {
		if !f.Truncated {
			defer c.free()
		}
		c.server.Count.BadRequests.Add(1)
		if err := c.chat(resetCost); err != nil {
			return err
		}
		if !f.Truncated {
			c.fault(f.StreamID, http2.ErrCodeProtocol)
			return nil
		}
	}
	if q != nil {
		if s.length = q.Length; s.ended && s.length > 0 {
			defer c.free()
			c.fault(f.StreamID, http2.ErrCodeProtocol)
			return nil
		}
		out.head = q.Method == http.MethodHead
		if !s.ended {
			q.Body, q.Trailer = (*h2Body)(s), func() http.Header { return s.trailer }
			q.StopBody = s.halt
			q.Continue = func() error { return out.inform(http.StatusContinue, nil) }
		} else {
			q.Length = 0
		}
	}
	c.mu.Lock()
	s.window = c.initial
	c.streams[s.id] = s
	c.mu.Unlock()
	c.handlers.Add(1)
	go c.handle(s, q, out)
	return nil
}

func (c *h2) handle(s *stream, q *proxy.Request, out *h2Answer) {
	defer c.handlers.Done()
	defer c.finish(s)
	if q == nil {
		answer(out, http.StatusRequestHeaderFieldsTooLarge, "head-too-large")
		return
	}
	c.server.flow(&s.leash, "h2", q, out)
}

// finish ends a stream after its answer. A body that has not come whole is not waited for.
func (c *h2) finish(s *stream) {
	c.mu.Lock()
	open, reset := !s.ended, s.reset
	over := s.over
	c.leave(s)
	c.mu.Unlock()
	switch {
	case reset:
	case !over: // the answer broke
		c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeInternal) })
	case open:
		c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeNo) })
	}
	c.tell(nil, 0)
	c.free()
}

// free ends the counting of a flow after its last word: the connection hangs up once nobody has one to say.
func (c *h2) free() {
	c.mu.Lock()
	c.active--
	last := c.parted && c.active == 0
	c.mu.Unlock()
	if last {
		c.hangUp()
	}
}

// leave frees the place of a stream: before its end goes out, as the client may fill the place at once. The
// connection is locked.
func (c *h2) leave(s *stream) {
	s.over = true
	c.give(int64(s.inbox.Len()))
	s.inbox = bytes.Buffer{}
	delete(c.streams, s.id)
}

func (c *h2) trailersIn(s *stream, f *http2.MetaHeadersFrame) error {
	h := http.Header{}
	bad := !f.StreamEnded() || s.ended || f.Truncated
	for _, field := range f.Fields {
		if strings.HasPrefix(field.Name, ":") || !httpguts.ValidTrailerHeader(http.CanonicalHeaderKey(field.Name)) {
			bad = true
		}
		h.Add(field.Name, field.Value)
	}
	c.mu.Lock()
	short := s.length >= 0 && s.got != s.length
	if !bad && !short {
		s.trailer, s.ended = proxy.RemoveHopByHop(h), true
		c.arrive(s)
	}
	c.mu.Unlock()
	if bad || short {
		c.fault(s.id, http2.ErrCodeProtocol)
	}
	return nil
}

// requestOf reads a request, refusing what HTTP/1.1 would read differently.
func requestOf(f *http2.MetaHeadersFrame) (*proxy.Request, error) {
	q := &proxy.Request{Method: f.PseudoValue("method"), Target: f.PseudoValue("path"), Host: f.PseudoValue("authority"), Header: http.Header{}, Length: -1}
	if f.PseudoValue("scheme") == "" || !httpguts.ValidHeaderFieldName(q.Method) {
		return nil, bad("scheme or method")
	}
	if err := checkTarget(q.Method, q.Target); err != nil {
		return nil, err
	}
	cookies := []string(nil)
	for _, field := range f.RegularFields() {
		switch field.Name {
		case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
			return nil, bad("%s in HTTP/2", field.Name)
		case "te":
			if field.Value != "trailers" {
				return nil, bad("te")
			}
		case "host":
			if q.Host != "" && q.Host != field.Value {
				return nil, bad("two hosts")
			}
			q.Host = field.Value
		case "content-length":
			if q.Length >= 0 || !digits(field.Value) {
				return nil, bad("length %.40q", field.Value)
			}
			q.Length, _ = strconv.ParseInt(field.Value, 10, 64)
		case "expect":
			q.ExpectContinue = strings.EqualFold(field.Value, "100-continue")
		case "cookie":
			cookies = append(cookies, field.Value)
		default:
			if !httpguts.ValidHeaderFieldValue(field.Value) {
				return nil, bad("value of %s", field.Name)
			}
			q.Header.Add(field.Name, field.Value)
		}
	}
	if len(cookies) > 0 {
		q.Header.Set("Cookie", strings.Join(cookies, "; "))
	}
	if q.Host == "" || !httpguts.ValidHostHeader(q.Host) {
		return nil, bad("host")
	}
	return q, nil
}

// halt has the body read no further.
func (s *stream) halt() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.halted = true
	s.conn.arrive(s)
}
