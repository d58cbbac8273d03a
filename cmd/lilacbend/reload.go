package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"lilacbend/internal/backoff"
	"lilacbend/internal/discovery"
	"lilacbend/internal/eventloop"
)

// rereadInitial and rereadLimit are the first and the longest backoff before an unusable file is read again. Such a file is
// either still being written, which takes milliseconds, or has to be corrected. The limit is well below the 6 s after which
// a list from the service discovery that the file names counts as delivered.
const (
	rereadInitial = 50 * time.Millisecond
	rereadLimit   = time.Second
)

// reloadOnHangup calls load at each hangup signal, until ctx ends. The signal may arrive before the file that load reads is
// complete, and is not sent a second time. After an error, load is therefore called again with backoff until it succeeds; a
// new signal calls it at once and resets the backoff. signalled reports whether load is called for a signal and not as a
// retry.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, load func(signalled bool) error) {
	retry := backoff.New(rereadInitial, rereadLimit)
	var due <-chan time.Time // nil: no retry is pending
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
		err := load(signalled)
		if err != nil {
			due = time.After(retry.Next())
		}
	}
}

// reloader reloads a controller's configuration at each hangup signal.
type reloader struct {
	hangups <-chan os.Signal
	options options // of the command line
}

// read reads the configuration. Unlike at the start, the discovery address in the file takes precedence over the
// options. A panic is returned as an error, so that an unusable file does not end the program.
func (r reloader) read() (c configuration, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic: %v", v)
		}
	}()
	opts := r.options
	opts.discovery = ""
	return readConfiguration(opts)
}

// run reloads the configuration at each hangup signal, until ctx ends. Only a change of the discovery address takes effect
// at once; all other changes require a restart. A failed reload is logged and counted once for each signal, not at each
// retry.
func (r reloader) run(ctx context.Context, running configuration, client *discovery.Client, queues *eventloop.Queues, log *slog.Logger) {
	reloadOnHangup(ctx, r.hangups, func(signalled bool) error {
		next, err := r.read()
		if err != nil {
			if signalled {
				queues.Counters.ReloadsFailed.Add(1)
				log.Error("configuration reload failed, keeping the current configuration", "error", err, "again_every", rereadLimit)
			}
			return err
		}
		queues.Counters.ReloadsApplied.Add(1)
		log.Info("configuration reloaded", "discovery", next.discovery)
		client.SetAddress(next.discovery)
		parts := running.changesAtRestart(next)
		if len(parts) > 0 {
			log.Warn("configuration changes require a restart", "fields", parts)
		}
		return nil
	})
}
