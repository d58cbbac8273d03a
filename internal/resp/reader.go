package resp

import (
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxLengthDigits is larger than the number of digits of any length that fits MaxMessageSize.
	maxLengthDigits = 8
	// minElementBytes is the smallest size of an element, line end included.
	minElementBytes = len("+\r\n")
	// usualWords is the number of words that a usual message has at most. Longer lists of words grow as words arrive, since
	// the length that a message announces may never be sent.
	usualWords = 16
	// wordOverhead is the memory that a word takes besides its bytes, in bytes: its place in a list that grows by doubling.
	wordOverhead = 32
	// freeWordBytes is the memory that the words of one message may take without a reservation in the pool, in bytes.
	freeWordBytes = BufferSize
)

// Types of elements. The first byte of an element is its type.
const (
	arrayType        = '*'
	bulkStringType   = '$'
	simpleStringType = '+'
	errorType        = '-'
	integerType      = ':'
)

// ReadError is an error after which the reader cannot read another message. It reports how much was read before.
type ReadError struct {
	Messages int // messages read completely
	Bytes    int // bytes read of the incomplete or invalid message
	Err      error
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("after %d messages and %d bytes of the next: %v", e.Messages, e.Bytes, e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// ErrUnreadable reports that the received bytes are not a valid message, so that the start of the next message is unknown.
var ErrUnreadable = errors.New("unreadable")

// ErrNotBulkStringArray reports that a complete message is not an array of bulk strings. The next message can be read.
var ErrNotBulkStringArray = errors.New("not an array of bulk strings")

// Reader reads messages from one connection. It holds one or two buffers, more of them for long words, and none after Close.
// Buffers are returned to the pool as soon as their content was read, and the words of a long message are reserved there.
type Reader struct {
	source         io.Reader
	pool           *Pool
	buffers        []*buffer
	position       int // position of the next byte to parse, from the start of the first buffer
	end            int // position after the last received byte
	messageStart   int // position of the current message's first byte; negative once its first buffer was returned
	wordBytes      int // memory of the current message's words
	reservedUnits  int // units of that memory that are reserved in the pool
	maxMessageSize int // bytes
	messages       int // messages read so far
}

// NewReader returns a reader of source that takes its buffers from pool.
func NewReader(source io.Reader, pool *Pool) *Reader {
	return &Reader{source: source, pool: pool, maxMessageSize: MaxMessageSize}
}

// SetMaxMessageSize limits the size of each message that is read after this call.
func (r *Reader) SetMaxMessageSize(maxBytes int) { r.maxMessageSize = maxBytes }

// Close returns the buffers to the pool.
func (r *Reader) Close() {
	for _, b := range r.buffers {
		r.pool.put(b)
	}
	r.buffers = nil
	r.releaseWords()
	r.position, r.end, r.messageStart = 0, 0, 0
}

// Next reads the next message. If the connection ends between two messages, it returns a ReadError that wraps io.EOF and
// whose Bytes is 0.
func (r *Reader) Next() ([]string, error) {
	r.releaseRead()
	r.releaseWords()
	words, err := r.readMessage()
	if err != nil && !errors.Is(err, ErrNotBulkStringArray) {
		if errors.Is(err, io.EOF) && r.end > r.messageStart {
			err = io.ErrUnexpectedEOF
		}
		return nil, &ReadError{Messages: r.messages, Bytes: r.end - r.messageStart, Err: err}
	}
	r.messages++
	return words, err
}

// releaseRead begins a message: it returns buffers whose content was read to the pool. If no unread bytes are left, the last
// buffer is filled from its start again.
func (r *Reader) releaseRead() {
	r.releaseBuffers()
	if r.position == r.end {
		r.position, r.end = 0, 0
	}
	r.messageStart = r.position
}

// releaseBuffers returns buffers whose content was read to the pool, but for the last one.
func (r *Reader) releaseBuffers() {
	for len(r.buffers) > 1 && r.position >= BufferSize {
		r.pool.put(r.buffers[0])
		r.buffers = r.buffers[1:]
		r.position -= BufferSize
		r.end -= BufferSize
		r.messageStart -= BufferSize
	}
}

// releaseWords releases the memory that is reserved for the words of the last message.
func (r *Reader) releaseWords() {
	if r.reservedUnits > 0 {
		r.pool.releaseWords(r.reservedUnits)
	}
	r.reservedUnits = 0
	r.wordBytes = 0
}

// reserveWord reserves memory for a part of a word, as far as it exceeds the free allowance of the message.
func (r *Reader) reserveWord(bytes int) error {
	r.wordBytes += bytes
	for r.wordBytes > freeWordBytes+r.reservedUnits*BufferSize {
		if err := r.pool.reserveWords(); err != nil {
			return err
		}
		r.reservedUnits++
	}
	return nil
}

// readMessage reads one message of any type to its end, including nested arrays, so that the next message can be read. It
// returns ErrNotBulkStringArray for a complete message that is not an array of bulk strings.
func (r *Reader) readMessage() ([]string, error) {
	m := parsedMessage{elementsLeft: 1}
	for first := true; m.elementsLeft > 0; first = false {
		m.elementsLeft--
		typeByte, err := r.readByte()
		if err != nil {
			return nil, err
		}
		if (typeByte == arrayType) != first { // words are elements of the outermost array
			m.notWords = true
		}
		if err := r.readElement(typeByte, &m); err != nil {
			return nil, err
		}
	}
	if m.notWords {
		return nil, ErrNotBulkStringArray
	}
	return m.words, nil
}

// parsedMessage is the content of a message as far as it has been read.
type parsedMessage struct {
	words        []string
	elementsLeft int
	notWords     bool // it is not an array of bulk strings
}

// readElement reads the rest of an element after its type byte.
func (r *Reader) readElement(typeByte byte, m *parsedMessage) error {
	switch typeByte {
	case arrayType:
		return r.readArray(m)
	case bulkStringType:
		return r.readBulkString(m)
	case simpleStringType, errorType, integerType:
		m.notWords = true
		return r.skipLine(typeByte == integerType)
	default:
		return fmt.Errorf("%w: %q where a type is due", ErrUnreadable, typeByte)
	}
}

func (r *Reader) readArray(m *parsedMessage) error {
	length, err := r.readLength()
	if err != nil {
		return err
	}
	m.elementsLeft += max(0, length)
	if m.elementsLeft > MaxMessageSize/minElementBytes {
		return fmt.Errorf("%w: %d elements", ErrUnreadable, m.elementsLeft)
	}
	if length < 0 {
		m.notWords = true
	}
	if !m.notWords {
		m.words = make([]string, 0, min(length, usualWords))
	}
	return nil
}

func (r *Reader) readBulkString(m *parsedMessage) error {
	length, err := r.readLength()
	if err != nil {
		return err
	}
	if length < 0 {
		m.notWords = true
		return nil
	}
	word, err := r.readWord(length)
	if err != nil {
		return err
	}
	if !m.notWords {
		m.words = append(m.words, word)
	}
	return nil
}

// readLength reads the rest of a line that holds a length; -1 is the length of a null element.
func (r *Reader) readLength() (int, error) {
	var digits []byte
	for {
		b, err := r.readByte()
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
	return n, r.expectByte('\n')
}

// skipLine reads and discards the rest of a line. If number is set, it fails unless the line consists of digits and signs.
func (r *Reader) skipLine(number bool) error {
	for {
		b, err := r.readByte()
		switch {
		case err != nil:
			return err
		case b == '\r':
			return r.expectByte('\n')
		case b == '\n', number && (b < '0' || b > '9') && b != '-' && b != '+':
			return fmt.Errorf("%w: %q in a line", ErrUnreadable, b)
		}
	}
}

// expectByte reads the next byte, which must be want.
func (r *Reader) expectByte(want byte) error {
	b, err := r.readByte()
	if err == nil && b != want {
		err = fmt.Errorf("%w: %q where %q is due", ErrUnreadable, b, want)
	}
	return err
}

// readWord reads a bulk string of size bytes and the line end after it.
func (r *Reader) readWord(size int) (string, error) {
	if r.position-r.messageStart+size > r.maxMessageSize {
		return "", fmt.Errorf("%w: over %d bytes", ErrUnreadable, r.maxMessageSize)
	}
	r.releaseBuffers()
	for r.end-r.position < size {
		if err := r.fill(); err != nil {
			return "", err
		}
	}
	if err := r.reserveWord(wordOverhead); err != nil {
		return "", err
	}
	word := make([]byte, 0, size)
	for size > 0 {
		from := r.position % BufferSize
		part := r.buffers[r.position/BufferSize][from:min(BufferSize, from+size)]
		word = append(word, part...)
		r.position += len(part)
		size -= len(part)
		r.releaseBuffers() // before the word is reserved, so that a long word is not counted twice
		if err := r.reserveWord(len(part)); err != nil {
			return "", err
		}
	}
	if err := r.expectByte('\r'); err != nil {
		return "", err
	}
	return string(word), r.expectByte('\n')
}

// readByte returns the next byte of the message.
func (r *Reader) readByte() (byte, error) {
	if r.position-r.messageStart >= r.maxMessageSize {
		return 0, fmt.Errorf("%w: over %d bytes", ErrUnreadable, r.maxMessageSize)
	}
	if r.position == r.end {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	b := r.buffers[r.position/BufferSize][r.position%BufferSize]
	r.position++
	return b, nil
}

// fill reads more bytes from the source, into another buffer if the last one is full.
func (r *Reader) fill() error {
	r.releaseBuffers()
	if r.end == len(r.buffers)*BufferSize {
		b, err := r.pool.get(len(r.buffers) < 2) // a short message may span two buffers
		if err != nil {
			return err
		}
		r.buffers = append(r.buffers, b)
	}
	n, err := r.source.Read(r.buffers[r.end/BufferSize][r.end%BufferSize:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}
