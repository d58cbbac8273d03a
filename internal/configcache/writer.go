package configcache

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"sync/atomic"
	"time"

	"lilacbend/internal/backoff"
	"lilacbend/internal/filewriter"
)

const (
	fileName = "settings"
	// A failed write is retried after minRetryInterval at first and after maxRetryInterval at most.
	minRetryInterval = time.Second
	maxRetryInterval = time.Minute
)

// Storage is the directory of the file. Replace writes a file completely or not at all, and returns once it is durable.
type Storage interface {
	Read(name string, maxBytes int64) ([]byte, error)
	Replace(name string, data []byte) error
}

// Load reads the record of a directory; found is false where there is none.
func Load(storage Storage) (r Record, found bool, err error) {
	raw, err := storage.Read(fileName, MaxFileSize)
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	r, err = Decode(raw)
	return r, err == nil, err
}

// Write writes a record in place of the one before.
func Write(storage Storage, r Record) error {
	raw, err := Encode(r)
	if err != nil {
		return fmt.Errorf("encoding it: %w", err)
	}
	return storage.Replace(fileName, raw)
}

// Counters count what a Writer has done.
type Counters struct {
	Written atomic.Int64
	Failed  atomic.Int64
}

// Writer writes the record in force from a goroutine of its own. A disk that is slow, full or gone costs what a restart would
// begin with, and nothing else.
type Writer struct {
	Counters Counters
	writer   *filewriter.Writer[Record]
	storage  Storage
	log      *slog.Logger
}

// NewWriter returns a writer, whose Run has to be called.
func NewWriter(storage Storage, seed uint64, log *slog.Logger) *Writer {
	w := &Writer{storage: storage, log: log}
	retry := backoff.NewJittered(minRetryInterval, maxRetryInterval, seed)
	w.writer = filewriter.New(filewriter.Config[Record]{
		Write:     w.write,
		Failed:    w.logFailure,
		Recovered: w.logRecovery,
		Retry:     true,
		Backoff: func(failures int) time.Duration {
			if failures == 1 {
				retry.Reset()
			}
			return retry.Next()
		},
	})
	return w
}

// Submit hands over the record in force. It replaces one that was not written yet, and does not wait for the disk.
func (w *Writer) Submit(r Record) { w.writer.Submit(r) }

// Run writes what is submitted until ctx ends, and then what was submitted last.
func (w *Writer) Run(ctx context.Context) { w.writer.Run(ctx) }

func (w *Writer) write(r Record) error {
	if err := Write(w.storage, r); err != nil {
		w.Counters.Failed.Add(1)
		return err
	}
	w.Counters.Written.Add(1)
	return nil
}

func (w *Writer) logFailure(r Record, err error, _ bool) {
	w.log.Warn("configuration not cached", "version", r.Version.String(), "error", err)
}

func (w *Writer) logRecovery(r Record, _ bool) {
	w.log.Info("configuration cached again", "version", r.Version.String())
}
