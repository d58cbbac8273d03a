package dispatch

import "time"

// Outcomes sums the attempts at one replica since the last report.
type Outcomes struct {
	Attempts     int
	Failures     int
	ResponseTime time.Duration // to the heads of the successful answers, summed
}

// Demand counts the requests of one traffic class since the last report.
type Demand struct {
	Requests int // that arrived, rejected ones included
	Failures int // of those attempted; neither rejected ones nor those whose client has gone
}

// recordOutcome adds the current attempt to the outcomes of its replica.
func (d *Dispatcher) recordOutcome(now int64, r *Request, outcome Outcome) {
	sum := d.outcomes[r.replica]
	if sum == nil {
		sum = &Outcomes{}
		d.outcomes[r.replica] = sum
	}
	sum.Attempts++
	if outcome != Succeeded {
		sum.Failures++
		return
	}
	answered := now
	if r.respondedAt > 0 {
		answered = r.respondedAt
	}
	sum.ResponseTime += time.Duration(answered - r.attempts[len(r.attempts)-1].began)
}

// TakeOutcomes returns the outcomes by replica, and resets them.
func (d *Dispatcher) TakeOutcomes() map[string]*Outcomes {
	taken := d.outcomes
	d.outcomes = make(map[string]*Outcomes, len(taken))
	return taken
}

// TakeDemand returns the demand by traffic class, and resets it.
func (d *Dispatcher) TakeDemand() []Demand {
	taken := d.demand
	d.demand = make([]Demand, len(taken))
	return taken
}
