package pacing

import (
	"math"
	"time"

	"lilacbend/control"
)

// budget is how much of two limits may be used after a command is sent. A command waits if it would exceed either of them:
//
//   - the limit of the channel, for the sum of what may still wait in the channel, what the turn has sent and the command's
//     cost;
//   - the message cap of each recipient that does not get a message in this turn yet.
//
// The more urgent a command is, the larger is its budget, so that less urgent commands leave capacity for it:
//
//	command                                channel limit                       message cap
//	changed weights, rebinds, removals     0.4, less if acks are late          0.5
//	additions and unejections              0.4                                 0.75
//	rest of a table after a subset         1/4 of what the drain grace sends   0.75
//	first binds                            0.4 to 0.85, see firstBindFraction  0.95
//	admission rates, ejections             0.85                                0.95
//	ejections, if the controller queues    no limit                            no limit
//	first binds, if the controller queues  by size, see subset.go              no limit
//
// The controller queues commands that exceed a limit if Settings.ControllerQueues is set. Whatever the budget, a bind waits
// until its table has an endpoint, and commands of the step wait for other commands of the step by the rules of stepPass.
type budget struct {
	channel  float64 // fraction of Settings.ChannelLimit
	messages float64 // fraction of Settings.MaxMessages
}

// Fractions of Settings.ChannelLimit.
const (
	// ordinaryChannelFraction is the fraction that the update's step may use: under half, so that more than half remains for
	// urgent commands.
	ordinaryChannelFraction = 0.4
	// urgentChannelFraction is the fraction that urgent commands may use. The remainder is a margin, as costs are estimates.
	urgentChannelFraction = 0.85
)

// Fractions of Settings.MaxMessages.
const (
	// ordinaryMessageFraction leaves half of the messages to more urgent commands.
	ordinaryMessageFraction = 0.5
	// additionMessageFraction is above ordinaryMessageFraction, as a proxy that lacks endpoints comes before one whose
	// weights are out of date.
	additionMessageFraction = 0.75
	// urgentMessageFraction leaves a margin, like urgentChannelFraction.
	urgentMessageFraction = 0.95
)

var (
	additionBudget = budget{ordinaryChannelFraction, additionMessageFraction}
	urgentBudget   = budget{urgentChannelFraction, urgentMessageFraction}
	// unlimited admits every command, even if a limit is 0.
	unlimited = budget{math.Inf(1), math.Inf(1)}
)

// ordinaryBudget returns the budget of the step's commands that are not additions. It shrinks as acks get late: in a slow
// channel ejections must not wait behind changed weights.
func (p *Pacer) ordinaryBudget() budget {
	return budget{ordinaryChannelFraction / p.channel.latenessFactor(), ordinaryMessageFraction}
}

// firstBindBudget returns the budget of first binds that are sent as complete tables.
func (p *Pacer) firstBindBudget() budget {
	return budget{p.firstBindFraction(), urgentMessageFraction}
}

// budgetOfUrgent returns the budget of an urgent command that is sent unchanged, without a subset in place of a table.
// Ejections are unlimited if the controller queues commands: the controller then holds an ejection back only for the proxies
// that are at their message cap. If the controller does not queue commands, the cap of one proxy holds an ejection back from
// all proxies.
func (p *Pacer) budgetOfUrgent(command control.Command) budget {
	switch c := command.(type) {
	case control.SetEjected:
		if c.Ejected && p.settings.ControllerQueues {
			return unlimited
		}
	case control.Bind:
		return p.firstBindBudget()
	}
	return urgentBudget
}

// admits reports whether a budget allows sending a command of this cost now.
func (p *Pacer) admits(cost commandCost, limit budget) bool {
	return p.messageCapsAdmit(cost.recipients, limit) && p.channelAdmits(cost, limit)
}

func (p *Pacer) messageCapsAdmit(recipients []int, limit budget) bool {
	if p.settings.MaxMessages <= 0 {
		return true
	}
	window := time.Duration(p.settings.MessageWindow)
	for _, proxy := range recipients {
		if p.turn.reached[proxy] {
			continue // the command becomes part of the message that the proxy gets anyway
		}
		messages := p.messages.count(p.turn.now, window, proxy) + 1
		if float64(messages) > limit.messages*float64(p.settings.MaxMessages) {
			return false
		}
	}
	return true
}

func (p *Pacer) channelAdmits(cost commandCost, limit budget) bool {
	if len(cost.recipients) == 0 {
		return true
	}
	exceeded := p.turn.waiting+p.turn.units+cost.units > limit.channel*float64(p.settings.ChannelLimit)
	return !exceeded
}

// fitTogether reports whether all the commands fit into a fraction of the channel's limit, in addition to the cost units
// that may still wait in the channel and those that the turn has sent.
func (p *Pacer) fitTogether(commands []control.Command, fraction float64) bool {
	units := 0.0
	messaged := map[int]bool{}
	for _, command := range commands {
		units += p.costOf(command, messaged).units
	}
	return p.turn.waiting+p.turn.units+units <= fraction*float64(p.settings.ChannelLimit)
}

// firstBindFraction returns the fraction of the channel's limit that the complete tables of a reconnect storm may use if the
// controller does not queue commands. An ejection then waits for capacity until the tables in the channel are sent, and is
// itself sent together with the same number of further tables: each of these two phases may take half of the drain grace.
// The fraction is never less than what ordinary changes may use; otherwise no proxy would be bound if the grace is short.
func (p *Pacer) firstBindFraction() float64 {
	if p.settings.DrainGrace == 0 || p.settings.ControllerQueues {
		return urgentChannelFraction
	}
	halfGrace := p.fractionSentWithin(time.Duration(p.settings.DrainGrace/2 - p.settings.MaxTransit))
	return min(urgentChannelFraction, max(ordinaryChannelFraction, halfGrace))
}

// graceFraction returns the fraction of the channel's limit that reaches the proxies within the drain grace; 0 if no grace
// is known or the controller does not queue commands.
func (p *Pacer) graceFraction() float64 {
	if !p.settings.ControllerQueues {
		return 0
	}
	return p.fractionSentWithin(time.Duration(p.settings.DrainGrace - p.settings.MaxTransit))
}

// fractionSentWithin returns the fraction of its limit that the channel sends within a time span; 0 if the span is negative
// or the limit is 0.
func (p *Pacer) fractionSentWithin(span time.Duration) float64 {
	if p.settings.ChannelLimit == 0 {
		return 0
	}
	seconds := float64(max(0, span)) / float64(time.Second)
	return p.settings.ChannelRate * seconds / float64(p.settings.ChannelLimit)
}
