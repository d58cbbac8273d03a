package main

import (
	"context"
	"errors"
	"time"

	"lilacbend/internal/vault"
)

// holdFolder holds a folder for this process. One that is held is waited for, as whoever held it before a restart may still be
// ending: until ctx ends, and no longer than that may take.
func holdFolder(ctx context.Context, folder vault.Folder, who string) (*vault.Lock, error) {
	since := time.Now()
	for {
		lock, err := folder.Take(who)
		var held *vault.Held
		if !errors.As(err, &held) || time.Since(since) > inUseMost {
			return lock, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(inUsePause):
		}
	}
}
