package weight

import (
	"math"
	"testing"
)

func healthy(attempts, failures, responseTime float64) Replica {
	return Replica{ListedWeight: 1, Attempts: attempts, Failures: failures, ResponseTime: responseTime, Healthy: true}
}

// baselinesOf returns baselines with the given samples of each hardware class.
func baselinesOf(byClass map[int][]float64) *Baselines {
	return &Baselines{byClass: byClass}
}

func TestGoalDependsOnSuccessesNotOnlyOnResponseTime(t *testing.T) {
	busy := healthy(90, 0, 0.3)
	idle := healthy(30, 0, 0.1)
	e := NewEstimator(baselinesOf(map[int][]float64{0: {0.1}}), 1, []Replica{busy, idle})
	a, b := e.Goal(busy), e.Goal(idle)
	if a > b || b > 2*a {
		t.Errorf("goals: busy replica %v, idle replica %v, want the busy one's at most equal and at least half", a, b)
	}
}

func TestFullQueueLowersGoal(t *testing.T) {
	idle := healthy(300, 0, 0.1)
	queued := healthy(300, 0, 1.2)
	queued.HardwareClass = 1
	e := NewEstimator(baselinesOf(map[int][]float64{0: {0.1}, 1: {0.2}, 2: {0.1}}), 2, []Replica{idle, queued})
	if a, b := e.Goal(idle), e.Goal(queued); a <= 6.5*b {
		t.Errorf("goals: idle replica %v, replica with a full queue %v, want a ratio above 6.5", a, b)
	}
}

func TestGoalMixesFewSamplesWithClassMean(t *testing.T) {
	few := healthy(8, 0, 0.1)
	many := healthy(24, 0, 0.1)
	e := NewEstimator(NewBaselines(), 1, []Replica{few, many})
	for _, c := range []struct {
		replica Replica
		want    float64 // 0.5 and 1.5 times the mean capacity, mixed with priorSuccesses at the mean
	}{{few, 0.75}, {many, 1.375}} {
		if got := e.Goal(c.replica); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v successes: got %v, want %v", c.replica.Attempts, got, c.want)
		}
	}
}

func TestCapacityEstimateIsIndependentOfUtilization(t *testing.T) {
	settled := make([]float64, 15)
	for k := range settled {
		settled[k] = 0.1
	}
	baselines := baselinesOf(map[int][]float64{0: {0.1}, 3: settled}) // 3: all classes together
	for _, c := range []struct {
		name    string
		class   int
		replica Replica
		want    float64
	}{
		{"idle", 0, healthy(40, 0, 0.1), 100},
		{"busy", 0, healthy(80, 0, 0.2), 100},
		{"class without baselines: idle up to twice the fastest baseline", 1, healthy(80, 0, 0.4), 100},
		{"full queue: maximum queue penalty", 1, healthy(144, 0, 2), 100},
		{"failures of a busy replica are included", 1, healthy(100, 20, 0.4), 116},
		{"failures are included up to the number of successes", 1, healthy(100, 90, 0.4), 20.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.replica
			r.HardwareClass = c.class
			if got := NewEstimator(baselines, 3, nil).capacity(r); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestGoalWithListedWeights(t *testing.T) {
	for _, c := range []struct {
		name         string
		responseTime float64 // in seconds; the mean of the hardware class is 0.1 s
		want         float64
	}{
		{"mean of the class", 0.1, 1},
		{"slow response limit", 0.2, 1},
		{"slow", 0.25, 0.4},
		{"so slow that the minimum goal applies", 9, 1.0 / 16},
		{"no successes", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			replicas := []Replica{healthy(50, 0, 0.1), healthy(50, 0, 0.1)}
			replicas[1].ListedWeight = 2
			e := NewEstimator(NewBaselines(), 1, replicas)
			replica := healthy(50, 0, c.responseTime)
			if got := e.Goal(replica); math.Abs(got-c.want) > 1e-12 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestGoalWithoutSamples(t *testing.T) {
	unknown := Replica{ListedWeight: 1, Healthy: true}
	e := NewEstimator(NewBaselines(), 1, []Replica{unknown, unknown})
	if got := e.Goal(unknown); got != 1 {
		t.Errorf("got %v, want 1, the listed weight", got)
	}
}

func TestUnhealthyReplicaGetsGoalOfItsClass(t *testing.T) {
	fast := healthy(300, 0, 0.1)
	slow := healthy(100, 0, 0.1)
	slow.HardwareClass = 1
	e := NewEstimator(NewBaselines(), 2, []Replica{fast, slow})
	unhealthy := slow
	unhealthy.Healthy = false
	if got := e.Goal(unhealthy); math.Abs(got-0.5) > 1e-9 {
		t.Errorf("got %v, want 0.5, the goal of its hardware class", got)
	}
}

func TestGoalMixesARememberedSpeed(t *testing.T) {
	for _, c := range []struct {
		name       string
		successes  float64
		confidence float64
		want       float64
	}{
		{"no successes: remembered speed", 0, 4, 0.25},
		{"no confidence: estimated goal", 12, 0, 1},
		{"as many successes as the confidence: mean of both", 12, 12, 0.625},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Replica{ListedWeight: 1, Attempts: c.successes, LearnedSpeed: 0.25, Confidence: c.confidence}
			e := NewEstimator(NewBaselines(), 1, []Replica{r})
			if got := e.Goal(r); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestClassMeans(t *testing.T) {
	unhealthy := healthy(1000, 0, 9)
	unhealthy.Healthy = false
	replicas := []Replica{healthy(30, 10, 0.1), healthy(60, 0, 0.3), healthy(9, 9, 0), unhealthy}
	e := NewEstimator(NewBaselines(), 1, replicas)
	if got := e.PeerSuccesses(0); got != 40 {
		t.Errorf("mean successes %v, want 40", got)
	}
	if got := e.FleetResponseTime(); math.Abs(got-0.25) > 1e-12 {
		t.Errorf("mean response time %v, want 0.25", got)
	}
	if got := e.SlowResponseTime(0); math.Abs(got-2*0.25) > 1e-12 {
		t.Errorf("slow response time %v, want 0.5", got)
	}
	if got := e.PeerSuccesses(7); got != 0 {
		t.Errorf("mean successes of an unknown class %v, want 0", got)
	}
}

func TestSlowResponseTimeIsInfiniteWhereWeightsDoNotFollowIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		replicas []Replica
	}{
		{"listed weights differ", []Replica{healthy(30, 0, 0.1), {ListedWeight: 2}}},
		{"no healthy replica", []Replica{{ListedWeight: 1}}},
		{"no replica", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := NewEstimator(NewBaselines(), 1, c.replicas).SlowResponseTime(0); !math.IsInf(got, 1) {
				t.Errorf("slow response time %v, want infinity", got)
			}
		})
	}
}

func TestIdleFractionFallsWithTheNumberOfBaselines(t *testing.T) {
	for baselines, want := range map[int]float64{0: 0.85, 3: 0.8, 15: 0.6, 32: 0.6} {
		if got := idleFraction(baselines); math.Abs(got-want) > 1e-12 {
			t.Errorf("%d baselines: got %v, want %v", baselines, got, want)
		}
	}
}

// The goals of a tick are computed with the baselines that include the sample of that tick.
func TestGoalUsesTheNewestBaselines(t *testing.T) {
	idle := healthy(300, 0, 0.1)
	busy := healthy(300, 0, 0.3)
	busy.HardwareClass = 1
	b := baselinesOf(map[int][]float64{1: {0.3}})
	e := NewEstimator(b, 2, []Replica{idle, busy})
	before := e.Goal(busy)
	b.byClass[1] = append(b.byClass[1], 0.1)
	if after := e.Goal(busy); after >= before {
		t.Errorf("goal %v with a lower baseline, %v without: want less, as the replica is now known to be busy", after, before)
	}
}
