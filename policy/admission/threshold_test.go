package admission

import (
	"math"
	"slices"
	"testing"
	"time"

	"lilacbend/control"
)

// start is far enough from 0 that no rule treats the zero value of a time as recent.
const start = 100 * time.Second

// tick is the time between two evaluations of a controller.
const tick = time.Second / 4

// controller is a threshold with its demand and settings, and a simulated current time.
type controller struct {
	*Threshold
	demand   *Demand
	settings *control.Settings
	now      time.Duration
}

// newController returns a controller with two traffic classes, of which the second has the higher priority. Each has
// received 50 requests per second.
func newController() *controller {
	settings := &control.Settings{
		ReportInterval: int64(time.Second),
		Admission:      control.AdmitFraction,
		Classes: []control.TrafficClass{
			{PriorityWeight: 1, LatencyObjective: int64(time.Second)},
			{PriorityWeight: 3, LatencyObjective: int64(time.Second)},
		},
	}
	c := &controller{Threshold: NewThreshold(settings), demand: NewDemand(settings), settings: settings, now: start}
	c.report(0)
	return c
}

// report adds a report of 200 requests of each class that covers the given period.
func (c *controller) report(period time.Duration) {
	for class := range 2 {
		c.demand.Add(c.now, control.DemandReport{Class: class, Requests: 200, Period: int64(period)})
	}
}

func (c *controller) evaluate(load Load) (changed bool) {
	return c.Evaluate(c.now, load, c.demand.Summarize(c.now))
}

// fraction returns the admitted fraction of a class.
func (c *controller) fraction(class int) float64 {
	for _, f := range c.ClassFractions() {
		if f.Class == class {
			return f.Fraction
		}
	}
	return math.NaN()
}

func normalLoad() Load { return Load{AttemptRate: 100, ResponseTime: 0.2, ServingReplicas: 1} }

// slowLoad is an overload with slow responses and no failures.
func slowLoad() Load { return Load{AttemptRate: 100, ResponseTime: 2, ServingReplicas: 1} }

func failingLoad(rate, responseTime float64) Load {
	return Load{AttemptRate: 100, FailureRate: rate, TypicalFailureRate: rate, ResponseTime: responseTime, ServingReplicas: 1}
}

func TestThresholdShedsTheClassOfLowestPriorityFirst(t *testing.T) {
	c := newController()
	if !c.evaluate(failingLoad(0.2, 0.2)) || !c.Overloaded() {
		t.Error("Evaluate did not report the beginning of an overload")
	}
	if c.AdmittedClasses() >= 2 || c.AdmittedClasses() <= 1 {
		t.Errorf("threshold %v, want between 1 and 2", c.AdmittedClasses())
	}
	if c.fraction(1) != 1 || c.fraction(0) >= 1 {
		t.Errorf("fractions %v, want all of class 1 and a part of class 0", c.ClassFractions())
	}
	c.now += 2 * LoadWindow
	if !c.evaluate(normalLoad()) || c.Overloaded() {
		t.Error("Evaluate did not report the end of the overload")
	}
}

func TestFailuresWithoutSlowResponsesAreNoOverload(t *testing.T) {
	c := newController()
	load := failingLoad(0.4, 0.2)
	load.BaselineResponseTime = 0.15
	c.evaluate(load)
	if c.AdmittedClasses() != 2 {
		t.Errorf("threshold %v, want all of 2 classes", c.AdmittedClasses())
	}
}

func TestThresholdHoldsAfterAFallAndWhileTheOverloadEases(t *testing.T) {
	c := newController()
	c.evaluate(failingLoad(0.5, 1))
	afterFirstFall := c.AdmittedClasses()
	if afterFirstFall >= 2 {
		t.Fatalf("threshold %v after an overload, want below 2", afterFirstFall)
	}
	evaluateLater := func(name string, after time.Duration, load Load, falls bool) {
		t.Helper()
		before := c.AdmittedClasses()
		c.now += after
		load.ServingReplicas = 0
		c.evaluate(load)
		if fell := c.AdmittedClasses() < before; fell != falls || !falls && c.AdmittedClasses() != before {
			t.Errorf("%s: threshold changed from %v to %v, want a fall: %v", name, before, c.AdmittedClasses(), falls)
		}
	}
	evaluateLater("load from before the fall", time.Second, failingLoad(0.6, 1), false)
	evaluateLater("easing overload", LoadWindow, failingLoad(0.3, 0.7), false)
	evaluateLater("worsening overload", LoadWindow, failingLoad(0.4, 0.7), true)
	c.now += 2 * LoadWindow
	c.evaluate(normalLoad())
	c.now += 100 * time.Second
	c.evaluate(normalLoad())
	if c.AdmittedClasses() != 2 {
		t.Errorf("threshold %v long after the overload, want 2", c.AdmittedClasses())
	}
}

// Where many proxies share a controller's capacity for reports, one report covers several seconds. An overload that has
// ended in the meantime must not cause all controllers to shed load.
func TestThresholdFallsOnceAnOverloadOutlastsTheReportDelay(t *testing.T) {
	for _, c := range []struct {
		name   string
		period time.Duration
		falls  []bool // expected at the first evaluation of the overload, and at one after the report delay
	}{
		{"reports of one interval", time.Second, []bool{true, true}},
		{"reports of four intervals", 4 * time.Second, []bool{false, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller := newController()
			controller.demand = NewDemand(controller.settings)
			controller.report(c.period)
			controller.evaluate(normalLoad())
			for k, falls := range c.falls {
				controller.now += time.Duration(k) * (c.period - time.Second)
				controller.evaluate(slowLoad())
				if fell := controller.AdmittedClasses() < 2; fell != falls {
					t.Errorf("evaluation %d: threshold %v, want a fall: %v", k, controller.AdmittedClasses(), falls)
				}
			}
		})
	}
}

func TestThresholdHoldsWhereTheOverloadEndsWithinTheReportDelay(t *testing.T) {
	c := newController()
	c.demand = NewDemand(c.settings)
	c.report(4 * time.Second)
	for _, load := range []Load{normalLoad(), slowLoad()} {
		c.evaluate(load)
	}
	for _, load := range []Load{normalLoad(), slowLoad()} {
		c.now += 2 * time.Second
		c.evaluate(load)
	}
	if c.AdmittedClasses() != 2 {
		t.Errorf("threshold %v, want 2", c.AdmittedClasses())
	}
}

// A controller that has just started, or whose zones are unreachable, gets reports of few responses, which are slow.
func TestFewSuccessesAreNoOverload(t *testing.T) {
	for _, c := range []struct {
		name string
		load Load
	}{
		{"few attempts", Load{AttemptRate: 1, FailureRate: 0.33, ResponseTime: 2.1, ServingReplicas: 60}},
		{"few successes", Load{AttemptRate: 88, FailureRate: 0.99, TypicalFailureRate: 0.89, ResponseTime: 0.3, ServingReplicas: 28,
			BaselineResponseTime: 0.1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller := newController()
			controller.evaluate(c.load)
			if controller.AdmittedClasses() != 2 {
				t.Errorf("threshold %v, want 2", controller.AdmittedClasses())
			}
			c.load.AttemptRate *= 10
			controller.evaluate(c.load)
			if controller.AdmittedClasses() >= 2 {
				t.Errorf("threshold %v with ten times the attempts, want below 2", controller.AdmittedClasses())
			}
		})
	}
}

func TestThresholdRisesFasterTheLongerTheLastFallIsAgo(t *testing.T) {
	c := newController()
	c.evaluate(failingLoad(0.5, 1))
	riseDuring := func(period time.Duration) float64 {
		before := c.AdmittedClasses()
		for until := c.now + period; c.now < until; {
			c.now += tick
			c.evaluate(normalLoad())
		}
		return c.AdmittedClasses() - before
	}
	riseDuring(LoadWindow)
	if got, want := riseDuring(riseAccelerationTime-LoadWindow), risePerSecond*2*4; math.Abs(got-want) >= 1e-9 {
		t.Errorf("threshold rose by %v in the first 4 s, want %v", got, want)
	}
	riseDuring(2 * riseAccelerationTime)
	if got := riseDuring(time.Second); got <= 2.9*risePerSecond*2 {
		t.Errorf("threshold rose by %v in the second after three times riseAccelerationTime, want above %v", got, 2.9*risePerSecond*2)
	}
	c.evaluate(failingLoad(0.5, 1))
	riseDuring(LoadWindow)
	if got, want := riseDuring(time.Second), risePerSecond*2; math.Abs(got-want) >= 1e-9 {
		t.Errorf("threshold rose by %v in a second after another fall, want %v", got, want)
	}
}

func TestThresholdHoldsWhereProxiesDoNotFollowFractions(t *testing.T) {
	for _, mode := range []control.AdmissionMode{control.AdmitAll, control.AdmitRate} {
		c := newController()
		c.settings.Admission = mode
		c.evaluate(failingLoad(0.9, 3))
		if c.AdmittedClasses() != 2 || c.Overloaded() {
			t.Errorf("mode %v: threshold %v, overloaded %v, want 2 and no overload", mode, c.AdmittedClasses(), c.Overloaded())
		}
	}
}

func TestFirstFallIsInProportionToTheServingReplicas(t *testing.T) {
	var admitted []float64
	for _, replicas := range []float64{10, 5} {
		c := newController()
		c.evaluate(Load{AttemptRate: 50, ResponseTime: 0.2, ServingReplicas: 10})
		load := failingLoad(0.8, 2) // a load of 100 attempts per second
		load.ServingReplicas = replicas
		c.evaluate(load)
		admitted = append(admitted, c.AdmittedClasses())
	}
	if admitted[1] != admitted[0]/2 {
		t.Errorf("threshold %v with half of the replicas, want half of %v", admitted[1], admitted[0])
	}
}

// A controller that has just started, or to which the proxies of another controller have connected, receives reports of
// requests before it receives those of their attempts. The reported success rate is then lower than what the replicas can
// serve.
func TestFirstFallAllowsForUnreportedAttempts(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts float64 // attempts per second, while 100 requests per second arrive
		want     float64
	}{
		{"all attempts reported", 100, 1.8},
		{"a fifth of them reported", 20, 1.8},
		{"each request attempted twice", 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller := newController()
			controller.evaluate(Load{AttemptRate: c.attempts, ResponseTime: 2, ServingReplicas: 10})
			if got := math.Round(100*controller.AdmittedClasses()) / 100; got != c.want {
				t.Errorf("threshold %v, want %v", got, c.want)
			}
		})
	}
}

func TestClassFractionsAreInStepsRoundedUp(t *testing.T) {
	c := newController()
	c.evaluate(normalLoad())
	for admitted, want := range map[float64][]ClassFraction{
		2:    {{1, 1}, {0, 1}},
		1.51: {{1, 1}, {0, 0.55}},
		1:    {{1, 1}, {0, 0}},
		0.01: {{1, 0.05}, {0, 0}},
		0:    {{1, 0}, {0, 0}},
	} {
		c.admittedClasses = admitted
		if got := c.ClassFractions(); !slices.Equal(got, want) {
			t.Errorf("threshold %v: got %v, want %v", admitted, got, want)
		}
	}
}

func TestRestoredThresholdIsWeightedByConfidence(t *testing.T) {
	for _, c := range []struct {
		name                 string
		fraction, confidence float64
		want                 float64
	}{
		{"full confidence", 0.5, 1, 0.5},
		{"half confidence", 0.5, 0.5, 0.75},
		{"nothing shed", 1, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller := newController()
			controller.Restore(controller.now, c.fraction, 40, c.confidence)
			if got := controller.AdmittedFraction(); got != 1 {
				t.Errorf("admitted fraction %v before the first evaluation, want 1", got)
			}
			controller.evaluate(normalLoad())
			if got := controller.AdmittedFraction(); got != c.want {
				t.Errorf("admitted fraction %v, want %v", got, c.want)
			}
			if got, want := controller.MaxSuccessRate(), max(100, 40*c.confidence); got != want {
				t.Errorf("highest success rate %v, want %v", got, want)
			}
		})
	}
}

func TestRenumberKeepsAdmittedClasses(t *testing.T) {
	for _, c := range []struct {
		name       string
		admitted   float64 // threshold before Renumber; classes 1, 2 and 0 have the priority weights 3, 2 and 1
		want       float64 // threshold after Renumber
		newNumbers []int   // new number of each class, by its old number; -1: class removed
		priorities []float64
	}{
		{"all admitted, class added", 3, 4, []int{0, 1, 2}, []float64{1, 3, 2, 5}},
		{"last class shed, class of highest priority added", 2, 3, []int{0, 1, 2}, []float64{1, 3, 2, 5}},
		{"last class shed, class of lowest priority added", 2, 2, []int{0, 1, 2}, []float64{1, 3, 2, 0.5}},
		{"half of the second class shed, first class removed", 1.5, 0.5, []int{0, -1, 1}, []float64{1, 2}},
		{"half of the second class shed, second class removed", 1.5, 1, []int{0, 1, -1}, []float64{1, 3}},
		{"half of the last class shed, last class removed", 2.5, 2, []int{-1, 0, 1}, []float64{3, 2}},
		{"last class shed, now of highest priority", 2, 0, []int{0, 1, 2}, []float64{9, 3, 2}},
		{"all classes replaced", 1.5, 2, []int{-1, -1, -1}, []float64{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := &control.Settings{Classes: []control.TrafficClass{{PriorityWeight: 1}, {PriorityWeight: 3}, {PriorityWeight: 2}}}
			threshold := NewThreshold(settings)
			threshold.Renumber(nil) // the threshold has no classes yet
			threshold.Evaluate(start, Load{}, Summary{})
			threshold.admittedClasses = c.admitted
			settings.Classes = nil
			for _, priority := range c.priorities {
				settings.Classes = append(settings.Classes, control.TrafficClass{PriorityWeight: priority})
			}
			threshold.Renumber(c.newNumbers)
			if threshold.AdmittedClasses() != c.want {
				t.Errorf("threshold %v, want %v", threshold.AdmittedClasses(), c.want)
			}
		})
	}
}

func TestClassesOfOnePriorityAreOrderedByLatencyObjective(t *testing.T) {
	classes := []control.TrafficClass{
		{PriorityWeight: 1, LatencyObjective: 3},
		{PriorityWeight: 1, LatencyObjective: 2},
		{PriorityWeight: 2, LatencyObjective: 9},
		{PriorityWeight: 1, LatencyObjective: 2},
	}
	if got, want := byPriority(classes), []int{2, 1, 3, 0}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
