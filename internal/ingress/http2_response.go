package ingress

import (
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

// http2Response writes the response on a stream. The head is sent with the first part of the body, so that a response
// without a body is a single frame.
type http2Response struct {
	stream   *stream
	isHead   bool       // the response is to a HEAD request
	mu       sync.Mutex // guards status, header and length, as sendContinue may run concurrently with WriteHeader
	status   int        // 0: WriteHeader was not called yet
	header   http.Header
	length   int64 // negative: unknown
	sent     int64 // bytes of the body
	headSent bool  // the head was sent
}

// WriteInformational implements proxy.ResponseWriter.
func (r *http2Response) WriteInformational(status int, header http.Header) {
	r.writeInformational(status, proxy.RemoveHopByHop(header))
}

// sendContinue asks the client for its body by a 100 Continue. It returns upstream.ErrBodyStopped if the response has
// started.
func (r *http2Response) sendContinue() error { return r.writeInformational(http.StatusContinue, nil) }

func (r *http2Response) writeInformational(status int, header http.Header) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status != 0 {
		return upstream.ErrBodyStopped
	}
	return r.writeFields(fieldBlock{status: status, header: header, length: -1})
}

// WriteHeader implements proxy.ResponseWriter.
func (r *http2Response) WriteHeader(status int, header http.Header, length int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status
	r.header = header
	r.length = length
	return nil
}

// fieldBlock is the head or the trailer of a response.
type fieldBlock struct {
	status    int // 0: a trailer
	header    http.Header
	length    int64 // negative: no Content-Length is sent
	endStream bool
}

// writeHead sends the head of the response.
func (r *http2Response) writeHead(endStream bool) error {
	r.headSent = true
	return r.writeFields(fieldBlock{status: r.status, header: r.header, length: r.length, endStream: endStream})
}

// writeFields sends a head or a trailer.
func (r *http2Response) writeFields(block fieldBlock) error {
	s := r.stream
	c := s.conn
	return c.write(func() error {
		if s.isClosed() {
			return errStreamReset
		}
		c.encode(block)
		return c.writeHeaderBlock(s.id, block.endStream)
	})
}

// encode compresses the fields into headerBlock. The caller holds writeMu.
func (c *http2Conn) encode(block fieldBlock) {
	c.headerBlock.Reset()
	if block.status > 0 {
		c.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(block.status)})
	}
	for name, values := range block.header {
		name = strings.ToLower(name)
		for _, value := range values {
			c.encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
		}
	}
	if block.length >= 0 && block.status != http.StatusNoContent {
		c.encoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.FormatInt(block.length, 10)})
	}
}

// writeHeaderBlock writes headerBlock as a HEADERS frame and as many CONTINUATION frames as it needs. The caller holds
// writeMu.
func (c *http2Conn) writeHeaderBlock(id uint32, endStream bool) error {
	block := c.headerBlock.Bytes()
	n := min(len(block), maxFrame)
	err := c.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      id,
		BlockFragment: block[:n],
		EndStream:     endStream,
		EndHeaders:    n == len(block),
	})
	if err != nil {
		return err
	}
	for block = block[n:]; len(block) > 0; block = block[n:] {
		n = min(len(block), maxFrame)
		if err := c.framer.WriteContinuation(id, n == len(block), block[:n]); err != nil {
			return err
		}
	}
	return nil
}

// isClosed reports whether the stream was reset or its connection has ended, so that the response is no longer needed.
func (s *stream) isClosed() bool {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.reset || c.ended
}

// noBody reports whether the response has no body, regardless of its Content-Length.
func (r *http2Response) noBody() bool {
	return r.isHead || r.status == http.StatusNoContent || r.status == http.StatusNotModified
}

// Write implements proxy.ResponseWriter. It waits until the client's windows have allowed all of p.
func (r *http2Response) Write(p []byte) (written int, err error) {
	if r.noBody() {
		return len(p), nil
	}
	if !r.headSent {
		if err := r.writeHead(false); err != nil {
			return 0, err
		}
	}
	r.sent += int64(len(p))
	if r.length >= 0 && r.sent > r.length {
		return 0, errResponseTooLong
	}
	for written < len(p) {
		n, err := r.stream.reserveWindow(len(p) - written)
		if err != nil {
			return written, err
		}
		if err := r.writeData(p[written : written+n]); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// writeData sends a DATA frame.
func (r *http2Response) writeData(p []byte) error {
	c := r.stream.conn
	return c.write(func() error { return c.framer.WriteData(r.stream.id, false, p) })
}

// reserveWindow waits until the windows of the stream and the connection allow sending, and takes up to want bytes from
// them. It fails if the client does not open the windows within the stall timeout.
func (s *stream) reserveWindow(want int) (int, error) {
	c := s.conn
	var timer *time.Timer
	for {
		n, changed, err := s.takeWindow(want)
		if n > 0 || err != nil {
			return n, err
		}
		if timer == nil {
			timer = time.NewTimer(c.server.limits.StallTimeout)
			defer timer.Stop()
		}
		if err := s.waitForClient(changed, timer); err != nil {
			return 0, err
		}
	}
}

// waitForClient waits until the channel reports a change by the client. It fails if the timer, which runs for the stall
// timeout, expires first or the request is canceled.
func (s *stream) waitForClient(changed <-chan struct{}, timer *time.Timer) error {
	select {
	case <-changed:
		return nil
	case <-timer.C:
		s.conn.server.Counters.Stalls.Add(1)
		return errClientStalls
	case <-s.cancel.Done():
		return errConnEnded
	}
}

// takeWindow takes up to want bytes from the windows of the stream and the connection. If they allow none, it returns 0 and
// a channel that is closed when a window may have changed.
func (s *stream) takeWindow(want int) (n int, changed <-chan struct{}, err error) {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.reset {
		return 0, nil, errStreamReset
	}
	allowed := min(int64(want), int64(c.maxSendFrame), s.sendWindow, c.sendWindow)
	if allowed <= 0 {
		return 0, c.changed, nil
	}
	s.sendWindow -= allowed
	c.sendWindow -= allowed
	return int(allowed), nil, nil
}

// Finish implements proxy.ResponseWriter.
func (r *http2Response) Finish(trailer http.Header) error {
	if r.length >= 0 && r.sent < r.length && !r.noBody() {
		return errResponseTooShort
	}
	s := r.stream
	s.conn.mu.Lock()
	s.conn.finishResponse(s)
	s.conn.mu.Unlock()
	hasTrailer := len(trailer) > 0
	if !r.headSent {
		if err := r.writeHead(!hasTrailer); err != nil || !hasTrailer {
			return err
		}
	}
	if hasTrailer {
		return r.writeFields(fieldBlock{header: trailer, length: -1, endStream: true})
	}
	return r.endData()
}

// endData ends a body that has no trailer.
func (r *http2Response) endData() error {
	s := r.stream
	c := s.conn
	return c.write(func() error {
		if s.isClosed() {
			return errStreamReset
		}
		return c.framer.WriteData(s.id, true, nil)
	})
}

// Abort implements proxy.ResponseWriter. It does nothing, because finishStream resets a stream with an incomplete response.
func (r *http2Response) Abort() {}
