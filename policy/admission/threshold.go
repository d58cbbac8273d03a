// Package admission decides how much of each traffic class the proxies admit.
//
// The admission threshold is the number of traffic classes that are admitted, in order of their priority: 2.3 of four classes
// admits the first two, three tenths of the third and sheds the rest. It falls while the fleet is overloaded and rises again
// afterwards.
//
// Inputs are the fleet's load (Load) and the demand (Summary), once each tick. The fleet is overloaded while its pressure is
// above 1. Pressure is the mean response time as a multiple of maxObjectiveFraction of the first class's latency objective;
// where responses are also much slower than those of an idle fleet, it is at least the failure rate of most replicas as a
// multiple of maxFailureRate. Failures without slow responses are refused connections, silent replicas or errors, and fewer
// requests would not end them. Nothing counts as an overload while there are fewer than minSuccesses successes, or where proxies
// do not follow fractions (Settings.Admission).
//
// The threshold moves by the first of these rules that applies:
//
//  1. It holds for LoadWindow after a fall, or after rule 4 spared it one, as the load is still counted from before.
//  2. It holds while an overload is younger than the reports are late, as the overload may have passed already.
//  3. It falls, if all is admitted, to what firstFallFraction of the highest success rate seen lately can serve.
//  4. It falls further by fallFactor, if something is shed already and the pressure is higher than at the last fall. An
//     overload that eases by itself needs no further fall.
//  5. It rises by risePerSecond, and faster the longer the last fall is ago, if there is no overload.
//
// The rule assumes that response times show how full the replicas' queues are. It sheds too much where a slow network or slow
// requests lengthen them.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/internal/renumber"
	"lilacbend/policy/internal/sample"
)

const (
	// maxObjectiveFraction is the mean response time, as a fraction of the latency objective, above which the fleet is
	// overloaded. It is below 1, as many responses are slower than the mean.
	maxObjectiveFraction = 0.75
	// maxFailureRate is the failure rate of most replicas above which the fleet is overloaded, if responses are slow.
	maxFailureRate = 0.15
	// slowResponseFactor is how many times the response time of an idle fleet counts as slow.
	slowResponseFactor = 2.5
	// minSuccesses is the number of successes within LoadWindow below which nothing is known of the replicas' queues.
	minSuccesses = 5
	// LoadWindow is the period over which the load is counted. It is the period of the replicas' samples (package outlier).
	LoadWindow = 4 * time.Second

	// firstFallFraction is the fraction of the highest success rate seen lately that the first fall admits. The rest lets the
	// replicas' queues drain.
	firstFallFraction = 0.9
	// fallFactor is what a further fall leaves of the threshold.
	fallFactor = 0.9
	// risePerSecond is the fraction of all classes by which the threshold rises each second. It is slow against the delay of
	// reports, so that an overload that begins again is seen before much is admitted.
	risePerSecond = 0.01
	// riseAcceleration is the time after the last fall from which the rise gets faster: after twice the time it is twice as
	// fast. What was shed for a fault that has ended is admitted soon, and falls that follow each other do not speed up the rise.
	riseAcceleration = 8 * time.Second

	// fractionSteps is the number of steps in which the fraction of a class changes: each change is sent to all proxies.
	fractionSteps = 20
	// successRateSamples is how many success rates are kept, one for each tick.
	successRateSamples = 2 * sample.Kept
	// noDivisionByZero is the least divisor of rates.
	noDivisionByZero = 1e-9
)

// Load is the load of the fleet over LoadWindow.
type Load struct {
	AttemptRate          float64 // attempts a second at replicas that are ready and neither ejected nor on probation
	FailureRate          float64 // fraction of these attempts that failed
	TypicalFailureRate   float64 // mean failure rate of most replicas, without those that fail most
	ResponseTime         float64 // mean of the successful responses, in seconds
	ServingReplicas      float64 // number of these replicas
	BaselineResponseTime float64 // of the fastest hardware class without load, in seconds; infinite: not known
}

// successRate is the successful responses a second of the fleet.
func (l Load) successRate() float64 { return l.AttemptRate * (1 - l.FailureRate) }

// Threshold is the admission threshold. The package comment has its rule.
type Threshold struct {
	settings *control.Settings

	// classes are all traffic classes by priority, the highest first. It is nil before the first evaluation.
	classes []int
	// admittedClasses is the threshold: how many of the classes are admitted, in this order.
	admittedClasses float64
	// initialFraction is the fraction of the classes that is admitted at first.
	initialFraction float64

	overloaded     bool
	lastFall       time.Duration // when rule 3 or 4 last applied, whether the threshold fell or not
	fallPressure   float64       // at that time
	lastNormal     time.Duration // when the fleet was last not overloaded
	lastEvaluation time.Duration
	successRates   []float64 // successful responses a second of a serving replica, the newest last
}

// NewThreshold returns a Threshold that admits everything. It reads the settings at each call, so that changed settings hold at
// once.
func NewThreshold(settings *control.Settings) *Threshold {
	return &Threshold{settings: settings, initialFraction: 1}
}

// Restore takes over what an earlier controller had learned, with the confidence in it that its age has left. The fraction of
// the classes that it admitted is of use before the first evaluation only.
func (t *Threshold) Restore(now time.Duration, fraction, maxSuccessRate, confidence float64) {
	t.initialFraction = 1 - confidence*(1-fraction)
	t.successRates = append(t.successRates, confidence*maxSuccessRate)
	t.lastEvaluation = now
}

// Evaluate moves the threshold by one step. It reports whether an overload began or ended.
func (t *Threshold) Evaluate(now time.Duration, load Load, demand Summary) (changed bool) {
	if t.classes == nil {
		t.classes = byPriority(t.settings.Classes)
		t.admittedClasses = float64(len(t.classes)) * t.initialFraction
	}
	pressure := t.pressure(load)
	overloaded := t.isOverloaded(pressure, load)
	if !overloaded {
		t.lastNormal = now
	}
	t.addSuccessRate(load)
	t.move(now, overloaded, pressure, load, demand)
	t.lastEvaluation = now
	changed = overloaded != t.overloaded
	t.overloaded = overloaded
	return changed
}

// pressure returns how overloaded the fleet is; above 1 it is overloaded.
func (t *Threshold) pressure(load Load) float64 {
	objective := float64(t.settings.Classes[t.classes[0]].LatencyObjective)
	pressure := load.ResponseTime * float64(time.Second) / maxObjectiveFraction / objective
	if load.ResponseTime > slowResponseFactor*load.BaselineResponseTime {
		pressure = math.Max(pressure, load.TypicalFailureRate/maxFailureRate)
	}
	return pressure
}

// isOverloaded reports whether the fleet is overloaded and proxies follow admission rates.
func (t *Threshold) isOverloaded(pressure float64, load Load) bool {
	successes := load.successRate() * float64(LoadWindow) / float64(time.Second)
	return pressure > 1 && successes >= minSuccesses && t.settings.Admission == control.AdmitFraction
}

func (t *Threshold) addSuccessRate(load Load) {
	rate := load.successRate() / math.Max(noDivisionByZero, load.ServingReplicas)
	t.successRates = sample.Newest(successRateSamples, append(t.successRates, rate))
}

// move applies the first rule of the package comment that applies.
func (t *Threshold) move(now time.Duration, overloaded bool, pressure float64, load Load, demand Summary) {
	switch {
	case now-t.lastFall < LoadWindow:
	case overloaded && now-t.lastNormal < demand.ReportDelay:
	case overloaded && t.admittedClasses < float64(len(t.classes)):
		if pressure > t.fallPressure {
			t.admittedClasses *= fallFactor
		}
		t.fallPressure = pressure
		t.lastFall = now
	case overloaded:
		t.admittedClasses = t.firstFall(load, demand)
		t.fallPressure = pressure
		t.lastFall = now
	default:
		t.rise(now)
	}
}

// firstFall returns how many classes the serving replicas can serve at firstFallFraction of the highest success rate. All
// requests are attempted at this point: where fewer attempts than requests are reported, successes are missing in the same
// proportion.
func (t *Threshold) firstFall(load Load, demand Summary) float64 {
	unreported := math.Max(1, ordered.Sum(demand.ClassRates)/math.Max(1, load.AttemptRate))
	capacity := firstFallFraction * slices.Max(t.successRates) * load.ServingReplicas * unreported // requests a second
	admitted := 0.0
	for _, class := range t.classes {
		rate := demand.ClassRates[class]
		admitted += math.Min(1, math.Max(0, capacity)/math.Max(1, rate))
		capacity -= rate
	}
	return admitted
}

func (t *Threshold) rise(now time.Duration) {
	all := float64(len(t.classes))
	acceleration := math.Max(1, float64(now-t.lastFall)/float64(riseAcceleration))
	rise := risePerSecond * acceleration * all * float64(now-t.lastEvaluation) / float64(time.Second)
	t.admittedClasses = math.Min(all, t.admittedClasses+rise)
}

// Overloaded reports whether the fleet was overloaded at the last evaluation.
func (t *Threshold) Overloaded() bool { return t.overloaded }

// AdmittedClasses returns the threshold: how many classes are admitted, in the order of their priority.
func (t *Threshold) AdmittedClasses() float64 { return t.admittedClasses }

// ClassFraction is how much of a traffic class is admitted, from 0 to 1.
type ClassFraction struct {
	Class    int
	Fraction float64
}

// ClassFractions returns the admitted fraction of each traffic class, by priority: 1 for classes above the threshold, 0 for
// those below it, and for the class that it divides what is above, rounded up to a step.
func (t *Threshold) ClassFractions() []ClassFraction {
	fractions := make([]ClassFraction, 0, len(t.classes))
	for rank, class := range t.classes {
		steps := math.Ceil(fractionSteps * (t.admittedClasses - float64(rank)))
		fractions = append(fractions, ClassFraction{class, clamp(steps / fractionSteps)})
	}
	return fractions
}

// AdmittedFraction returns the fraction of the traffic classes that is admitted, from 0 to 1.
func (t *Threshold) AdmittedFraction() float64 {
	if len(t.classes) == 0 {
		return 1
	}
	return t.admittedClasses / float64(len(t.classes))
}

// MaxSuccessRate returns the highest success rate that a serving replica had lately, in successful responses a second.
func (t *Threshold) MaxSuccessRate() float64 {
	highest := 0.0
	for _, rate := range t.successRates {
		highest = max(highest, rate)
	}
	return highest
}

// Renumber follows changed traffic classes. A class that was admitted completely stays so, unless a class of higher priority is
// not: the threshold stands at the first of the classes that were shed in part or completely.
func (t *Threshold) Renumber(newClasses []int) {
	if t.classes == nil {
		return
	}
	fractions := map[int]float64{}
	for rank, class := range t.classes {
		number, exists := renumber.Lookup(newClasses, class)
		if exists {
			fractions[number] = clamp(t.admittedClasses - float64(rank))
		}
	}
	t.classes = byPriority(t.settings.Classes)
	t.admittedClasses = float64(len(t.classes))
	for rank, class := range t.classes {
		fraction, existed := fractions[class]
		if existed && fraction < 1 {
			t.admittedClasses = float64(rank) + fraction
			return
		}
	}
}

// byPriority returns the numbers of the classes, those of the highest priority weight first, of equal ones those with the
// shorter latency objective first.
func byPriority(classes []control.TrafficClass) []int {
	numbers := make([]int, len(classes))
	for k := range numbers {
		numbers[k] = k
	}
	slices.SortStableFunc(numbers, func(a, b int) int {
		return cmp.Or(cmp.Compare(classes[b].PriorityWeight, classes[a].PriorityWeight),
			cmp.Compare(classes[a].LatencyObjective, classes[b].LatencyObjective))
	})
	return numbers
}

// clamp returns the fraction within 0 to 1.
func clamp(fraction float64) float64 { return math.Min(1, math.Max(0, fraction)) }
