package main

import (
	"io"
	"strings"
	"testing"
)

// Writes do not block if the log is not read, and the lines that are not lost are complete.
func TestLogWriterNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	b := newLogWriter(w)
	for range 2 * logBufferLines {
		b.Write([]byte("line\n"))
	}
	if lost := b.lost.Load(); lost < logBufferLines-1 || lost > logBufferLines {
		t.Errorf("%d lines are lost", lost)
	}
	b.close() // gives up
	go func() { <-b.done; w.Close() }()
	if text, _ := io.ReadAll(r); strings.Count(string(text), "line\n") != 2*logBufferLines-int(b.lost.Load()) {
		t.Errorf("%d bytes read", len(text))
	}
}
