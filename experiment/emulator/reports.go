package emulator

import (
	"lilacbend/control"
	"lilacbend/internal/controller"
)

// Delays of collectors' reports.
const (
	minReportDelay    = 700 * milli
	reportDelaySpread = 900 * milli
)

// reportKey identifies what a line of a report is about. Lines of the same key that wait are added up.
type reportKey struct {
	zone    string // of outcomes
	replica string
	stream  controller.StreamID // of demand
	class   string
}

// reportLine is a line of a report that waits for a controller's intake. Its demand has a class only if it is the content;
// otherwise the outcomes are.
type reportLine struct {
	key      reportKey
	outcomes controller.Outcomes
	demand   controller.Demand
}

// add adds another line of the same key.
func (l *reportLine) add(outcomes controller.Outcomes, demand controller.Demand) {
	before := int64(l.outcomes.Attempts - l.outcomes.Failures)
	added := int64(outcomes.Attempts - outcomes.Failures)
	if before+added > 0 {
		l.outcomes.ResponseTime = (l.outcomes.ResponseTime*before + outcomes.ResponseTime*added) / (before + added)
	}
	l.outcomes.Attempts += outcomes.Attempts
	l.outcomes.Failures += outcomes.Failures
	l.outcomes.Period += outcomes.Period
	l.demand.Requests += demand.Requests
	l.demand.Failures += demand.Failures
	l.demand.Period += demand.Period
}

func (l *reportLine) input() controller.Input {
	if l.demand.Class != "" {
		return l.demand
	}
	return l.outcomes
}

// reportOutcomes sends the outcomes that the proxies of a zone met to the controllers, with a delay.
func (sim *Simulation) reportOutcomes(zone string) {
	delay := minReportDelay + sim.random.Int63n(reportDelaySpread)
	for _, c := range sim.controllers {
		for _, r := range sim.Replicas {
			sum := r.outcomes[reporter{zone: zone, controller: c.index}]
			if sum == nil || sum.attempts == 0 {
				continue
			}
			outcomes := sum.report(zone, r.Member.ID)
			*sum = outcomeSum{}
			if sim.isCut(zone) {
				continue
			}
			key := reportKey{zone: zone, replica: outcomes.Replica}
			sim.after(delay, func() { c.receiveReport(key, outcomes, controller.Demand{}) })
		}
	}
}

// report returns the sum as a report of a zone's collector.
func (s *outcomeSum) report(zone, replica string) controller.Outcomes {
	outcomes := controller.Outcomes{Zone: zone, Replica: replica}
	outcomes.Outcomes = control.Outcomes{Attempts: s.attempts, Failures: s.failures, Period: second, InFlight: -1}
	succeeded := s.attempts - s.failures
	if succeeded > 0 {
		outcomes.ResponseTime = s.responseTime / int64(succeeded)
	}
	return outcomes
}

// reportDemand sends the demand of a proxy to its controller.
func (sim *Simulation) reportDemand(p *proxy) {
	for class, name := range sim.Site.Names.Classes {
		if p.arrivals[class] > 0 && p.stream != 0 && !sim.isCut(p.zone) {
			demand := controller.Demand{Stream: p.stream, Class: name}
			demand.Demand = control.Demand{Proxy: p.id, Requests: p.arrivals[class], Failures: p.failures[class], Period: second}
			c := sim.controllers[p.controller]
			sim.after(transit, func() {
				key := reportKey{stream: p.stream, class: name}
				c.receiveReport(key, controller.Outcomes{}, demand)
			})
		}
		p.arrivals[class] = 0
		p.failures[class] = 0
	}
}

// receiveReport enqueues a line of a report, or lets it wait for the intake.
func (c *controllerNode) receiveReport(key reportKey, outcomes controller.Outcomes, demand controller.Demand) {
	for k := range c.reports {
		if c.reports[k].key == key {
			c.reports[k].add(outcomes, demand)
			return
		}
	}
	line := reportLine{key: key, outcomes: outcomes, demand: demand}
	if c.simulation.Site.ReportRateLimit == 0 {
		c.enqueue(line.input())
		return
	}
	c.reports = append(c.reports, line)
}

// takeInReports enqueues as many waiting lines as the intake lets through in an interval.
func (sim *Simulation) takeInReports() {
	perSecond := float64(sim.Site.ReportRateLimit)
	for _, c := range sim.controllers {
		c.credit = min(c.credit+perSecond/10, perSecond)
		for ; len(c.reports) > 0 && c.credit >= 1; c.credit-- {
			c.enqueue(c.reports[0].input())
			c.reports = c.reports[1:]
		}
	}
}
