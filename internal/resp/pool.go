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

// ErrNoBuffer reports that a long message needs more memory and the pool's limit for long messages is reached.
var ErrNoBuffer = errors.New("no buffer is left")

type buffer [BufferSize]byte

// Pool hands out buffers, and bounds the memory of long messages: their buffers, and their words, which a reader holds until
// the message is complete and used. Memory for short messages is always available to each reader and writer, as the number of
// connections is limited elsewhere. Long messages get more only while less than maxInUse is in use.
type Pool struct {
	mu       sync.Mutex
	free     []*buffer
	inUse    int // buffers
	words    int // memory that words hold beyond the free allowance of their reader, in units of BufferSize
	maxInUse int // long messages get no more memory while inUse and words together are at least maxInUse
}

// NewPool returns a pool that hands out no more memory for long messages once the given number of bytes is in use.
func NewPool(bytes int) *Pool { return &Pool{maxInUse: bytes / BufferSize} }

func (p *Pool) get(short bool) (*buffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !short && p.exhausted() {
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

// exhausted reports whether long messages get no more memory. The caller holds mu.
func (p *Pool) exhausted() bool { return p.inUse+p.words >= p.maxInUse }

// reserveWords reserves one more unit of memory for the words of a long message.
func (p *Pool) reserveWords() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exhausted() {
		return ErrNoBuffer
	}
	p.words++
	return nil
}

// releaseWords releases units that reserveWords has reserved.
func (p *Pool) releaseWords(units int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.words -= units
}

// InUse returns the number of buffers in use, and of units of the same size that words hold.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse + p.words
}
