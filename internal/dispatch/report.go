package dispatch

import "time"

// OutcomeSum sums the attempts at one replica since the last report.
type OutcomeSum struct {
	Attempts     int
	Failures     int
	ResponseTime time.Duration // from the start of each successful attempt to its response head, summed
}

// Demand counts the requests of one traffic class since the last report.
type Demand struct {
	Requests int // all requests that arrived, including rejected requests
	Failures int // attempted requests that failed; excludes rejected requests and requests whose client no longer waited
}

// recordOutcome adds the current attempt to the outcomes of its replica.
func (d *Dispatcher) recordOutcome(now int64, r *Request, outcome Outcome) {
	outcomes := d.outcomes[r.replica]
	if outcomes == nil {
		outcomes = &OutcomeSum{}
		d.outcomes[r.replica] = outcomes
	}
	outcomes.Attempts++
	if outcome != Succeeded {
		outcomes.Failures++
		return
	}
	respondedAt := now
	if r.responseStartedAt > 0 {
		respondedAt = r.responseStartedAt
	}
	outcomes.ResponseTime += time.Duration(respondedAt - r.attempts[len(r.attempts)-1].startedAt)
}

// TakeOutcomes returns the outcomes by replica, and resets them.
func (d *Dispatcher) TakeOutcomes() map[string]*OutcomeSum {
	outcomes := d.outcomes
	d.outcomes = make(map[string]*OutcomeSum, len(outcomes))
	return outcomes
}

// TakeDemand returns the demand by traffic class, and resets it.
func (d *Dispatcher) TakeDemand() []Demand {
	demand := d.demand
	d.demand = make([]Demand, len(demand))
	return demand
}
