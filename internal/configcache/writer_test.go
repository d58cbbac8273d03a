package configcache

import (
	"bytes"
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lilacbend/internal/revision"
)

// fakeStorage is a Storage in memory. While err is set, writes and reads of an existing file fail with it.
type fakeStorage struct {
	mu            sync.Mutex
	file          []byte
	err           error
	writeDuration time.Duration // how long each write takes
	writes        int
}

func (s *fakeStorage) Read(string, int64) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return nil, fs.ErrNotExist
	}
	return s.file, s.err
}

func (s *fakeStorage) Replace(_ string, data []byte) error {
	time.Sleep(s.writeDuration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.err == nil {
		s.file = bytes.Clone(data)
	}
	return s.err
}

func (s *fakeStorage) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func recordWithRevision(revisionNumber uint64) Record {
	r := recordWithSettings(`{}`)
	r.Version.Revision = revisionNumber
	return r
}

// storedRevision returns the revision of the record in storage, or 0 if there is none.
func storedRevision(t *testing.T, storage *fakeStorage) uint64 {
	t.Helper()
	r, found, err := Load(storage)
	if err != nil {
		t.Fatal(err)
	}
	if !found {
		return 0
	}
	return r.Version.Revision
}

// startWriter runs a writer and returns it, its log and a function that stops it and waits for its last write.
func startWriter(t *testing.T, storage *fakeStorage) (w *Writer, out *bytes.Buffer, stop func()) {
	out = &bytes.Buffer{}
	w = NewWriter(storage, 1, slog.New(slog.NewTextHandler(out, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	return w, out, func() { cancel(); <-done }
}

func TestWriterWritesTheNewestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storage := &fakeStorage{writeDuration: time.Second}
		writer, _, stop := startWriter(t, storage)
		writer.Submit(recordWithRevision(1))
		synctest.Wait()
		submitStart := time.Now()
		for n := range uint64(50) {
			writer.Submit(recordWithRevision(2 + n))
		}
		if time.Since(submitStart) > 0 {
			t.Errorf("Submit blocked for %v, want no wait for the disk", time.Since(submitStart))
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got := storedRevision(t, storage); got != 51 || storage.writes != 2 {
			t.Errorf("revision %d stored after %d writes, want 51 after 2", got, storage.writes)
		}
		stop()
	})
}

// Failed writes are retried at growing intervals, each time with the newest record. Only the first failure and the first
// success after it are logged.
func TestWriterRetriesFailedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storage := &fakeStorage{}
		storage.setError(errors.New("no space"))
		writer, out, stop := startWriter(t, storage)
		writer.Submit(recordWithRevision(1))
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		if storage.writes < 10 || storage.writes > 40 {
			t.Errorf("%d writes in ten minutes, want 10 to 40", storage.writes)
		}
		if warnings := strings.Count(out.String(), "configuration not cached"); warnings != 1 {
			t.Errorf("failure logged %d times, want once: %s", warnings, out)
		}
		writer.Submit(recordWithRevision(2))
		synctest.Wait()
		storage.setError(nil)
		time.Sleep(maxRetryInterval)
		synctest.Wait()
		if got := storedRevision(t, storage); got != 2 || !strings.Contains(out.String(), "configuration cached again") {
			t.Errorf("revision %d stored, want 2 and a logged recovery: %s", got, out)
		}
		if written, failed := writer.Counters.Written.Load(), writer.Counters.Failed.Load(); written != 1 || failed < 10 {
			t.Errorf("%d writes succeeded, %d failed; want 1 and at least 10", written, failed)
		}
		stop()
	})
}

func TestWriterWritesTheLastRecordWhenStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storage := &fakeStorage{writeDuration: time.Second}
		writer, _, stop := startWriter(t, storage)
		writer.Submit(recordWithRevision(1))
		synctest.Wait() // until the first record is being written
		writer.Submit(recordWithRevision(2))
		stop()
		if got := storedRevision(t, storage); got != 2 {
			t.Errorf("revision %d stored, want 2", got)
		}
	})
}

func TestLoad(t *testing.T) {
	if _, found, err := Load(&fakeStorage{}); found || err != nil {
		t.Errorf("empty directory: found %v, error %v; want neither", found, err)
	}
	if _, found, err := Load(&fakeStorage{file: []byte("x"), err: errors.New("input/output error")}); found || err == nil {
		t.Errorf("read error: found %v, error %v; want an error", found, err)
	}
	if _, found, err := Load(&fakeStorage{file: []byte("x\n")}); found || !errors.Is(err, ErrDamaged) {
		t.Errorf("damaged file: found %v, error %v; want ErrDamaged", found, err)
	}
	r, found, err := Load(&fakeStorage{file: encoded(t, recordWithRevision(3))})
	if !found || err != nil || r.Version != (revision.Version{Epoch: 7, Revision: 3}) {
		t.Errorf("loaded %+v, found %v, error %v; want version 7.3", r, found, err)
	}
}
