package ingress

import (
	"io"
	"time"

	"golang.org/x/net/http2"

	"lilacbend/internal/upstream"
)

// handleData handles a DATA frame, which is a part of a request body.
func (c *http2Conn) handleData(f *http2.DataFrame) error {
	size := int64(f.Length) // including padding, which counts against the windows
	if size < tinyFrame && !f.StreamEnded() {
		c.charge(controlFrame)
	}
	c.mu.Lock()
	s := c.streams[f.StreamID]
	if s == nil {
		unopened := f.StreamID > c.lastStream
		c.addWindowToReturn(size)
		c.mu.Unlock()
		if unopened {
			return errProtocol
		}
		c.returnWindow(nil, 0)
		return nil
	}
	if code := s.receive(f, size); code != http2.ErrCodeNo {
		c.addWindowToReturn(size) // discarded bytes are returned to the window of the connection as well
		c.mu.Unlock()
		c.resetStream(f.StreamID, code)
		return nil
	}
	padding := size - int64(len(f.Data()))
	c.addWindowToReturn(padding)
	s.signalReceived()
	c.mu.Unlock()
	if padding > 0 {
		c.returnWindow(s, padding)
	}
	return nil
}

// receive buffers a part of the body until it is read. If the client was not allowed to send that part, it returns the
// error code with which the stream must be reset. The caller holds s.conn.mu.
func (s *stream) receive(f *http2.DataFrame, size int64) http2.ErrCode {
	data := f.Data()
	s.receivedLength += int64(len(data))
	switch {
	case s.bodyComplete:
		return http2.ErrCodeStreamClosed
	case int64(s.received.Len())+size > streamWindow:
		return http2.ErrCodeFlowControl
	case s.hasWrongLength(f.StreamEnded()):
		s.err = errBodyLength // set before the stream is reset, so that the request fails with this error
		s.reset = true
		return http2.ErrCodeProtocol
	}
	if !s.buffer(data) {
		s.conn.server.Counters.MemoryRefused.Add(1)
		s.err = errRequestMemory // set before the stream is reset, as above
		s.reset = true
		return http2.ErrCodeEnhanceYourCalm
	}
	s.bodyComplete = f.StreamEnded()
	return http2.ErrCodeNo
}

// buffer keeps a part of the body until it is read. It returns false if there is no memory for it. The caller holds
// s.conn.mu.
func (s *stream) buffer(data []byte) bool {
	if !s.conn.memory.take(s.received.growth(len(data))) {
		return false
	}
	s.received.write(data)
	return true
}

// hasWrongLength reports whether the body received so far contradicts the content-length: it is longer, or it is
// complete and shorter.
func (s *stream) hasWrongLength(complete bool) bool {
	if s.length < 0 {
		return false
	}
	return s.receivedLength > s.length || complete && s.receivedLength < s.length
}

// http2Body reads the body of a stream.
type http2Body stream

// Read reads bytes that were received, or waits until there are some. It fails once the client has closed the connection.
func (b *http2Body) Read(p []byte) (int, error) {
	s := (*stream)(b)
	c := s.conn
	if c.clientLeft() {
		return 0, errConnEnded
	}
	timer := time.NewTimer(c.server.limits.StallTimeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		n, err := s.readReceived(p)
		changed := s.receivedMore
		c.mu.Unlock()
		if n > 0 {
			c.returnWindow(s, int64(n))
		}
		if n > 0 || err != nil {
			return n, err
		}
		if err := s.waitForClient(changed, timer); err != nil {
			return 0, err
		}
	}
}

// readReceived reads bytes that were received. It returns 0 and no error if the reader has to wait for more. The
// caller holds s.conn.mu.
func (s *stream) readReceived(p []byte) (int, error) {
	switch {
	case s.err != nil:
		return 0, s.err
	case s.bodyStopped:
		return 0, upstream.ErrBodyStopped
	case s.received.Len() > 0:
		before := s.received.memory()
		n := s.received.read(p)
		s.conn.memory.release(before - s.received.memory())
		s.conn.addWindowToReturn(int64(n))
		return n, nil
	case s.bodyComplete:
		return 0, io.EOF
	}
	return 0, nil
}

// stopBody makes all reads of the body fail, including one that is waiting.
func (s *stream) stopBody() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.bodyStopped = true
	s.signalReceived()
}

// signalReceived wakes the reader of the body. The caller holds s.conn.mu.
func (s *stream) signalReceived() {
	close(s.receivedMore)
	s.receivedMore = make(chan struct{})
}
