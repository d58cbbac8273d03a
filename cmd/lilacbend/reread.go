package main

import (
	"context"
	"os"
	"time"

	"lilacbend/internal/backoff"
)

// A file that cannot be used is one that is still being written, which takes milliseconds, or one that waits for a hand. It is
// read again after rereadInitial, then half as often each time, down to once in rereadLimit: at the discovery that it names
// lists count as told after 6 s, and one small file a second is no load.
const (
	rereadInitial = 50 * time.Millisecond
	rereadLimit   = time.Second
)

// reloadOnHangup calls load at each signal, until ctx ends. The signal may come before the file that load reads is whole, and
// is not sent twice: after an error load is called again until it succeeds, or until the next signal. signalled tells load
// whether a signal has just come.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, load func(signalled bool) error) {
	retry := backoff.New(rereadInitial, rereadLimit)
	var due <-chan time.Time // nil: there is nothing to try again
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
			retry.Reset()
		case <-due:
		}
		due = nil
		if load(signalled) != nil {
			due = time.After(retry.Next())
		}
	}
}
