package resp

import (
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// More digits than any length that fits a message has.
	numberMost = 8
	// The shortest that an element and a word can be, with line ends.
	elementLeast, wordLeast = len("+\r\n"), len("$0\r\n\r\n")
)

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

// ErrUnreadable: what came is no message, and where the next one begins is not known.
var ErrUnreadable = errors.New("unreadable")

// ErrNotWords: a whole message came that is no array of bulk strings. The next one can be read.
var ErrNotWords = errors.New("not an array of bulk strings")

// Reader reads messages from one connection. It holds a buffer or two, more for long messages, and none
// once closed.
type Reader struct {
	src   io.Reader
	pool  *Pool
	chain []*buffer
	at    int // the next byte to read, from the start of the chain
	end   int // the bytes that have come
	begin int // where the message began
	most  int // bytes of a message
	count int
}

// NewReader reads from src over the buffers of pool.
func NewReader(src io.Reader, pool *Pool) *Reader {
	return &Reader{src: src, pool: pool, most: Largest}
}

// Bound says how many bytes a message may hold from now on.
func (r *Reader) Bound(most int) { r.most = most }

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
	if err != nil && !errors.Is(err, ErrNotWords) {
		if errors.Is(err, io.EOF) && r.end > r.begin {
			err = io.ErrUnexpectedEOF
		}
		return nil, &Broken{Messages: r.count, Bytes: r.end - r.begin, Err: err}
	}
	r.count++
	return words, err
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

// message reads one message of any type, whatever it is nested in, to its end.
func (r *Reader) message() (words []string, err error) {
	var odd error
	for left, first := 1, true; left > 0; first = false {
		left--
		sign, err := r.next()
		if err != nil {
			return nil, err
		}
		if (sign == '*') != first {
			odd = ErrNotWords
		}
		switch sign {
		case '*':
			n, err := r.length()
			if err != nil {
				return nil, err
			}
			if left += max(0, n); left > Largest/elementLeast {
				return nil, fmt.Errorf("%w: %d elements", ErrUnreadable, left)
			}
			if n < 0 {
				odd = ErrNotWords
			} else if first {
				words = make([]string, 0, min(n, BufferSize/wordLeast))
			}
		case '$':
			n, err := r.length()
			if err != nil {
				return nil, err
			}
			if n < 0 {
				odd = ErrNotWords
				continue
			}
			word, err := r.word(n)
			if err != nil {
				return nil, err
			}
			words = append(words, word)
		case '+', '-', ':':
			odd = ErrNotWords
			if err := r.line(sign == ':'); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("%w: %q where a type is due", ErrUnreadable, sign)
		}
		if odd != nil {
			words = nil
		}
	}
	return words, odd
}

// length reads the rest of a line that holds a length; -1 stands for no value at all.
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
		if digits = append(digits, b); len(digits) > numberMost || (b < '0' || b > '9') && string(digits) != "-" {
			return 0, fmt.Errorf("%w: %q is no length", ErrUnreadable, digits)
		}
	}
	n, err := strconv.Atoi(string(digits))
	if err != nil || n < -1 {
		return 0, fmt.Errorf("%w: %q is no length", ErrUnreadable, digits)
	}
	return n, r.expect('\n')
}

// line passes over the rest of a line, which may have to be a number.
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

func (r *Reader) expect(want byte) error {
	b, err := r.next()
	if err == nil && b != want {
		err = fmt.Errorf("%w: %q where %q is due", ErrUnreadable, b, want)
	}
	return err
}

func (r *Reader) word(size int) (string, error) {
	if r.at-r.begin+size > r.most {
		return "", fmt.Errorf("%w: over %d bytes", ErrUnreadable, r.most)
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
	if r.at-r.begin >= r.most {
		return 0, fmt.Errorf("%w: over %d bytes", ErrUnreadable, r.most)
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
