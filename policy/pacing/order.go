package pacing

import (
	"slices"
	"time"

	"lilacbend/control"
)

// Send sends the commands that the budgets admit, in this order:
//
//  1. the rest of tables of which proxies hold only a subset: proxies that lack endpoints come first;
//  2. the commands of the update's step, in the step's order;
//  3. the urgent commands, in the order of their queue. They come last as their budget is the largest: the commands before
//     them leave capacity for them.
//
// A command that is held back does not hold back others, except by the rules of stepPass and sendRestOfTables. All commands
// of a turn to one proxy are sent in one message, and one nonce covers the turn.
func (p *Pacer) Send(now time.Duration) Sent {
	p.beginTurn(now)
	p.sendRestOfTables()
	stepCommands := p.sendStep()
	p.sendUrgent()
	return p.endTurn(stepCommands)
}

// sendUrgent sends the urgent commands that their budgets admit.
func (p *Pacer) sendUrgent() {
	p.urgent.commands = slices.DeleteFunc(p.urgent.commands, func(command control.Command) bool {
		if bind, ok := command.(control.Bind); ok && p.graceFraction() > 0 {
			return p.trySend(p.firstTable(bind), unlimited) // firstTable has already limited the cost of the command
		}
		return p.trySend(command, p.budgetOfUrgent(command))
	})
}

// sendStep sends the commands of the step that are not held back, and returns them.
func (p *Pacer) sendStep() []control.Command {
	pass := &stepPass{
		pacer:         p,
		additionsLeft: p.step.Additions,
		overdue:       p.channel.overdue(p.turn.now),
		staleWeights:  map[uint32]bool{},
		unejections:   p.warmingUnejections(),
	}
	var sent []control.Command
	p.step.Commands = slices.DeleteFunc(p.step.Commands, func(command control.Command) bool {
		done := pass.trySend(command)
		if done {
			sent = append(sent, command)
		}
		return done
	})
	p.step.Additions = 0 // the next SetStep sets the number of additions again, including those held back now
	return sent
}

// stepPass is one pass over the commands of a step. Besides the budget these rules hold commands back:
//
//   - While the oldest ack is overdue only additions are sent: ejections must not wait behind changed weights in a slow
//     channel.
//   - A replica is not unejected while a change of its weights is held back: proxies would pick it according to weights from
//     a time when it may have been warmed up.
//   - If warming replicas are to be unejected together (Warming.UnejectTogether), none is unejected until there is capacity
//     for all of them or the channel is empty. Until then, raised weights of ejected replicas are not sent: weights rise at
//     each evaluation, and the commands would use up the capacity that the unejections need.
type stepPass struct {
	pacer           *Pacer
	additionsLeft   int
	overdue         bool
	staleWeights    map[uint32]bool   // replicas with a change of weight that was held back
	unejections     []control.Command // the step's unejections of warming replicas
	unejectTogether unejectTogetherDecision
}

// unejectTogetherDecision is the decision whether the warming replicas may be unejected together. It is made once in a pass,
// when the first of their unejections is due.
type unejectTogetherDecision int

const (
	undecided unejectTogetherDecision = iota
	allowed
	heldBack
)

// trySend sends a command unless a rule or its budget holds it back.
func (s *stepPass) trySend(command control.Command) bool {
	addition := s.additionsLeft > 0
	s.additionsLeft--
	limit := additionBudget
	if !addition {
		limit = s.pacer.ordinaryBudget()
	}
	if s.raisesWeightTooEarly(command) {
		return false
	}
	held := s.mustHoldBackUnejection(command) || !addition && s.overdue
	sent := !held && s.pacer.trySend(command, limit)
	if endpoint, ok := command.(control.SetEndpoint); ok && !sent {
		s.staleWeights[endpoint.Replica] = true
	}
	return sent
}

// raisesWeightTooEarly reports whether a command raises the weight of an endpoint of an ejected replica while warming
// replicas are to be unejected together.
func (s *stepPass) raisesWeightTooEarly(command control.Command) bool {
	endpoint, ok := command.(control.SetEndpoint)
	if !ok || !s.pacer.warming.UnejectTogether || !s.pacer.proxies.ejected[endpoint.Replica] {
		return false
	}
	weight := s.pacer.proxies.tables[endpoint.Table][endpoint.Replica]
	return weight > 0 && endpoint.Weight > weight
}

// mustHoldBackUnejection reports whether a command is an unejection that has to wait for other commands.
func (s *stepPass) mustHoldBackUnejection(command control.Command) bool {
	unejection, ok := command.(control.SetEjected)
	if !ok {
		return false
	}
	if s.staleWeights[unejection.Replica] {
		return true
	}
	return s.pacer.warming.UnejectTogether && s.pacer.warming.Replicas[unejection.Replica] && !s.mayUnejectTogether()
}

// mayUnejectTogether reports whether all warming replicas of the step may be unejected in this pass.
func (s *stepPass) mayUnejectTogether() bool {
	if s.unejectTogether == undecided {
		s.unejectTogether = heldBack
		if !s.anyStaleWeight() && (s.pacer.turn.waiting+s.pacer.turn.units == 0 || s.pacer.fitTogether(s.unejections, ordinaryChannelFraction)) {
			s.unejectTogether = allowed
		}
	}
	return s.unejectTogether == allowed
}

// anyStaleWeight reports whether a change of weight of any warming replica that is to be unejected was held back.
func (s *stepPass) anyStaleWeight() bool {
	return slices.ContainsFunc(s.unejections, func(command control.Command) bool {
		unejection, ok := command.(control.SetEjected)
		return ok && s.staleWeights[unejection.Replica]
	})
}

// warmingUnejections returns the commands of the step that uneject warming replicas.
func (p *Pacer) warmingUnejections() []control.Command {
	var unejections []control.Command
	for _, command := range p.step.Commands {
		if c, ok := command.(control.SetEjected); ok && !c.Ejected && p.warming.Replicas[c.Replica] {
			unejections = append(unejections, c)
		}
	}
	return unejections
}
