package policy

import (
	"strings"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/admission"
	"lilacbend/policy/outlier"
	"lilacbend/policy/retry"
)

// loadWindow is the period over which the fleet's load is counted, in nanoseconds.
const loadWindow = int64(admission.LoadWindow)

func TestLoadIsCountedOverOnePeriodEverywhere(t *testing.T) {
	wantEqual(t, "period of the replicas' samples", outlier.EvaluationPeriod, admission.LoadWindow)
	wantEqual(t, "interval between changes of retries", retry.MinChangeInterval, admission.LoadWindow)
}

// withDemand returns the admission component of a policy whose two classes got 50 requests a second each.
func withDemand(p *Policy) *admissionController {
	for class := range 2 {
		p.admission.handle(demandReported{control.Demand{Class: class, Requests: 200}})
	}
	return p.admission
}

func TestOverloadShedsTheClassOfLowestPriorityAndStopsRetries(t *testing.T) {
	p := newPolicyAt(100 * second)
	a := withDemand(p)
	a.handle(fleetLoad{AttemptRate: 100, FailureRate: 0.2, TypicalFailureRate: 0.2, ResponseTime: 0.2, ServingReplicas: 1})
	admitted := a.threshold.AdmittedClasses()
	wantEqual(t, "threshold between 1 and 2", admitted < 2 && admitted > 1, true)
	commands := queued[admissionChanged](p, pacingComponent)
	if len(commands) != 2 {
		t.Fatalf("%d commands, want one for each class", len(commands))
	}
	wantEqual(t, "the class of higher priority is admitted", commands[0].Fraction, 1.0)
	wantEqual(t, "the other one is shed in part", commands[1].Class == 0 && commands[1].Fraction < 1, true)
	wantEqual(t, "retries", commands[1].Retries, control.NoRetry)
	a.now += 2 * loadWindow
	a.handle(fleetLoad{AttemptRate: 100, ResponseTime: 0.2, ServingReplicas: 1})
	wantEqual(t, "retries afterwards", queued[admissionChanged](p, pacingComponent)[2].Retries, control.RetryIfNotExecuted)
	var lines []string
	for _, line := range ofType[control.Log](p.commands) {
		lines = append(lines, line.Text)
	}
	want := []string{
		"retries stopped: failure rate 0.20",
		"overload began: typical failure rate 0.20, response time 0.200s, admission threshold 1.44 of 2 classes",
		"retries resumed: failure rate 0.00",
		"overload ended: typical failure rate 0.00, response time 0.200s, admission threshold 1.60 of 2 classes",
	}
	wantEqual(t, "log", strings.Join(lines, "\n"), strings.Join(want, "\n"))
}

func TestOnlyRetriesStopWhereProxiesFollowNoAdmissionRate(t *testing.T) {
	p := newPolicyAt(100 * second)
	p.Admission = control.AdmitAll
	withDemand(p).handle(fleetLoad{AttemptRate: 100, FailureRate: 0.9, TypicalFailureRate: 0.9, ResponseTime: 3})
	commands := queued[admissionChanged](p, pacingComponent)
	wantEqual(t, "commands", len(commands), 2)
	for _, command := range commands {
		wantEqual(t, "command", command.SetAdmission, control.SetAdmission{Table: control.AllTables, Class: command.Class, Fraction: 1})
	}
}

func TestAdmissionSendsOnlyWhatChanged(t *testing.T) {
	p := newPolicyAt(100 * second)
	p.DefaultRetries = control.RetryTwice
	p.AttemptTimeoutFactor = 1
	a := withDemand(p)
	normal := fleetLoad{AttemptRate: 100, ResponseTime: 0.2, ServingReplicas: 1}
	a.handle(normal)
	commands := queued[admissionChanged](p, pacingComponent)
	if len(commands) != 1 {
		t.Fatalf("%d commands, want one for the class that may not be executed twice", len(commands))
	}
	wantEqual(t, "command", commands[0].SetAdmission,
		control.SetAdmission{Table: control.AllTables, Class: 1, Fraction: 1, Retries: control.RetryIfNotExecuted})
	a.now += second
	a.handle(normal)
	wantEqual(t, "commands after another tick", len(queued[admissionChanged](p, pacingComponent)), 1)
}

func TestDemandIsReportedToPlacement(t *testing.T) {
	p := newPolicyAt(100 * second)
	p.admission.handle(demandReported{control.Demand{Proxy: 3, Requests: 8, Failures: 2, Period: second}})
	p.admission.handle(fleetLoad{AttemptRate: 100, ResponseTime: 0.2, ServingReplicas: 1})
	summary := queued[demandSummary](p, placementComponent)[0]
	wantEqual(t, "failed fraction", summary.FailedFraction, 0.25)
	wantEqual(t, "requests", summary.Requests[3], 8.0)
	wantEqual(t, "latest requests", summary.LatestRequests[3], 64.0)
}
