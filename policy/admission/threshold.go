// Package admission decides how much of each traffic class the proxies admit.
//
// The admission threshold is the number of traffic classes that are admitted, in order of their priority. With four classes,
// a threshold of 2.3 admits the first two and three tenths of the third, and sheds the rest. The threshold falls while the
// fleet is overloaded and rises again afterwards.
//
// The inputs at each tick are the fleet's load (Load) and the demand (Summary). The fleet is overloaded while its pressure
// is above 1. The pressure is the mean response time divided by the product of maxObjectiveFraction and the latency
// objective of the first class, which has the highest priority. If responses also take more than slowResponseFactor times as
// long as those of an idle fleet, the pressure is at least the failure rate of most replicas divided by maxFailureRate.
// Failures without slow responses come from refused connections, replicas that do not respond, or errors, and fewer requests
// would not end them. The fleet does not count as overloaded while there are fewer than minSuccesses successes within
// LoadWindow, or if proxies do not follow fractions (Settings.Admission).
//
// The threshold changes by the first of these rules that applies:
//
//  1. It stays unchanged for LoadWindow after a fall, or after rule 4 applied without a fall, because the measured load
//     still includes the time before that.
//  2. It stays unchanged while an overload has lasted for less than the delay of the reports (Summary.ReportDelay), because
//     the overload may have ended already.
//  3. If the fleet is overloaded and all classes are admitted completely, the threshold falls to what the serving replicas
//     can serve at firstFallFraction of the highest recent success rate.
//  4. If the fleet is overloaded and a class is already shed in part or completely, the threshold is multiplied by
//     fallFactor if the pressure is higher than when rule 3 or 4 last applied. Otherwise it stays unchanged: an overload
//     that eases by itself needs no further fall.
//  5. If the fleet is not overloaded, the threshold rises by risePerSecond of all classes each second, and faster the longer
//     ago rule 3 or 4 last applied (riseAccelerationTime).
//
// The rules assume that response times show how full the replicas' queues are. They shed too many requests where a slow
// network or slow requests lengthen the response times.
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
	// maxFailureRate is the failure rate of most replicas (Load.TypicalFailureRate) above which the fleet is overloaded, if
	// responses are slow.
	maxFailureRate = 0.15
	// slowResponseFactor is the multiple of the response time of an idle fleet above which responses are slow.
	slowResponseFactor = 2.5
	// minSuccesses is the number of successes within LoadWindow below which nothing is known about the replicas' queues.
	minSuccesses = 5
	// LoadWindow is the period over which the load is measured. It is the period for which the replicas' load reports are
	// summed (outlier.EvaluationPeriod).
	LoadWindow = 4 * time.Second

	// firstFallFraction is the fraction of the highest recent success rate that the first fall admits. The remaining
	// capacity lets the replicas' queues drain.
	firstFallFraction = 0.9
	// fallFactor is the factor by which a further fall multiplies the threshold.
	fallFactor = 0.9
	// risePerSecond is the fraction of all classes by which the threshold rises each second. The rise is slow compared with
	// the delay of reports, so that an overload that begins again is detected before many more requests are admitted.
	risePerSecond = 0.01
	// riseAccelerationTime is the time since the last fall after which the rise accelerates: after twice this time it is
	// twice as fast. Requests that were shed because of a fault that has ended are soon admitted again, and falls in quick
	// succession do not accelerate the rise.
	riseAccelerationTime = 8 * time.Second

	// fractionSteps is the number of steps in which the admitted fraction of a class changes. The steps limit the number of
	// changes, as each change is sent to all proxies.
	fractionSteps = 20
	// successRateSamples is the number of success rates that are kept, one for each tick.
	successRateSamples = 2 * sample.MaxKept
	// minDivisor keeps divisors above 0.
	minDivisor = 1e-9
)

// Load is the load of the fleet over LoadWindow.
type Load struct {
	AttemptRate          float64 // attempts per second at replicas that are ready and neither ejected nor on probation
	FailureRate          float64 // failed fraction of the attempts that AttemptRate counts
	TypicalFailureRate   float64 // mean failure rate of the replicas that AttemptRate covers, without the highest rates
	ResponseTime         float64 // mean response time of the successful responses, in seconds
	ServingReplicas      float64 // number of the replicas that AttemptRate covers
	BaselineResponseTime float64 // response time of the fastest hardware class without load, in seconds; infinite: not known
}

// successRate returns the successful responses per second of the fleet.
func (l Load) successRate() float64 { return l.AttemptRate * (1 - l.FailureRate) }

// Threshold is the admission threshold. The package comment describes the rules by which it changes.
type Threshold struct {
	settings *control.Settings

	// classes are the numbers of all traffic classes, in order of descending priority. It is nil before the first
	// evaluation.
	classes []int
	// admittedClasses is the threshold: the number of traffic classes that are admitted, in the order of the field classes.
	admittedClasses float64
	// initialFraction is the fraction of the classes that the first evaluation starts with.
	initialFraction float64

	overloaded     bool
	lastFall       time.Duration // when rule 3 or 4 last applied, whether the threshold fell or not
	fallPressure   float64       // pressure at lastFall
	lastNormal     time.Duration // when the fleet was last not overloaded
	lastEvaluation time.Duration
	successRates   []float64 // successful responses per second and serving replica, the newest last
}

// NewThreshold returns a Threshold that admits all classes. Threshold reads the settings at each call, so that changed
// settings take effect at once.
func NewThreshold(settings *control.Settings) *Threshold {
	return &Threshold{settings: settings, initialFraction: 1}
}

// Restore takes over what an earlier controller had learned: the fraction of the classes that it admitted, and its highest
// success rate. The confidence in both falls with their age. The fraction has an effect only if Restore is called before the
// first evaluation.
func (t *Threshold) Restore(now time.Duration, fraction, maxSuccessRate, confidence float64) {
	t.initialFraction = 1 - confidence*(1-fraction)
	t.successRates = append(t.successRates, confidence*maxSuccessRate)
	t.lastEvaluation = now
}

// Evaluate updates the threshold according to the rules in the package comment. It reports whether an overload began or
// ended.
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
	t.update(now, overloaded, pressure, load, demand)
	t.lastEvaluation = now
	changed = overloaded != t.overloaded
	t.overloaded = overloaded
	return changed
}

// pressure returns the pressure on the fleet; above 1 the fleet is overloaded.
func (t *Threshold) pressure(load Load) float64 {
	objective := float64(t.settings.Classes[t.classes[0]].LatencyObjective)
	pressure := load.ResponseTime * float64(time.Second) / maxObjectiveFraction / objective
	if load.ResponseTime > slowResponseFactor*load.BaselineResponseTime {
		pressure = math.Max(pressure, load.TypicalFailureRate/maxFailureRate)
	}
	return pressure
}

// isOverloaded reports whether the fleet is overloaded and proxies follow admitted fractions.
func (t *Threshold) isOverloaded(pressure float64, load Load) bool {
	successes := load.successRate() * float64(LoadWindow) / float64(time.Second)
	return pressure > 1 && successes >= minSuccesses && t.settings.Admission == control.AdmitFraction
}

func (t *Threshold) addSuccessRate(load Load) {
	rate := load.successRate() / math.Max(minDivisor, load.ServingReplicas)
	t.successRates = sample.Newest(successRateSamples, append(t.successRates, rate))
}

// update changes the threshold according to the first rule of the package comment that applies.
func (t *Threshold) update(now time.Duration, overloaded bool, pressure float64, load Load, demand Summary) {
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

// firstFall returns how many classes the serving replicas can serve at firstFallFraction of the highest recent success rate.
// Before the first fall all requests are admitted and attempted. If fewer attempts than requests are reported, the known
// success rate is too low in the same proportion.
func (t *Threshold) firstFall(load Load, demand Summary) float64 {
	unreportedFactor := math.Max(1, ordered.Sum(demand.ClassRates)/math.Max(1, load.AttemptRate))
	capacity := firstFallFraction * slices.Max(t.successRates) * load.ServingReplicas * unreportedFactor // requests per second
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
	acceleration := math.Max(1, float64(now-t.lastFall)/float64(riseAccelerationTime))
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

// ClassFractions returns the admitted fraction of each traffic class, those of the highest priority first: 1 for the classes
// that the threshold admits completely, 0 for those that it sheds completely, and the admitted fraction, rounded up to a
// step, for the class that is admitted in part.
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

// MaxSuccessRate returns the highest recent success rate, in successful responses per second and serving replica.
func (t *Threshold) MaxSuccessRate() float64 {
	highest := 0.0
	for _, rate := range t.successRates {
		highest = max(highest, rate)
	}
	return highest
}

// Renumber adapts the threshold to changed traffic classes. newClasses holds the new number of each class by its old number,
// negative for a class that no longer exists. A class that was admitted completely stays admitted completely, unless a class
// of higher priority is not: the threshold is set at the first class, in the new order, that was shed in part or completely.
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

// byPriority returns the numbers of the classes, those with the highest priority weight first. Of classes with equal
// priority weights, those with the shorter latency objective come first.
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

// clamp limits a fraction to the range from 0 to 1.
func clamp(fraction float64) float64 { return math.Min(1, math.Max(0, fraction)) }
