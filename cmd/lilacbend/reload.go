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

// rereadInitial and rereadLimit bound the backoff after which a file that cannot be used is read again: it is still being
// written, which takes milliseconds, or has to be corrected. The limit is well below the 6 s after which a list of the service
// discovery that the file names counts as delivered.
const (
	rereadInitial = 50 * time.Millisecond
	rereadLimit   = time.Second
)

// reloadOnHangup calls load at each signal, until ctx ends. The signal may come before the file that load reads is complete, and
// is not sent twice: after an error load is called again until it succeeds, or until the next signal. signalled is whether load
// is called for a new signal.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, load func(signalled bool) error) {
	retry := backoff.New(rereadInitial, rereadLimit)
	var due <-chan time.Time // nil: there is nothing to retry
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

// reloader reads a controller's configuration again at each hangup signal.
type reloader struct {
	hangups <-chan os.Signal
	options options // of the command line
}

// read reads the configuration again. Its address of discovery takes precedence over the options now. A panic is returned as an
// error: the program goes on with an unusable file.
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

// run reads the configuration again at each signal, until ctx ends. Only the address of discovery changes at once, all else at the
// next start. A configuration that cannot be used is logged and counted once.
func (r reloader) run(ctx context.Context, running configuration, client *discovery.Client, queues *eventloop.Queues, log *slog.Logger) {
	reloadOnHangup(ctx, r.hangups, func(signalled bool) error {
		next, err := r.read()
		if err != nil {
			if signalled {
				queues.Counters.ReloadsFailed.Add(1)
				log.Error("the new configuration cannot be used, the old one goes on", "error", err, "again_every", rereadLimit)
			}
			return err
		}
		queues.Counters.Reloads.Add(1)
		log.Info("read again", "discovery", next.discovery)
		client.SetAddress(next.discovery)
		parts := running.changesAtRestart(next)
		if len(parts) > 0 {
			log.Warn("some of the new configuration waits for the next start", "fields", parts)
		}
		return nil
	})
}
