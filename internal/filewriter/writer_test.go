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

// recorder records a writer's writes and its calls to OnFailure and OnRecovery. Writes fail while err is set.
type recorder struct {
	mu            sync.Mutex
	err           error
	writeDuration time.Duration
	startTime     time.Time
	written       []int
	writeTimes    []time.Duration // starts of all writes, failed ones included, as times since startTime
	reports       []string
}

func (r *recorder) write(value int) error {
	time.Sleep(r.writeDuration)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeTimes = append(r.writeTimes, time.Since(r.startTime)-r.writeDuration)
	if r.err == nil {
		r.written = append(r.written, value)
	}
	return r.err
}

// setError makes later writes fail with err, or succeed if err is nil.
func (r *recorder) setError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

func (r *recorder) report(text string, final bool) {
	if final {
		text += " at the final write"
	}
	r.reports = append(r.reports, text)
}

// startWriter runs a writer; stop ends Run and waits until it has returned.
func startWriter(t *testing.T, r *recorder, config Config[int]) (w *Writer[int], stop func()) {
	r.startTime = time.Now()
	config.Write = r.write
	config.OnFailure = func(_ int, _ error, final bool) { r.report("failed", final) }
	config.OnRecovery = func(_ int, final bool) { r.report("recovered", final) }
	if config.Backoff == nil {
		config.Backoff = func(failures int) time.Duration { return time.Duration(failures) * time.Second }
	}
	w = New(config)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	return w, func() {
		cancel()
		<-w.Done()
	}
}

func TestSubmitDoesNotWaitAndTheNewestValueIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{writeDuration: time.Second}
		w, stop := startWriter(t, r, Config[int]{})
		if w.Submit(1) {
			t.Error("value 1: replaced true, want false")
		}
		synctest.Wait()
		submitStart := time.Now()
		for value := 2; value < 50; value++ {
			if replaced := w.Submit(value); replaced != (value > 2) {
				t.Errorf("value %d: replaced %v, want %v", value, replaced, value > 2)
			}
		}
		if waited := time.Since(submitStart); waited > 0 {
			t.Errorf("submitting 48 values took %v, want no wait for the write", waited)
		}
		time.Sleep(5 * time.Second)
		stop()
		if !slices.Equal(r.written, []int{1, 49}) {
			t.Errorf("written %v, want 1 and 49", r.written)
		}
	})
}

func TestWriterPausesForItsIntervalBetweenWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		w, stop := startWriter(t, r, Config[int]{Interval: 10 * time.Second})
		for value := range 30 {
			w.Submit(value)
			time.Sleep(time.Second)
		}
		stop()
		if want := []time.Duration{0, 10 * time.Second, 20 * time.Second, 30 * time.Second}; !slices.Equal(r.writeTimes, want) {
			t.Errorf("written at %v, want %v", r.writeTimes, want)
		}
	})
}

func TestWriterRetriesAfterTheBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{err: errors.New("no space")}
		w, stop := startWriter(t, r, Config[int]{Retry: true})
		w.Submit(1)
		time.Sleep(4 * time.Second) // failing writes at 0, 1 and 3 s
		w.Submit(2)                 // written at once, and fails
		synctest.Wait()
		r.setError(nil)
		time.Sleep(10 * time.Second) // successful write 4 s after the failed one
		stop()
		if want := []time.Duration{0, time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second}; !slices.Equal(r.writeTimes, want) {
			t.Errorf("written at %v, want %v", r.writeTimes, want)
		}
		if !slices.Equal(r.written, []int{2}) || !slices.Equal(r.reports, []string{"failed", "recovered"}) {
			t.Errorf("written %v, reports %v; want [2] and [failed recovered]", r.written, r.reports)
		}
	})
}

func TestWriterWithoutRetryDropsFailedValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{err: errors.New("no space")}
		w, stop := startWriter(t, r, Config[int]{Backoff: func(int) time.Duration { return 5 * time.Second }})
		w.Submit(1)
		time.Sleep(7 * time.Second)
		w.Submit(2)
		synctest.Wait()
		r.setError(nil)
		time.Sleep(time.Second)
		w.Submit(3)
		time.Sleep(10 * time.Second)
		stop()
		if want := []time.Duration{0, 7 * time.Second, 12 * time.Second}; !slices.Equal(r.writeTimes, want) {
			t.Errorf("written at %v, want %v", r.writeTimes, want)
		}
		if !slices.Equal(r.written, []int{3}) || !slices.Equal(r.reports, []string{"failed", "recovered"}) {
			t.Errorf("written %v, reports %v; want [3] and [failed recovered]", r.written, r.reports)
		}
	})
}

func TestWriterWritesTheLastValueWhenStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, retry := range []bool{false, true} {
			r := &recorder{writeDuration: time.Second}
			w, stop := startWriter(t, r, Config[int]{Interval: time.Hour, Retry: retry})
			w.Submit(1)
			synctest.Wait() // until the first value is being written
			w.Submit(2)
			stop()
			if !slices.Equal(r.written, []int{1, 2}) || len(r.reports) != 0 {
				t.Errorf("retry %v: written %v, reports %v; want 1 and 2 written, no reports", retry, r.written, r.reports)
			}
		}
	})
}

func TestWriterDoesNotRetryWhenStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, retry := range []bool{false, true} {
			r := &recorder{err: errors.New("no space")}
			w, stop := startWriter(t, r, Config[int]{Retry: retry})
			w.Submit(1)
			synctest.Wait()
			stop()
			if len(r.writeTimes) != 1 || !slices.Equal(r.reports, []string{"failed"}) {
				t.Errorf("retry %v: writes at %v, reports %v; want one write, reported as failed", retry, r.writeTimes, r.reports)
			}
		}
	})
}

func TestWriterReportsFailureOfTheFinalWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		w, stop := startWriter(t, r, Config[int]{Interval: time.Hour})
		w.Submit(1)
		synctest.Wait()
		w.Submit(2)
		r.setError(errors.New("no space"))
		stop()
		if !slices.Equal(r.written, []int{1}) || !slices.Equal(r.reports, []string{"failed at the final write"}) {
			t.Errorf("written %v, reports %v; want [1] and [failed at the final write]", r.written, r.reports)
		}
	})
}
