package ingress

import (
	"sync/atomic"

	"golang.org/x/net/http2"
)

const (
	// maxFields bounds the header fields of a request: a field of a few bytes takes many times as much memory once it is
	// parsed.
	maxFields = 256
	// fieldMemory is the memory that a parsed header field takes besides its name and value, in bytes.
	fieldMemory = 128
	// requestMemory is the memory that a request takes besides its header fields, in bytes: the stacks of its goroutines, and
	// the buffer of a short body.
	requestMemory = 32 << 10
	// reservedMemory is the memory that each HTTP/2 connection may use for its requests at any time, in bytes: a usual request
	// and a part of its body. More of it depends on what the other connections use.
	reservedMemory = 64 << 10
)

// memoryLimit bounds the memory of all HTTP/2 requests that a server holds beyond what is reserved for their connections.
type memoryLimit struct {
	limit int64 // bytes
	inUse atomic.Int64
}

// take takes bytes, and reports whether the limit allows them.
func (l *memoryLimit) take(bytes int64) bool {
	if l.inUse.Add(bytes) <= l.limit {
		return true
	}
	l.inUse.Add(-bytes)
	return false
}

// connMemory is the memory of the requests of one connection, and of what was received of their bodies. It is not safe for
// concurrent use.
type connMemory struct {
	shared *memoryLimit
	held   int64 // bytes
}

// take takes bytes for a request, first from what is reserved for the connection. It returns false, and takes none, if the
// server holds too much already.
func (m *connMemory) take(bytes int64) bool {
	if !m.shared.take(excess(m.held+bytes) - excess(m.held)) {
		return false
	}
	m.held += bytes
	return true
}

// release returns bytes that take has taken.
func (m *connMemory) release(bytes int64) {
	m.shared.inUse.Add(excess(m.held-bytes) - excess(m.held))
	m.held -= bytes
}

// excess returns how many of the bytes that a connection holds exceed its reserve.
func excess(held int64) int64 { return max(0, held-reservedMemory) }

// headMemory returns the memory that the fields of an HTTP/2 head or trailer take, in bytes.
func headMemory(f *http2.MetaHeadersFrame) int64 {
	bytes := 0
	for _, field := range f.Fields {
		bytes += len(field.Name) + len(field.Value) + fieldMemory
	}
	return int64(bytes)
}
