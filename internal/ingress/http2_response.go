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

// http2Response writes the answer to a stream. The head waits for the first part of the body, so that an answer without
// one is a single frame.
type http2Response struct {
	stream *stream
	head   bool       // the answer is to a HEAD request
	mu     sync.Mutex // guards the head: the body may be asked for while the answer begins
	status int        // 0: no answer yet
	header http.Header
	length int64 // negative: unknown
	sent   int64 // of the body
	begun  bool  // the head has been sent
}

// WriteInformational implements proxy.ResponseWriter.
func (r *http2Response) WriteInformational(status int, header http.Header) {
	r.informational(status, proxy.RemoveHopByHop(header))
}

// askForBody asks the client for its body, unless the answer has begun.
func (r *http2Response) askForBody() error { return r.informational(http.StatusContinue, nil) }

func (r *http2Response) informational(status int, header http.Header) error {
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

// fieldBlock is a head or a trailer.
type fieldBlock struct {
	status    int // 0: a trailer
	header    http.Header
	length    int64 // negative: none is given
	endStream bool
}

// writeHead sends the head of the answer.
func (r *http2Response) writeHead(endStream bool) error {
	r.begun = true
	return r.writeFields(fieldBlock{status: r.status, header: r.header, length: r.length, endStream: endStream})
}

// writeFields sends a head or a trailer.
func (r *http2Response) writeFields(block fieldBlock) error {
	s := r.stream
	c := s.conn
	return c.write(func() error {
		if s.isOver() {
			return errStreamReset
		}
		c.encode(block)
		return c.writeHeaderBlock(s.id, block.endStream)
	})
}

// encode compresses fields into the header block. The caller holds writeMu.
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

// writeHeaderBlock writes the header block in as many frames as it needs. The caller holds writeMu.
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

// isOver reports whether nobody waits for the answer any more.
func (s *stream) isOver() bool {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.reset || c.ended
}

// noBody reports whether the answer has no body, whatever its length says.
func (r *http2Response) noBody() bool {
	return r.head || r.status == http.StatusNoContent || r.status == http.StatusNotModified
}

// Write implements proxy.ResponseWriter. It waits until the windows of the client allow all of it.
func (r *http2Response) Write(p []byte) (written int, err error) {
	if r.noBody() {
		return len(p), nil
	}
	if !r.begun {
		if err := r.writeHead(false); err != nil {
			return 0, err
		}
	}
	r.sent += int64(len(p))
	if r.length >= 0 && r.sent > r.length {
		return 0, errAnswerTooLong
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

// writeData sends a data frame.
func (r *http2Response) writeData(p []byte) error {
	c := r.stream.conn
	return c.write(func() error { return c.framer.WriteData(r.stream.id, false, p) })
}

// reserveWindow waits until the windows of the stream and the connection allow something to be sent, and takes up to the
// wanted size of them. The client has the stall timeout to open them.
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

// waitForClient waits until something has changed on the stream. It fails once the client has stalled for the time of the timer, and
// where its request is cancelled.
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

// takeWindow takes what both windows allow; 0: nothing, and the channel is closed when that may have changed.
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
		return errAnswerTooShort
	}
	s := r.stream
	s.conn.mu.Lock()
	s.conn.finishResponse(s)
	s.conn.mu.Unlock()
	hasTrailer := len(trailer) > 0
	if !r.begun {
		if err := r.writeHead(!hasTrailer); err != nil || !hasTrailer {
			return err
		}
	}
	if hasTrailer {
		return r.writeFields(fieldBlock{header: trailer, length: -1, endStream: true})
	}
	return r.endData()
}

// endData ends a body without a trailer.
func (r *http2Response) endData() error {
	s := r.stream
	c := s.conn
	return c.write(func() error {
		if s.isOver() {
			return errStreamReset
		}
		return c.framer.WriteData(s.id, true, nil)
	})
}

// Abort implements proxy.ResponseWriter. It leaves the stream to finishStream, which resets it.
func (r *http2Response) Abort() {}
