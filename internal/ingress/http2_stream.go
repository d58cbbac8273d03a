package ingress

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"

	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// stream is one request of an HTTP/2 connection, whose mutex guards it.
type stream struct {
	id     uint32
	conn   *http2Conn
	cancel upstream.Cancellation

	sendWindow   int64
	reset        bool  // by either side
	responseDone bool  // the answer has ended
	err          error // why its body cannot be read

	length         int64 // of the body; negative: unknown
	receivedLength int64
	received       bytes.Buffer  // and not read yet
	receivedMore   chan struct{} // closed when there is more, or the body has ended
	bodyComplete   bool          // all of it has come
	bodyStopped    bool          // it is not read any more
	trailer        http.Header
}

// endStream ends a stream without telling the client. Its answer, if one is being written, ends soon after, and is in
// flight until then.
func (c *http2Conn) endStream(s *stream, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.reset = true
	if s.err == nil {
		s.err = cause
	}
	c.removeStream(s)
	s.cancel.Cancel()
	c.signalChange()
}

// removeStream frees what a stream occupies. The connection is locked.
func (c *http2Conn) removeStream(s *stream) {
	c.noteRead(int64(s.received.Len()))
	s.received = bytes.Buffer{}
	delete(c.streams, s.id)
}

// finishResponse notes the end of an answer. The stream is removed before its end goes out, as the client may open
// another one at once. The connection is locked.
func (c *http2Conn) finishResponse(s *stream) {
	s.responseDone = true
	c.removeStream(s)
}

// handleHeaders opens a stream, or takes in a trailer.
func (c *http2Conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	opened := f.StreamID <= c.lastStream
	c.mu.Unlock()
	switch {
	case s != nil:
		c.handleTrailer(s, f)
		return nil
	case f.StreamID%2 == 0:
		return errProtocol
	case opened: // the trailer of a stream that is over
		c.resetStream(f.StreamID, http2.ErrCodeStreamClosed)
		return nil
	case c.admitStream(f.StreamID):
		return c.openStream(f)
	}
	if err := c.budget.spend(frameCost); err != nil {
		return err
	}
	return c.write(func() error { return c.framer.WriteRSTStream(f.StreamID, http2.ErrCodeRefusedStream) })
}

// admitStream counts a new stream, unless there are too many or none is taken. It is in flight from the moment that it is
// the last one: a stream that a GOAWAY has named is waited for. A client may send one that was refused again.
func (c *http2Conn) admitStream(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastStream = id
	maxStreams := c.server.limits.MaxStreams
	if c.refusing || len(c.streams) >= maxStreams || c.inFlight >= 2*maxStreams {
		return false
	}
	c.inFlight++
	return true
}

// openStream serves a new stream. A head that is too large is answered; one that is malformed is reset.
func (c *http2Conn) openStream(f *http2.MetaHeadersFrame) error {
	s := &stream{id: f.StreamID, conn: c, length: -1, receivedMore: make(chan struct{}), bodyComplete: f.StreamEnded()}
	out := &http2Response{stream: s}
	if f.Truncated {
		c.server.Counters.BadRequests.Add(1)
		if err := c.budget.spend(resetCost); err != nil {
			return err
		}
		c.startStream(s, func() { writeAnswer(out, http.StatusRequestHeaderFieldsTooLarge, reasonHeadTooLarge) })
		return nil
	}
	request, err := parseHTTP2Request(f)
	if err != nil {
		defer c.requestDone()
		c.server.Counters.BadRequests.Add(1)
		if err := c.budget.spend(resetCost); err != nil {
			return err
		}
		c.resetStream(s.id, http2.ErrCodeProtocol)
		return nil
	}
	if s.bodyComplete && request.Length > 0 {
		defer c.requestDone()
		c.resetStream(s.id, http2.ErrCodeProtocol)
		return nil
	}
	out.head = request.Method == http.MethodHead
	s.setBody(request, out)
	c.startStream(s, func() { c.server.serveRequest(&s.cancel, "h2", request, out) })
	return nil
}

// setBody lets a request read the body of its stream.
func (s *stream) setBody(request *proxy.Request, out *http2Response) {
	s.length = request.Length
	if s.bodyComplete {
		request.Length = 0
		return
	}
	request.Body = (*http2Body)(s)
	request.Trailer = func() http.Header { return s.trailer }
	request.StopBody = s.stopBody
	request.Continue = out.askForBody
}

// startStream answers a stream in a goroutine, which the end of the connection waits for.
func (c *http2Conn) startStream(s *stream, answer func()) {
	c.mu.Lock()
	s.sendWindow = c.initialSendWindow
	c.streams[s.id] = s
	c.mu.Unlock()
	c.handlers.Go(func() {
		defer c.finishStream(s)
		answer()
	})
}

// finishStream ends a stream after its answer. The rest of a body that has not come completely is not waited for.
func (c *http2Conn) finishStream(s *stream) {
	c.mu.Lock()
	reset := s.reset
	responseDone := s.responseDone
	bodyComplete := s.bodyComplete
	c.finishResponse(s)
	c.mu.Unlock()
	switch {
	case reset:
	case !responseDone: // the answer is incomplete
		c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeInternal) })
	case !bodyComplete:
		c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeNo) })
	}
	c.returnWindow(nil, 0)
	c.requestDone()
}

// requestDone notes the end of a request after the last frame for it. A connection that drains ends with the last one.
func (c *http2Conn) requestDone() {
	c.mu.Lock()
	c.inFlight--
	last := c.goAwaySent && c.inFlight == 0
	c.mu.Unlock()
	if last {
		c.closeWrite()
	}
}

// handleTrailer takes in the fields after a body.
func (c *http2Conn) handleTrailer(s *stream, f *http2.MetaHeadersFrame) {
	trailer, valid := parseTrailer(f)
	c.mu.Lock()
	valid = valid && !s.bodyComplete && !s.hasWrongLength(true)
	if valid {
		s.trailer = proxy.RemoveHopByHop(trailer)
		s.bodyComplete = true
		s.signalReceived()
	}
	c.mu.Unlock()
	if !valid {
		c.resetStream(s.id, http2.ErrCodeProtocol)
	}
}

// parseTrailer reads the fields of a trailer.
func parseTrailer(f *http2.MetaHeadersFrame) (trailer http.Header, valid bool) {
	trailer = http.Header{}
	valid = f.StreamEnded() && !f.Truncated
	for _, field := range f.Fields {
		if strings.HasPrefix(field.Name, ":") || !httpguts.ValidTrailerHeader(http.CanonicalHeaderKey(field.Name)) {
			valid = false
		}
		trailer.Add(field.Name, field.Value)
	}
	return trailer, valid
}
