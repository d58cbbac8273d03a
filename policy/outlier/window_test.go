package outlier

import (
	"testing"
	"time"

	"lilacbend/policy/internal/sample"
)

func TestWindowSumsReportsInPeriodAndSinceProbation(t *testing.T) {
	type report struct {
		at                 time.Duration
		attempts, failures int
		responseTime       time.Duration
	}
	now := 100 * time.Second
	for _, c := range []struct {
		name      string
		reports   []report
		probation time.Duration
		want      Window
	}{
		{"no reports", nil, 0, Window{}},
		{"sums all reports of the period", []report{{now - 4*time.Second + 1, 10, 2, 0}, {now, 5, 1, 0}}, 0, Window{Attempts: 15, Failures: 3}},
		{"excludes expired reports", []report{{now - 4*time.Second, 10, 2, 0}, {now, 5, 1, 0}}, 0, Window{Attempts: 5, Failures: 1}},
		{"excludes reports up to the start of the probation", []report{{now - 1, 10, 2, 0}, {now, 5, 1, 0}}, now - 1, Window{Attempts: 5, Failures: 1}},
		{"weights response times by successes", []report{{now, 10, 0, 200 * time.Millisecond}, {now, 40, 10, 600 * time.Millisecond}}, 0,
			Window{Attempts: 50, Failures: 10, ResponseTime: 0.5}},
		{"ignores unknown response times", []report{{now, 10, 0, 500 * time.Millisecond}, {now, 40, 10, 0}}, 0,
			Window{Attempts: 50, Failures: 10, ResponseTime: 0.5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &Detector{probationSince: c.probation}
			for _, r := range c.reports {
				d.Observe(r.at, r.attempts, r.failures, r.responseTime)
			}
			if got := d.Window(now); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestObserveKeepsTheNewestReports(t *testing.T) {
	d := &Detector{}
	for range 2 * sample.MaxKept {
		d.Observe(time.Second, 1, 0, 0)
	}
	if got := d.Window(time.Second).Attempts; got != sample.MaxKept {
		t.Errorf("%v attempts of kept reports, want %v", got, sample.MaxKept)
	}
}
