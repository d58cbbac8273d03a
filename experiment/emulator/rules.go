package emulator

import (
	"fmt"

	"lilacbend/control"
	"lilacbend/internal/controller"
)

// This file checks the protocol's rules against the true state, which the controllers cannot see, after each step that could
// break them. A breach is recorded once for each rule and culprit.

const (
	// maxBareTime is how long a joined proxy may have no endpoint while a warmed up ready replica is listed: 4 s, and 300 ms
	// in transit. Time in which the proxy applies no messages does not count.
	maxBareTime = 4300 * milli
	// maxDrainGrace is how long a proxy may send requests to a draining replica, from its joining or from the notification,
	// whichever is later: 2.5 s, and 300 ms in transit. A site may state its own grace.
	maxDrainGrace = 2800 * milli
	// drainGraceSlack is added to a site's own grace.
	drainGraceSlack = 300 * milli
	// overloadTime is for how long a replica that is warming up must be overloaded to fail.
	overloadTime = 3 * second
	// controllerStartTime is how long a controller may take to send the first tables.
	controllerStartTime = second
)

// The protocol's rules that are checked.
const (
	ruleEndpoint = 1
	ruleDrain    = 3
	ruleWarmUp   = 4
	ruleChannel  = 5
)

// Violation is a rule that was broken.
type Violation struct {
	Time        int64
	Rule        int // 1 to 5; 0: service did not recover
	Description string
}

// String returns the breach in one line.
func (b Violation) String() string {
	return fmt.Sprintf("%.3fs rule %d: %s", float64(b.Time)/1e9, b.Rule, b.Description)
}

// CheckRules starts to check the rules.
func (sim *Simulation) CheckRules() { sim.reported = map[string]bool{} }

func (sim *Simulation) breach(rule int, culprit, what string, args ...any) {
	key := fmt.Sprint(rule, culprit)
	if sim.reported == nil || sim.reported[key] {
		return
	}
	sim.reported[key] = true
	sim.Violations = append(sim.Violations, Violation{Time: sim.now, Rule: rule, Description: culprit + " " + fmt.Sprintf(what, args...)})
}

// hasWarmReplica reports whether a replica has been ready and warmed up for a duration.
func (sim *Simulation) hasWarmReplica(duration int64) bool {
	for _, r := range sim.Replicas {
		if r.Member.State == control.Ready && sim.warmth(r) == 1 && sim.now-r.notifiedAt >= duration {
			return true
		}
	}
	return false
}

// checkEndpoint checks now, and after maxBareTime, whether a proxy has an endpoint.
func (sim *Simulation) checkEndpoint(p *proxy) {
	if sim.reported == nil || !sim.isBare(p) {
		p.bareSince = 0
		return
	}
	if p.bareSince == 0 {
		p.bareSince = sim.now
	}
	since := p.bareSince
	sim.after(maxBareTime, func() {
		if p.bareSince == since && sim.now-p.joinedAt >= maxBareTime && sim.isBare(p) && sim.hasWarmReplica(maxBareTime) {
			sim.breach(ruleEndpoint, fmt.Sprint("proxy ", p.id), "has had no line since %.3fs", float64(since)/1e9)
		}
	})
}

// isBare reports whether a connected proxy has no endpoint. It draws a random number for each connected proxy.
func (sim *Simulation) isBare(p *proxy) bool {
	return p.stream != 0 && !sim.isCut(p.zone) && sim.pick(p, "") == nil && !p.hasEndpoint()
}

// checkAttempt checks that an attempt does not reach a draining replica, and does not overload one that is warming up.
func (sim *Simulation) checkAttempt(p *proxy, r *Replica) {
	if sim.reported == nil {
		return
	}
	sim.checkDrain(p, r)
	warmth := sim.warmth(r)
	if warmth < 1 {
		sim.checkWarmUp(r, warmth)
	}
}

func (sim *Simulation) checkDrain(p *proxy, r *Replica) {
	if r.Member.State == control.Ready || p.stream == 0 || sim.isCut(p.zone) {
		return
	}
	grace := maxDrainGrace
	if own := sim.Site.Settings.DrainGrace; own > 0 {
		grace = own + drainGraceSlack
	}
	notified := max(r.notifiedAt, p.joinedAt, sim.controllers[p.controller].startedAt, p.stalledUntil)
	if sim.now > notified+grace {
		sim.breach(ruleDrain, r.Member.ID, "gets flows of proxy %d, told at %.3fs", p.id, float64(r.notifiedAt)/1e9)
	}
}

func (sim *Simulation) checkWarmUp(r *Replica, warmth float64) {
	r.recentAttempts = append(r.recentAttempts, sim.now)
	r.recentAttempts = dropUntil(r.recentAttempts, sim.now-overloadTime)
	capacity := float64(r.slots) / r.meanTime * float64(overloadTime) / float64(second)
	limit := sim.Site.Settings.OverloadMultiple * warmth * capacity
	attempts := float64(len(r.recentAttempts))
	if sim.isControlled() && sim.now-r.Member.UpSince >= overloadTime && attempts > limit {
		sim.breach(ruleWarmUp, r.Member.ID, "cold, got %.0f flows in 3 s, falls at %.0f", attempts, limit)
	}
}

// isControlled reports whether a controller has run for long enough to notify proxies of a replica.
func (sim *Simulation) isControlled() bool {
	for _, c := range sim.controllers {
		if c.core != nil && sim.now-c.startedAt > controllerStartTime+overloadTime {
			return true
		}
	}
	return false
}

// checkChannel checks the limits of the channel and of messages as an update enters the channel, and returns when it has left
// it.
func (sim *Simulation) checkChannel(p *proxy, update controller.Update) (sentAt int64) {
	provision := sim.Site.Settings
	cost := len(update.Endpoints) + len(update.Ejected) + len(update.Unejected) + len(update.Admissions) + provision.MessageOverhead + 1
	c := sim.controllers[p.controller]
	c.channelEnd = max(c.channelEnd, sim.now) + int64(float64(cost)/provision.ChannelRate*float64(second))
	queued := float64(c.channelEnd-sim.now) / float64(second) * provision.ChannelRate
	if queued > float64(provision.ChannelLimit) {
		sim.breach(ruleChannel, fmt.Sprint("channel ", c.index), "holds %.0f lines of %d", queued, provision.ChannelLimit)
	}
	messages := append(p.messageTimes[p.controller], sim.now)
	messages = dropUntil(messages, sim.now-provision.MessageWindow)
	p.messageTimes[p.controller] = messages
	if provision.MaxMessages > 0 && len(messages) > provision.MaxMessages {
		sim.breach(ruleChannel, fmt.Sprint("proxy ", p.id), "got %d messages in a span for %d", len(messages), provision.MaxMessages)
	}
	return c.channelEnd
}

// dropUntil drops sorted times up to a time.
func dropUntil(times []int64, until int64) []int64 {
	for len(times) > 0 && times[0] <= until {
		times = times[1:]
	}
	return times
}
