package snapshot

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"sync/atomic"
	"time"

	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
)

const (
	// maxRetryInterval is the longest time between two writes while they fail, unless the usual one is longer: a full disk is not
	// emptied by trying, and one that is back is used within this time.
	maxRetryInterval = time.Minute
	// maxDoublings is how many times the interval doubles while writes fail.
	maxDoublings = 10
)

// Counters count what a Writer has done.
type Counters struct {
	Offered    atomic.Int64
	Written    atomic.Int64
	Bytes      atomic.Int64
	Failed     atomic.Int64
	Skipped    atomic.Int64 // replaced by a newer one before they were written
	Generation atomic.Int64 // the last one
	Duration   atomic.Int64 // that it took to be written, in nanoseconds
}

// Writer writes states as generations from a goroutine of its own, so that a disk that is slow, full or gone costs freshness and
// nothing else.
type Writer struct {
	Counters Counters
	writer   *filewriter.Writer[learnedstate.State]
	storage  Storage
	keep     int
	reopen   func() error
	log      *slog.Logger
}

// NewWriter returns a writer that leaves keep generations and writes one in each interval at most. reopen is called when the
// directory has vanished; nil: nothing brings it back.
func NewWriter(storage Storage, keep int, interval time.Duration, reopen func() error, log *slog.Logger) *Writer {
	w := &Writer{storage: storage, keep: keep, reopen: reopen, log: log}
	w.writer = filewriter.New(filewriter.Config[learnedstate.State]{
		Write:     w.write,
		Failed:    w.logFailure,
		Recovered: w.logRecovery,
		Interval:  interval,
		Backoff: func(failures int) time.Duration {
			return min(max(maxRetryInterval, interval), interval<<min(failures, maxDoublings))
		},
	})
	return w
}

// Submit hands over a state, which must not change any more. The newest one is written. It does not wait for the disk.
func (w *Writer) Submit(state learnedstate.State) {
	w.Counters.Offered.Add(1)
	if w.writer.Submit(state) {
		w.Counters.Skipped.Add(1)
	}
}

// Run writes what is submitted until ctx ends, and then what was submitted last.
func (w *Writer) Run(ctx context.Context) { w.writer.Run(ctx) }

// Done is closed once Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.writer.Done() }

// write writes one generation. If the directory has vanished it is opened again and the write tried once more.
func (w *Writer) write(state learnedstate.State) error {
	started := time.Now()
	generation, err := Write(w.storage, state, w.keep)
	if errors.Is(err, fs.ErrNotExist) && w.reopen != nil {
		err = w.reopen()
		if err == nil {
			generation, err = Write(w.storage, state, w.keep)
		}
	}
	if err != nil {
		w.Counters.Failed.Add(1)
		return err
	}
	w.Counters.Written.Add(1)
	w.Counters.Bytes.Add(int64(generation.Bytes))
	w.Counters.Generation.Store(int64(generation.Number))
	w.Counters.Duration.Store(int64(time.Since(started)))
	return nil
}

func (w *Writer) logFailure(_ learnedstate.State, err error, final bool) {
	if final {
		w.log.Warn("last state not written", "error", err)
		return
	}
	w.log.Warn("state not written", "error", err)
}

func (w *Writer) logRecovery(_ learnedstate.State, final bool) {
	if !final {
		w.log.Info("state written again", "generation", w.Counters.Generation.Load())
	}
}
