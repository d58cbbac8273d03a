package policy

import (
	"time"

	"lilacbend/control"
	"lilacbend/policy/admission"
	"lilacbend/policy/internal/renumber"
	"lilacbend/policy/retry"
)

// admissionController is the component that decides which requests the proxies admit and retry. See packages admission and
// retry for the rules. One component uses both packages because one command sets both the admitted fraction of a traffic
// class and its retry policy.
type admissionController struct {
	*sharedState
	demand    *admission.Demand
	threshold *admission.Threshold
	retries   *retry.Throttle
	sent      map[int]control.SetAdmission // last command sent for each traffic class
}

func newAdmissionController(shared *sharedState) *admissionController {
	return &admissionController{
		sharedState: shared,
		demand:      admission.NewDemand(&shared.Settings),
		threshold:   admission.NewThreshold(&shared.Settings),
		retries:     &retry.Throttle{},
		sent:        map[int]control.SetAdmission{},
	}
}

func (a *admissionController) handle(m message) {
	switch m := m.(type) {
	case demandReported:
		a.demand.Add(time.Duration(a.now), m.DemandReport)
	case fleetRestored:
		a.restore(m.FleetRestored)
	case fleetLoad:
		a.evaluate(m)
	default:
		unexpected(a, m)
	}
}

func (a *admissionController) restore(fleet control.FleetRestored) {
	now := time.Duration(a.now)
	a.demand.Restore(now, fleet.RequestRates, fleet.Confidence)
	a.threshold.Restore(now, fleet.AdmissionThreshold, fleet.MaxSuccessRate, fleet.Confidence)
	a.retries.Restore(now, fleet.RetriesStopped, fleet.Confidence)
}

// evaluate updates the retry throttle and the admission threshold from the fleet's load at this tick, logs their changes for
// on-call engineers and enqueues the commands that changed. It reports the demand to placement.
func (a *admissionController) evaluate(m fleetLoad) {
	now := time.Duration(a.now)
	demand := a.demand.Summarize(now)
	a.enqueue(placementComponent, demandSummary(demand))
	load := admission.Load(m)
	if a.retries.Evaluate(now, load.FailureRate) {
		a.logf("retries %s: failure rate %.2f", verb(a.retries.Stopped(), "stopped", "resumed"), load.FailureRate)
	}
	if a.threshold.Evaluate(now, load, demand) {
		a.logf("overload %s: typical failure rate %.2f, response time %.3fs, admission threshold %.2f of %d classes",
			verb(a.threshold.Overloaded(), "began", "ended"), load.TypicalFailureRate, load.ResponseTime, a.threshold.AdmittedClasses(), len(a.Classes))
	}
	for _, class := range a.threshold.ClassFractions() {
		a.sendIfChanged(class)
	}
}

// verb returns the verb of a log line about a condition: entered if the condition holds now, left if it does not.
func verb(holds bool, entered, left string) string {
	if holds {
		return entered
	}
	return left
}

// sendIfChanged enqueues the command of a traffic class if it differs from the last one sent. Before the first command of a
// class, the new command is compared with what proxies do without a command: they admit every request and retry by the
// default policy.
func (a *admissionController) sendIfChanged(class admission.ClassFraction) {
	command := control.SetAdmission{
		Table:    control.AllTables,
		Class:    class.Class,
		Fraction: class.Fraction,
		Retries:  a.retries.Policy(&a.Settings, a.Classes[class.Class]),
	}
	last, sent := a.sent[class.Class]
	if !sent {
		last = command
		last.Fraction = 1
		last.Retries = a.DefaultRetries
	}
	if command == last {
		return
	}
	a.sent[class.Class] = command
	a.enqueue(pacingComponent, admissionChanged{command})
}

// renumberClasses moves the state of each traffic class to its new number and drops the state of removed classes.
func (a *admissionController) renumberClasses(newClasses []int) {
	a.demand.Renumber(newClasses)
	a.threshold.Renumber(newClasses)
	sent := map[int]control.SetAdmission{}
	for class, command := range a.sent {
		number, exists := renumber.Lookup(newClasses, class)
		if exists {
			command.Class = number
			sent[number] = command
		}
	}
	a.sent = sent
}
