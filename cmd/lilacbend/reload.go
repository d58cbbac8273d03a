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

// reloader reads a governor's configuration again at each hangup signal.
type reloader struct {
	hangups <-chan os.Signal
	options options // of the start
}

// read reads the configuration again. What it says of discovery now takes precedence over the options. A panic is an error,
// as a file of no use is no reason to end.
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

// run reads the configuration again whenever that is asked for, until ctx ends. Discovery moves; all else that a configuration
// holds is for the next start. A configuration that cannot be used is logged and counted once.
func (r reloader) run(ctx context.Context, running configuration, client *discovery.Client, x *eventloop.Exchange, log *slog.Logger) {
	reloadOnHangup(ctx, r.hangups, func(signalled bool) error {
		next, err := r.read()
		if err != nil {
			if signalled {
				x.Tally.Misread.Add(1)
				log.Error("the new configuration cannot be used, the old one goes on", "error", err, "again_every", rereadLimit)
			}
			return err
		}
		x.Tally.Reloads.Add(1)
		log.Info("read again", "discovery", next.discovery)
		client.SetAddress(next.discovery)
		if parts := running.changesAtRestart(next); len(parts) > 0 {
			log.Warn("some of the new configuration waits for the next start", "fields", parts)
		}
		return nil
	})
}
