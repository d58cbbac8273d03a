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

// padded is a message of exactly so many bytes.
func padded(t testing.TB, bytes int) []string {
	words := []string{"push", strings.Repeat("x", 2*bytes-len(written(t, "push", strings.Repeat("x", bytes))))}
	if n := len(written(t, words...)); n != bytes {
		t.Fatalf("%d bytes, not %d", n, bytes)
	}
	return words
}

func written(t testing.TB, words ...string) string {
	var b bytes.Buffer
	n, err := Write(&b, NewPool(Largest), words...)
	if err != nil || n != b.Len() {
		t.Fatalf("%d bytes of %d: %v", n, b.Len(), err)
	}
	return b.String()
}

func TestMessagesInAnyPieces(t *testing.T) {
	long := padded(t, 3*BufferSize+7)
	stream := ack + written(t, "probe") + written(t, long...) + "*0\r\n" + ack
	for name, cut := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader,
		"halves": iotest.HalfReader, "with the end": iotest.DataErrReader} {
		pool := NewPool(1 << 20)
		r := NewReader(cut(strings.NewReader(stream)), pool)
		for k, want := range [][]string{ackWords, {"probe"}, long, {}, ackWords} {
			if got, err := r.Next(); err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("%s, message %d: %v", name, k, err)
			}
		}
		var broken *Broken
		if _, err := r.Next(); !errors.As(err, &broken) || !errors.Is(err, io.EOF) || broken.Messages != 5 || broken.Bytes != 0 {
			t.Errorf("%s: end of the stream: %v", name, err)
		}
		if r.Close(); pool.Lent() != 0 {
			t.Errorf("%s: %d buffers are not given back", name, pool.Lent())
		}
	}
}

func TestTheLargestMessage(t *testing.T) {
	r := NewReader(strings.NewReader(written(t, padded(t, Largest)...)+ack), NewPool(2*Largest))
	if words, err := r.Next(); err != nil || len(words) != 2 {
		t.Fatalf("exactly %d bytes: %v", Largest, err)
	}
	if _, err := r.Next(); err != nil {
		t.Errorf("the message after it: %v", err)
	}
	for _, pool := range []*Pool{NewPool(2 * Largest), NewPool(Largest / 2)} {
		r = NewReader(strings.NewReader(written(t, padded(t, Largest+1)...)), pool)
		if _, err := r.Next(); !errors.Is(err, ErrUnreadable) && !errors.Is(err, ErrNoBuffer) {
			t.Errorf("a byte over: %v", err)
		}
		if r.Close(); pool.Lent() != 0 {
			t.Errorf("%d buffers are not given back", pool.Lent())
		}
	}
}

// Peers that hold all buffers with long messages must not end those that send short ones.
func TestShortMessagesNeedNoSpareBuffer(t *testing.T) {
	const many = 5 * BufferSize / len(ack)
	r := NewReader(strings.NewReader(strings.Repeat(ack, many)), NewPool(0))
	for k := range many {
		if _, err := r.Next(); err != nil {
			t.Fatalf("message %d: %v", k, err)
		}
	}
	r = NewReader(strings.NewReader(written(t, padded(t, 3*BufferSize)...)), NewPool(0))
	if _, err := r.Next(); !errors.Is(err, ErrNoBuffer) {
		t.Errorf("a long one: %v", err)
	}
}

func TestGarbageIsUnreadable(t *testing.T) {
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01", "*x\r\n", "*-2\r\n", "*1\r\n:5x\r\n", "*1\r\n$-\r\n", "+a\n",
		"*1\r\n$3\r\nabcd\r\n", "*1\r\n$3\r\nab\r\n\r\n", "*1\n$1\r\na\r\n", "*999999999999\r\n", "*99999999\r\n",
		"*1\r\n$99999999\r\n", "*\r\n", "*1\rx", "$3\r\nabcd\r\n"} {
		if _, err := NewReader(strings.NewReader(text), NewPool(Largest)).Next(); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%q: %v", text, err)
		}
	}
	for cut := 1; cut < len(ack); cut++ {
		var broken *Broken
		_, err := NewReader(strings.NewReader(ack[:cut]), NewPool(Largest)).Next()
		if !errors.Is(err, io.ErrUnexpectedEOF) || !errors.As(err, &broken) || broken.Bytes != cut {
			t.Errorf("cut after %d bytes: %v", cut, err)
		}
	}
}

// A whole message of another type is passed over, however it is nested, and the one after it is read.
func TestWhatIsNotWordsIsPassedOver(t *testing.T) {
	for _, odd := range []string{"+OK\r\n", "-ERR no\r\n", ":-5\r\n", "$3\r\nabc\r\n", "$-1\r\n", "*-1\r\n", "*2\r\n$3\r\nack\r\n:5\r\n",
		"*3\r\n$1\r\na\r\n*2\r\n*1\r\n$1\r\nb\r\n*0\r\n$1\r\nc\r\n", "*2\r\n$-1\r\n$1\r\na\r\n"} {
		r := NewReader(iotest.OneByteReader(strings.NewReader(odd+ack)), NewPool(Largest))
		if words, err := r.Next(); !errors.Is(err, ErrNotWords) || words != nil {
			t.Errorf("%q: %q %v", odd, words, err)
		}
		if words, err := r.Next(); err != nil || !reflect.DeepEqual(words, ackWords) {
			t.Errorf("after %q: %q %v", odd, words, err)
		}
	}
}

func TestABoundHoldsFromThenOn(t *testing.T) {
	r := NewReader(strings.NewReader(ack+written(t, padded(t, 2*len(ack))...)), NewPool(Largest))
	r.Bound(len(ack))
	if _, err := r.Next(); err != nil {
		t.Errorf("at the bound: %v", err)
	}
	if _, err := r.Next(); !errors.Is(err, ErrUnreadable) {
		t.Errorf("over the bound: %v", err)
	}
}

func TestAPoolKeepsFewFreeBuffers(t *testing.T) {
	pool := NewPool(Largest)
	var lent []*buffer
	for range 2 * maxFree {
		b, _ := pool.take(true)
		lent = append(lent, b)
	}
	for _, b := range lent {
		pool.give(b)
	}
	if pool.Lent() != 0 || len(pool.free) != maxFree {
		t.Errorf("%d lent, %d free", pool.Lent(), len(pool.free))
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(ack), 3)
	f.Add([]byte("*2\r\n$1\r\na\r\n$0\r\n\r\n"), 1)
	f.Add([]byte("*1\r\n$5\r\nab"), 2)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		pool := NewPool(Largest)
		r := NewReader(&pieces{b, max(1, piece)}, pool)
		for {
			words, err := r.Next()
			if errors.Is(err, ErrNotWords) {
				continue
			}
			if err != nil {
				break
			}
			again, err := NewReader(strings.NewReader(written(t, words...)), pool).Next()
			if err != nil || !reflect.DeepEqual(again, words) {
				t.Fatalf("%q read again as %q: %v", words, again, err)
			}
		}
	})
}

type pieces struct {
	b    []byte
	size int
}

func (p *pieces) Read(into []byte) (int, error) {
	if len(p.b) == 0 {
		return 0, io.EOF
	}
	n := copy(into[:min(len(into), p.size)], p.b)
	p.b = p.b[n:]
	return n, nil
}
