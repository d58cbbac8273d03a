package ingress

import (
	"io"
	"time"

	"golang.org/x/net/http2"

	"lilacbend/internal/upstream"
)

// handleData takes in a part of a body.
func (c *http2Conn) handleData(f *http2.DataFrame) error {
	size := int64(f.Length) // with padding, which counts against the windows
	if size < tinyFrame && !f.StreamEnded() {
		if err := c.budget.spend(frameCost); err != nil {
			return err
		}
	}
	c.mu.Lock()
	s := c.streams[f.StreamID]
	if s == nil {
		unopened := f.StreamID > c.lastStream
		c.noteRead(size)
		c.mu.Unlock()
		if unopened {
			return errProtocol
		}
		c.returnWindow(nil, 0)
		return nil
	}
	if code := s.receive(f, size); code != http2.ErrCodeNo {
		c.noteRead(size) // what is thrown away returns to the window of the connection all the same
		c.mu.Unlock()
		c.resetStream(f.StreamID, code)
		return nil
	}
	padding := size - int64(len(f.Data()))
	c.noteRead(padding)
	s.signalReceived()
	c.mu.Unlock()
	if padding > 0 {
		c.returnWindow(s, padding)
	}
	return nil
}

// receive keeps a part of the body until it is read. It returns the code by which the stream is to be reset if the
// client may not send that. The connection is locked.
func (s *stream) receive(f *http2.DataFrame, size int64) http2.ErrCode {
	data := f.Data()
	s.receivedLength += int64(len(data))
	switch {
	case s.bodyComplete:
		return http2.ErrCodeStreamClosed
	case int64(s.received.Len())+size > streamWindow:
		return http2.ErrCodeFlowControl
	case s.hasWrongLength(f.StreamEnded()):
		s.err = errBodyLength // known at once, as the request ends with it
		s.reset = true
		return http2.ErrCodeProtocol
	}
	s.received.Write(data)
	s.bodyComplete = f.StreamEnded()
	return http2.ErrCodeNo
}

// hasWrongLength reports whether what has come differs from the length that the head gave.
func (s *stream) hasWrongLength(complete bool) bool {
	if s.length < 0 {
		return false
	}
	return s.receivedLength > s.length || complete && s.receivedLength < s.length
}

// http2Body reads the body of a stream.
type http2Body stream

// Read reads what has come, or waits for it.
func (b *http2Body) Read(p []byte) (int, error) {
	s := (*stream)(b)
	c := s.conn
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

// readReceived reads what has come; 0 and no error: it has to wait. The connection is locked.
func (s *stream) readReceived(p []byte) (int, error) {
	switch {
	case s.err != nil:
		return 0, s.err
	case s.bodyStopped:
		return 0, upstream.ErrBodyStopped
	case s.received.Len() > 0:
		n, _ := s.received.Read(p)
		s.conn.noteRead(int64(n))
		return n, nil
	case s.bodyComplete:
		return 0, io.EOF
	}
	return 0, nil
}

// stopBody makes reads of the body fail, also one that is waiting.
func (s *stream) stopBody() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.bodyStopped = true
	s.signalReceived()
}

// signalReceived wakes the reader of the body. The connection is locked.
func (s *stream) signalReceived() {
	close(s.receivedMore)
	s.receivedMore = make(chan struct{})
}
