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

// The header's layout is the same in all formats, numbers big-endian. It has a checksum of its own, so that a flipped byte is
// never taken for a newer format. The body follows, in CBOR.
const (
	magic                = "LILACST\n" // bytes 0 to 7
	formatOffset         = 8
	lengthOffset         = 12 // of the body, in bytes
	generationOffset     = 16
	bodyChecksumOffset   = 24 // xxhash64 of the body
	headerChecksumOffset = 32 // xxhash64 of all bytes before it
	headerSize           = 40
)

const (
	// Format is the one that is written. Formats from oldestFormat on are read.
	Format       = 2
	oldestFormat = 1
)

// maxFileSize bounds a generation, in bytes: above that of the largest installation. A larger file is nobody's and would have to
// be held in memory, several times as large, beside a controller that may have 32 MiB in all.
const maxFileSize = 2 << 20

// Reasons why a file is refused.
var (
	// ErrDamaged is a file that is not as it was written: torn, or a byte of it has changed.
	ErrDamaged = errors.New("damaged")
	// ErrNewer is a file of a newer program.
	ErrNewer = errors.New("of a newer format")
	// ErrNotSnapshot is a file that is no generation.
	ErrNotSnapshot = errors.New("not a controller's state")
	// ErrTooLarge is a file that is larger than any that was written.
	ErrTooLarge = filewriter.ErrTooLarge
)

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16}.EncMode())
	// A body may name little more than a state may hold, so that a crafted length allocates nothing.
	decoding = must(cbor.DecOptions{
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
		panic(err) // the options are constants
	}
	return v
}

// Encode returns the file of a state as a generation.
func Encode(state learnedstate.State, generation uint64) ([]byte, error) {
	return seal(newBody2(state), Format, generation)
}

// seal puts a header before a body.
func seal(body any, format uint32, generation uint64) ([]byte, error) {
	raw, err := encoding.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding generation %d: %w", generation, err)
	}
	if len(raw)+headerSize > maxFileSize {
		return nil, fmt.Errorf("generation %d has %d bytes: %w", generation, len(raw), ErrTooLarge)
	}
	file := make([]byte, 0, headerSize+len(raw))
	file = append(file, magic...)
	file = binary.BigEndian.AppendUint32(file, format)
	file = binary.BigEndian.AppendUint32(file, uint32(len(raw)))
	file = binary.BigEndian.AppendUint64(file, generation)
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(raw))
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(file))
	return append(file, raw...), nil
}

// Decode returns the generation of a file, without a name. The error is an ErrNotSnapshot, ErrDamaged, ErrNewer or
// ErrTooLarge.
func Decode(raw []byte) (Generation, error) {
	c, err := open(raw)
	if err != nil {
		return Generation{}, err
	}
	state, err := decodeBody(c)
	if err != nil {
		return Generation{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return Generation{Number: c.generation, Format: c.format, Bytes: len(raw), State: state}, nil
}

// container is what the header of a file says, and its body.
type container struct {
	format       int
	generation   uint64
	length       int // of the body
	bodyChecksum uint64
	body         []byte
}

// open checks that a file is as it was written, of a format that this program reads. It does not decode the body.
func open(raw []byte) (container, error) {
	if err := checkHeader(raw); err != nil {
		return container{}, err
	}
	c := container{
		format:       int(binary.BigEndian.Uint32(raw[formatOffset:])),
		length:       int(binary.BigEndian.Uint32(raw[lengthOffset:])),
		generation:   binary.BigEndian.Uint64(raw[generationOffset:]),
		bodyChecksum: binary.BigEndian.Uint64(raw[bodyChecksumOffset:]),
		body:         raw[headerSize:],
	}
	return c, c.check()
}

// checkHeader checks that a file begins with a header that is as it was written.
func checkHeader(raw []byte) error {
	switch {
	case len(raw) > maxFileSize:
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(raw), maxFileSize)
	case len(raw) < len(magic) || string(raw[:len(magic)]) != magic:
		return fmt.Errorf("%w: it does not begin as one", ErrNotSnapshot)
	case len(raw) < headerSize:
		return fmt.Errorf("%w: ends after %d of %d bytes of its header", ErrDamaged, len(raw), headerSize)
	case xxhash.Sum64(raw[:headerChecksumOffset]) != binary.BigEndian.Uint64(raw[headerChecksumOffset:]):
		return fmt.Errorf("%w: the checksum of its header does not match", ErrDamaged)
	}
	return nil
}

// check checks the body against the header, and the format.
func (c container) check() error {
	switch {
	case c.length != len(c.body):
		return fmt.Errorf("%w: %d bytes where the header says %d", ErrDamaged, len(c.body), c.length)
	case xxhash.Sum64(c.body) != c.bodyChecksum:
		return fmt.Errorf("%w: the checksum of its body does not match", ErrDamaged)
	case c.format > Format:
		return fmt.Errorf("%w: %d, this program reads %d to %d", ErrNewer, c.format, oldestFormat, Format)
	case c.format < oldestFormat:
		return fmt.Errorf("%w: format %d", ErrNotSnapshot, c.format)
	}
	return nil
}

// decodeBody decodes the body by its format.
func decodeBody(c container) (learnedstate.State, error) {
	if c.format == 1 {
		var body body1
		if err := decoding.Unmarshal(c.body, &body); err != nil {
			return learnedstate.State{}, err
		}
		return checkBounds(body.state())
	}
	var body body2
	if err := decoding.Unmarshal(c.body, &body); err != nil {
		return learnedstate.State{}, err
	}
	return checkBounds(body.state())
}

// checkBounds returns an error instead of a state that is larger than any that was written, or of an impossible time.
func checkBounds(state learnedstate.State) (learnedstate.State, error) {
	tooMany := len(state.Replicas) > learnedstate.MaxReplicas ||
		len(state.RequestRates) > learnedstate.MaxRequestRates ||
		len(state.BaselineResponseTimes) > learnedstate.MaxNames ||
		len(state.Classes) > learnedstate.MaxNames
	// Half of the range, so that a difference of two times does not overflow.
	impossibleTime := state.Taken.Wall < math.MinInt64/2 || state.Taken.Wall > math.MaxInt64/2
	if tooMany || impossibleTime {
		return learnedstate.State{}, fmt.Errorf("%d replicas, %d request rates, %d traffic classes, taken at %d: more than possible",
			len(state.Replicas), len(state.RequestRates), len(state.Classes), state.Taken.Wall)
	}
	return state, nil
}
