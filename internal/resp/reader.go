package resp

import (
	"errors"
	"fmt"
	"io"
	"strconv"
)

// numberMost is more digits than any length that fits a message has.
const numberMost = 8

// wordLeast is the shortest a word can be, with its length and line ends.
const wordLeast = len("$0\r\n\r\n")

// Broken says how far a reader came before it could go no further.
type Broken struct {
	Messages int // read whole before
	Bytes    int // of the one that broke
	Err      error
}

func (b *Broken) Error() string {
	return fmt.Sprintf("after %d messages and %d bytes of the next: %v", b.Messages, b.Bytes, b.Err)
}

func (b *Broken) Unwrap() error { return b.Err }

// ErrUnreadable: what came is no message.
var ErrUnreadable = errors.New("unreadable")

// Reader reads messages from one connection. It holds a buffer or two, more for long messages, and none
// once closed.
type Reader struct {
	src   io.Reader
	pool  *Pool
	chain []*buffer
	at    int // the next byte to read, from the start of the chain
	end   int // the bytes that have come
	begin int // where the message began
	count int
}

// NewReader reads from src over the buffers of pool.
func NewReader(src io.Reader, pool *Pool) *Reader { return &Reader{src: src, pool: pool} }

// Close gives the buffers back.
func (r *Reader) Close() {
	for _, b := range r.chain {
		r.pool.give(b)
	}
	r.chain, r.at, r.end, r.begin = nil, 0, 0, 0
}

// Next reads a message, whatever the pieces it comes in. At the end of the connection between messages the
// error is a Broken of io.EOF with no bytes.
func (r *Reader) Next() ([]string, error) {
	r.rewind()
	words, err := r.message()
	if err != nil {
		if errors.Is(err, io.EOF) && r.end > r.begin {
			err = io.ErrUnexpectedEOF
		}
		return nil, &Broken{Messages: r.count, Bytes: r.end - r.begin, Err: err}
	}
	r.count++
	return words, nil
}

// rewind drops what was read; the last buffer is used again from its start if nothing waits in it.
func (r *Reader) rewind() {
	for len(r.chain) > 1 && r.at >= BufferSize {
		r.pool.give(r.chain[0])
		r.chain, r.at, r.end = r.chain[1:], r.at-BufferSize, r.end-BufferSize
	}
	if r.at == r.end {
		r.at, r.end = 0, 0
	}
	r.begin = r.at
}

func (r *Reader) message() ([]string, error) {
	n, err := r.number('*')
	if err != nil {
		return nil, err
	}
	if n > Largest/wordLeast {
		return nil, fmt.Errorf("%w: %d words", ErrUnreadable, n)
	}
	words := make([]string, 0, min(n, BufferSize/wordLeast))
	for range n {
		size, err := r.number('$')
		if err != nil {
			return nil, err
		}
		word, err := r.word(size)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	return words, nil
}

// number reads a line of a sign and a whole number that is not below 0.
func (r *Reader) number(sign byte) (int, error) {
	if b, err := r.next(); err != nil {
		return 0, err
	} else if b != sign {
		return 0, fmt.Errorf("%w: %q where %q is due", ErrUnreadable, b, sign)
	}
	var digits []byte
	for {
		b, err := r.next()
		if err != nil {
			return 0, err
		}
		if b == '\r' {
			break
		}
		if digits = append(digits, b); len(digits) > numberMost || b < '0' || b > '9' {
			return 0, fmt.Errorf("%w: %q is no length", ErrUnreadable, digits)
		}
	}
	n, err := strconv.Atoi(string(digits))
	if err != nil {
		return 0, fmt.Errorf("%w: %q is no length", ErrUnreadable, digits)
	}
	return n, r.expect('\n')
}

func (r *Reader) expect(want byte) error {
	b, err := r.next()
	if err == nil && b != want {
		err = fmt.Errorf("%w: %q where %q is due", ErrUnreadable, b, want)
	}
	return err
}

func (r *Reader) word(size int) (string, error) {
	if r.at-r.begin+size > Largest {
		return "", fmt.Errorf("%w: over %d bytes", ErrUnreadable, Largest)
	}
	for r.end-r.at < size {
		if err := r.fill(); err != nil {
			return "", err
		}
	}
	word := make([]byte, 0, size)
	for size > 0 {
		from := r.at % BufferSize
		part := r.chain[r.at/BufferSize][from:min(BufferSize, from+size)]
		word = append(word, part...)
		r.at, size = r.at+len(part), size-len(part)
	}
	if err := r.expect('\r'); err != nil {
		return "", err
	}
	return string(word), r.expect('\n')
}

func (r *Reader) next() (byte, error) {
	if r.at-r.begin >= Largest {
		return 0, fmt.Errorf("%w: over %d bytes", ErrUnreadable, Largest)
	}
	if r.at == r.end {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	b := r.chain[r.at/BufferSize][r.at%BufferSize]
	r.at++
	return b, nil
}

func (r *Reader) fill() error {
	if r.end == len(r.chain)*BufferSize {
		b, err := r.pool.take(len(r.chain) < 2) // a short message may lie across two
		if err != nil {
			return err
		}
		r.chain = append(r.chain, b)
	}
	n, err := r.src.Read(r.chain[r.end/BufferSize][r.end%BufferSize:])
	if r.end += n; n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}
