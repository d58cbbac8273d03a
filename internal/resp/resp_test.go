package resp

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

const ack = "*7\r\n$3\r\nack\r\n$2\r\nid\r\n$2\r\n17\r\n$3\r\nseq\r\n$3\r\n905\r\n$2\r\nms\r\n$5\r\n310.4\r\n"

var ackWords = []string{"ack", "id", "17", "seq", "905", "ms", "310.4"}

// messageOfSize returns the words of a message whose encoded size is the given number of bytes.
func messageOfSize(t testing.TB, bytes int) []string {
	words := []string{"push", strings.Repeat("x", 2*bytes-len(encode(t, "push", strings.Repeat("x", bytes))))}
	if n := len(encode(t, words...)); n != bytes {
		t.Fatalf("the encoded message has %d bytes, want %d", n, bytes)
	}
	return words
}

func encode(t testing.TB, words ...string) string {
	var b bytes.Buffer
	n, err := Write(&b, NewPool(MaxMessageSize), words...)
	if err != nil || n != b.Len() {
		t.Fatalf("Write reports %d bytes and has written %d: %v", n, b.Len(), err)
	}
	return b.String()
}

func TestReadMessagesInPieces(t *testing.T) {
	long := messageOfSize(t, 3*BufferSize+7)
	stream := ack + encode(t, "probe") + encode(t, long...) + "*0\r\n" + ack
	for name, chunked := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader,
		"halves": iotest.HalfReader, "with the end": iotest.DataErrReader} {
		pool := NewPool(1 << 20)
		r := NewReader(chunked(strings.NewReader(stream)), pool)
		for k, want := range [][]string{ackWords, {"probe"}, long, {}, ackWords} {
			if got, err := r.Next(); err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("%s, message %d: %v", name, k, err)
			}
		}
		var readError *ReadError
		if _, err := r.Next(); !errors.As(err, &readError) || !errors.Is(err, io.EOF) || readError.Messages != 5 || readError.Bytes != 0 {
			t.Errorf("%s: at the end of the stream: %v", name, err)
		}
		if r.Close(); pool.InUse() != 0 {
			t.Errorf("%s: %d buffers are in use after Close", name, pool.InUse())
		}
	}
}

func TestMaxMessageSize(t *testing.T) {
	r := NewReader(strings.NewReader(encode(t, messageOfSize(t, MaxMessageSize)...)+ack), NewPool(2*MaxMessageSize))
	if words, err := r.Next(); err != nil || len(words) != 2 {
		t.Fatalf("message of exactly %d bytes: %v", MaxMessageSize, err)
	}
	if _, err := r.Next(); err != nil {
		t.Errorf("the message after the largest one: %v", err)
	}
	for _, pool := range []*Pool{NewPool(2 * MaxMessageSize), NewPool(MaxMessageSize / 2)} {
		r = NewReader(strings.NewReader(encode(t, messageOfSize(t, MaxMessageSize+1)...)), pool)
		if _, err := r.Next(); !errors.Is(err, ErrUnreadable) && !errors.Is(err, ErrNoBuffer) {
			t.Errorf("message of one byte more than the limit: %v", err)
		}
		if r.Close(); pool.InUse() != 0 {
			t.Errorf("%d buffers are in use after Close", pool.InUse())
		}
	}
}

// Peers whose long messages use all buffers of the pool must not fail the connections of peers that send short messages.
func TestShortMessagesAreReadFromExhaustedPool(t *testing.T) {
	const many = 5 * BufferSize / len(ack)
	r := NewReader(strings.NewReader(strings.Repeat(ack, many)), NewPool(0))
	for k := range many {
		if _, err := r.Next(); err != nil {
			t.Fatalf("message %d: %v", k, err)
		}
	}
	r = NewReader(strings.NewReader(encode(t, messageOfSize(t, 3*BufferSize)...)), NewPool(0))
	if _, err := r.Next(); !errors.Is(err, ErrNoBuffer) {
		t.Errorf("long message from an exhausted pool: %v", err)
	}
}

func TestInvalidInputIsUnreadable(t *testing.T) {
	for _, input := range []string{"GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01", "*x\r\n", "*-2\r\n", "*1\r\n:5x\r\n", "*1\r\n$-\r\n", "+a\n",
		"*1\r\n$3\r\nabcd\r\n", "*1\r\n$3\r\nab\r\n\r\n", "*1\n$1\r\na\r\n", "*999999999999\r\n", "*99999999\r\n",
		"*1\r\n$99999999\r\n", "*\r\n", "*1\rx", "$3\r\nabcd\r\n"} {
		if _, err := NewReader(strings.NewReader(input), NewPool(MaxMessageSize)).Next(); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%q: %v", input, err)
		}
	}
	for cut := 1; cut < len(ack); cut++ {
		var readError *ReadError
		_, err := NewReader(strings.NewReader(ack[:cut]), NewPool(MaxMessageSize)).Next()
		if !errors.Is(err, io.ErrUnexpectedEOF) || !errors.As(err, &readError) || readError.Bytes != cut {
			t.Errorf("cut after %d bytes: %v", cut, err)
		}
	}
}

// A complete message of another type is skipped, also if it is a nested array, and the message after it is read.
func TestMessagesOfOtherTypesAreSkipped(t *testing.T) {
	for _, message := range []string{"+OK\r\n", "-ERR no\r\n", ":-5\r\n", "$3\r\nabc\r\n", "$-1\r\n", "*-1\r\n", "*2\r\n$3\r\nack\r\n:5\r\n",
		"*3\r\n$1\r\na\r\n*2\r\n*1\r\n$1\r\nb\r\n*0\r\n$1\r\nc\r\n", "*2\r\n$-1\r\n$1\r\na\r\n"} {
		r := NewReader(iotest.OneByteReader(strings.NewReader(message+ack)), NewPool(MaxMessageSize))
		if words, err := r.Next(); !errors.Is(err, ErrNotBulkStringArray) || words != nil {
			t.Errorf("%q: %q %v", message, words, err)
		}
		if words, err := r.Next(); err != nil || !reflect.DeepEqual(words, ackWords) {
			t.Errorf("after %q: %q %v", message, words, err)
		}
	}
}

func TestSetMaxMessageSize(t *testing.T) {
	r := NewReader(strings.NewReader(ack+encode(t, messageOfSize(t, 2*len(ack))...)), NewPool(MaxMessageSize))
	r.SetMaxMessageSize(len(ack))
	if _, err := r.Next(); err != nil {
		t.Errorf("message of the largest size: %v", err)
	}
	if _, err := r.Next(); !errors.Is(err, ErrUnreadable) {
		t.Errorf("message over the largest size: %v", err)
	}
}

func TestPoolLimitsFreeBuffers(t *testing.T) {
	pool := NewPool(MaxMessageSize)
	var buffers []*buffer
	for range 2 * maxFreeBuffers {
		b, _ := pool.get(true)
		buffers = append(buffers, b)
	}
	for _, b := range buffers {
		pool.put(b)
	}
	if pool.InUse() != 0 || len(pool.free) != maxFreeBuffers {
		t.Errorf("%d buffers in use, %d free", pool.InUse(), len(pool.free))
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(ack), 3)
	f.Add([]byte("*2\r\n$1\r\na\r\n$0\r\n\r\n"), 1)
	f.Add([]byte("*1\r\n$5\r\nab"), 2)
	f.Fuzz(func(t *testing.T, input []byte, piece int) {
		pool := NewPool(MaxMessageSize)
		r := NewReader(&pieceReader{input, max(1, piece)}, pool)
		for {
			words, err := r.Next()
			if errors.Is(err, ErrNotBulkStringArray) {
				continue
			}
			if err != nil {
				break
			}
			again, err := NewReader(strings.NewReader(encode(t, words...)), pool).Next()
			if err != nil || !reflect.DeepEqual(again, words) {
				t.Fatalf("%q is read as %q after it was written: %v", words, again, err)
			}
		}
	})
}

type pieceReader struct {
	rest []byte
	size int
}

func (p *pieceReader) Read(into []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(into[:min(len(into), p.size)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}
