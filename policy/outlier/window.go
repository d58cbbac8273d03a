package outlier

import (
	"math"
	"time"

	"lilacbend/policy/internal/sample"
)

// loadReport sums the attempts at a replica that one load report covers.
type loadReport struct {
	receivedAt   time.Duration
	attempts     float64
	failures     float64
	responseTime float64 // mean response time of the successful attempts, in seconds; 0: not known
}

// Window is the sum of those load reports of a replica that are evaluated.
type Window struct {
	Attempts     float64
	Failures     float64
	ResponseTime float64 // mean over the successful attempts whose response time is known, in seconds; 0: no such attempts
}

// Successes returns the number of attempts that succeeded.
func (w Window) Successes() float64 { return w.Attempts - w.Failures }

// FailureRate returns the fraction of the attempts that failed.
func (w Window) FailureRate() float64 { return w.Failures / math.Max(1, w.Attempts) }

// Observe adds a load report. The response time is the mean of the report's successful attempts, 0 if it is not known.
func (d *Detector) Observe(now time.Duration, attempts, failures int, responseTime time.Duration) {
	report := loadReport{
		receivedAt:   now,
		attempts:     float64(attempts),
		failures:     float64(failures),
		responseTime: float64(responseTime) / float64(time.Second),
	}
	d.reports = sample.Newest(sample.MaxKept, append(d.reports, report))
}

// Window sums the load reports of the last EvaluationPeriod. On probation the sum leaves out the reports received up to the
// start of the probation.
func (d *Detector) Window(now time.Duration) Window {
	var window Window
	var totalResponseTime, timedSuccesses float64
	for _, report := range d.reports {
		if report.receivedAt <= max(now-EvaluationPeriod, d.probationSince) {
			continue
		}
		window.Attempts += report.attempts
		window.Failures += report.failures
		if report.responseTime > 0 {
			totalResponseTime += report.responseTime * (report.attempts - report.failures)
			timedSuccesses = timedSuccesses + report.attempts - report.failures
		}
	}
	window.ResponseTime = totalResponseTime / math.Max(1, timedSuccesses)
	return window
}
