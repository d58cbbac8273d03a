// Package filewriter writes files so that a reader finds them complete or not at all, and writes the newest of many values
// without holding up whoever has them. Directory is a directory of the file system; Writer keeps the newest value and writes
// it from a goroutine of its own, less and less often while that fails.
package filewriter

import (
	"context"
	"sync"
	"time"
)

// Config says how a Writer writes. Its functions are called by the goroutine of Run alone.
type Config[T any] struct {
	// Write writes one value. However long it takes, Submit does not wait for it.
	Write func(value T) error
	// Failed is called for the first failure after a success; final says that the writer ends with this value.
	Failed func(value T, err error, final bool)
	// Recovered is called for the first success after a failure.
	Recovered func(value T, final bool)
	// Interval is the least time between two writes; 0: a value is written as soon as the one before it.
	Interval time.Duration
	// Backoff returns the time to the next write after so many failures in a row.
	Backoff func(failures int) time.Duration
	// Retry has a value that failed written again after the backoff, or a newer one at once when it arrives. Without it a value
	// that failed is dropped, and newer ones wait for the backoff.
	Retry bool
}

// Writer writes the newest value that it was given.
type Writer[T any] struct {
	config   Config[T]
	submit   sync.Mutex // held while latest is replaced
	latest   chan T     // holds one value at most
	failures int        // in a row
	done     chan struct{}
}

// New returns a writer, whose Run has to be called.
func New[T any](config Config[T]) *Writer[T] {
	return &Writer[T]{config: config, latest: make(chan T, 1), done: make(chan struct{})}
}

// Submit hands over a value, which must not change any more, and reports whether it replaces one that was not written yet. It
// does not wait for writes.
func (w *Writer[T]) Submit(value T) (replaced bool) {
	w.submit.Lock()
	defer w.submit.Unlock()
	select {
	case <-w.latest:
		replaced = true
	default:
	}
	w.latest <- value
	return replaced
}

// Run writes what is submitted until ctx ends, and then once what was submitted last, if that is not written yet.
func (w *Writer[T]) Run(ctx context.Context) {
	defer close(w.done)
	for {
		value, ok := w.next(ctx)
		if !ok {
			break
		}
		w.writeAndPause(ctx, value)
	}
	select {
	case value := <-w.latest:
		w.write(value, true)
	default:
	}
}

// Done is closed once Run has returned.
func (w *Writer[T]) Done() <-chan struct{} { return w.done }

// next waits for a value; false: ctx has ended, even if there is a value.
func (w *Writer[T]) next(ctx context.Context) (value T, ok bool) {
	if ctx.Err() != nil {
		return value, false
	}
	select {
	case value = <-w.latest:
		return value, true
	case <-ctx.Done():
		return value, false
	}
}

// writeAndPause writes a value, or newer ones if it fails and is to be retried, and returns when the next one may be written
// or ctx has ended.
func (w *Writer[T]) writeAndPause(ctx context.Context, value T) {
	for !w.write(value, false) {
		backoff := w.config.Backoff(w.failures)
		if !w.config.Retry {
			sleep(ctx, backoff)
			return
		}
		newest, ok := w.awaitRetry(ctx, value, backoff)
		if !ok {
			return
		}
		value = newest
	}
	sleep(ctx, w.config.Interval)
}

// awaitRetry returns the value to be written next: the one that failed after the backoff, or a newer one at once; false: ctx
// has ended.
func (w *Writer[T]) awaitRetry(ctx context.Context, failed T, backoff time.Duration) (newest T, ok bool) {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return failed, true
	case newer := <-w.latest:
		return newer, true
	case <-ctx.Done():
		return failed, false
	}
}

// write writes a value and reports whether that succeeded.
func (w *Writer[T]) write(value T, final bool) bool {
	err := w.config.Write(value)
	switch {
	case err != nil && w.failures == 0:
		w.config.Failed(value, err, final)
	case err == nil && w.failures > 0:
		w.config.Recovered(value, final)
	}
	if err != nil {
		w.failures++
		return false
	}
	w.failures = 0
	return true
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
