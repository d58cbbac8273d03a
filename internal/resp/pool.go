// Package resp reads and writes RESP2 arrays of bulk strings over pooled buffers of one size; a long message
// spans several of them.
package resp

import (
	"errors"
	"sync"
)

const (
	// BufferSize holds any usual message whole: a push of a table of a hundred replicas, a report.
	BufferSize = 4 << 10
	// Largest is the most bytes a message may hold.
	Largest = 1 << 20
	// So many free buffers are kept for the next reader or writer. More came with a crowd that has gone, and
	// what it took goes back to the runtime.
	freeMost = 64
)

// ErrNoBuffer: all buffers are in use by long messages.
var ErrNoBuffer = errors.New("no buffer is left")

type buffer [BufferSize]byte

// Pool lends buffers: to each reader and writer what a short message takes, always, as connections are counted
// elsewhere, and for long messages up to a number for all together.
type Pool struct {
	mu   sync.Mutex
	free []*buffer
	lent int
	most int
}

// NewPool makes a pool of most bytes.
func NewPool(most int) *Pool { return &Pool{most: most / BufferSize} }

func (p *Pool) take(short bool) (*buffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !short && p.lent >= p.most {
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
	if p.lent--; len(p.free) < freeMost {
		p.free = append(p.free, b)
	}
}

// Lent is how many buffers are in use.
func (p *Pool) Lent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent
}
