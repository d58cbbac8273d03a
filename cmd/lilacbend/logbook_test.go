package main

import (
	"io"
	"strings"
	"testing"
)

// A log that nobody reads holds up nobody, and is whole for who does.
func TestALogThatIsNotReadHoldsUpNobody(t *testing.T) {
	r, w := io.Pipe()
	b := newLogbook(w)
	for range 2 * logLines {
		b.Write([]byte("line\n"))
	}
	if lost := b.lost.Load(); lost < logLines-1 || lost > logLines {
		t.Errorf("%d lines are lost", lost)
	}
	b.close() // gives up
	go func() { <-b.end; w.Close() }()
	if text, _ := io.ReadAll(r); strings.Count(string(text), "line\n") != 2*logLines-int(b.lost.Load()) {
		t.Errorf("%d bytes read", len(text))
	}
}
