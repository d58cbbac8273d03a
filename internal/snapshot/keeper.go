package snapshot

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"sync/atomic"
	"time"

	"lilacbend/internal/learnedstate"
)

// While writes fail they are tried less and less often, down to once in so long: a full disk is not made
// emptier by asking, and one that is back is used within that time.
const failedMost = time.Minute

// Counters counts what a keeper has done.
type Counters struct {
	Offered, Written, Bytes, Failed, Skipped atomic.Int64 // Skipped: replaced by a newer one before it was written
	Generation, Duration                     atomic.Int64 // the last one, and its nanoseconds
}

// Writer writes memories to a disk from a goroutine of its own, so that however slow, full or far away the disk
// is, it costs freshness and nothing else.
type Writer struct {
	Counters Counters
	disk     Storage
	keep     int
	every    time.Duration
	again    func() error // holds the folder once more, when it had vanished
	log      *slog.Logger
	slot     chan learnedstate.State
	ended    chan struct{}
}

// NewWriter makes a keeper of so many generations that writes no oftener than every so long; again is called
// after the folder had vanished.
func NewWriter(d Storage, keep int, every time.Duration, again func() error, log *slog.Logger) *Writer {
	return &Writer{disk: d, keep: keep, every: every, again: again, log: log, slot: make(chan learnedstate.State, 1),
		ended: make(chan struct{})}
}

// Submit hands over a memory, which must not change any more. The newest offered is written; it never waits. One
// goroutine may offer.
func (k *Writer) Submit(m learnedstate.State) {
	k.Counters.Offered.Add(1)
	select {
	case <-k.slot:
		k.Counters.Skipped.Add(1)
	default:
	}
	k.slot <- m
}

// Run writes what is offered until ctx ends, and then what was offered last.
func (k *Writer) Run(ctx context.Context) {
	defer close(k.ended)
	failing, pause, before := false, k.every, int64(0) // before: failures until the last success
	for {
		select {
		case m := <-k.slot:
			err := k.write(m)
			if failing != (err != nil) {
				if failing = err != nil; failing {
					k.log.Warn("state is not kept", "error", err)
				} else {
					k.log.Info("state is kept again", "generation", k.Counters.Generation.Load())
				}
			}
			if err == nil {
				before = k.Counters.Failed.Load()
			}
			if pause = k.every; failing {
				pause = min(max(failedMost, k.every), k.every<<min(k.Counters.Failed.Load()-before, 10))
			}
		case <-ctx.Done():
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			select {
			case m := <-k.slot:
				if err := k.write(m); err != nil && !failing {
					k.log.Warn("the last state is not kept", "error", err)
				}
			default:
			}
			return
		}
	}
}

func (k *Writer) write(m learnedstate.State) error {
	begun := time.Now()
	g, err := Write(k.disk, m, k.keep)
	if errors.Is(err, fs.ErrNotExist) && k.again != nil {
		if err = k.again(); err == nil {
			g, err = Write(k.disk, m, k.keep)
		}
	}
	if err != nil {
		k.Counters.Failed.Add(1)
		return err
	}
	k.Counters.Written.Add(1)
	k.Counters.Bytes.Add(int64(g.Bytes))
	k.Counters.Generation.Store(int64(g.Number))
	k.Counters.Duration.Store(int64(time.Since(begun)))
	return nil
}

// Done is closed once Run has returned.
func (k *Writer) Done() <-chan struct{} { return k.ended }
