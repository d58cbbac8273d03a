package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
)

// Layout of a file's header, which is the same in all formats; numbers are big-endian. The header has its own checksum, so
// that a corrupted format number is never mistaken for a newer format. The body follows the header, in CBOR.
const (
	magic                = "LILACST\n" // bytes 0 to 7
	formatOffset         = 8
	lengthOffset         = 12 // the body's length, in bytes
	generationOffset     = 16
	bodyChecksumOffset   = 24 // xxhash64 of the body
	headerChecksumOffset = 32 // xxhash64 of all bytes before it
	headerSize           = 40
)

const (
	// CurrentFormat is the format that is written. Formats from oldestFormat to CurrentFormat can be read.
	CurrentFormat = 2
	oldestFormat  = 1
)

// maxFileSize is the maximum size of a generation's file, in bytes. It is above the file size of the largest known
// installation, so that a larger file was not written by a controller. Decoding takes several times the file's size in
// memory, and a controller may have only 32 MiB in total.
const maxFileSize = 2 << 20

// Reasons to refuse a file.
var (
	// ErrDamaged means that a file is truncated or that its content has changed since it was written.
	ErrDamaged = errors.New("damaged")
	// ErrNewer means that a newer version of the program wrote the file, in a format that this one cannot read.
	ErrNewer = errors.New("unsupported newer format")
	// ErrNotSnapshot means that a file is not a snapshot, or not the generation in its name.
	ErrNotSnapshot = errors.New("not a controller's state")
	// ErrTooLarge means that a file exceeds the size limit of its kind.
	ErrTooLarge = filewriter.ErrTooLarge
)

var (
	cborEncoder = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16}.EncMode())
	// The decoder's limits are slightly above those of a state, so that a crafted length in a body causes no large
	// allocation.
	cborDecoder = must(cbor.DecOptions{
		MaxArrayElements: 2 * learnedstate.MaxReplicas,
		MaxMapPairs:      4 * learnedstate.MaxReplicas,
		MaxNestedLevels:  8,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // cannot happen, since the options are constants
	}
	return v
}

// Encode returns the content of a generation's file: the encoded state, with the generation's number in the header.
func Encode(state learnedstate.State, generation uint64) ([]byte, error) {
	return encodeFile(newBody2(state), CurrentFormat, generation)
}

// encodeFile returns the encoded body with a header before it.
func encodeFile(body any, format uint32, generation uint64) ([]byte, error) {
	encodedBody, err := cborEncoder.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding generation %d: %w", generation, err)
	}
	if len(encodedBody)+headerSize > maxFileSize {
		return nil, fmt.Errorf("encoding generation %d: body of %d bytes exceeds %d bytes: %w",
			generation, len(encodedBody), maxFileSize-headerSize, ErrTooLarge)
	}
	file := make([]byte, 0, headerSize+len(encodedBody))
	file = append(file, magic...)
	file = binary.BigEndian.AppendUint32(file, format)
	file = binary.BigEndian.AppendUint32(file, uint32(len(encodedBody)))
	file = binary.BigEndian.AppendUint64(file, generation)
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(encodedBody))
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(file))
	return append(file, encodedBody...), nil
}

// Decode decodes the content of a generation's file. The result has no Name. The error is an ErrNotSnapshot, ErrDamaged,
// ErrNewer or ErrTooLarge.
func Decode(file []byte) (Generation, error) {
	parsed, err := parseFile(file)
	if err != nil {
		return Generation{}, err
	}
	state, err := decodeBody(parsed)
	if err != nil {
		return Generation{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return Generation{Number: parsed.generation, Format: parsed.format, Size: len(file), State: state}, nil
}

// container is a file with its header decoded and its body still encoded.
type container struct {
	format       int
	generation   uint64
	length       int // length of the body, in bytes, according to the header
	bodyChecksum uint64
	body         []byte
}

// parseFile decodes the header and checks the checksums, the body's length and that the format is supported. It does not
// decode the body.
func parseFile(file []byte) (container, error) {
	if err := checkHeader(file); err != nil {
		return container{}, err
	}
	parsed := container{
		format:       int(binary.BigEndian.Uint32(file[formatOffset:])),
		length:       int(binary.BigEndian.Uint32(file[lengthOffset:])),
		generation:   binary.BigEndian.Uint64(file[generationOffset:]),
		bodyChecksum: binary.BigEndian.Uint64(file[bodyChecksumOffset:]),
		body:         file[headerSize:],
	}
	return parsed, parsed.check()
}

// checkHeader checks the size of the file, its magic bytes and the checksum of its header.
func checkHeader(file []byte) error {
	switch {
	case len(file) > maxFileSize:
		return fmt.Errorf("%w: snapshot of %d bytes exceeds %d bytes", ErrTooLarge, len(file), maxFileSize)
	case len(file) < len(magic) || string(file[:len(magic)]) != magic:
		return fmt.Errorf("%w: magic bytes at the start of the file are missing", ErrNotSnapshot)
	case len(file) < headerSize:
		return fmt.Errorf("%w: file ends after %d of %d header bytes", ErrDamaged, len(file), headerSize)
	case xxhash.Sum64(file[:headerChecksumOffset]) != binary.BigEndian.Uint64(file[headerChecksumOffset:]):
		return fmt.Errorf("%w: header checksum mismatch", ErrDamaged)
	}
	return nil
}

// check checks the body's length and checksum against the header, and that the format is supported.
func (c container) check() error {
	switch {
	case c.length != len(c.body):
		return fmt.Errorf("%w: body has %d bytes, header states %d", ErrDamaged, len(c.body), c.length)
	case xxhash.Sum64(c.body) != c.bodyChecksum:
		return fmt.Errorf("%w: body checksum mismatch", ErrDamaged)
	case c.format > CurrentFormat:
		return fmt.Errorf("%w: format %d, this program reads formats %d to %d", ErrNewer, c.format, oldestFormat, CurrentFormat)
	case c.format < oldestFormat:
		return fmt.Errorf("%w: invalid format %d", ErrNotSnapshot, c.format)
	}
	return nil
}

// decodeBody decodes the body according to the file's format.
func decodeBody(file container) (learnedstate.State, error) {
	if file.format == 1 {
		var body body1
		if err := cborDecoder.Unmarshal(file.body, &body); err != nil {
			return learnedstate.State{}, err
		}
		return checkBounds(body.state())
	}
	var body body2
	if err := cborDecoder.Unmarshal(file.body, &body); err != nil {
		return learnedstate.State{}, err
	}
	return checkBounds(body.state())
}

// checkBounds returns the state, or an error if it has more entries than a state may have or a time out of range.
func checkBounds(state learnedstate.State) (learnedstate.State, error) {
	tooMany := len(state.Replicas) > learnedstate.MaxReplicas ||
		len(state.RequestRates) > learnedstate.MaxRequestRates ||
		len(state.BaselineResponseTimes) > learnedstate.MaxNames ||
		len(state.Classes) > learnedstate.MaxNames
	// Times are limited to half of the range of int64, so that the difference of two times does not overflow.
	impossibleTime := state.TakenAt.Wall < math.MinInt64/2 || state.TakenAt.Wall > math.MaxInt64/2
	if tooMany || impossibleTime {
		return learnedstate.State{}, fmt.Errorf("state out of bounds: %d replicas (at most %d), %d request rates (at most %d), %d traffic classes (at most %d), taken at Unix time %d ns",
			len(state.Replicas), learnedstate.MaxReplicas, len(state.RequestRates), learnedstate.MaxRequestRates,
			len(state.Classes), learnedstate.MaxNames, state.TakenAt.Wall)
	}
	return state, nil
}
