package dispatch

import (
	"testing"
	"time"

	"lilacbend/control"
)

func TestBeginAdmitsNoMoreThanTheAdmissionModeAllows(t *testing.T) {
	half := UpdatePart{Settings: []ClassSettings{{0.5, control.RetryIfNotExecuted}}}
	rate := UpdatePart{Settings: []ClassSettings{{10, control.RetryIfNotExecuted}}}
	countAdmitted := func(d *Dispatcher, n int, every int64) (admitted int) {
		for k := range n {
			request, step := d.Begin(int64(k)*every+1, 0, true)
			if step.Replica != "" {
				admitted++
				d.AttemptEnded(int64(k)*every+1, request, Succeeded)
			} else if step.Reason != ErrLoadShed {
				t.Errorf("request %d: step %+v, want an attempt or reason %q", k, step, ErrLoadShed)
			}
		}
		return admitted
	}
	if n := countAdmitted(newDispatcher(t, nil, half), 1000, 1); n < 450 || n > 550 {
		t.Errorf("an admitted fraction of 0.5 admits %d of 1000 requests, want 450 to 550", n)
	}
	if n := countAdmitted(newDispatcher(t, func(c *Config) { c.Admission = control.AdmitRate }, rate), 1000, second/100); n < 100 || n > 111 {
		t.Errorf("a rate of 10 per second admits %d requests in 10 s, want 100 to 111", n)
	}
	if n := countAdmitted(newDispatcher(t, func(c *Config) { c.Admission = control.AdmitAll }, half), 100, 1); n != 100 {
		t.Errorf("mode AdmitAll admits %d of 100 requests, want all despite the settings", n)
	}
	if n := countAdmitted(newDispatcher(t, nil, UpdatePart{Settings: []ClassSettings{{0, control.RetryIfNotExecuted}}}), 100, 1); n != 0 {
		t.Errorf("an admitted fraction of 0 admits %d requests, want none", n)
	}
	d := newDispatcher(t, nil)
	d.Drain()
	if _, step := d.Begin(0, 0, true); step.Reason != ErrDraining {
		t.Errorf("request to a draining dispatcher: step %+v, want reason %q", step, ErrDraining)
	}
}

func TestLimitsOfRequestsInFlight(t *testing.T) {
	d := newDispatcher(t, nil)
	var requests []*Request
	for k := range 4 {
		request, step := d.Begin(0, 0, true)
		if requests = append(requests, request); step.Replica == "" {
			t.Fatalf("request %d within the limit: step %+v, want an attempt", k, step)
		}
	}
	waiting, step := d.Begin(0, 0, true)
	if !step.Wait || step.Deadline != second {
		t.Errorf("first request above the in-flight limit: step %+v, want a wait of 1 s", step)
	}
	if _, step := d.Begin(0, 0, true); step.Reason != ErrTooManyRequests {
		t.Errorf("request above the queue limit: step %+v, want reason %q", step, ErrTooManyRequests)
	}
	if step = d.Resume(second/2, waiting); !step.Wait || step.Deadline != second {
		t.Errorf("resumed without free capacity: step %+v, want a wait with the same deadline", step)
	}
	d.AttemptEnded(1, requests[0], Succeeded)
	if step = d.Resume(second/2, waiting); step.Replica == "" {
		t.Errorf("resumed with free capacity: step %+v, want an attempt", step)
	}
	late, step := d.Begin(second, 0, true)
	if step = d.Resume(2*second, late); step.Reason != ErrQueueTimeout || d.InFlight() != 4 {
		t.Errorf("resumed after the queue timeout: step %+v, %d in flight, want reason %q and 4 in flight", step, d.InFlight(), ErrQueueTimeout)
	}
	d = newDispatcher(t, func(c *Config) { c.MaxRequests = 100 })
	for range 8 {
		d.Begin(0, 0, true)
	}
	if _, step = d.Begin(0, 0, true); !step.Wait {
		t.Errorf("all replicas at their limit: step %+v, want a wait", step)
	}
	for id, r := range d.replicas {
		if r.inFlight != 2 {
			t.Errorf("replica %s has %d requests in flight, want 2", id, r.inFlight)
		}
	}
}

func TestTokenBucketHoldsOneSecond(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		times     []time.Duration // times of the calls
		taken     int
	}{
		{"no tokens at rate 0", 0, []time.Duration{1, 2}, 0},
		{"tokens of one second at the start", 3, []time.Duration{1, 1, 1, 1}, 3},
		{"tokens of one second at most after a pause", 2, []time.Duration{1, time.Hour, time.Hour, time.Hour}, 3},
		{"refills with time", 1, []time.Duration{1, time.Second / 2, time.Second + 1}, 2},
		{"no refill when time goes backwards", 1, []time.Duration{time.Second, 1, 2}, 1},
		{"rate below one per second", 0.5, []time.Duration{1, time.Second, time.Second + 1, 2 * time.Second}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var bucket tokenBucket
			taken := 0
			for _, at := range c.times {
				if bucket.take(int64(at), c.perSecond) {
					taken++
				}
			}
			if taken != c.taken {
				t.Errorf("took %d tokens, want %d", taken, c.taken)
			}
		})
	}
}
