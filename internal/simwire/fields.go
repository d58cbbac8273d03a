package simwire

import (
	"encoding/binary"
	"math"

	"lilacbend/control"
)

// fieldReader reads fields one after another. Callers must check that enough bytes are left before they read a field.
type fieldReader struct{ rest []byte }

func (r *fieldReader) next(size int) []byte {
	field := r.rest[:size]
	r.rest = r.rest[size:]
	return field
}

func (r *fieldReader) uint8() uint8   { return r.next(1)[0] }
func (r *fieldReader) uint16() uint16 { return binary.LittleEndian.Uint16(r.next(2)) }
func (r *fieldReader) uint32() uint32 { return binary.LittleEndian.Uint32(r.next(4)) }
func (r *fieldReader) uint64() uint64 { return binary.LittleEndian.Uint64(r.next(8)) }

// float32 reads a number of single precision. The result is always finite.
func (r *fieldReader) float32() float64 {
	return control.FiniteOrZero(float64(math.Float32frombits(r.uint32())))
}

// milliseconds reads a time in milliseconds and returns nanoseconds.
func (r *fieldReader) milliseconds() int64 {
	return control.MillisToNanos(math.Float64frombits(r.uint64()))
}
