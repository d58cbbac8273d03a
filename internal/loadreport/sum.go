package loadreport

import "math"

const (
	// Failures are news where they depart from the known share by more than so many standard deviations.
	newsDeviations = 2
	// A response time is news where it has changed by this factor or more.
	newsResponseFactor = 2
	// Of what the receiver knew before a report, this part stays beside it.
	memoryShare = 0.5
)

// Sum sums the outcomes of attempts.
type Sum struct {
	Attempts       int
	Failures       int
	ResponseMillis float64 // of all attempts that succeeded, together
}

// MeanMillis is the mean response time of the attempts that succeeded; 0 if none did.
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
	return Sum{s.Attempts + o.Attempts, s.Failures + o.Failures, s.ResponseMillis + o.ResponseMillis}
}

// knowledge is what a receiver knows of a key by the reports it was sent, the latest of which count most.
type knowledge struct {
	attempts   float64
	failures   float64
	meanMillis float64 // of the last report with a success; 0: there was none
}

// learn takes a report in.
func (k *knowledge) learn(s Sum) {
	k.attempts = k.attempts*memoryShare + float64(s.Attempts)
	k.failures = k.failures*memoryShare + float64(s.Failures)
	if mean := s.MeanMillis(); mean > 0 {
		k.meanMillis = mean
	}
}

// deviation is the number of attempts that went otherwise than the receiver expects; 0: no more than chance explains. A
// receiver that was told nothing expects nothing.
func (k *knowledge) deviation(s Sum) float64 {
	if k.attempts == 0 {
		return float64(max(s.Attempts, s.Failures))
	}
	return k.failureDeviation(s) + k.responseDeviation(s)
}

// failureShare is the known share of failures. Half a failure and half a success are taken to be known besides, as few
// attempts without a failure do not prove that there is none.
func (k *knowledge) failureShare() float64 {
	return (k.failures + 0.5) / (max(k.attempts, k.failures) + 1)
}

// failureDeviation compares failures with the known share.
func (k *knowledge) failureDeviation(s Sum) float64 {
	share := k.failureShare()
	attempts := float64(s.Attempts)
	difference := math.Abs(float64(s.Failures) - attempts*share)
	if difference <= newsDeviations*math.Sqrt(attempts*share*(1-share)) {
		return 0
	}
	return difference
}

// responseDeviation counts the attempts that succeeded where they took much longer, or shorter, than is known.
func (k *knowledge) responseDeviation(s Sum) float64 {
	mean := s.MeanMillis()
	if mean == 0 || k.meanMillis == 0 {
		return 0
	}
	if mean < k.meanMillis*newsResponseFactor && k.meanMillis < mean*newsResponseFactor {
		return 0
	}
	return float64(s.succeeded())
}
