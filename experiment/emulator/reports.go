package emulator

import (
	"lilacbend/control"
	"lilacbend/internal/controller"
)

// Collectors' reports have a random delay from minReportDelay to minReportDelay + reportDelaySpread.
const (
	minReportDelay    = 700 * millisecond
	reportDelaySpread = 900 * millisecond
)

// reportKey identifies the subject of a report line: a zone and a replica in a line of outcomes, a stream and a traffic
// class in a line of demand. Queued lines of the same key are merged.
type reportKey struct {
	zone    string              // empty for demand
	replica string              // empty for demand
	stream  controller.StreamID // 0 for outcomes
	class   string              // empty for outcomes
}

// reportLine is a queued line of a report, either of demand or of outcomes. It is a line of demand if the demand has a
// class.
type reportLine struct {
	key      reportKey
	outcomes controller.OutcomeReport
	demand   controller.Demand
}

// add merges another line of the same key.
func (l *reportLine) add(outcomes controller.OutcomeReport, demand controller.Demand) {
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

// reportOutcomes sends the outcomes of the attempts of a zone's proxies to the controllers, with a random delay.
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
			if sim.isPartitioned(zone) {
				continue
			}
			key := reportKey{zone: zone, replica: outcomes.Replica}
			sim.after(delay, func() { c.receiveReport(key, outcomes, controller.Demand{}) })
		}
	}
}

// report returns the sum as a zone's collector reports it. The requests in flight are not known (-1).
func (s *outcomeSum) report(zone, replica string) controller.OutcomeReport {
	outcomes := controller.OutcomeReport{Zone: zone, Replica: replica}
	outcomes.OutcomeReport = control.OutcomeReport{Attempts: s.attempts, Failures: s.failures, Period: second, InFlight: -1}
	succeeded := s.attempts - s.failures
	if succeeded > 0 {
		outcomes.ResponseTime = s.responseTime / int64(succeeded)
	}
	return outcomes
}

// reportDemand sends the demand of a proxy to its controller.
func (sim *Simulation) reportDemand(p *proxy) {
	for class, name := range sim.Site.Names.Classes {
		if p.arrivals[class] > 0 && p.stream != 0 && !sim.isPartitioned(p.zone) {
			demand := controller.Demand{Stream: p.stream, Class: name}
			demand.DemandReport = control.DemandReport{Proxy: p.id, Requests: p.arrivals[class], Failures: p.failures[class], Period: second}
			c := sim.controllers[p.controller]
			sim.after(transitTime, func() {
				key := reportKey{stream: p.stream, class: name}
				c.receiveReport(key, controller.OutcomeReport{}, demand)
			})
		}
		p.arrivals[class] = 0
		p.failures[class] = 0
	}
}

// receiveReport merges a report line into a queued line of the same key. If there is none, it queues the line if the rate of
// lines is limited, and otherwise enqueues it as an input at once.
func (c *controllerNode) receiveReport(key reportKey, outcomes controller.OutcomeReport, demand controller.Demand) {
	for k := range c.queuedReports {
		if c.queuedReports[k].key == key {
			c.queuedReports[k].add(outcomes, demand)
			return
		}
	}
	line := reportLine{key: key, outcomes: outcomes, demand: demand}
	if c.simulation.Site.ReportRateLimit == 0 {
		c.enqueue(line.input())
		return
	}
	c.queuedReports = append(c.queuedReports, line)
}

// deliverReports enqueues queued report lines as inputs, as many as the rate limit permits in an interval.
func (sim *Simulation) deliverReports() {
	perSecond := float64(sim.Site.ReportRateLimit)
	for _, c := range sim.controllers {
		c.reportCredit = min(c.reportCredit+perSecond/10, perSecond)
		for ; len(c.queuedReports) > 0 && c.reportCredit >= 1; c.reportCredit-- {
			c.enqueue(c.queuedReports[0].input())
			c.queuedReports = c.queuedReports[1:]
		}
	}
}
