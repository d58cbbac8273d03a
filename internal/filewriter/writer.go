// Package filewriter writes files atomically, so that a reader finds them complete or not at all, and writes the newest of
// many values without blocking the caller. Directory is a directory in the file system. Writer holds the newest value and
// writes it from a goroutine of its own; while writes fail, it backs off.
package filewriter

import (
	"context"
	"sync"
	"time"
)

// Config configures a Writer. Its functions are called only by the goroutine that calls Run.
type Config[T any] struct {
	// Write writes one value. Submit does not wait for it.
	Write func(value T) error
	// OnFailure is called for the first failed write, and for the first one after a success. final is true if this is the
	// write at the end of Run.
	OnFailure func(value T, err error, final bool)
	// OnRecovery is called for the first successful write after a failed one. final is as for OnFailure.
	OnRecovery func(value T, final bool)
	// Interval is the pause after a successful write; if it is 0, the next value is written without a pause.
	Interval time.Duration
	// Backoff returns the time until the next write after a number of consecutive failures.
	Backoff func(failures int) time.Duration
	// Retry enables retries: a value whose write failed is written again after the backoff, unless a newer value arrives
	// earlier, which is written at once. Without Retry the failed value is dropped, and newer values wait for the backoff.
	Retry bool
}

// Writer writes the newest submitted value.
type Writer[T any] struct {
	config   Config[T]
	submitMu sync.Mutex // held while latest is replaced
	latest   chan T     // holds one value at most
	failures int        // consecutive failed writes
	done     chan struct{}
}

// New returns a writer that writes nothing until Run is called.
func New[T any](config Config[T]) *Writer[T] {
	return &Writer[T]{config: config, latest: make(chan T, 1), done: make(chan struct{})}
}

// Submit passes a value to the writer, and reports whether it replaces a value that has not been written yet. The caller
// must not change the value afterwards. Submit does not wait for writes.
func (w *Writer[T]) Submit(value T) (replaced bool) {
	w.submitMu.Lock()
	defer w.submitMu.Unlock()
	select {
	case <-w.latest:
		replaced = true
	default:
	}
	w.latest <- value
	return replaced
}

// Run writes submitted values until ctx ends. It then writes the last submitted value once, unless a write of it was already
// tried.
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

// next waits for a value. ok is false if ctx has ended, even if a value is waiting.
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

// writeAndPause writes a value. If that fails and Retry is set, it writes the value or newer ones until a write succeeds. It
// returns when the next value may be written or ctx has ended.
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

// awaitRetry returns the value to write next: the one that failed, after the backoff, or a newer one as soon as it is
// submitted. ok is false if ctx has ended.
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

// write writes a value, reports failures and recoveries to the functions of Config, and returns whether the write succeeded.
func (w *Writer[T]) write(value T, final bool) bool {
	err := w.config.Write(value)
	switch {
	case err != nil && w.failures == 0:
		w.config.OnFailure(value, err, final)
	case err == nil && w.failures > 0:
		w.config.OnRecovery(value, final)
	}
	if err != nil {
		w.failures++
		return false
	}
	w.failures = 0
	return true
}

// sleep blocks for wait, or until ctx ends.
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
