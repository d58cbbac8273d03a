package main

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logBufferLines is the maximum number of lines that wait to be written. Further lines are dropped, so that the program
	// does not block when the reader of its log has stopped.
	logBufferLines = 1024
	// logCloseTimeout limits the time for writing the waiting lines at shutdown. Together with the shutdown of connections
	// it stays below 0.7 s, after which SIGKILL may follow SIGTERM.
	logCloseTimeout = 200 * time.Millisecond
)

// logWriter writes lines on its own goroutine, so that callers of Write never block.
type logWriter struct {
	destination io.Writer
	lines       chan []byte
	closing     chan struct{}
	done        chan struct{} // closed when the goroutine has ended
	lost        atomic.Int64  // dropped lines
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

// Write enqueues one line; slog calls it once for each line. It never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// close blocks until the waiting lines are written, for at most logCloseTimeout.
func (w *logWriter) close() {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(logCloseTimeout):
	}
}
