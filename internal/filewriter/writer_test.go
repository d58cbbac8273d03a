package filewriter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// recorder records the writes and reports of a writer; its writes fail while err is set.
type recorder struct {
	mu      sync.Mutex
	err     error
	takes   time.Duration
	started time.Time
	written []int
	at      []time.Duration // when each write was begun
	reports []string
}

func (r *recorder) write(value int) error {
	time.Sleep(r.takes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = append(r.at, time.Since(r.started)-r.takes)
	if r.err == nil {
		r.written = append(r.written, value)
	}
	return r.err
}

// fail has writes fail from now on, or succeed if err is nil.
func (r *recorder) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

func (r *recorder) report(text string, final bool) {
	if final {
		text += " finally"
	}
	r.reports = append(r.reports, text)
}

// start runs a writer; end stops it and waits for it.
func start(t *testing.T, r *recorder, config Config[int]) (w *Writer[int], end func()) {
	r.started = time.Now()
	config.Write = r.write
	config.Failed = func(_ int, _ error, final bool) { r.report("failed", final) }
	config.Recovered = func(_ int, final bool) { r.report("recovered", final) }
	if config.Backoff == nil {
		config.Backoff = func(failures int) time.Duration { return time.Duration(failures) * time.Second }
	}
	w = New(config)
	ctx, stop := context.WithCancel(t.Context())
	go w.Run(ctx)
	return w, func() {
		stop()
		<-w.Done()
	}
}

func TestWriterWritesTheNewestAndHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{takes: time.Second}
		w, end := start(t, r, Config[int]{})
		if w.Submit(1) {
			t.Error("the first value replaces another")
		}
		synctest.Wait()
		begun := time.Now()
		for value := 2; value < 50; value++ {
			if replaced := w.Submit(value); replaced != (value > 2) {
				t.Errorf("value %d: replaced %v", value, replaced)
			}
		}
		if waited := time.Since(begun); waited > 0 {
			t.Errorf("submitting took %v", waited)
		}
		time.Sleep(5 * time.Second)
		end()
		if !slices.Equal(r.written, []int{1, 49}) {
			t.Errorf("written %v", r.written)
		}
	})
}

func TestWriterKeepsItsInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		w, end := start(t, r, Config[int]{Interval: 10 * time.Second})
		for value := range 30 {
			w.Submit(value)
			time.Sleep(time.Second)
		}
		end()
		if want := []time.Duration{0, 10 * time.Second, 20 * time.Second, 30 * time.Second}; !slices.Equal(r.at, want) {
			t.Errorf("written at %v, want %v", r.at, want)
		}
	})
}

func TestWriterRetriesAfterTheBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{err: errors.New("no space")}
		w, end := start(t, r, Config[int]{Retry: true})
		w.Submit(1)
		time.Sleep(4 * time.Second) // writes at 0, 1 and 3 s
		w.Submit(2)                 // at once
		synctest.Wait()
		r.fail(nil)
		time.Sleep(10 * time.Second) // 4 s later
		end()
		if want := []time.Duration{0, time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second}; !slices.Equal(r.at, want) {
			t.Errorf("written at %v, want %v", r.at, want)
		}
		if !slices.Equal(r.written, []int{2}) || !slices.Equal(r.reports, []string{"failed", "recovered"}) {
			t.Errorf("written %v, reports %v", r.written, r.reports)
		}
	})
}

func TestWriterWithoutRetryDropsWhatFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{err: errors.New("no space")}
		w, end := start(t, r, Config[int]{Backoff: func(int) time.Duration { return 5 * time.Second }})
		w.Submit(1)
		time.Sleep(7 * time.Second)
		w.Submit(2)
		synctest.Wait()
		r.fail(nil)
		time.Sleep(time.Second)
		w.Submit(3)
		time.Sleep(10 * time.Second)
		end()
		if want := []time.Duration{0, 7 * time.Second, 12 * time.Second}; !slices.Equal(r.at, want) {
			t.Errorf("written at %v, want %v", r.at, want)
		}
		if !slices.Equal(r.written, []int{3}) || !slices.Equal(r.reports, []string{"failed", "recovered"}) {
			t.Errorf("written %v, reports %v", r.written, r.reports)
		}
	})
}

func TestWriterWritesTheLastValueAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, retry := range []bool{false, true} {
			r := &recorder{takes: time.Second}
			w, end := start(t, r, Config[int]{Interval: time.Hour, Retry: retry})
			w.Submit(1)
			synctest.Wait() // the first is being written
			w.Submit(2)
			end()
			if !slices.Equal(r.written, []int{1, 2}) || len(r.reports) != 0 {
				t.Errorf("retry %v: written %v, reports %v", retry, r.written, r.reports)
			}
		}
	})
}

func TestWriterGivesUpAFailedValueAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, retry := range []bool{false, true} {
			r := &recorder{err: errors.New("no space")}
			w, end := start(t, r, Config[int]{Retry: retry})
			w.Submit(1)
			synctest.Wait()
			end()
			if len(r.at) != 1 || !slices.Equal(r.reports, []string{"failed"}) {
				t.Errorf("retry %v: written at %v, reports %v", retry, r.at, r.reports)
			}
		}
	})
}

func TestWriterReportsTheFailureOfItsLastWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		w, end := start(t, r, Config[int]{Interval: time.Hour})
		w.Submit(1)
		synctest.Wait()
		w.Submit(2)
		r.fail(errors.New("no space"))
		end()
		if !slices.Equal(r.written, []int{1}) || !slices.Equal(r.reports, []string{"failed finally"}) {
			t.Errorf("written %v, reports %v", r.written, r.reports)
		}
	})
}
