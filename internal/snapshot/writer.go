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
	// maxRetryInterval is the maximum interval between writes while they fail, unless the regular interval is longer.
	// Frequent retries do not help on a full disk, and a disk that works again is used within this time.
	maxRetryInterval = time.Minute
	// maxDoublings is the maximum number of times that the interval is doubled while writes fail.
	maxDoublings = 10
)

// Counters are the counters of a Writer.
type Counters struct {
	Submitted         atomic.Int64 // submitted states
	Written           atomic.Int64 // generations written
	BytesWritten      atomic.Int64 // total size of the generations written
	Failed            atomic.Int64 // failed writes
	Skipped           atomic.Int64 // submitted states that were replaced by a newer one before they were written
	LastGeneration    atomic.Int64 // number of the last generation written
	LastWriteDuration atomic.Int64 // duration of the last successful write, in nanoseconds
}

// Writer writes states as generations in its own goroutine, so that a slow, full or missing disk only makes the stored state
// older and delays nothing else.
type Writer struct {
	Counters Counters
	writer   *filewriter.Writer[learnedstate.State]
	storage  Storage
	keep     int
	reopen   func() error
	log      *slog.Logger
}

// NewWriter returns a Writer that keeps the newest generations, as many as keep states, and writes at most one generation
// per interval. reopen is called when the directory no longer exists, to create it again. If reopen is nil, the directory is
// not created again.
func NewWriter(storage Storage, keep int, interval time.Duration, reopen func() error, log *slog.Logger) *Writer {
	w := &Writer{storage: storage, keep: keep, reopen: reopen, log: log}
	w.writer = filewriter.New(filewriter.Config[learnedstate.State]{
		Write:      w.write,
		OnFailure:  w.logFailure,
		OnRecovery: w.logRecovery,
		Interval:   interval,
		Backoff: func(failures int) time.Duration {
			return min(max(maxRetryInterval, interval), interval<<min(failures, maxDoublings))
		},
	})
	return w
}

// Submit submits a state, which must not be modified afterwards. Of the states that wait for a write, only the newest is
// written. Submit does not wait for the disk.
func (w *Writer) Submit(state learnedstate.State) {
	w.Counters.Submitted.Add(1)
	if w.writer.Submit(state) {
		w.Counters.Skipped.Add(1)
	}
}

// Run writes submitted states until ctx is done, and then the last submitted one if it has not been written.
func (w *Writer) Run(ctx context.Context) { w.writer.Run(ctx) }

// Done is closed once Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.writer.Done() }

// write writes one generation. If the directory no longer exists, write reopens it and retries once.
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
	w.Counters.BytesWritten.Add(int64(generation.Size))
	w.Counters.LastGeneration.Store(int64(generation.Number))
	w.Counters.LastWriteDuration.Store(int64(time.Since(started)))
	return nil
}

func (w *Writer) logFailure(_ learnedstate.State, err error, final bool) {
	if final {
		w.log.Warn("final learned state not written", "error", err)
		return
	}
	w.log.Warn("learned state not written", "error", err)
}

func (w *Writer) logRecovery(_ learnedstate.State, final bool) {
	if !final {
		w.log.Info("learned state written again after failures", "generation", w.Counters.LastGeneration.Load())
	}
}
