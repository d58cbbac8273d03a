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

// Storage is the directory that holds the file. Replace writes a file completely or not at all, and returns once it is
// durable.
type Storage interface {
	Read(name string, maxBytes int64) ([]byte, error)
	Replace(name string, data []byte) error
}

// Load reads the record from storage. found is false if there is no file, or if the file cannot be used; then err says why.
func Load(storage Storage) (r Record, found bool, err error) {
	raw, err := storage.Read(fileName, maxFileSize)
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	r, err = Decode(raw)
	return r, err == nil, err
}

// Write replaces the record in storage.
func Write(storage Storage, r Record) error {
	raw, err := Encode(r)
	if err != nil {
		return fmt.Errorf("encoding the record: %w", err)
	}
	return storage.Replace(fileName, raw)
}

// Counters counts the successful and failed writes of a Writer.
type Counters struct {
	Written atomic.Int64
	Failed  atomic.Int64
}

// Writer writes the record of the active settings from a goroutine of its own. If the disk is slow, full or gone, a
// restarted controller lacks the newest record; nothing else is affected.
type Writer struct {
	Counters Counters
	writer   *filewriter.Writer[Record]
	storage  Storage
	log      *slog.Logger
}

// NewWriter returns a writer that writes nothing until Run is called.
func NewWriter(storage Storage, seed uint64, log *slog.Logger) *Writer {
	w := &Writer{storage: storage, log: log}
	retry := backoff.NewJittered(minRetryInterval, maxRetryInterval, seed)
	w.writer = filewriter.New(filewriter.Config[Record]{
		Write:      w.write,
		OnFailure:  w.logFailure,
		OnRecovery: w.logRecovery,
		Retry:      true,
		Backoff: func(failures int) time.Duration {
			if failures == 1 {
				retry.Reset()
			}
			return retry.Next()
		},
	})
	return w
}

// Submit passes the record of the active settings to the writer. It replaces a record that has not been written yet, and
// does not wait for the disk.
func (w *Writer) Submit(r Record) { w.writer.Submit(r) }

// Run writes submitted records until ctx ends. It then writes the last submitted record once, unless a write of it was
// already tried.
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
