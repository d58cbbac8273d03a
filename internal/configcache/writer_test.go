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

// disk is a directory in memory that fails when it is set to.
type disk struct {
	mu     sync.Mutex
	file   []byte
	fail   error
	takes  time.Duration // to write
	writes int
}

func (d *disk) Read(string, int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.file == nil {
		return nil, fs.ErrNotExist
	}
	return d.file, d.fail
}

func (d *disk) Replace(_ string, data []byte) error {
	time.Sleep(d.takes)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes++
	if d.fail == nil {
		d.file = bytes.Clone(data)
	}
	return d.fail
}

func (d *disk) setError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = err
}

func recordNumbered(revisionNumber uint64) Record {
	r := recordOf(`{}`)
	r.Version.Revision = revisionNumber
	return r
}

// revisionOn returns the revision on a disk; 0: there is none.
func revisionOn(t *testing.T, d *disk) uint64 {
	t.Helper()
	r, found, err := Load(d)
	if err != nil {
		t.Fatal(err)
	}
	if !found {
		return 0
	}
	return r.Version.Revision
}

// start runs a writer on virtual time until the test ends it.
func start(t *testing.T, d *disk) (k *Writer, out *bytes.Buffer, end func()) {
	out = &bytes.Buffer{}
	k = NewWriter(d, 1, slog.New(slog.NewTextHandler(out, nil)))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { k.Run(ctx); close(ended) }()
	return k, out, func() { stop(); <-ended }
}

func TestWriterWritesTheNewestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &disk{takes: time.Second}
		k, _, end := start(t, d)
		k.Submit(recordNumbered(1))
		synctest.Wait()
		began := time.Now()
		for n := range uint64(50) {
			k.Submit(recordNumbered(2 + n))
		}
		if time.Since(began) > 0 {
			t.Errorf("the disk held it up for %v", time.Since(began))
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got := revisionOn(t, d); got != 51 || d.writes != 2 {
			t.Errorf("revision %d after %d writes, want 51 after 2", got, d.writes)
		}
		end()
	})
}

// Writes to a failing disk are retried less and less often, with the newest record that there is then. The log has the first
// failure and the first success after it.
func TestWriterRetriesOnAFailingDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &disk{}
		d.setError(errors.New("no space"))
		k, out, end := start(t, d)
		k.Submit(recordNumbered(1))
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		if d.writes < 10 || d.writes > 40 {
			t.Errorf("%d attempts in ten minutes", d.writes)
		}
		if said := strings.Count(out.String(), "configuration not cached"); said != 1 {
			t.Errorf("logged %d times: %s", said, out)
		}
		k.Submit(recordNumbered(2))
		synctest.Wait()
		d.setError(nil)
		time.Sleep(maxRetryInterval)
		synctest.Wait()
		if got := revisionOn(t, d); got != 2 || !strings.Contains(out.String(), "configuration cached again") {
			t.Errorf("revision %d: %s", got, out)
		}
		if written, failed := k.Counters.Written.Load(), k.Counters.Failed.Load(); written != 1 || failed < 10 {
			t.Errorf("%d written, %d failed", written, failed)
		}
		end()
	})
}

func TestWriterWritesTheLastRecordAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &disk{takes: time.Second}
		k, _, end := start(t, d)
		k.Submit(recordNumbered(1))
		synctest.Wait() // the first is being written
		k.Submit(recordNumbered(2))
		end()
		if got := revisionOn(t, d); got != 2 {
			t.Errorf("revision %d, want 2", got)
		}
	})
}

func TestLoad(t *testing.T) {
	if _, found, err := Load(&disk{}); found || err != nil {
		t.Errorf("an empty folder: %v %v", found, err)
	}
	if _, found, err := Load(&disk{file: []byte("x"), fail: errors.New("input/output error")}); found || err == nil {
		t.Errorf("a disk that fails: %v %v", found, err)
	}
	if _, found, err := Load(&disk{file: []byte("x\n")}); found || !errors.Is(err, ErrDamaged) {
		t.Errorf("a damaged file: %v %v", found, err)
	}
	r, found, err := Load(&disk{file: encoded(t, recordNumbered(3))})
	if !found || err != nil || r.Version != (revision.Version{Epoch: 7, Revision: 3}) {
		t.Errorf("%+v %v %v", r, found, err)
	}
}
