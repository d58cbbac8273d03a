package configcache

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/backoff"
)

const (
	fileName = "settings"
	// After a failed write there is a pause, from retryFirst up to retryMost.
	retryFirst, retryMost = time.Second, time.Minute
)

// Storage is a folder. Replace writes a file whole or not at all, and returns once it lasts.
type Storage interface {
	Read(name string, most int64) ([]byte, error)
	Replace(name string, data []byte) error
}

// Load reads the record of a folder; found is false where there is none.
func Load(disk Storage) (r Record, found bool, err error) {
	raw, err := disk.Read(fileName, FileMax)
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	r, err = Decode(raw)
	return r, err == nil, err
}

// Counters count what a keeper has done.
type Counters struct{ Written, Failed atomic.Int64 }

// Writer writes the record in force to a disk. A disk that is slow, full or gone costs what a restart would begin with, and
// nothing else.
type Writer struct {
	Counters Counters
	disk     Storage
	log      *slog.Logger
	mu       sync.Mutex // held by who hands over
	latest   chan Record
	retry    *backoff.Backoff
	failing  bool
}

// NewWriter makes a keeper, whose Run has to be called.
func NewWriter(disk Storage, seed uint64, log *slog.Logger) *Writer {
	return &Writer{disk: disk, log: log, latest: make(chan Record, 1), retry: backoff.NewJittered(retryFirst, retryMost, seed)}
}

// Submit hands over the record in force; it replaces one that was not written yet, and waits for no disk.
func (k *Writer) Submit(r Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.latest:
	default:
	}
	k.latest <- r
}

// Run writes what is handed over until ctx ends, and then what was handed over last.
func (k *Writer) Run(ctx context.Context) {
	for {
		select {
		case r := <-k.latest:
			k.writeUntilDone(ctx, r)
		case <-ctx.Done():
			k.writeLast()
			return
		}
	}
}

// writeUntilDone tries to write a record, or a newer one, until that has gone well or ctx ends.
func (k *Writer) writeUntilDone(ctx context.Context, r Record) {
	for !k.write(r) {
		pause := time.NewTimer(k.retry.Next())
		select {
		case <-pause.C:
		case r = <-k.latest:
			pause.Stop()
		case <-ctx.Done():
			pause.Stop()
			return
		}
	}
	k.retry.Reset()
}

// writeLast writes what still waits, once.
func (k *Writer) writeLast() {
	select {
	case r := <-k.latest:
		k.write(r)
	default:
	}
}

// write writes a record and says whether it went well. The log has the first failure and the first success after it.
func (k *Writer) write(r Record) bool {
	err := Write(k.disk, r)
	if err != nil {
		k.Counters.Failed.Add(1)
	} else {
		k.Counters.Written.Add(1)
	}
	switch {
	case err != nil && !k.failing:
		k.log.Warn("the configuration in force is not kept", "version", r.Version.String(), "error", err)
	case err == nil && k.failing:
		k.log.Info("the configuration in force is kept again", "version", r.Version.String())
	}
	k.failing = err != nil
	return err == nil
}

// Write writes a record in place of the one before.
func Write(disk Storage, r Record) error {
	raw, err := Encode(r)
	if err != nil {
		return fmt.Errorf("encoding it: %w", err)
	}
	return disk.Replace(fileName, raw)
}
