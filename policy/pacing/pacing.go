// Package pacing decides what is sent, in which order and within which budget. The channel to the proxies is slow and limits
// what may wait in it, and each proxy takes only so many messages in a time. An ejection must reach all proxies within the
// drain grace whatever else is to be sent, so everything else leaves capacity for it.
//
// One concern, one file:
//
//   - cost.go: which proxies a command reaches and how many cost units of the channel it takes.
//   - channel.go: what may still wait in the channel; what an ack clears; when a message is taken for lost.
//   - messagecap.go: how many messages each proxy was sent lately.
//   - budget.go: how much of both each kind of command may use: why a command is not sent yet.
//   - subset.go: which proxies get only a subset of their table first, which one, and when they get the rest.
//   - partition.go: how a table is divided into subsets.
//   - order.go: the order of a turn's commands, and what is held back whatever the budget.
//   - urgent.go: the queue of urgent commands: ejections, first binds and admission rates.
//   - send.go: sending a command: its effects on the state of the proxies and on the turn.
//   - proxies.go: the state of the proxies: bindings, tables, subsets, ejections.
//
// A cost unit is what one endpoint, ejection or admission rate takes of the channel at one proxy; control.Settings gives
// the channel's rate and limit and the overhead of a message in the same unit.
//
// The package has no I/O, no clock and no goroutine. Times are durations since any fixed moment.
package pacing

import (
	"maps"
	"time"

	"lilacbend/control"
)

// NonceMask has the bits of a nonce that a RequestAck carries.
const NonceMask = 1<<16 - 1

// Step is what the open step of the update has to send, in order.
type Step struct {
	Additions int // so many of the first commands add endpoints or uneject replicas
	Commands  []control.Command
}

// Warming are the replicas that are still warming up.
type Warming struct {
	Replicas map[uint32]bool
	// UnejectTogether says that the warming replicas that are ejected are to be unejected all at once: a single one would get the
	// load that is meant for all of them.
	UnejectTogether bool
}

// Sent is what Send has sent.
type Sent struct {
	Commands     []control.Command // all of them, in order
	StepCommands []control.Command // those of the update's step
	Proxies      []int             // that the commands reach; ascending
	Nonce        uint64            // that each of the proxies is asked to acknowledge; 0: there are none
}

// Pacer is the only sender of commands to proxies. Its methods note what is to be sent and what is known of the proxies; Send,
// once at the end of a turn, sends what the budgets admit. The rest waits for later turns.
type Pacer struct {
	settings     *control.Settings
	tickInterval time.Duration
	warming      Warming

	proxies  *proxyStates
	channel  channelAccount
	messages messageCaps
	nonce    uint64 // the last one sent

	urgent urgentQueue
	step   Step
	turn   turn
}

// New returns a Pacer for proxies of which nothing is known. It reads the settings at each call, so that changed settings hold at
// once. A turn comes at least once in each tick interval.
func New(settings *control.Settings, tickInterval time.Duration) *Pacer {
	return &Pacer{
		settings:     settings,
		tickInterval: tickInterval,
		proxies:      newProxyStates(),
	}
}

// RenumberClasses follows changed traffic classes: newClasses has the new number of each old one, below 0 if the class no longer
// exists.
func (p *Pacer) RenumberClasses(newClasses []int) {
	p.proxies.renumberClasses(newClasses)
	p.urgent.renumberClasses(newClasses)
}

// SetStep replaces what the update's open step has to send.
func (p *Pacer) SetStep(step Step) { p.step = step }

// SetWarming replaces the set of warming replicas.
func (p *Pacer) SetWarming(warming Warming) { p.warming = warming }

// Eject has a replica ejected before all else that is urgent.
func (p *Pacer) Eject(replica uint32) { p.urgent.eject(replica) }

// Bind has a proxy bound to its first table.
func (p *Pacer) Bind(bind control.Bind) { p.urgent.add(bind) }

// SetAdmission has an admission rate sent.
func (p *Pacer) SetAdmission(admission control.SetAdmission) { p.urgent.add(admission) }

// CancelBinds drops all binds that were not sent yet.
func (p *Pacer) CancelBinds() {
	p.urgent.cancelBinds()
	p.step.Commands = withoutBinds(p.step.Commands)
}

// Connected notes a proxy whose stream has opened, with its forecast of requests a second.
func (p *Pacer) Connected(proxy int, rate float64) { p.proxies.connect(proxy, rate) }

// Disconnected notes a proxy whose stream has closed. What was sent to it still counts for the channel and for its message cap.
func (p *Pacer) Disconnected(proxy int) { p.proxies.disconnect(proxy) }

// Forget drops a replica that no longer exists.
func (p *Pacer) Forget(replica uint32) { delete(p.proxies.ejected, replica) }

// Acknowledged notes that a proxy has acknowledged a nonce, or with all that every proxy concerned has.
func (p *Pacer) Acknowledged(now time.Duration, nonce uint64, all bool) {
	p.channel.acknowledge(now, nonce, all)
}

// Abandoned notes that every proxy that has not acknowledged the nonce has disconnected.
func (p *Pacer) Abandoned(nonce uint64) { p.channel.abandon(nonce) }

// Bindings returns the table of each connected proxy, below 0 where it is not bound yet.
func (p *Pacer) Bindings() map[int]int { return maps.Clone(p.proxies.bindings) }

// Waiting returns how many cost units may still wait in the channel.
func (p *Pacer) Waiting(now time.Duration) float64 { return p.channel.waiting(now) }
