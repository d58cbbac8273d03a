package resp

import (
	"io"
	"strconv"
)

// Write sends one message through one pooled buffer, which it writes to destination whenever the buffer is full and at the
// end. It returns the number of bytes sent.
func Write(destination io.Writer, pool *Pool, words ...string) (sent int, err error) {
	b, err := pool.get(true)
	if err != nil {
		return 0, err
	}
	defer pool.put(b)
	w := writer{destination: destination, buffer: b}
	w.length(arrayType, len(words))
	for _, word := range words {
		w.length(bulkStringType, len(word))
		w.text(word)
		w.text("\r\n")
	}
	w.flush()
	return w.sent, w.err
}

// writer collects bytes in a buffer and keeps the first error.
type writer struct {
	destination io.Writer
	buffer      *buffer
	filled      int
	sent        int
	err         error
}

func (w *writer) length(typeByte byte, n int) {
	var line [maxLengthDigits + 4]byte
	w.text(string(append(strconv.AppendInt(append(line[:0], typeByte), int64(n), 10), '\r', '\n')))
}

func (w *writer) text(s string) {
	for len(s) > 0 {
		if w.filled == BufferSize {
			w.flush()
		}
		n := copy(w.buffer[w.filled:], s)
		w.filled += n
		s = s[n:]
	}
}

func (w *writer) flush() {
	if w.err == nil && w.filled > 0 {
		n, err := w.destination.Write(w.buffer[:w.filled])
		w.sent += n
		w.err = err
	}
	w.filled = 0
}
