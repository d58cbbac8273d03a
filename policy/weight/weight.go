// Package weight estimates how much a replica can serve against the others, which becomes its weight.
//
// Estimator.Goal is the rule for the weight goal of a replica, from the attempts of the last seconds:
//
//   - If listed weights differ, they are believed: the goal is 1. It shrinks with the response time of a replica that answers
//     slowResponseFactor later than its hardware class.
//   - If all listed weights are equal, they say nothing: the goal is the number of successes that the replica could give when
//     fully used, against the fleet's mean. That is its successes now, divided by how busy its response time shows it against
//     the baseline of its hardware class. Few samples are mixed with the mean of the class.
//   - What an earlier controller had learned counts beside either, as far as its confidence goes.
//
// Estimate follows the goals of one replica smoothly, as load reports are late and an immediate response would oscillate.
//
// Baselines keep the mean response times of each hardware class; the least is taken for that of an idle replica.
package weight

import "math"

const (
	// slowResponseFactor is how much later than its hardware class a replica answers that is slow.
	slowResponseFactor = 2.0

	// minGoal is the least weight goal, of that of its hardware class: a replica without any requests could not recover.
	minGoal = 1.0 / 16

	// priorSuccesses is the number of successes for which the mean of the hardware class counts beside those of a replica.
	priorSuccesses = 8.0

	// maxClassSpread bounds how much slower than the fastest hardware class an idle replica may be: one that answers later is
	// busy.
	maxClassSpread = 2

	// initialIdleFraction is the fraction of the baseline response time in which a replica is taken to be idle, while there
	// are no baselines. Those that come first are taken under load.
	initialIdleFraction = 0.85

	// settledIdleFraction is the same once there are settledBaselines.
	settledIdleFraction = 0.6
	settledBaselines    = 15.0

	// queuePenalty is how much busier a replica is taken to be for each baseline response time that its responses take more,
	// up to maxQueuePenalties: a full queue has to drain.
	queuePenalty      = 0.1
	maxQueuePenalties = 5.0

	// minDivisor keeps divisors above 0.
	minDivisor = 1e-9
)

// Replica is what the estimation needs to know of one replica. Attempts and response times are those of the last seconds.
type Replica struct {
	HardwareClass   int
	ListedWeight    float64
	Attempts        float64
	Failures        float64
	ResponseTime    float64 // mean of the successful attempts, in seconds; 0: not known
	Healthy         bool    // ready, warmed up, neither ejected nor on probation
	RememberedSpeed float64
	Confidence      float64 // number of attempts that RememberedSpeed counts for
}

func (r Replica) successes() float64 { return r.Attempts - r.Failures }

// comparable reports whether the replica counts for the means of its hardware class.
func (r Replica) comparable() bool { return r.Healthy && r.ResponseTime > 0 }

// classTotals sums the healthy replicas of a hardware class.
type classTotals struct {
	successes    float64
	responseTime float64 // of all successes together, in seconds
	replicas     float64
	capacity     float64
}

func (t classTotals) meanSuccesses() float64 { return t.successes / math.Max(1, t.replicas) }

func (t classTotals) meanResponseTime() float64 { return t.responseTime / math.Max(1, t.successes) }

// Estimator compares the replicas of one moment.
type Estimator struct {
	baselines    *Baselines
	allClasses   int // the number that stands for all hardware classes together
	fastest      float64
	idleFraction float64
	classes      map[int]classTotals
	meanCapacity float64 // of the healthy replicas
	uniform      bool    // all listed weights are equal
}

// NewEstimator gathers the samples of all replicas. The order of the replicas is part of the result, as sums of floating-point
// numbers depend on it. The number allClasses stands for all hardware classes together.
func NewEstimator(baselines *Baselines, allClasses int, replicas []Replica) *Estimator {
	e := &Estimator{
		baselines:    baselines,
		allClasses:   allClasses,
		fastest:      baselines.fastest(),
		idleFraction: idleFraction(len(baselines.byClass[allClasses])),
		classes:      map[int]classTotals{},
	}
	listedWeights := map[float64]bool{}
	for _, r := range replicas {
		listedWeights[r.ListedWeight] = true
		if r.comparable() {
			e.add(r.HardwareClass, r)
			e.add(allClasses, r)
		}
	}
	e.uniform = len(listedWeights) == 1
	fleet := e.classes[allClasses]
	e.meanCapacity = fleet.capacity / math.Max(1, fleet.replicas)
	return e
}

func (e *Estimator) add(class int, r Replica) {
	totals := e.classes[class]
	totals.successes += r.successes()
	totals.responseTime += r.ResponseTime * r.successes()
	totals.replicas++
	totals.capacity += e.capacity(r)
	e.classes[class] = totals
}

// idleFraction falls evenly from the initial to the settled value with the number of baselines.
func idleFraction(baselines int) float64 {
	missing := math.Max(0, 1-float64(baselines)/settledBaselines)
	return settledIdleFraction + (initialIdleFraction-settledIdleFraction)*missing
}

// capacity estimates the successes of a replica if it were fully used: those that it has, divided by how busy it is. Of the
// failures of a busy replica some are counted as well, as they took its time.
func (e *Estimator) capacity(r Replica) float64 {
	idle := math.Min(r.ResponseTime, e.fastest*maxClassSpread)
	if least, ok := e.baselines.least(r.HardwareClass); ok {
		idle = math.Min(idle, least)
	}
	queued := math.Min(maxQueuePenalties, r.ResponseTime/idle-1)
	busy := 1 - e.idleFraction*idle/r.ResponseTime + queuePenalty*queued
	failed := min(1, busy*busy) * math.Min(r.Failures, r.successes())
	return (r.successes() + failed) / busy
}

// Goal returns the weight goal of a replica, against its listed weight.
func (e *Estimator) Goal(r Replica) float64 {
	class := e.classes[r.HardwareClass]
	goal := 1.0
	switch {
	case e.uniform && class.capacity > 0:
		goal = e.capacityGoal(r, class)
	case !e.uniform:
		goal = listedGoal(r, class)
	}
	if r.Confidence > 0 {
		seen := r.successes()
		if class.capacity > 0 {
			seen += priorSuccesses
		}
		goal = (goal*seen + r.RememberedSpeed*r.Confidence) / (seen + r.Confidence)
	}
	return goal
}

// listedGoal believes the listed weight, but for a replica that is slow for its hardware class.
func listedGoal(r Replica, class classTotals) float64 {
	lateness := r.ResponseTime / math.Max(minDivisor, class.meanResponseTime())
	if lateness > slowResponseFactor {
		return math.Max(minGoal, 1/lateness)
	}
	return 1
}

// capacityGoal compares the replica's capacity with the fleet's mean, mixed with that of its hardware class.
func (e *Estimator) capacityGoal(r Replica, class classTotals) float64 {
	classGoal := class.capacity / class.replicas / e.meanCapacity
	goal := classGoal
	if r.comparable() {
		own := e.capacity(r) / e.meanCapacity
		goal = (classGoal*priorSuccesses + own*r.successes()) / (priorSuccesses + r.successes())
	}
	return math.Max(minGoal*classGoal, goal)
}

// PeerSuccesses returns the mean successes of the healthy replicas of a hardware class.
func (e *Estimator) PeerSuccesses(class int) float64 { return e.classes[class].meanSuccesses() }

// SlowResponseTime returns the response time from which a replica of a hardware class is slow, in seconds. It is infinite where
// weights do not follow response times: there a late replica is not treated otherwise.
func (e *Estimator) SlowResponseTime(class int) float64 {
	totals := e.classes[class]
	if !e.uniform || totals.capacity <= 0 {
		return math.Inf(1)
	}
	return slowResponseFactor * totals.responseTime / math.Max(1, totals.successes)
}

// FleetResponseTime returns the mean response time of all healthy replicas, in seconds.
func (e *Estimator) FleetResponseTime() float64 { return e.classes[e.allClasses].meanResponseTime() }

// FastestBaseline returns the least baseline of all hardware classes at the time of NewEstimator, in seconds; infinite: there is none.
func (e *Estimator) FastestBaseline() float64 { return e.fastest }
