package ingress

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"

	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

// stream is one request on an HTTP/2 connection. The mutex mu of the connection guards it.
type stream struct {
	id     uint32
	conn   *http2Conn
	cancel upstream.Cancellation

	memory       int64 // bytes that are taken for the request
	sendWindow   int64
	reset        bool  // the client or the sidecar has reset it
	responseDone bool  // the response was written completely
	err          error // why the body cannot be read; nil: it can

	length         int64         // of the request body; negative: unknown
	receivedLength int64         // bytes of the body received so far
	received       chunkBuffer   // bytes that were received and not read yet
	receivedMore   chan struct{} // closed when more was received, or the body was completed or stopped
	bodyComplete   bool          // all of the body was received
	bodyStopped    bool          // the body is no longer read
	trailer        http.Header
}

// endStream ends a stream without notifying the client. A response that is being written ends soon after, and its request
// counts as in flight until then.
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

// removeStream removes a stream and frees its buffer. The caller holds c.mu.
func (c *http2Conn) removeStream(s *stream) {
	c.addWindowToReturn(int64(s.received.Len()))
	c.memory.release(s.received.memory())
	s.received.clear()
	delete(c.streams, s.id)
}

// finishResponse records that a response is complete. The stream is removed before the frame that ends it is sent, because
// the client may open another stream as soon as it receives that frame. The caller holds c.mu.
func (c *http2Conn) finishResponse(s *stream) {
	s.responseDone = true
	c.removeStream(s)
}

// handleHeaders handles a HEADERS frame, which opens a stream or is the trailer of an open one.
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
	case opened: // the trailer of a closed stream
		if c.charge(controlFrame) {
			c.resetStream(f.StreamID, http2.ErrCodeStreamClosed)
		}
		return nil
	}
	memory := requestMemory + headMemory(f)
	if c.admitStream(f.StreamID, memory) {
		c.openStream(f, memory)
		return nil
	}
	return c.refuseStream(f.StreamID)
}

// openStream serves a new stream for which memory was taken. It responds to a head that exceeds maxHead or maxFields, and
// resets a stream whose head is malformed.
func (c *http2Conn) openStream(f *http2.MetaHeadersFrame, memory int64) {
	s := &stream{id: f.StreamID, conn: c, memory: memory, length: -1, receivedMore: make(chan struct{}), bodyComplete: f.StreamEnded()}
	out := &http2Response{stream: s}
	if f.Truncated || len(f.Fields) > maxFields {
		c.server.Counters.BadRequests.Add(1)
		c.charge(malformedStream)
		c.startStream(s, func() { writeErrorResponse(out, http.StatusRequestHeaderFieldsTooLarge, reasonHeadTooLarge) })
		return
	}
	request, err := parseHTTP2Request(f)
	if err != nil {
		defer c.requestDone(memory)
		c.server.Counters.BadRequests.Add(1)
		c.charge(malformedStream)
		c.resetStream(s.id, http2.ErrCodeProtocol)
		return
	}
	c.budget.creditRequest()
	out.isHead = request.Method == http.MethodHead
	s.setBody(request, out)
	c.startStream(s, func() { c.server.serveRequest(&s.cancel, "h2", request, out) })
}

// setBody connects a request to its connection and to the body of its stream.
func (s *stream) setBody(request *proxy.Request, out *http2Response) {
	request.ClientLeft = s.conn.clientLeft
	s.length = request.Length
	if s.bodyComplete {
		request.Length = 0
		return
	}
	request.Body = (*http2Body)(s)
	request.Trailer = func() http.Header { return s.trailer }
	request.StopBody = s.stopBody
	request.Continue = out.sendContinue
}

// startStream serves a stream in a goroutine. serve waits for that goroutine before it returns.
func (c *http2Conn) startStream(s *stream, handle func()) {
	c.mu.Lock()
	s.sendWindow = c.initialSendWindow
	c.streams[s.id] = s
	c.mu.Unlock()
	c.handlers.Go(func() {
		defer c.finishStream(s)
		handle()
	})
}

// finishStream ends a stream after its response. It does not wait for the rest of a request body that is incomplete.
func (c *http2Conn) finishStream(s *stream) {
	c.mu.Lock()
	reset := s.reset
	responseDone := s.responseDone
	bodyComplete := s.bodyComplete
	c.finishResponse(s)
	c.mu.Unlock()
	switch {
	case reset:
	case !responseDone: // the response is incomplete
		c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeInternal) })
	case !bodyComplete:
		c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeNo) })
	}
	c.returnWindow(nil, 0)
	c.requestDone(s.memory)
}

// requestDone records the end of a request after its last frame was written, and releases its memory. A draining connection
// ends with its last request.
func (c *http2Conn) requestDone(memory int64) {
	c.mu.Lock()
	c.inFlight--
	c.memory.release(memory)
	last := c.goAwaySent && c.inFlight == 0
	c.mu.Unlock()
	select {
	case c.requestEnded <- struct{}{}:
	default: // one is noted already
	}
	if last {
		c.closeWrite()
	}
}

// handleTrailer handles the trailer of a request body.
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

// maxTrailerMemory bounds the memory of a trailer, in bytes. It belongs to the memory of its request.
const maxTrailerMemory = 4 << 10

// parseTrailer returns the fields of a trailer, and whether the trailer is valid.
func parseTrailer(f *http2.MetaHeadersFrame) (trailer http.Header, valid bool) {
	trailer = http.Header{}
	valid = f.StreamEnded() && !f.Truncated && headMemory(f) <= maxTrailerMemory
	for _, field := range f.Fields {
		if strings.HasPrefix(field.Name, ":") || !httpguts.ValidTrailerHeader(http.CanonicalHeaderKey(field.Name)) {
			valid = false
		}
		trailer.Add(field.Name, field.Value)
	}
	return trailer, valid
}
