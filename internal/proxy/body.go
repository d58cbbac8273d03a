package proxy

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"lilacbend/internal/upstream"
)

const (
	// maxReplay is the maximum size, in bytes, of a request body that is buffered before the first attempt. A slow client
	// then does not occupy a replica, and the body can be sent again. Longer bodies are streamed.
	maxReplay = 16 << 10
	// bufferSize is the size of a buffer for such a request body, or for a part of a response body, in bytes.
	bufferSize = maxReplay
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferSize)
	return &buffer
}}

// readBody buffers a short body. A body that is longer or of unknown length, or for which the client expects a 100
// Continue, is streamed.
func (t *transaction) readBody() error {
	if t.Body == nil || t.Length == 0 {
		t.Body = nil
		t.Length = 0
		return nil
	}
	if t.Length < 0 || t.Length > maxReplay || t.ExpectContinue {
		t.streamed.request = t.Request
		return nil
	}
	t.buffer = buffers.Get().(*[]byte)
	_, err := io.ReadFull(t.Body, (*t.buffer)[:t.Length])
	return err
}

// replayReader reads a buffered body.
type replayReader struct{ remaining []byte }

// Read reads the next part of the body.
func (r *replayReader) Read(p []byte) (int, error) {
	if len(r.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.remaining)
	r.remaining = r.remaining[n:]
	return n, nil
}

// streamedBody reads a body that is not buffered. It is read concurrently with waiting for the response, so the next step
// of the request could be chosen during a read. Therefore the body is stopped before any such decision: from then on it is
// either unread, and can still be sent, or consumed.
type streamedBody struct {
	request *Request

	mu       sync.Mutex
	consumed bool // the first read has begun
	stopped  bool // until the next attempt
}

// Read reads the next part of the body. Before the first part it sends a 100 Continue if the client expects one.
func (b *streamedBody) Read(p []byte) (int, error) {
	first, err := b.beginRead()
	if err != nil {
		return 0, err
	}
	if first && b.request.ExpectContinue {
		if err := b.request.Continue(); err != nil {
			return 0, fmt.Errorf("requesting the body with 100 Continue: %w", err)
		}
	}
	n, err := b.request.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && b.isStopped() {
		err = upstream.ErrBodyStopped
	}
	return n, err
}

// beginRead marks the body as consumed, unless it is stopped. It reports whether this is the first read.
func (b *streamedBody) beginRead() (first bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false, upstream.ErrBodyStopped
	}
	first = !b.consumed
	b.consumed = true
	return first, nil
}

// Stop makes all reads fail, including one that is waiting. It may be called concurrently with Read.
func (b *streamedBody) Stop() {
	b.mu.Lock()
	mayBeReading := b.consumed && !b.stopped
	b.stopped = true
	b.mu.Unlock()
	if mayBeReading {
		b.request.StopBody()
	}
}

// resume lets the next attempt read the body. It must not be called while the body is being read.
func (b *streamedBody) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = false
}

// isConsumed reports whether the first read of the body has begun. After Stop the result does not change until resume.
func (b *streamedBody) isConsumed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consumed
}

func (b *streamedBody) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}
