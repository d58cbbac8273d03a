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

// Tally counts what a keeper has done.
type Tally struct {
	Offered, Written, Bytes, Failed, Skipped atomic.Int64 // Skipped: replaced by a newer one before it was written
	Generation, Took                         atomic.Int64 // the last one, and its nanoseconds
}

// Keeper writes memories to a disk from a goroutine of its own, so that however slow, full or far away the disk
// is, it costs freshness and nothing else.
type Keeper struct {
	Tally Tally
	disk  Disk
	keep  int
	every time.Duration
	again func() error // holds the folder once more, when it had vanished
	log   *slog.Logger
	slot  chan learnedstate.Memory
	ended chan struct{}
}

// NewKeeper makes a keeper of so many generations that writes no oftener than every so long; again is called
// after the folder had vanished.
func NewKeeper(d Disk, keep int, every time.Duration, again func() error, log *slog.Logger) *Keeper {
	return &Keeper{disk: d, keep: keep, every: every, again: again, log: log, slot: make(chan learnedstate.Memory, 1),
		ended: make(chan struct{})}
}

// Offer hands over a memory, which must not change any more. The newest offered is written; it never waits. One
// goroutine may offer.
func (k *Keeper) Offer(m learnedstate.Memory) {
	k.Tally.Offered.Add(1)
	select {
	case <-k.slot:
		k.Tally.Skipped.Add(1)
	default:
	}
	k.slot <- m
}

// Run writes what is offered until ctx ends, and then what was offered last.
func (k *Keeper) Run(ctx context.Context) {
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
					k.log.Info("state is kept again", "generation", k.Tally.Generation.Load())
				}
			}
			if err == nil {
				before = k.Tally.Failed.Load()
			}
			if pause = k.every; failing {
				pause = min(max(failedMost, k.every), k.every<<min(k.Tally.Failed.Load()-before, 10))
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

func (k *Keeper) write(m learnedstate.Memory) error {
	begun := time.Now()
	g, err := Write(k.disk, m, k.keep)
	if errors.Is(err, fs.ErrNotExist) && k.again != nil {
		if err = k.again(); err == nil {
			g, err = Write(k.disk, m, k.keep)
		}
	}
	if err != nil {
		k.Tally.Failed.Add(1)
		return err
	}
	k.Tally.Written.Add(1)
	k.Tally.Bytes.Add(int64(g.Bytes))
	k.Tally.Generation.Store(int64(g.Number))
	k.Tally.Took.Store(int64(time.Since(begun)))
	return nil
}

// Ended is closed once Run has returned.
func (k *Keeper) Ended() <-chan struct{} { return k.ended }
