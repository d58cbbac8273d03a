package main

import (
	"context"
	"errors"
	"time"

	"lilacbend/internal/filewriter"
)

const (
	// inUseTimeout is how long an address or a folder in use is retried. A process that starts again may find the previous one
	// still ending, which takes less.
	inUseTimeout = time.Second
	// inUseRetryInterval separates the retries.
	inUseRetryInterval = 20 * time.Millisecond
)

// acquireFolder acquires the lock of a folder for owner. It retries while another process has the lock, until ctx ends or for
// inUseTimeout.
func acquireFolder(ctx context.Context, folder filewriter.Directory, owner string) (lock *filewriter.Lock, err error) {
	err = retryWhileInUse(ctx, func() (inUse bool, err error) {
		lock, err = folder.Acquire(owner)
		var locked *filewriter.LockedError
		return errors.As(err, &locked), err
	})
	return lock, err
}

// retryWhileInUse calls acquire until it does not report inUse, until ctx ends or for inUseTimeout, and returns its last error.
func retryWhileInUse(ctx context.Context, acquire func() (inUse bool, err error)) error {
	start := time.Now()
	for {
		inUse, err := acquire()
		if !inUse || time.Since(start) > inUseTimeout {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(inUseRetryInterval):
		}
	}
}
