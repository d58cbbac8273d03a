package main

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logBufferLines is how many lines may wait to be written. Further ones are lost: a reader of the log that has stopped must
	// not stop the program.
	logBufferLines = 1024
	// logCloseTimeout is how long waiting lines may take to be written at the end. With the shutdown of connections it stays
	// within 0.7 s, after which SIGKILL may follow SIGTERM.
	logCloseTimeout = 200 * time.Millisecond
)

// logWriter writes lines on its own goroutine, so that callers of Write never wait.
type logWriter struct {
	destination io.Writer
	lines       chan []byte
	closing     chan struct{}
	done        chan struct{} // closed when the goroutine has ended
	lost        atomic.Int64  // lines
}

func newLogWriter(destination io.Writer) *logWriter {
	w := &logWriter{
		destination: destination,
		lines:       make(chan []byte, logBufferLines),
		closing:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	go w.run()
	return w
}

func (w *logWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.destination.Write(line)
		case <-w.closing:
			w.writeWaiting()
			return
		}
	}
}

func (w *logWriter) writeWaiting() {
	for waiting := len(w.lines); waiting > 0; waiting-- {
		w.destination.Write(<-w.lines)
	}
}

// Write enqueues one line, which is how slog calls it. It never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// close waits for the lines that wait, at most for logCloseTimeout.
func (w *logWriter) close() {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(logCloseTimeout):
	}
}
