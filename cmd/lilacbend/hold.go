package main

import (
	"context"
	"errors"
	"time"

	"lilacbend/internal/filewriter"
)

// holdFolder holds a folder for this process. One that is held is waited for, as whoever held it before a restart may still be
// ending: until ctx ends, and no longer than that may take.
func holdFolder(ctx context.Context, folder filewriter.Directory, who string) (lock *filewriter.Lock, err error) {
	err = whileInUse(ctx, func() (inUse bool, err error) {
		lock, err = folder.Acquire(who)
		var held *filewriter.LockedError
		return errors.As(err, &held), err
	})
	return lock, err
}

// whileInUse tries to take something for as long as whoever came before may take to end, or until ctx ends, and returns the last
// error.
func whileInUse(ctx context.Context, take func() (inUse bool, err error)) error {
	since := time.Now()
	for {
		inUse, err := take()
		if !inUse || time.Since(since) > inUseMost {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(inUsePause):
		}
	}
}
