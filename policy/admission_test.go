package policy

import (
	"strings"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/admission"
	"lilacbend/policy/outlier"
	"lilacbend/policy/retry"
)

// loadWindow is the period over which the load of the fleet is counted, in nanoseconds.
const loadWindow = int64(admission.LoadWindow)

func TestLoadPeriodsOfAllPackagesAreEqual(t *testing.T) {
	wantEqual(t, "evaluation period of replicas", outlier.EvaluationPeriod, admission.LoadWindow)
	wantEqual(t, "least interval between changes of the retry throttle", retry.MinChangeInterval, admission.LoadWindow)
}

// admissionWithDemand returns the admission component of p after reports of 50 requests a second in each of the two classes.
func admissionWithDemand(p *Policy) *admissionController {
	for class := range 2 {
		p.admission.handle(demandReported{control.DemandReport{Class: class, Requests: 200}})
	}
	return p.admission
}

func TestOverloadShedsTheClassOfLowestPriorityAndStopsRetries(t *testing.T) {
	p := newPolicyAt(100 * second)
	controller := admissionWithDemand(p)
	controller.handle(fleetLoad{AttemptRate: 100, FailureRate: 0.2, TypicalFailureRate: 0.2, ResponseTime: 0.2, ServingReplicas: 1})
	admitted := controller.threshold.AdmittedClasses()
	wantEqual(t, "admission threshold is between 1 and 2 classes", admitted < 2 && admitted > 1, true)
	commands := queued[admissionChanged](p, pacingComponent)
	if len(commands) != 2 {
		t.Fatalf("got %d admission commands, want one for each of the 2 classes", len(commands))
	}
	wantEqual(t, "fraction of the class of higher priority", commands[0].Fraction, 1.0)
	wantEqual(t, "the class of lower priority is shed in part", commands[1].Class == 0 && commands[1].Fraction < 1, true)
	wantEqual(t, "retry policy during the overload", commands[1].Retries, control.NoRetry)
	controller.now += 2 * loadWindow
	controller.handle(fleetLoad{AttemptRate: 100, ResponseTime: 0.2, ServingReplicas: 1})
	wantEqual(t, "retry policy after the overload", queued[admissionChanged](p, pacingComponent)[2].Retries, control.RetryIfNotExecuted)
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
	wantEqual(t, "log lines", strings.Join(lines, "\n"), strings.Join(want, "\n"))
}

func TestOverloadStopsOnlyRetriesIfProxiesIgnoreAdmissionRates(t *testing.T) {
	p := newPolicyAt(100 * second)
	p.Admission = control.AdmitAll
	admissionWithDemand(p).handle(fleetLoad{AttemptRate: 100, FailureRate: 0.9, TypicalFailureRate: 0.9, ResponseTime: 3})
	commands := queued[admissionChanged](p, pacingComponent)
	wantEqual(t, "number of admission commands", len(commands), 2)
	for _, command := range commands {
		wantEqual(t, "admission command", command.SetAdmission, control.SetAdmission{Table: control.AllTables, Class: command.Class, Fraction: 1})
	}
}

func TestAdmissionSendsOnlyChangedCommands(t *testing.T) {
	p := newPolicyAt(100 * second)
	p.DefaultRetries = control.RetryTwice
	p.AttemptTimeoutFactor = 1
	controller := admissionWithDemand(p)
	normal := fleetLoad{AttemptRate: 100, ResponseTime: 0.2, ServingReplicas: 1}
	controller.handle(normal)
	commands := queued[admissionChanged](p, pacingComponent)
	if len(commands) != 1 {
		t.Fatalf("got %d admission commands, want one, for the class whose requests are not idempotent", len(commands))
	}
	wantEqual(t, "admission command", commands[0].SetAdmission,
		control.SetAdmission{Table: control.AllTables, Class: 1, Fraction: 1, Retries: control.RetryIfNotExecuted})
	controller.now += second
	controller.handle(normal)
	wantEqual(t, "admission commands after another tick with the same load", len(queued[admissionChanged](p, pacingComponent)), 1)
}

func TestDemandIsReportedToPlacement(t *testing.T) {
	p := newPolicyAt(100 * second)
	p.admission.handle(demandReported{control.DemandReport{Proxy: 3, Requests: 8, Failures: 2, Period: second}})
	p.admission.handle(fleetLoad{AttemptRate: 100, ResponseTime: 0.2, ServingReplicas: 1})
	summary := queued[demandSummary](p, placementComponent)[0]
	wantEqual(t, "failed fraction in the demand summary", summary.FailedFraction, 0.25)
	wantEqual(t, "requests of the proxy", summary.Requests[3], 8.0)
	wantEqual(t, "latest requests of the proxy", summary.LatestRequests[3], 64.0)
}
