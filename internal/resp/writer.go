package resp

import (
	"io"
	"strconv"
)

// Write sends one message over one pooled buffer, filled as often as it takes. It says how many bytes went.
func Write(dst io.Writer, pool *Pool, words ...string) (sent int, err error) {
	b, err := pool.take(true)
	if err != nil {
		return 0, err
	}
	defer pool.give(b)
	w := writer{dst: dst, buf: b}
	w.length('*', len(words))
	for _, word := range words {
		w.length('$', len(word))
		w.text(word)
		w.text("\r\n")
	}
	w.flush()
	return w.sent, w.err
}

type writer struct {
	dst  io.Writer
	buf  *buffer
	fill int
	sent int
	err  error
}

func (w *writer) length(sign byte, n int) {
	var line [numberMost + 4]byte
	w.text(string(append(strconv.AppendInt(append(line[:0], sign), int64(n), 10), '\r', '\n')))
}

func (w *writer) text(s string) {
	for len(s) > 0 {
		if w.fill == BufferSize {
			w.flush()
		}
		n := copy(w.buf[w.fill:], s)
		w.fill, s = w.fill+n, s[n:]
	}
}

func (w *writer) flush() {
	if w.err == nil && w.fill > 0 {
		n, err := w.dst.Write(w.buf[:w.fill])
		w.sent, w.err = w.sent+n, err
	}
	w.fill = 0
}
