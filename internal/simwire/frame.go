// Package simwire reads and writes the simulator's frames: little-endian records without padding. It decodes events of the
// simulator and encodes commands of the decision module. It makes no decisions itself.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"lilacbend/control"
)

// Sizes in bytes.
const (
	batchHeaderSize  = 16
	replyHeaderSize  = 4
	recordHeaderSize = 6
	maxFrameSize     = 1 << 30
	// instanceSize is the size of the first field of each record, which is the number of the instance that the record is
	// for.
	instanceSize = 4
)

// Positions in the header of a batch. The header begins with the clock.
const (
	batchSizeOffset  = 8
	batchCountOffset = 12
)

// recordSizeOffset is the position of the fields' size in the header of a record. The header begins with the code.
const recordSizeOffset = 2

var errInvalidClock = errors.New("frame's clock is not a finite number")

// Batch is all events of one clock time.
type Batch struct {
	Now     int64 // nanoseconds
	Records []Record
}

// Record is one event and the number of the instance that it is for.
type Record struct {
	Instance uint32
	Event    Event
}

// ReadBatch reads one frame. It returns io.EOF if the input ends between frames.
func ReadBatch(input io.Reader) (Batch, error) {
	var header [batchHeaderSize]byte
	n, err := io.ReadFull(input, header[:])
	if errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, fmt.Errorf("frame header cut off after %d of %d bytes", n, batchHeaderSize)
	}
	size := binary.LittleEndian.Uint32(header[batchSizeOffset:])
	count := binary.LittleEndian.Uint32(header[batchCountOffset:])
	if size < batchHeaderSize || size > maxFrameSize {
		return Batch{}, fmt.Errorf("frame length %d is not between 16 bytes and 1 GiB", size)
	}
	if uint64(count)*recordHeaderSize > uint64(size-batchHeaderSize) {
		return Batch{}, fmt.Errorf("record count %d does not fit a frame of %d bytes", count, size)
	}
	body, err := io.ReadAll(io.LimitReader(input, int64(size-batchHeaderSize)))
	if err != nil {
		return Batch{}, fmt.Errorf("reading a frame of %d bytes: %w", size, err)
	}
	if len(body) != int(size-batchHeaderSize) {
		return Batch{}, fmt.Errorf("frame cut off after %d of %d bytes", len(body)+batchHeaderSize, size)
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(header[:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, errInvalidClock
	}
	return decodeBatch(control.MillisToNanos(clock), body, int(count))
}

// decodeBatch decodes the records of a frame. It skips records of unknown codes and records that no instance needs.
func decodeBatch(now int64, body []byte, count int) (Batch, error) {
	batch := Batch{Now: now}
	offset := 0
	for k := range count {
		position := offset + batchHeaderSize
		if len(body)-offset < recordHeaderSize {
			return batch, fmt.Errorf("record %d at byte %d: header cut off", k, position)
		}
		code := binary.LittleEndian.Uint16(body[offset:])
		size := int(binary.LittleEndian.Uint32(body[offset+recordSizeOffset:]))
		offset += recordHeaderSize
		if size < 0 || size > len(body)-offset {
			return batch, fmt.Errorf("record %d (code %d) at byte %d: length %d passes the frame's end", k, code, position, size)
		}
		fields := body[offset : offset+size]
		offset += size
		record, err := decodeRecord(code, fields)
		if err != nil {
			return batch, fmt.Errorf("record %d (code %d) at byte %d%s: %w", k, code, position, describeInstance(fields), err)
		}
		if record.Event != nil {
			batch.Records = append(batch.Records, record)
		}
	}
	if offset != len(body) {
		return batch, fmt.Errorf("%d bytes are left over after %d records", len(body)-offset, count)
	}
	return batch, nil
}

// describeInstance returns the part of an error text that names the instance of a record. It returns an empty string if the
// record is too short to contain the number of its instance.
func describeInstance(fields []byte) string {
	if len(fields) < instanceSize {
		return ""
	}
	return fmt.Sprintf(" for instance %d", binary.LittleEndian.Uint32(fields))
}
