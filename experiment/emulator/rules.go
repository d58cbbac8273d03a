package emulator

import (
	"fmt"

	"lilacbend/control"
	"lilacbend/internal/controller"
)

// This file checks the protocol's rules against the true state of the simulation, which the controllers cannot see, after
// each step that could violate them. A violation is recorded once for each rule and subject (a proxy, replica or channel).

const (
	// maxNoEndpointTime is how long a joined proxy may have no endpoint while a ready replica that is warmed up is listed:
	// 4 s, plus 300 ms in transit. Time in which the proxy applies no messages does not count.
	maxNoEndpointTime = 4300 * millisecond
	// maxDrainGrace is how long a proxy may send requests to a draining replica after the proxy joined or after the
	// controllers were notified, whichever is later: 2.5 s, plus 300 ms in transit. A site may configure another grace
	// period.
	maxDrainGrace = 2800 * millisecond
	// drainGraceSlack is added to a configured grace period, for the time in transit.
	drainGraceSlack = 300 * millisecond
	// overloadTime is how long a replica that is warming up must be overloaded until it fails.
	overloadTime = 3 * second
	// controllerStartTime is how long a started controller may take to send its first tables.
	controllerStartTime = second
)

// Numbers of the protocol's rules that are checked.
const (
	ruleHasEndpoint = 1
	ruleDrain       = 3
	ruleWarmUp      = 4
	ruleChannel     = 5
)

// Violation is one violation of a rule.
type Violation struct {
	Time        int64
	Rule        int // 1 to 5; 0: the service did not recover after the faults
	Description string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%.3fs rule %d: %s", float64(v.Time)/1e9, v.Rule, v.Description)
}

// CheckRules enables the checks of the rules.
func (sim *Simulation) CheckRules() { sim.reportedViolations = map[string]bool{} }

func (sim *Simulation) recordViolation(rule int, subject, description string, args ...any) {
	key := fmt.Sprint(rule, subject)
	if sim.reportedViolations == nil || sim.reportedViolations[key] {
		return
	}
	sim.reportedViolations[key] = true
	sim.Violations = append(sim.Violations, Violation{Time: sim.now, Rule: rule, Description: subject + " " + fmt.Sprintf(description, args...)})
}

// hasWarmReplica reports whether any replica is ready and warmed up, and was last changed at least the given duration ago.
func (sim *Simulation) hasWarmReplica(duration int64) bool {
	for _, r := range sim.Replicas {
		if r.Member.State == control.Ready && sim.warmUpFraction(r) == 1 && sim.now-r.notifiedAt >= duration {
			return true
		}
	}
	return false
}

// checkEndpoint checks whether a proxy has an endpoint. If not, it checks again after maxNoEndpointTime.
func (sim *Simulation) checkEndpoint(p *proxy) {
	if sim.reportedViolations == nil || !sim.lacksEndpoint(p) {
		p.noEndpointSince = 0
		return
	}
	if p.noEndpointSince == 0 {
		p.noEndpointSince = sim.now
	}
	since := p.noEndpointSince
	sim.after(maxNoEndpointTime, func() {
		if p.noEndpointSince == since && sim.now-p.joinedAt >= maxNoEndpointTime && sim.lacksEndpoint(p) && sim.hasWarmReplica(maxNoEndpointTime) {
			sim.recordViolation(ruleHasEndpoint, fmt.Sprint("proxy ", p.id), "has had no endpoint since %.3fs", float64(since)/1e9)
		}
	})
}

// lacksEndpoint reports whether a connected proxy has no endpoint. Each call for a connected proxy consumes a random number,
// so an additional call would change the simulation.
func (sim *Simulation) lacksEndpoint(p *proxy) bool {
	return p.stream != 0 && !sim.isPartitioned(p.zone) && sim.pick(p, "") == nil && !p.hasEndpoint()
}

// checkAttempt checks that an attempt is not sent to a draining replica, and does not overload one that is warming up.
func (sim *Simulation) checkAttempt(p *proxy, r *Replica) {
	if sim.reportedViolations == nil {
		return
	}
	sim.checkDrain(p, r)
	fraction := sim.warmUpFraction(r)
	if fraction < 1 {
		sim.checkWarmUp(r, fraction)
	}
}

func (sim *Simulation) checkDrain(p *proxy, r *Replica) {
	if r.Member.State == control.Ready || p.stream == 0 || sim.isPartitioned(p.zone) {
		return
	}
	grace := maxDrainGrace
	if configured := sim.Site.Settings.DrainGrace; configured > 0 {
		grace = configured + drainGraceSlack
	}
	notified := max(r.notifiedAt, p.joinedAt, sim.controllers[p.controller].startedAt, p.stalledUntil)
	if sim.now > notified+grace {
		sim.recordViolation(ruleDrain, r.Member.ID, "receives requests of proxy %d after its drain grace period, controllers notified at %.3fs", p.id, float64(r.notifiedAt)/1e9)
	}
}

func (sim *Simulation) checkWarmUp(r *Replica, fraction float64) {
	r.recentAttempts = append(r.recentAttempts, sim.now)
	r.recentAttempts = dropUntil(r.recentAttempts, sim.now-overloadTime)
	capacity := float64(r.slots) / r.meanServiceTime * float64(overloadTime) / float64(second)
	limit := sim.Site.Settings.OverloadMultiple * fraction * capacity
	attempts := float64(len(r.recentAttempts))
	if sim.hasEstablishedController() && sim.now-r.Member.StartedAt >= overloadTime && attempts > limit {
		sim.recordViolation(ruleWarmUp, r.Member.ID, "overloaded during slow start: %.0f attempts in 3 s, limit %.0f", attempts, limit)
	}
}

// hasEstablishedController reports whether any controller has run for long enough to notify the proxies of a replica.
func (sim *Simulation) hasEstablishedController() bool {
	for _, c := range sim.controllers {
		if c.core != nil && sim.now-c.startedAt > controllerStartTime+overloadTime {
			return true
		}
	}
	return false
}

// checkChannel queues an update on the controller's send channel. It checks the limits of the queue and of the proxy's
// messages, and returns the time at which the update has been sent.
func (sim *Simulation) checkChannel(p *proxy, update controller.Update) (sentAt int64) {
	settings := sim.Site.Settings
	cost := len(update.Endpoints) + len(update.Ejected) + len(update.Unejected) + len(update.Admissions) + settings.MessageOverhead + 1
	c := sim.controllers[p.controller]
	c.channelFreeAt = max(c.channelFreeAt, sim.now) + int64(float64(cost)/settings.ChannelRate*float64(second))
	queued := float64(c.channelFreeAt-sim.now) / float64(second) * settings.ChannelRate
	if queued > float64(settings.ChannelLimit) {
		sim.recordViolation(ruleChannel, fmt.Sprint("channel ", c.index), "queues %.0f cost units, limit %d", queued, settings.ChannelLimit)
	}
	messages := append(p.messageTimes[p.controller], sim.now)
	messages = dropUntil(messages, sim.now-settings.MessageWindow)
	p.messageTimes[p.controller] = messages
	if settings.MaxMessages > 0 && len(messages) > settings.MaxMessages {
		sim.recordViolation(ruleChannel, fmt.Sprint("proxy ", p.id), "received %d messages in a window, limit %d", len(messages), settings.MaxMessages)
	}
	return c.channelFreeAt
}

// dropUntil drops the leading elements of sorted times that are not after the given time.
func dropUntil(times []int64, until int64) []int64 {
	for len(times) > 0 && times[0] <= until {
		times = times[1:]
	}
	return times
}
