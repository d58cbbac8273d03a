package main

import (
	"io"
	"strings"
	"testing"
)

// Writes do not block while the reader of the log does not read, and the lines that are not dropped are written completely.
func TestLogWriterNeverBlocks(t *testing.T) {
	reader, destination := io.Pipe()
	writer := newLogWriter(destination)
	for range 2 * logBufferLines {
		writer.Write([]byte("line\n"))
	}
	if lost := writer.lost.Load(); lost < logBufferLines-1 || lost > logBufferLines {
		t.Errorf("%d lines are lost, want %d or one less", lost, logBufferLines)
	}
	writer.close() // returns at its timeout, as the lines are not read yet
	go func() { <-writer.done; destination.Close() }()
	if text, _ := io.ReadAll(reader); strings.Count(string(text), "line\n") != 2*logBufferLines-int(writer.lost.Load()) {
		t.Errorf("%d bytes read, want exactly the lines that were not dropped", len(text))
	}
}
