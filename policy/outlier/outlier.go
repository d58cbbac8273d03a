// Package outlier decides which replicas are ejected as outliers.
//
// A replica is in one of three states:
//
//	healthy    it receives requests
//	ejected    it receives none, for ejectionTime, doubled for each earlier ejection up to maxDoublings
//	probation  its ejection has ended, and too few attempts have been reported since to evaluate it
//
// The rule, which Detector.Evaluate applies at each tick to the attempts of the last EvaluationPeriod: a healthy replica is
// ejected if it fails much more than the fleet does, succeeds much less than its peers, and its responses are not late. A
// replica that is silent, cut off or failing does all three. One that still succeeds about as often as its peers, or that is
// late, is overloaded: weights and admission treat that, and ejecting it would overload its peers. A replica on probation is
// ejected again if it fails much more than the fleet does, otherwise it is healthy.
//
// Nobody is ejected while the fleet as a whole fails: a faulty replica cannot be told from a common cause then.
//
// A new process of a replica begins healthy, with a zero Detector. What an earlier controller knew of a process comes from
// Detector.Restore.
//
// Package placement bounds how many replicas of the fleet are excluded from the tables as outliers: beyond that, an ejected
// replica stays in its table.
package outlier

import (
	"fmt"
	"math"
	"time"
)

const (
	// EvaluationPeriod is how far back attempts are evaluated. It spans several load reports, and is short enough to forget
	// a fault that is over.
	EvaluationPeriod = 4 * time.Second

	// minAttempts is the number of attempts below which a healthy replica is not evaluated: a few failures may be chance.
	minAttempts = 5

	// minProbationAttempts is the same for a replica on probation. It is lower as there is a reason to doubt the replica.
	minProbationAttempts = 3

	// excessFailureFraction sets the failure rate that makes an outlier: so far up from the fleet's failure rate (0) to the
	// failure of all attempts (1).
	excessFailureFraction = 0.5

	// maxFleetFailureRate is the fleet's failure rate above which nobody is ejected.
	maxFleetFailureRate = 0.4

	// minSuccessFraction is the fraction of its peers' mean successes from which a replica is worth more than nothing, so
	// that it is not ejected.
	minSuccessFraction = 0.2

	// ejectionTime is the length of the first ejection of a process.
	ejectionTime = 3 * time.Second

	// maxDoublings bounds the growth of the ejection time with the number of ejections, so that a replica that has been
	// repaired is tried soon enough.
	maxDoublings = 2

	// RestoredWeightFraction is the fraction of its weight that a replica gets on probation if it was ejected by learned state
	// (Restore). Full ejection would cost more if it has recovered, full weight if it has not.
	RestoredWeightFraction = 0.125
)

// Fleet is what a replica is compared with.
type Fleet struct {
	FailureRate      float64 // fraction of the attempts at replicas in service that failed
	PeerSuccesses    float64 // mean successes of the healthy replicas of its hardware class, in EvaluationPeriod
	SlowResponseTime float64 // from which a response time is late, in seconds; infinite: not known
}

// Detector evaluates the health of one replica. The zero value is a healthy replica without attempts. Times are durations
// since the epoch of the caller's clock.
type Detector struct {
	reports        []loadReport
	ejectedUntil   time.Duration // 0: not ejected
	probationSince time.Duration // reports up to then are not evaluated; 0: not on probation
	ejections      int           // of this process; see endProbation
	penalty        float64       // above 0 only on the probation that Restore starts
}

// Change is a transition between states, with its reasons. The zero value is no transition.
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

// Happened reports whether there was a transition.
func (c Change) Happened() bool { return c.to != unchanged }

// String describes the transition for on-call engineers, to follow the replica's name.
func (c Change) String() string {
	switch c.to {
	case ejected:
		return fmt.Sprintf("ejected: %.0f of %.0f attempts failed, fleet failure rate %.2f, for %ds",
			c.window.Failures, c.window.Attempts, c.fleet.FailureRate, c.ejectedFor/time.Second)
	case probation:
		return fmt.Sprintf("probation after ejection %d", c.ejections)
	case restoredOnProbation:
		return fmt.Sprintf("probation by learned state: %.2f of its weight", c.weightFraction)
	case healthy:
		return fmt.Sprintf("healthy: %.0f of %.0f attempts failed", c.window.Failures, c.window.Attempts)
	default:
		return "unchanged"
	}
}

// Evaluate applies the rule of the package. Load reports that arrive within reportInterval after the end of an ejection are not
// evaluated: they are of the time before it.
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

// canEvaluate reports whether there are attempts enough and no common cause. A replica on probation by learned state is
// evaluated though the fleet fails: until then its penalty stays.
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
	return failsTooMuch(window, fleet) && (d.OnProbation() || succeedsTooLittle(window, fleet) && !isLate(window, fleet))
}

// failsTooMuch reports whether the failure rate is nearer to 1 than to the fleet's, by excessFailureFraction.
func failsTooMuch(window Window, fleet Fleet) bool {
	limit := fleet.FailureRate + excessFailureFraction*(1-fleet.FailureRate)
	return window.FailureRate() > limit
}

func succeedsTooLittle(window Window, fleet Fleet) bool {
	return window.Successes() < minSuccessFraction*fleet.PeerSuccesses
}

func isLate(window Window, fleet Fleet) bool {
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

// endProbation keeps the count of ejections, so that a replica that fails again is ejected for longer. The count never falls while
// the process of the replica lives: a new process begins at 0, as does a replica that is listed again after its eviction, and
// Restore lowers the count by the age of what it restores.
func (d *Detector) endProbation(window Window) Change {
	d.probationSince = 0
	d.penalty = 0
	return Change{to: healthy, window: window}
}

// Restored is the health that an earlier controller had learned.
type Restored struct {
	Ejected    bool // or on probation
	Ejections  int
	Confidence float64 // left by its age, above 0 up to 1
}

// Restore takes over what an earlier controller knew. A replica that was ejected is on probation with a fraction of its weight:
// the less, the newer the knowledge.
func (d *Detector) Restore(now time.Duration, r Restored) Change {
	d.ejections = int(math.Round(r.Confidence * float64(r.Ejections)))
	if !r.Ejected {
		return Change{}
	}
	d.probationSince = now // no late report is of the time before: this controller has sent it nothing
	d.penalty = 1 - math.Pow(RestoredWeightFraction, r.Confidence)
	return Change{to: restoredOnProbation, weightFraction: 1 - d.penalty}
}

// Ejected reports whether the replica is ejected. The first evaluation after the ejection time ends it.
func (d *Detector) Ejected() bool { return d.ejectedUntil > 0 }

// EjectedFor returns how much longer the replica is ejected; 0: it is not.
func (d *Detector) EjectedFor(now time.Duration) time.Duration { return max(0, d.ejectedUntil-now) }

// OnProbation reports whether the replica is on probation.
func (d *Detector) OnProbation() bool { return d.probationSince > 0 }

// Ejections returns the number of ejections of the process.
func (d *Detector) Ejections() int { return d.ejections }

// Penalty returns the fraction of its weight that the replica lacks while learned state has it on probation (Restore).
func (d *Detector) Penalty() float64 { return d.penalty }
