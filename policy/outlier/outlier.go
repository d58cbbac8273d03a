// Package outlier decides which replicas are ejected as outliers.
//
// A replica is in one of three states:
//
//	healthy    it receives requests
//	ejected    it receives no requests for ejectionTime, doubled for each earlier ejection, at most maxDoublings times
//	probation  its ejection has ended, and too few attempts have been reported since then to evaluate it
//
// Detector.Evaluate applies the following rule at each tick to the attempts of the last EvaluationPeriod. A healthy replica
// is ejected if its failure rate is much higher than the fleet's, it has far fewer successes than its peers, and its
// responses are not slow. All three conditions hold for a replica that does not respond, is unreachable or fails its
// requests. A replica that still has about as many successes as its peers, or whose responses are slow, is overloaded:
// packages weight and admission handle overload, and ejecting the replica would overload its peers. A replica on probation
// is ejected again if its failure rate is much higher than the fleet's; otherwise it becomes healthy.
//
// No replica is ejected while the fleet as a whole fails, because then a fault of one replica cannot be distinguished from a
// common cause. The exception is a replica that Detector.Restore has put on probation.
//
// A new process of a replica starts healthy, with a zero Detector. Detector.Restore takes over what an earlier controller
// had learned about a process.
//
// Package placement limits how many replicas of the fleet are excluded from the tables as outliers. An ejected replica
// beyond that limit stays in its table.
package outlier

import (
	"fmt"
	"math"
	"time"
)

const (
	// EvaluationPeriod is the age up to which load reports are evaluated. It spans several load reports, and is short enough
	// that the reports of a fault stop counting soon after the fault has ended.
	EvaluationPeriod = 4 * time.Second

	// minAttempts is the number of attempts below which a healthy replica is not evaluated: a few failures may be chance.
	minAttempts = 5

	// minProbationAttempts is the number of attempts below which a replica on probation is not evaluated. It is lower than
	// minAttempts because the earlier ejection is a reason to suspect the replica.
	minProbationAttempts = 3

	// excessFailureFraction sets the failure rate above which a replica is an outlier: the fleet's failure rate plus this
	// fraction of the difference between 1, at which all attempts fail, and the fleet's failure rate.
	excessFailureFraction = 0.5

	// maxFleetFailureRate is the fleet's failure rate above which no replica is ejected; see canEvaluate for the exception.
	maxFleetFailureRate = 0.4

	// minSuccessFraction is the fraction of its peers' mean successes at which a replica contributes enough not to be
	// ejected.
	minSuccessFraction = 0.2

	// ejectionTime is the duration of the first ejection of a process.
	ejectionTime = 3 * time.Second

	// maxDoublings limits how often the ejection time of a process doubles, so that a replica that has been repaired does
	// not wait long until it receives requests again.
	maxDoublings = 2

	// RestoredWeightFraction is the fraction of its weight that a replica gets on the probation that Restore starts, at full
	// confidence in the learned state. Ejecting the replica would cost more if it has recovered, and giving it its full
	// weight would cost more if it has not.
	RestoredWeightFraction = 0.125
)

// Fleet holds the figures of the fleet that a replica is compared with.
type Fleet struct {
	FailureRate      float64 // fraction of the attempts at replicas in service that failed
	PeerSuccesses    float64 // mean number of successes of the healthy replicas of its hardware class, in EvaluationPeriod
	SlowResponseTime float64 // mean response time at which a replica is slow, in seconds; infinite: not known
}

// Detector evaluates the health of one replica. The zero value is a healthy replica without attempts. Times are durations
// since the epoch of the caller's clock.
type Detector struct {
	reports        []loadReport
	ejectedUntil   time.Duration // 0: not ejected
	probationSince time.Duration // reports received up to this time are not evaluated; 0: not on probation
	ejections      int           // number of ejections of this process; see endProbation
	penalty        float64       // fraction of the weight that is withheld; above 0 only on a probation that Restore started
}

// Change is a transition between states, with the figures that caused it. The zero value is no transition.
type Change struct {
	to             state
	window         Window
	fleet          Fleet
	ejectedFor     time.Duration
	ejections      int
	weightFraction float64
}

type state int

const (
	unchanged state = iota
	ejected
	probation
	restoredOnProbation
	healthy
)

// Occurred reports whether there was a transition.
func (c Change) Occurred() bool { return c.to != unchanged }

// String describes the transition for on-call engineers, as the part of a log line that follows the replica's name.
func (c Change) String() string {
	switch c.to {
	case ejected:
		return fmt.Sprintf("ejected: %.0f of %.0f attempts failed, fleet failure rate %.2f, for %ds",
			c.window.Failures, c.window.Attempts, c.fleet.FailureRate, c.ejectedFor/time.Second)
	case probation:
		return fmt.Sprintf("probation after ejection %d", c.ejections)
	case restoredOnProbation:
		return fmt.Sprintf("probation from learned state: %.2f of its weight", c.weightFraction)
	case healthy:
		return fmt.Sprintf("healthy: %.0f of %.0f attempts failed", c.window.Failures, c.window.Attempts)
	default:
		return "unchanged"
	}
}

// Evaluate applies the rule in the package comment. Load reports that arrive within reportInterval after the end of an
// ejection are not evaluated, because they cover attempts from before that end.
func (d *Detector) Evaluate(now time.Duration, fleet Fleet, reportInterval time.Duration) Change {
	window := d.Window(now)
	switch {
	case d.ejectedUntil > now:
		return Change{}
	case d.Ejected():
		return d.startProbation(now + reportInterval)
	case !d.canEvaluate(window, fleet):
		return Change{}
	case d.isOutlier(window, fleet):
		return d.eject(now, window, fleet)
	case d.OnProbation():
		return d.endProbation(window)
	}
	return Change{}
}

// canEvaluate reports whether there are enough attempts, and the fleet's failure rate does not suggest a common cause. A
// replica that Restore has put on probation is evaluated even while the fleet fails, because its penalty stays until it is
// evaluated.
func (d *Detector) canEvaluate(window Window, fleet Fleet) bool {
	if fleet.FailureRate > maxFleetFailureRate && d.penalty == 0 {
		return false
	}
	if d.OnProbation() {
		return window.Attempts >= minProbationAttempts
	}
	return window.Attempts >= minAttempts
}

func (d *Detector) isOutlier(window Window, fleet Fleet) bool {
	return hasExcessFailures(window, fleet) && (d.OnProbation() || hasTooFewSuccesses(window, fleet) && !isSlow(window, fleet))
}

// hasExcessFailures reports whether the failure rate is above the limit that excessFailureFraction sets.
func hasExcessFailures(window Window, fleet Fleet) bool {
	limit := fleet.FailureRate + excessFailureFraction*(1-fleet.FailureRate)
	return window.FailureRate() > limit
}

func hasTooFewSuccesses(window Window, fleet Fleet) bool {
	return window.Successes() < minSuccessFraction*fleet.PeerSuccesses
}

func isSlow(window Window, fleet Fleet) bool {
	return window.ResponseTime >= fleet.SlowResponseTime
}

func (d *Detector) eject(now time.Duration, window Window, fleet Fleet) Change {
	ejectedFor := ejectionTime << min(d.ejections, maxDoublings)
	d.ejectedUntil = now + ejectedFor
	d.ejections++
	d.probationSince = 0
	d.penalty = 0
	d.reports = nil
	return Change{to: ejected, window: window, fleet: fleet, ejectedFor: ejectedFor}
}

func (d *Detector) startProbation(since time.Duration) Change {
	d.ejectedUntil = 0
	d.probationSince = since
	return Change{to: probation, ejections: d.ejections}
}

// endProbation makes the replica healthy. It keeps the number of ejections, so that a replica that fails again is ejected
// for longer. The number never decreases during the lifetime of the replica's process. A new process starts at 0, as does a
// replica that is listed again after its eviction. Restore takes over a number that is lower the older the learned state is.
func (d *Detector) endProbation(window Window) Change {
	d.probationSince = 0
	d.penalty = 0
	return Change{to: healthy, window: window}
}

// Restored is the health of a replica that an earlier controller had learned.
type Restored struct {
	Ejected    bool // the replica was ejected or on probation
	Ejections  int
	Confidence float64 // confidence in the learned state, lower the older that state is; above 0, up to 1
}

// Restore takes over the health that an earlier controller had learned. A replica that was ejected or on probation is put on
// probation with a fraction of its weight, which is smaller the newer the learned state is.
func (d *Detector) Restore(now time.Duration, r Restored) Change {
	d.ejections = int(math.Round(r.Confidence * float64(r.Ejections)))
	if !r.Ejected {
		return Change{}
	}
	d.probationSince = now // without reportInterval: this controller has not yet directed any requests to the replica
	d.penalty = 1 - math.Pow(RestoredWeightFraction, r.Confidence)
	return Change{to: restoredOnProbation, weightFraction: 1 - d.penalty}
}

// Ejected reports whether the replica is ejected. The first evaluation after the ejection time ends the ejection.
func (d *Detector) Ejected() bool { return d.ejectedUntil > 0 }

// RemainingEjection returns the remaining ejection time; 0 if the replica is not ejected.
func (d *Detector) RemainingEjection(now time.Duration) time.Duration {
	return max(0, d.ejectedUntil-now)
}

// OnProbation reports whether the replica is on probation.
func (d *Detector) OnProbation() bool { return d.probationSince > 0 }

// Ejections returns the number of ejections of the replica's process.
func (d *Detector) Ejections() int { return d.ejections }

// Penalty returns the fraction of its weight that is withheld from the replica on the probation that Restore starts;
// otherwise 0.
func (d *Detector) Penalty() float64 { return d.penalty }
