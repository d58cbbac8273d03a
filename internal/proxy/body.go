package proxy

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"lilacbend/internal/upstream"
)

const (
	// maxReplay is the longest body, in bytes, that is read completely before it is sent. A slow client then occupies no
	// replica, and the body can be sent again. Longer ones are streamed.
	maxReplay = 16 << 10
	// bufferSize is the size of a buffer that holds such a body, or a part of an answer, in bytes.
	bufferSize = maxReplay
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferSize)
	return &buffer
}}

// readBody reads a short body completely. One that is longer, of unknown length, or has to be asked for, is streamed.
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

// replayReader reads a body that is held.
type replayReader struct{ remaining []byte }

// Read reads the next part.
func (r *replayReader) Read(p []byte) (int, error) {
	if len(r.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.remaining)
	r.remaining = r.remaining[n:]
	return n, nil
}

// streamedBody reads a body that is not held. It is read while the response is awaited, so a decision about the request
// could be made at the moment of a read. Therefore the body is stopped before any decision: from then on it is either
// untouched, and can still be sent, or consumed.
type streamedBody struct {
	request *Request

	mu       sync.Mutex
	consumed bool // the first read has begun
	stopped  bool // until the next attempt
}

// Read reads the next part, after asking the client for its body if it waits for that.
func (b *streamedBody) Read(p []byte) (int, error) {
	first, err := b.beginRead()
	if err != nil {
		return 0, err
	}
	if first && b.request.ExpectContinue {
		if err := b.request.Continue(); err != nil {
			return 0, fmt.Errorf("asking for the body: %w", err)
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

// Stop makes all reads fail, also one that is waiting. It may be called while the body is read.
func (b *streamedBody) Stop() {
	b.mu.Lock()
	mayBeReading := b.consumed && !b.stopped
	b.stopped = true
	b.mu.Unlock()
	if mayBeReading {
		b.request.StopBody()
	}
}

// resume lets the next attempt read a body. Nobody reads it now.
func (b *streamedBody) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = false
}

// isConsumed reports whether a part of the body has been read. After Stop the answer does not change.
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
