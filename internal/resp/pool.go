// Package resp reads and writes messages that are RESP2 arrays of bulk strings. Its buffers are pooled and all of one size;
// a long message spans several buffers.
package resp

import (
	"errors"
	"sync"
)

const (
	// BufferSize is the size of a buffer in bytes. A usual message fits one buffer: an update with a table of a hundred
	// replicas, a load report.
	BufferSize = 4 << 10
	// MaxMessageSize is the largest size of a message in bytes.
	MaxMessageSize = 1 << 20
	// maxFreeBuffers limits the free buffers that a pool keeps for later readers and writers. A reconnect storm needs
	// more buffers, whose memory is returned to the runtime afterwards.
	maxFreeBuffers = 64
)

// ErrNoBuffer reports that a long message needs another buffer and the pool's limit of buffers for long messages is reached.
var ErrNoBuffer = errors.New("no buffer is left")

type buffer [BufferSize]byte

// Pool hands out buffers. Buffers for short messages are always available to each reader and writer, as the number of
// connections is limited elsewhere. For long messages a buffer is available only while fewer than maxInUse buffers are in
// use.
type Pool struct {
	mu       sync.Mutex
	free     []*buffer
	inUse    int
	maxInUse int // long messages get no more buffers while inUse is at least maxInUse
}

// NewPool returns a pool that stops handing out buffers for long messages once the given number of bytes is in use.
func NewPool(bytes int) *Pool { return &Pool{maxInUse: bytes / BufferSize} }

func (p *Pool) get(short bool) (*buffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !short && p.inUse >= p.maxInUse {
		return nil, ErrNoBuffer
	}
	p.inUse++
	if last := len(p.free) - 1; last >= 0 {
		b := p.free[last]
		p.free = p.free[:last]
		return b, nil
	}
	return new(buffer), nil
}

func (p *Pool) put(b *buffer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	if len(p.free) < maxFreeBuffers {
		p.free = append(p.free, b)
	}
}

// InUse returns the number of buffers in use.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse
}
