package ingress

import "sync"

// chunkSize is the size of a chunk of a chunkBuffer, in bytes.
const chunkSize = 4 << 10

type chunk [chunkSize]byte

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// chunkBuffer holds bytes in pooled chunks of one size, so that it takes hardly more memory than its content. The zero value
// is empty.
type chunkBuffer struct {
	chunks []*chunk
	start  int // position of the first byte in the first chunk
	length int // bytes
}

// Len returns the number of bytes in the buffer.
func (b *chunkBuffer) Len() int { return b.length }

// memory returns the memory of the buffer in bytes.
func (b *chunkBuffer) memory() int64 { return int64(len(b.chunks) * chunkSize) }

// growth returns how much memory more the buffer needs for n further bytes, in bytes.
func (b *chunkBuffer) growth(n int) int64 {
	needed := (b.start + b.length + n + chunkSize - 1) / chunkSize
	return int64((needed - len(b.chunks)) * chunkSize)
}

// write appends bytes.
func (b *chunkBuffer) write(p []byte) {
	for len(p) > 0 {
		end := b.start + b.length
		if end == len(b.chunks)*chunkSize {
			b.chunks = append(b.chunks, chunks.Get().(*chunk))
		}
		n := copy(b.chunks[end/chunkSize][end%chunkSize:], p)
		p = p[n:]
		b.length += n
	}
}

// read removes bytes from the beginning, as many as there are and as fit into p, and returns their number.
func (b *chunkBuffer) read(p []byte) (n int) {
	for n < len(p) && b.length > 0 {
		end := min(chunkSize, b.start+b.length)
		copied := copy(p[n:], b.chunks[0][b.start:end])
		n += copied
		b.start += copied
		b.length -= copied
		if b.start == chunkSize || b.length == 0 {
			b.dropFirst()
		}
	}
	return n
}

func (b *chunkBuffer) dropFirst() {
	chunks.Put(b.chunks[0])
	b.chunks = b.chunks[1:]
	b.start = 0
}

// clear empties the buffer.
func (b *chunkBuffer) clear() {
	for _, c := range b.chunks {
		chunks.Put(c)
	}
	*b = chunkBuffer{}
}
