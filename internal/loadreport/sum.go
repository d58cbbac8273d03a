package loadreport

import "math"

const (
	// failureDeviations is the number of standard deviations beyond which failures count as different from the known rate.
	failureDeviations = 2
	// responseFactor is the ratio from which a response time counts as different from the known one, up or down.
	responseFactor = 2
	// retainedFraction is the weight of earlier reports relative to a new one.
	retainedFraction = 0.5
)

// Sum sums the outcomes of attempts.
type Sum struct {
	Attempts       int
	Failures       int
	ResponseMillis float64 // response times of all successful attempts, summed
}

// MeanMillis returns the mean response time of the successful attempts; 0 if there are none.
func (s Sum) MeanMillis() float64 {
	succeeded := s.succeeded()
	if succeeded <= 0 {
		return 0
	}
	return s.ResponseMillis / float64(succeeded)
}

func (s Sum) succeeded() int { return s.Attempts - s.Failures }

func (s Sum) empty() bool { return s == Sum{} }

func (s Sum) plus(other Sum) Sum {
	return Sum{
		Attempts:       s.Attempts + other.Attempts,
		Failures:       s.Failures + other.Failures,
		ResponseMillis: s.ResponseMillis + other.ResponseMillis,
	}
}

// receiverState is the state of a key at a receiver according to the reports sent to it. Later reports weigh more than
// earlier ones.
type receiverState struct {
	attempts   float64
	failures   float64
	meanMillis float64 // mean response time in the last report with a successful attempt; 0: no such report yet
}

// add adds the sum of a report.
func (r *receiverState) add(s Sum) {
	r.attempts = r.attempts*retainedFraction + float64(s.Attempts)
	r.failures = r.failures*retainedFraction + float64(s.Failures)
	if mean := s.MeanMillis(); mean > 0 {
		r.meanMillis = mean
	}
}

// deviation returns the number of attempts whose outcome deviates from what the receiver expects, or 0 if the difference can
// be chance. Without attempts in earlier reports, all attempts deviate.
func (r *receiverState) deviation(s Sum) float64 {
	if r.attempts == 0 {
		return float64(max(s.Attempts, s.Failures))
	}
	return r.failureDeviation(s) + r.responseDeviation(s)
}

// failureRate returns the known rate of failures. Half a failure and half a success are added, since a few attempts without
// a failure do not prove a rate of 0.
func (r *receiverState) failureRate() float64 {
	return (r.failures + 0.5) / (max(r.attempts, r.failures) + 1)
}

// failureDeviation returns by how much the number of failures differs from the number expected at the known rate, or 0 if
// the difference can be chance.
func (r *receiverState) failureDeviation(s Sum) float64 {
	rate := r.failureRate()
	attempts := float64(s.Attempts)
	difference := math.Abs(float64(s.Failures) - attempts*rate)
	if difference <= failureDeviations*math.Sqrt(attempts*rate*(1-rate)) {
		return 0
	}
	return difference
}

// responseDeviation returns the number of successful attempts if their mean response time is much longer or shorter than the
// known one, and 0 otherwise.
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
