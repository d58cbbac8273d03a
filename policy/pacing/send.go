package pacing

import (
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// turn holds what is sent in one turn.
type turn struct {
	now             time.Duration
	commands        []control.Command
	reached         map[int]bool       // proxies that get a message
	units           float64            // cost units of all commands, message overheads included
	waiting         float64            // cost units that may wait in the channel as the turn begins
	firstTableUnits float64            // cost units that the first table of a proxy may take
	partitions      map[int]*partition // by table, for the tables that were divided into subsets in this turn
}

func (p *Pacer) beginTurn(now time.Duration) {
	p.turn = turn{
		now:        now,
		reached:    map[int]bool{},
		waiting:    p.channel.waiting(now),
		partitions: map[int]*partition{},
	}
	p.turn.firstTableUnits = p.firstTableUnits()
}

// trySend sends a command if its budget admits it, and reports whether the command need not be sent any more: it was sent,
// or binds a proxy that has disconnected. A bind also waits until its table has an endpoint.
func (p *Pacer) trySend(command control.Command, limit budget) bool {
	cost := p.costOf(command, nil)
	if !p.admits(cost, limit) {
		return false
	}
	if bind, ok := command.(control.Bind); ok {
		if !p.proxies.connected(bind.Proxy) {
			return true
		}
		if len(p.proxies.tables[bind.Table]) == 0 {
			return false
		}
	}
	p.apply(command)
	p.charge(command, cost)
	return true
}

// apply updates the state of the proxies to what it is once they have received a command.
func (p *Pacer) apply(command control.Command) {
	switch c := command.(type) {
	case control.Bind:
		p.proxies.bind(c.Proxy, c.Table)
	case control.BindSubset:
		p.proxies.bindSubset(c)
	case control.SetEndpoint:
		p.proxies.setWeight(c)
	case control.SetAdmission:
		p.proxies.limitedClasses[c.Class] = true
	case control.SetEjected:
		p.proxies.setEjected(c)
		if !c.Ejected {
			p.urgent.cancelEjection(c.Replica)
		}
	}
}

// charge adds a command and its cost to the turn.
func (p *Pacer) charge(command control.Command, cost commandCost) {
	for _, proxy := range cost.recipients {
		p.turn.reached[proxy] = true
	}
	p.turn.units += cost.units
	p.turn.commands = append(p.turn.commands, command)
}

// endTurn requests an ack from the proxies that the turn reaches and charges their messages to the channel and to their
// caps.
func (p *Pacer) endTurn(stepCommands []control.Command) Sent {
	sent := Sent{StepCommands: stepCommands, Proxies: ordered.Keys(p.turn.reached)}
	if len(sent.Proxies) > 0 {
		p.nonce++
		sent.Nonce = p.nonce
		p.turn.commands = append(p.turn.commands, control.RequestAck{Nonce: p.nonce & NonceMask})
		p.channel.add(batch{nonce: p.nonce, units: p.turn.units, sent: p.turn.now, due: p.turn.now + p.ackTime()})
		p.messages.record(p.turn.now, sent.Proxies)
	}
	sent.Commands = p.turn.commands
	return sent
}

// ackTime returns how long the ack of this turn's messages takes if the channel keeps its rate: until these messages and all
// earlier ones are sent and have reached the proxies, and the controller has received the ack in a turn.
func (p *Pacer) ackTime() time.Duration {
	seconds := (p.turn.waiting + p.turn.units) / p.settings.ChannelRate
	return p.tickInterval + time.Duration(p.settings.MaxTransit) + time.Duration(seconds*float64(time.Second))
}
