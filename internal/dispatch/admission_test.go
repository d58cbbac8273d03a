package dispatch

import (
	"testing"
	"time"

	"lilacbend/control"
)

func TestBeginAdmitsNoMoreThanTheAdmissionModeAllows(t *testing.T) {
	half := Update{Settings: []ClassSettings{{0.5, control.RetryIfNotExecuted}}}
	rate := Update{Settings: []ClassSettings{{10, control.RetryIfNotExecuted}}}
	countAdmitted := func(d *Dispatcher, n int, every int64) (admitted int) {
		for k := range n {
			request, step := d.Begin(int64(k)*every+1, 0, true)
			if step.Replica != "" {
				admitted++
				d.AttemptEnded(int64(k)*every+1, request, Succeeded)
			} else if step.Reason != ErrLoadShed {
				t.Errorf("%+v", step)
			}
		}
		return admitted
	}
	if n := countAdmitted(newDispatcher(t, nil, half), 1000, 1); n < 450 || n > 550 {
		t.Errorf("a fraction of one half admits %d of 1000", n)
	}
	if n := countAdmitted(newDispatcher(t, func(c *Config) { c.Admission = control.AdmitRate }, rate), 1000, second/100); n < 100 || n > 111 {
		t.Errorf("10 a second admit %d in 10 s", n)
	}
	if n := countAdmitted(newDispatcher(t, func(c *Config) { c.Admission = control.AdmitAll }, half), 100, 1); n != 100 {
		t.Errorf("where settings are not followed %d of 100 are admitted", n)
	}
	if n := countAdmitted(newDispatcher(t, nil, Update{Settings: []ClassSettings{{0, control.RetryIfNotExecuted}}}), 100, 1); n != 0 {
		t.Errorf("a fraction of 0 admits %d", n)
	}
	d := newDispatcher(t, nil)
	d.Drain()
	if _, step := d.Begin(0, 0, true); step.Reason != ErrDraining {
		t.Errorf("%+v", step)
	}
}

func TestLimitsOfRequestsInFlight(t *testing.T) {
	d := newDispatcher(t, nil)
	var requests []*Request
	for k := range 4 {
		request, step := d.Begin(0, 0, true)
		if requests = append(requests, request); step.Replica == "" {
			t.Fatalf("request %d: %+v", k, step)
		}
	}
	waiting, step := d.Begin(0, 0, true)
	if !step.Wait || step.Deadline != second {
		t.Errorf("the fifth: %+v", step)
	}
	if _, step := d.Begin(0, 0, true); step.Reason != ErrTooManyRequests {
		t.Errorf("the sixth: %+v", step)
	}
	if step = d.Resume(second/2, waiting); !step.Wait || step.Deadline != second {
		t.Errorf("still full: %+v", step)
	}
	d.AttemptEnded(1, requests[0], Succeeded)
	if step = d.Resume(second/2, waiting); step.Replica == "" {
		t.Errorf("there is capacity again: %+v", step)
	}
	late, step := d.Begin(second, 0, true)
	if step = d.Resume(2*second, late); step.Reason != ErrQueueTimeout || d.InFlight() != 4 {
		t.Errorf("waited too long: %+v, %d in flight", step, d.InFlight())
	}
	d = newDispatcher(t, func(c *Config) { c.MaxRequests = 100 })
	for range 8 {
		d.Begin(0, 0, true)
	}
	if _, step = d.Begin(0, 0, true); !step.Wait {
		t.Errorf("all replicas have as many as they may: %+v", step)
	}
	for id, r := range d.replicas {
		if r.inFlight != 2 {
			t.Errorf("%s has %d", id, r.inFlight)
		}
	}
}

func TestTokenBucketHoldsOneSecond(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		at        []time.Duration // of the calls
		taken     int
	}{
		{"nothing at rate 0", 0, []time.Duration{1, 2}, 0},
		{"a whole second at the start", 3, []time.Duration{1, 1, 1, 1}, 3},
		{"no more than a second after a pause", 2, []time.Duration{1, time.Hour, time.Hour, time.Hour}, 3},
		{"refills with time", 1, []time.Duration{1, time.Second / 2, time.Second + 1}, 2},
		{"a clock that goes back refills nothing", 1, []time.Duration{time.Second, 1, 2}, 1},
		{"less than one a second", 0.5, []time.Duration{1, time.Second, time.Second + 1, 2 * time.Second}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var bucket tokenBucket
			taken := 0
			for _, at := range c.at {
				if bucket.take(int64(at), c.perSecond) {
					taken++
				}
			}
			if taken != c.taken {
				t.Errorf("%d tokens are taken, want %d", taken, c.taken)
			}
		})
	}
}
