package resp

import (
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxLengthDigits is more than any length that fits a message has.
	maxLengthDigits = 8
	// minElementBytes and minWordBytes are the least that an element and a word take, line ends included.
	minElementBytes = len("+\r\n")
	minWordBytes    = len("$0\r\n\r\n")
)

// The first byte of an element, which says its type.
const (
	arraySign        = '*'
	bulkStringSign   = '$'
	simpleStringSign = '+'
	errorSign        = '-'
	integerSign      = ':'
)

// Broken is the error of a reader that cannot go on. It says how far the reader came.
type Broken struct {
	Messages int // read completely before
	Bytes    int // read of the message that broke
	Err      error
}

func (b *Broken) Error() string {
	return fmt.Sprintf("after %d messages and %d bytes of the next: %v", b.Messages, b.Bytes, b.Err)
}

// Unwrap returns the cause.
func (b *Broken) Unwrap() error { return b.Err }

// ErrUnreadable says that the bytes are no message, and that where the next one begins is not known.
var ErrUnreadable = errors.New("unreadable")

// ErrNotWords says that a complete message is no array of bulk strings. The next message can be read.
var ErrNotWords = errors.New("not an array of bulk strings")

// Reader reads messages from one connection. It holds a buffer or two, more for long messages, and none
// once closed.
type Reader struct {
	source     io.Reader
	pool       *Pool
	chain      []*buffer
	position   int // of the next byte to parse, from the start of the chain
	end        int // of the bytes received
	begin      int // of the message
	maxMessage int // bytes
	messages   int // read so far
}

// NewReader returns a reader of source over the buffers of pool.
func NewReader(source io.Reader, pool *Pool) *Reader {
	return &Reader{source: source, pool: pool, maxMessage: Largest}
}

// Bound sets how many bytes a message may hold from now on.
func (r *Reader) Bound(maxBytes int) { r.maxMessage = maxBytes }

// Close gives the buffers back.
func (r *Reader) Close() {
	for _, b := range r.chain {
		r.pool.give(b)
	}
	r.chain = nil
	r.position, r.end, r.begin = 0, 0, 0
}

// Next reads a message, in whatever pieces it arrives. At the end of the connection between messages the error is a Broken of
// io.EOF with no bytes.
func (r *Reader) Next() ([]string, error) {
	r.rewind()
	words, err := r.message()
	if err != nil && !errors.Is(err, ErrNotWords) {
		if errors.Is(err, io.EOF) && r.end > r.begin {
			err = io.ErrUnexpectedEOF
		}
		return nil, &Broken{Messages: r.messages, Bytes: r.end - r.begin, Err: err}
	}
	r.messages++
	return words, err
}

// rewind releases what was read; the last buffer is used again from its start if it holds nothing more.
func (r *Reader) rewind() {
	for len(r.chain) > 1 && r.position >= BufferSize {
		r.pool.give(r.chain[0])
		r.chain = r.chain[1:]
		r.position -= BufferSize
		r.end -= BufferSize
	}
	if r.position == r.end {
		r.position, r.end = 0, 0
	}
	r.begin = r.position
}

// message reads one message of any type to its end, however it is nested, so that the next one can be read. It returns
// ErrNotWords for a complete message that is no array of bulk strings.
func (r *Reader) message() ([]string, error) {
	m := parsedMessage{elementsLeft: 1}
	for first := true; m.elementsLeft > 0; first = false {
		m.elementsLeft--
		sign, err := r.next()
		if err != nil {
			return nil, err
		}
		if (sign == arraySign) != first { // words are the elements of one array at the top
			m.notWords = true
		}
		if err := r.element(sign, &m); err != nil {
			return nil, err
		}
	}
	if m.notWords {
		return nil, ErrNotWords
	}
	return m.words, nil
}

// parsedMessage is what has been read of a message.
type parsedMessage struct {
	words        []string
	elementsLeft int
	notWords     bool // it holds something else than bulk strings in one array
}

// element reads the rest of an element of the type that the sign says.
func (r *Reader) element(sign byte, m *parsedMessage) error {
	switch sign {
	case arraySign:
		return r.array(m)
	case bulkStringSign:
		return r.bulkString(m)
	case simpleStringSign, errorSign, integerSign:
		m.notWords = true
		return r.line(sign == integerSign)
	default:
		return fmt.Errorf("%w: %q where a type is due", ErrUnreadable, sign)
	}
}

func (r *Reader) array(m *parsedMessage) error {
	length, err := r.length()
	if err != nil {
		return err
	}
	m.elementsLeft += max(0, length)
	if m.elementsLeft > Largest/minElementBytes {
		return fmt.Errorf("%w: %d elements", ErrUnreadable, m.elementsLeft)
	}
	if length < 0 {
		m.notWords = true
	}
	if !m.notWords {
		m.words = make([]string, 0, min(length, BufferSize/minWordBytes))
	}
	return nil
}

func (r *Reader) bulkString(m *parsedMessage) error {
	length, err := r.length()
	if err != nil {
		return err
	}
	if length < 0 {
		m.notWords = true
		return nil
	}
	word, err := r.word(length)
	if err != nil {
		return err
	}
	if !m.notWords {
		m.words = append(m.words, word)
	}
	return nil
}

// length reads the rest of a line that holds a length; -1 stands for a null.
func (r *Reader) length() (int, error) {
	var digits []byte
	for {
		b, err := r.next()
		if err != nil {
			return 0, err
		}
		if b == '\r' {
			break
		}
		digits = append(digits, b)
		if len(digits) > maxLengthDigits || (b < '0' || b > '9') && string(digits) != "-" {
			return 0, fmt.Errorf("%w: %q is no length", ErrUnreadable, digits)
		}
	}
	n, err := strconv.Atoi(string(digits))
	if err != nil || n < -1 {
		return 0, fmt.Errorf("%w: %q is no length", ErrUnreadable, digits)
	}
	return n, r.expect('\n')
}

// line skips the rest of a line, which has to be a number if so asked.
func (r *Reader) line(number bool) error {
	for {
		b, err := r.next()
		switch {
		case err != nil:
			return err
		case b == '\r':
			return r.expect('\n')
		case b == '\n', number && (b < '0' || b > '9') && b != '-' && b != '+':
			return fmt.Errorf("%w: %q in a line", ErrUnreadable, b)
		}
	}
}

// expect reads the one byte that may follow.
func (r *Reader) expect(want byte) error {
	b, err := r.next()
	if err == nil && b != want {
		err = fmt.Errorf("%w: %q where %q is due", ErrUnreadable, b, want)
	}
	return err
}

// word reads a bulk string of so many bytes and the line end after it.
func (r *Reader) word(size int) (string, error) {
	if r.position-r.begin+size > r.maxMessage {
		return "", fmt.Errorf("%w: over %d bytes", ErrUnreadable, r.maxMessage)
	}
	for r.end-r.position < size {
		if err := r.fill(); err != nil {
			return "", err
		}
	}
	word := make([]byte, 0, size)
	for size > 0 {
		from := r.position % BufferSize
		part := r.chain[r.position/BufferSize][from:min(BufferSize, from+size)]
		word = append(word, part...)
		r.position += len(part)
		size -= len(part)
	}
	if err := r.expect('\r'); err != nil {
		return "", err
	}
	return string(word), r.expect('\n')
}

// next returns the next byte of the message.
func (r *Reader) next() (byte, error) {
	if r.position-r.begin >= r.maxMessage {
		return 0, fmt.Errorf("%w: over %d bytes", ErrUnreadable, r.maxMessage)
	}
	if r.position == r.end {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	b := r.chain[r.position/BufferSize][r.position%BufferSize]
	r.position++
	return b, nil
}

// fill receives more bytes.
func (r *Reader) fill() error {
	if r.end == len(r.chain)*BufferSize {
		b, err := r.pool.take(len(r.chain) < 2) // a short message may span two
		if err != nil {
			return err
		}
		r.chain = append(r.chain, b)
	}
	n, err := r.source.Read(r.chain[r.end/BufferSize][r.end%BufferSize:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}
