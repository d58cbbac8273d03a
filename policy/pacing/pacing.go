// Package pacing decides which commands are sent to the proxies, in which order and within which budget. The channel to the
// proxies is slow and limits how many cost units may wait in it, and each proxy accepts only a limited number of messages
// within a window of time. An ejection must reach all proxies within the drain grace whatever else is to be sent, so all
// other commands leave capacity for it.
//
// Each file has one concern:
//
//   - cost.go: which proxies a command reaches and how many cost units of the channel it takes.
//   - channel.go: how much may still wait in the channel, what an ack clears, and when a message counts as lost.
//   - messagecap.go: how many messages each proxy was sent within the window.
//   - budget.go: how much of the channel and of the message caps each kind of command may use; a command that exceeds its
//     budget is not sent yet.
//   - subset.go: which proxies get only a subset of their table first, which subset, and when they get the rest.
//   - partition.go: how a table is divided into subsets.
//   - order.go: the order of a turn's commands, and the rules that hold a command back whatever its budget.
//   - urgent.go: the queue of urgent commands: ejections, first binds and admission rates.
//   - send.go: sending a command: its effects on the state of the proxies and on the turn.
//   - proxies.go: the state of the proxies: bindings, tables, subsets, ejections.
//
// A cost unit is the capacity of the channel that one endpoint, ejection or admission rate takes for one proxy;
// control.Settings gives the channel's rate and limit and the overhead of a message in the same unit.
//
// The package has no I/O, no clock and no goroutine. Times are durations since any fixed moment.
package pacing

import (
	"maps"
	"time"

	"lilacbend/control"
)

// NonceMask selects the bits of a nonce that a RequestAck carries.
const NonceMask = 1<<16 - 1

// Step holds the commands that the current step of the update has to send, in order.
type Step struct {
	Additions int // number of commands at the start of Commands that add endpoints or uneject replicas
	Commands  []control.Command
}

// Warming holds the replicas that are still warming up.
type Warming struct {
	Replicas map[uint32]bool
	// UnejectTogether is whether the warming replicas that are ejected are to be unejected all at once: a single unejected
	// replica would get the load that is meant for all of them.
	UnejectTogether bool
}

// Sent reports what Send has sent.
type Sent struct {
	Commands     []control.Command // all commands, in order
	StepCommands []control.Command // the commands of the update's step
	Proxies      []int             // the proxies that the commands reach, ascending
	Nonce        uint64            // the nonce that each of Proxies is asked to acknowledge; 0: there are no such proxies
}

// Pacer is the only sender of commands to proxies. Its methods record which commands are to be sent and what the proxies
// have reported; Send, called once at the end of a turn, sends the commands that the budgets admit. The others wait for
// later turns.
type Pacer struct {
	settings     *control.Settings
	tickInterval time.Duration
	warming      Warming

	proxies  *proxyStates
	channel  channelAccount
	messages messageCaps
	nonce    uint64 // the last nonce that was sent

	urgent urgentQueue
	step   Step
	turn   turn
}

// New returns a Pacer without proxies. The settings are read at each call, so that changes take effect at once. There is at
// least one turn in each tick interval.
func New(settings *control.Settings, tickInterval time.Duration) *Pacer {
	return &Pacer{
		settings:     settings,
		tickInterval: tickInterval,
		proxies:      newProxyStates(),
	}
}

// RenumberClasses adapts to changed traffic classes: newClasses has the new number of each class by its old number, negative
// if the class no longer exists.
func (p *Pacer) RenumberClasses(newClasses []int) {
	p.proxies.renumberClasses(newClasses)
	p.urgent.renumberClasses(newClasses)
}

// SetStep replaces the commands that the update's current step has to send.
func (p *Pacer) SetStep(step Step) { p.step = step }

// SetWarming replaces the set of warming replicas.
func (p *Pacer) SetWarming(warming Warming) { p.warming = warming }

// Eject queues the ejection of a replica before all other urgent commands.
func (p *Pacer) Eject(replica uint32) { p.urgent.eject(replica) }

// Bind queues the bind of a proxy to its first table.
func (p *Pacer) Bind(bind control.Bind) { p.urgent.add(bind) }

// SetAdmission queues an admission rate.
func (p *Pacer) SetAdmission(admission control.SetAdmission) { p.urgent.add(admission) }

// CancelBinds drops all binds that were not sent yet.
func (p *Pacer) CancelBinds() {
	p.urgent.cancelBinds()
	p.step.Commands = withoutBinds(p.step.Commands)
}

// Connected records a proxy whose stream has opened, with its forecast of requests per second.
func (p *Pacer) Connected(proxy int, rate float64) { p.proxies.connect(proxy, rate) }

// Disconnected records that a proxy's stream has closed. Messages that were sent to it still count for the channel and for
// its message cap.
func (p *Pacer) Disconnected(proxy int) { p.proxies.disconnect(proxy) }

// RemoveReplica removes the ejection of a replica that no longer exists from the state of the proxies.
func (p *Pacer) RemoveReplica(replica uint32) { delete(p.proxies.ejected, replica) }

// Acknowledged records that a proxy has acknowledged a nonce; all is whether every proxy that was sent the nonce has
// acknowledged it.
func (p *Pacer) Acknowledged(now time.Duration, nonce uint64, all bool) {
	p.channel.acknowledge(now, nonce, all)
}

// NonceAbandoned records that every proxy that has not acknowledged the nonce has disconnected.
func (p *Pacer) NonceAbandoned(nonce uint64) { p.channel.abandon(nonce) }

// Bindings returns the table of each connected proxy, negative for a proxy that is not bound yet.
func (p *Pacer) Bindings() map[int]int { return maps.Clone(p.proxies.bindings) }

// WaitingCostUnits returns how many cost units may still wait in the channel.
func (p *Pacer) WaitingCostUnits(now time.Duration) float64 { return p.channel.waiting(now) }
