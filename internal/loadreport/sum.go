package loadreport

import "math"

const (
	// failureDeviations is the number of standard deviations beyond which failures differ from the known rate.
	failureDeviations = 2
	// responseFactor is the factor from which on a response time differs from the known one.
	responseFactor = 2
	// retainedFraction is the weight of earlier reports beside a new one.
	retainedFraction = 0.5
)

// Sum sums the outcomes of attempts.
type Sum struct {
	Attempts       int
	Failures       int
	ResponseMillis float64 // of all attempts that succeeded, together
}

// MeanMillis returns the mean response time of the attempts that succeeded; 0 if none did.
func (s Sum) MeanMillis() float64 {
	succeeded := s.succeeded()
	if succeeded <= 0 {
		return 0
	}
	return s.ResponseMillis / float64(succeeded)
}

func (s Sum) succeeded() int { return s.Attempts - s.Failures }

func (s Sum) empty() bool { return s == Sum{} }

func (s Sum) plus(o Sum) Sum {
	return Sum{
		Attempts:       s.Attempts + o.Attempts,
		Failures:       s.Failures + o.Failures,
		ResponseMillis: s.ResponseMillis + o.ResponseMillis,
	}
}

// receiverState is what a receiver knows of a key by the reports it was sent, the latest of which count most.
type receiverState struct {
	attempts   float64
	failures   float64
	meanMillis float64 // of the last report with a success; 0: there was none
}

// add adds a report.
func (r *receiverState) add(s Sum) {
	r.attempts = r.attempts*retainedFraction + float64(s.Attempts)
	r.failures = r.failures*retainedFraction + float64(s.Failures)
	if mean := s.MeanMillis(); mean > 0 {
		r.meanMillis = mean
	}
}

// deviation returns the number of attempts that went otherwise than the receiver expects; 0: no more than chance explains. To a
// receiver that knows nothing all attempts are unexpected.
func (r *receiverState) deviation(s Sum) float64 {
	if r.attempts == 0 {
		return float64(max(s.Attempts, s.Failures))
	}
	return r.failureDeviation(s) + r.responseDeviation(s)
}

// failureRate returns the known rate of failures. Half a failure and half a success are added, since few attempts without a
// failure do not prove that there is none.
func (r *receiverState) failureRate() float64 {
	return (r.failures + 0.5) / (max(r.attempts, r.failures) + 1)
}

// failureDeviation compares failures with the known rate.
func (r *receiverState) failureDeviation(s Sum) float64 {
	rate := r.failureRate()
	attempts := float64(s.Attempts)
	difference := math.Abs(float64(s.Failures) - attempts*rate)
	if difference <= failureDeviations*math.Sqrt(attempts*rate*(1-rate)) {
		return 0
	}
	return difference
}

// responseDeviation returns the number of attempts that succeeded, if they took much longer, or shorter, than is known.
func (r *receiverState) responseDeviation(s Sum) float64 {
	mean := s.MeanMillis()
	if mean == 0 || r.meanMillis == 0 {
		return 0
	}
	if mean < r.meanMillis*responseFactor && r.meanMillis < mean*responseFactor {
		return 0
	}
	return float64(s.succeeded())
}
