package main

import (
	"context"
	"errors"
	"time"

	"lilacbend/internal/filewriter"
)

const (
	// inUseTimeout is how long the acquisition of an address or folder is retried while another process uses it. The
	// previous process may still be shutting down when its successor starts, which takes less than this.
	inUseTimeout = time.Second
	// inUseRetryInterval is the time between two attempts.
	inUseRetryInterval = 20 * time.Millisecond
)

// acquireFolder acquires the lock of a folder for owner. While another process holds the lock, it retries until ctx ends,
// for at most inUseTimeout.
func acquireFolder(ctx context.Context, folder filewriter.Directory, owner string) (lock *filewriter.Lock, err error) {
	err = retryWhileInUse(ctx, func() (inUse bool, err error) {
		lock, err = folder.Acquire(owner)
		var locked *filewriter.LockedError
		return errors.As(err, &locked), err
	})
	return lock, err
}

// retryWhileInUse calls acquire until it no longer reports inUse, ctx ends or inUseTimeout has passed. It returns the last
// error of acquire.
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
