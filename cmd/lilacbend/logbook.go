package main

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// So many lines may wait for whoever reads the log: a day of changes of mode. Past it lines are lost, as a
	// reader that has stopped must not stop the governor.
	logLines = 1024
	// At the end what waits gets so long: with the parting of connections it stays well within 0.7 s.
	logParting = 200 * time.Millisecond
)

// logbook writes lines from a goroutine of its own.
type logbook struct {
	lines       chan []byte
	ending, end chan struct{}
	lost        atomic.Int64
}

func newLogbook(w io.Writer) *logbook {
	b := &logbook{lines: make(chan []byte, logLines), ending: make(chan struct{}), end: make(chan struct{})}
	go func() {
		defer close(b.end)
		for {
			select {
			case line := <-b.lines:
				w.Write(line)
			case <-b.ending:
				for left := len(b.lines); left > 0; left-- {
					w.Write(<-b.lines)
				}
				return
			}
		}
	}()
	return b
}

// Write takes one line, as slog writes them.
func (b *logbook) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.lost.Add(1)
	}
	return len(line), nil
}

// close waits for what is left, but not for long.
func (b *logbook) close() {
	close(b.ending)
	select {
	case <-b.end:
	case <-time.After(logParting):
	}
}
