// Package weight estimates how many requests a replica can serve compared with the other replicas. The weight of the replica
// follows from this estimate.
//
// Estimator.Goal computes the weight goal of a replica, as a multiple of its listed weight, from the attempts of the last
// seconds:
//
//   - If the listed weights of the replicas differ, they are trusted: the goal is 1. If the response time of a replica is
//     more than slowResponseFactor times the mean of its hardware class, the goal falls as the response time grows.
//   - If all listed weights are equal, they carry no information: the goal is the capacity of the replica, as a multiple of
//     the fleet's mean capacity. The capacity is the number of successes that the replica would have at full utilization:
//     its current successes, divided by the utilization that its response time shows compared with the baseline of its
//     hardware class. If the replica has few samples, they are mixed with the mean of its hardware class.
//   - The speed that an earlier controller had learned is mixed into either goal, in proportion to the confidence in it.
//
// Estimate follows the goals of one replica gradually, because load reports are late and an immediate response would
// oscillate.
//
// Baselines keeps the mean response times of each hardware class. The lowest mean of a class is taken as the response time
// of an idle replica.
package weight

import "math"

const (
	// slowResponseFactor is the multiple of the mean response time of its hardware class at which a replica is slow.
	slowResponseFactor = 2.0

	// minGoal is the lowest weight goal of a replica, as a fraction of the weight goal of its hardware class: without any
	// requests, the estimate of the replica could not recover.
	minGoal = 1.0 / 16

	// priorSuccesses is the weight of the mean of the hardware class when it is mixed with the successes of a replica, as a
	// number of successes.
	priorSuccesses = 8.0

	// maxClassSpread is the highest response time that an idle replica may have, as a multiple of the baseline of the
	// fastest hardware class: a replica that responds more slowly is busy.
	maxClassSpread = 2

	// initialIdleFraction is the fraction of the baseline response time that is assumed to be the response time of an idle
	// replica, while there are no baselines. The first baselines are measured under load.
	initialIdleFraction = 0.85

	// settledIdleFraction is the fraction of the baseline response time that is assumed to be the response time of an idle
	// replica, once there are settledSampleCount samples of the baselines.
	settledIdleFraction = 0.6
	settledSampleCount  = 15.0

	// queuePenalty is added to the estimated utilization of a replica for each multiple of the baseline by which its
	// response time exceeds the baseline, at most maxQueuePenalties times: a full queue has to drain.
	queuePenalty      = 0.1
	maxQueuePenalties = 5.0

	// minDivisor keeps divisors above 0.
	minDivisor = 1e-9
)

// Replica holds the inputs of the estimation for one replica. Attempts and response times are those of the last seconds.
type Replica struct {
	HardwareClass int
	ListedWeight  float64
	Attempts      float64
	Failures      float64
	ResponseTime  float64 // mean response time of the successful attempts, in seconds; 0: not known
	Healthy       bool    // ready, warmed up, neither ejected nor on probation
	LearnedSpeed  float64 // learned by an earlier controller
	Confidence    float64 // weight of LearnedSpeed, as a number of attempts
}

func (r Replica) successes() float64 { return r.Attempts - r.Failures }

// comparable reports whether the replica is included in the means of its hardware class.
func (r Replica) comparable() bool { return r.Healthy && r.ResponseTime > 0 }

// classTotals sums the healthy replicas of a hardware class.
type classTotals struct {
	successes         float64
	totalResponseTime float64 // sum of the response times of all successes, in seconds
	replicas          float64
	capacity          float64 // sum of the replicas' estimated capacities
}

func (t classTotals) meanSuccesses() float64 { return t.successes / math.Max(1, t.replicas) }

func (t classTotals) meanResponseTime() float64 {
	return t.totalResponseTime / math.Max(1, t.successes)
}

// Estimator compares the replicas with each other at one point in time.
type Estimator struct {
	baselines          *Baselines
	allClasses         int     // key in classes of the totals of all hardware classes together
	fastestBaseline    float64 // lowest baseline of all hardware classes, in seconds; infinite: there is none
	idleFraction       float64 // between initialIdleFraction and settledIdleFraction
	classes            map[int]classTotals
	meanCapacity       float64 // mean capacity of the healthy replicas
	equalListedWeights bool    // all listed weights are equal
}

// NewEstimator sums the samples of all replicas. Callers pass the replicas in a fixed order, because floating-point sums
// depend on the order. The class number allClasses denotes all hardware classes together.
func NewEstimator(baselines *Baselines, allClasses int, replicas []Replica) *Estimator {
	e := &Estimator{
		baselines:       baselines,
		allClasses:      allClasses,
		fastestBaseline: baselines.fastest(),
		idleFraction:    idleFraction(len(baselines.byClass[allClasses])),
		classes:         map[int]classTotals{},
	}
	listedWeights := map[float64]bool{}
	for _, r := range replicas {
		listedWeights[r.ListedWeight] = true
		if r.comparable() {
			e.add(r.HardwareClass, r)
			e.add(allClasses, r)
		}
	}
	e.equalListedWeights = len(listedWeights) == 1
	fleet := e.classes[allClasses]
	e.meanCapacity = fleet.capacity / math.Max(1, fleet.replicas)
	return e
}

func (e *Estimator) add(class int, r Replica) {
	totals := e.classes[class]
	totals.successes += r.successes()
	totals.totalResponseTime += r.ResponseTime * r.successes()
	totals.replicas++
	totals.capacity += e.capacity(r)
	e.classes[class] = totals
}

// idleFraction falls linearly from initialIdleFraction to settledIdleFraction as the number of baseline samples grows.
func idleFraction(sampleCount int) float64 {
	missingFraction := math.Max(0, 1-float64(sampleCount)/settledSampleCount)
	return settledIdleFraction + (initialIdleFraction-settledIdleFraction)*missingFraction
}

// capacity estimates the number of successes of a replica at full utilization: its current successes, divided by its
// estimated utilization. Part of the failures of a busy replica counts as successes, because they took processing time as
// well.
func (e *Estimator) capacity(r Replica) float64 {
	idleResponseTime := math.Min(r.ResponseTime, e.fastestBaseline*maxClassSpread)
	if baseline, ok := e.baselines.lowest(r.HardwareClass); ok {
		idleResponseTime = math.Min(idleResponseTime, baseline)
	}
	penalties := math.Min(maxQueuePenalties, r.ResponseTime/idleResponseTime-1)
	utilization := 1 - e.idleFraction*idleResponseTime/r.ResponseTime + queuePenalty*penalties
	countedFailures := min(1, utilization*utilization) * math.Min(r.Failures, r.successes())
	return (r.successes() + countedFailures) / utilization
}

// Goal returns the weight goal of a replica, as a multiple of its listed weight.
func (e *Estimator) Goal(r Replica) float64 {
	class := e.classes[r.HardwareClass]
	goal := 1.0
	switch {
	case e.equalListedWeights && class.capacity > 0:
		goal = e.capacityGoal(r, class)
	case !e.equalListedWeights:
		goal = listedGoal(r, class)
	}
	if r.Confidence > 0 {
		sampleWeight := r.successes()
		if class.capacity > 0 {
			sampleWeight += priorSuccesses
		}
		goal = (goal*sampleWeight + r.LearnedSpeed*r.Confidence) / (sampleWeight + r.Confidence)
	}
	return goal
}

// listedGoal returns 1, the listed weight, unless the replica is slow compared with its hardware class.
func listedGoal(r Replica, class classTotals) float64 {
	slowdown := r.ResponseTime / math.Max(minDivisor, class.meanResponseTime())
	if slowdown > slowResponseFactor {
		return math.Max(minGoal, 1/slowdown)
	}
	return 1
}

// capacityGoal returns the replica's capacity as a multiple of the fleet's mean capacity, mixed with the mean of its
// hardware class.
func (e *Estimator) capacityGoal(r Replica, class classTotals) float64 {
	classGoal := class.capacity / class.replicas / e.meanCapacity
	goal := classGoal
	if r.comparable() {
		ownGoal := e.capacity(r) / e.meanCapacity
		goal = (classGoal*priorSuccesses + ownGoal*r.successes()) / (priorSuccesses + r.successes())
	}
	return math.Max(minGoal*classGoal, goal)
}

// PeerSuccesses returns the mean successes of the healthy replicas of a hardware class.
func (e *Estimator) PeerSuccesses(class int) float64 { return e.classes[class].meanSuccesses() }

// SlowResponseTime returns the response time at which a replica of a hardware class is slow, in seconds. It is infinite
// where weights do not follow response times: there nothing but an ejection reduces the load of a slow replica.
func (e *Estimator) SlowResponseTime(class int) float64 {
	totals := e.classes[class]
	if !e.equalListedWeights || totals.capacity <= 0 {
		return math.Inf(1)
	}
	return slowResponseFactor * totals.totalResponseTime / math.Max(1, totals.successes)
}

// FleetResponseTime returns the mean response time of all healthy replicas, in seconds.
func (e *Estimator) FleetResponseTime() float64 { return e.classes[e.allClasses].meanResponseTime() }

// FastestBaseline returns the lowest baseline of all hardware classes at the time of NewEstimator, in seconds; infinite:
// there is none.
func (e *Estimator) FastestBaseline() float64 { return e.fastestBaseline }
