// Package resp reads and writes RESP2 arrays of bulk strings over pooled buffers of one size; a long message
// spans several of them.
package resp

import (
	"errors"
	"sync"
)

const (
	// BufferSize is in bytes. It holds any usual message completely: an update with a table of a hundred replicas, a load report.
	BufferSize = 4 << 10
	// Largest is the most bytes a message may hold.
	Largest = 1 << 20
	// maxFree bounds the free buffers that are kept for the next reader or writer. More were needed by a reconnect storm, and
	// their memory goes back to the runtime.
	maxFree = 64
)

// ErrNoBuffer says that all buffers are in use by long messages.
var ErrNoBuffer = errors.New("no buffer is left")

type buffer [BufferSize]byte

// Pool lends buffers. What a short message takes it lends to each reader and writer, always, as connections are bounded
// elsewhere; for long messages it lends up to a number for all together.
type Pool struct {
	mu   sync.Mutex
	free []*buffer
	lent int
	max  int // lent for long messages
}

// NewPool returns a pool of so many bytes.
func NewPool(bytes int) *Pool { return &Pool{max: bytes / BufferSize} }

func (p *Pool) take(short bool) (*buffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !short && p.lent >= p.max {
		return nil, ErrNoBuffer
	}
	p.lent++
	if last := len(p.free) - 1; last >= 0 {
		b := p.free[last]
		p.free = p.free[:last]
		return b, nil
	}
	return new(buffer), nil
}

func (p *Pool) give(b *buffer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent--
	if len(p.free) < maxFree {
		p.free = append(p.free, b)
	}
}

// Lent returns how many buffers are in use.
func (p *Pool) Lent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent
}
