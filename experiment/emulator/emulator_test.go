package emulator

import (
	"maps"
	"slices"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/controller"
)

func TestTargetsByKindOfFault(t *testing.T) {
	site := NewSite(8, 10, 0.3)
	for kind, want := range map[string]int{
		kindZonePartition: 2, kindZoneLoss: 2, kindProxyStall: 10, kindSecondStream: 10, kindUnresponsive: 8, kindControllerRestart: 8, kindRelease: 8,
	} {
		if got := site.targets(kind); got != want {
			t.Errorf("%s has %d targets, want %d", kind, got, want)
		}
	}
}

func TestDropUntilDropsSortedTimes(t *testing.T) {
	for _, c := range []struct {
		until int64
		want  []int64
	}{{0, []int64{1, 2, 3}}, {1, []int64{2, 3}}, {2, []int64{3}}, {9, nil}} {
		if got := dropUntil([]int64{1, 2, 3}, c.until); !slices.Equal(got, c.want) {
			t.Errorf("until %d: %v, want %v", c.until, got, c.want)
		}
	}
}

func TestApplyUpdate(t *testing.T) {
	p := newProxy(0, "a", 1)
	endpoint := func(id string, weight float64) controller.WeightedEndpoint {
		return controller.WeightedEndpoint{Replica: id, Weight: weight}
	}
	for k, step := range []struct {
		update  controller.Update
		weights map[string]float64
		ejected map[string]bool
	}{
		{controller.Update{FullTable: true, Endpoints: []controller.WeightedEndpoint{endpoint("s1", 1), endpoint("s2", 2)}},
			map[string]float64{"s1": 1, "s2": 2}, map[string]bool{}},
		{controller.Update{Endpoints: []controller.WeightedEndpoint{endpoint("s1", 0), endpoint("s2", 3)}, Ejected: []string{"s2"}},
			map[string]float64{"s2": 3}, map[string]bool{"s2": true}},
		{controller.Update{Unejected: []string{"s2"}}, map[string]float64{"s2": 3}, map[string]bool{}},
		{controller.Update{FullTable: true}, map[string]float64{}, map[string]bool{}},
	} {
		p.candidates = []candidate{{}}
		p.applyUpdate(step.update)
		if !maps.Equal(p.weights, step.weights) || !maps.Equal(p.ejected, step.ejected) || p.candidates != nil {
			t.Errorf("step %d: weights %v, ejected %v, candidates %v", k, p.weights, p.ejected, p.candidates)
		}
	}
}

func TestMayRetryByAdmission(t *testing.T) {
	p := newProxy(0, "a", 2)
	p.admissions["order"] = controller.Admission{Retries: control.NoRetry}
	p.admissions["read"] = controller.Admission{Retries: control.RetryIfNotExecuted}
	for class, want := range map[string]bool{"order": false, "read": true, "unknown": true} {
		if got := p.mayRetry(class); got != want {
			t.Errorf("%s: %v, want %v", class, got, want)
		}
	}
}

func TestReportLinesAddUp(t *testing.T) {
	line := reportLine{outcomes: controller.OutcomeReport{OutcomeReport: control.OutcomeReport{Attempts: 3, Failures: 1, ResponseTime: 100, Period: 10}}}
	line.add(controller.OutcomeReport{OutcomeReport: control.OutcomeReport{Attempts: 7, Failures: 1, ResponseTime: 200, Period: 10}}, controller.Demand{})
	want := control.OutcomeReport{Attempts: 10, Failures: 2, ResponseTime: (2*100 + 6*200) / 8, Period: 20}
	if line.outcomes.OutcomeReport != want {
		t.Errorf("got %+v, want %+v", line.outcomes.OutcomeReport, want)
	}
	if _, isOutcomes := line.input().(controller.OutcomeReport); !isOutcomes {
		t.Errorf("a line of outcomes becomes %T", line.input())
	}
}
