// Package update changes the proxies' tables from their current to their target weights by the reverse-order update: add,
// overwrite in place, rebind, remove. See Step for the rules. Other packages decide which weights are the target and what
// the channel has capacity for: a Sequence returns the commands that are due, and its caller reports which of them were sent
// and acknowledged.
//
// The package has no I/O, no clock and no goroutine. Times are durations since any fixed moment.
package update

import (
	"maps"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// Step is one kind of change in the reverse-order update. A request is routed by its proxy's binding, then by the table, to
// a replica; an update changes these in the reverse order, so that no proxy ever uses a table or a replica that is not ready
// for it (docs/design.md names the study that this order comes from):
//
//   - Add comes first, as a table must have its new endpoints before proxies are bound to it and before old endpoints are
//     removed.
//   - Overwrite changes the weights of endpoints that stay in a table, in place: no proxy loses an endpoint by it.
//   - Rebind moves proxies to other tables once these tables are complete.
//   - Remove comes last: while a proxy may still use its earlier weights or its earlier table, its endpoints are not
//     removed.
//
// A step ends when everything that was sent is acknowledged and the step has either nothing to send or has sent something. A
// step stops waiting for an ack that is missing for more than ackTimeout. A step whose commands are all unsent has no
// timeout: package pacing holds them back until the budget has capacity, and the next step's commands would need the same
// budget. A step that has sent something ends even if more changes of its kind are due: weights change all the time, and
// removals would otherwise never be due. Additions are due in every step, as no other change requires that they are absent.
// Removals are due only while neither additions nor rebinds are.
type Step int

// The steps, in their order. Remove is followed by Add.
const (
	Add Step = iota
	Overwrite
	Rebind
	Remove
	stepCount
)

func (s Step) next() Step { return (s + 1) % stepCount }

// Endpoint is a replica in a table. Each endpoint has a weight: the proxies that are bound to the table pick the replica in
// proportion to it.
type Endpoint struct {
	Table   int
	Replica uint32
}

// Target is the state that the proxies are to reach.
type Target struct {
	// Weights has the weights of the endpoints. An endpoint that is missing, or has weight 0, is to be removed; an endpoint
	// with placement.KeepCurrentWeight keeps its current weight.
	Weights map[Endpoint]float64
	// Ejected has the replicas that are to be ejected at the proxies: all that placement excludes. A replica that was in the
	// set of an earlier target and is not in this one is to be unejected.
	Ejected map[uint32]bool
}

// Pending holds the commands that the current step has to send, in order.
type Pending struct {
	Additions int // number of commands at the start of Commands that are additions
	Commands  []control.Command
}

// Sequence is the state of the update: the current weights, the target and the current step.
type Sequence struct {
	target  Target
	current map[Endpoint]float64 // weights that were sent; never 0
	ejected map[uint32]bool      // replicas that were ejected and not unejected since
	rebinds map[int]int          // by proxy that is to be moved: its new table

	step        Step
	stepHasSent bool // the current step has sent something
	acks        pendingAcks
}

// New returns a Sequence for proxies that have no tables yet.
func New() *Sequence {
	return &Sequence{
		current: map[Endpoint]float64{},
		ejected: map[uint32]bool{},
		rebinds: map[int]int{},
		acks:    pendingAcks{},
	}
}

// SetTarget replaces the target. Changes of an unfinished update that the new target does not need are dropped, the others
// stay due: a replica that joins and leaves does not restart the sequence each time.
func (s *Sequence) SetTarget(target Target) {
	s.target = target
	maps.Copy(s.ejected, target.Ejected)
}

// Rebind schedules the move of a proxy to another table. It replaces an earlier move of the proxy that was not sent yet.
func (s *Sequence) Rebind(bind control.Bind) { s.rebinds[bind.Proxy] = bind.Table }

// CancelRebinds drops all moves that were not sent yet.
func (s *Sequence) CancelRebinds() { clear(s.rebinds) }

// RemoveReplica removes a replica that no longer exists. It stays ejected at the proxies: no unejection becomes due for it.
func (s *Sequence) RemoveReplica(replica uint32) { delete(s.ejected, replica) }

// Sent records commands that were sent. The current step does not end before the nonce is acknowledged; nonce 0 means that
// the commands reach no proxy, so there is no ack to wait for.
func (s *Sequence) Sent(now time.Duration, nonce uint64, commands []control.Command) {
	for _, command := range commands {
		s.apply(command)
	}
	if nonce > 0 && len(commands) > 0 {
		s.acks[nonce] = now
		s.stepHasSent = true
	}
}

func (s *Sequence) apply(command control.Command) {
	switch c := command.(type) {
	case control.SetEjected:
		delete(s.ejected, c.Replica)
	case control.Bind:
		delete(s.rebinds, c.Proxy)
	case control.SetEndpoint:
		endpoint := Endpoint{Table: c.Table, Replica: c.Replica}
		s.current[endpoint] = c.Weight
		if c.Weight == 0 {
			delete(s.current, endpoint)
		}
	}
}

// Acknowledged records that each proxy that was sent the nonce has acknowledged it or has disconnected.
func (s *Sequence) Acknowledged(nonce uint64) { delete(s.acks, nonce) }

// Expire stops waiting for acks that are overdue.
func (s *Sequence) Expire(now time.Duration) { s.acks.expire(now) }

// Advance ends the current step if it is finished, and each following step that has nothing to send, and returns the
// commands that are due in the first step that is not finished. The commands remain due until Sent records them.
func (s *Sequence) Advance() Pending {
	additions := s.commands(Add)
	var due []control.Command
	for range stepCount {
		due = s.due(additions)
		if !s.finished(due) {
			break
		}
		s.step = s.step.next()
		s.stepHasSent = false
	}
	return Pending{Additions: len(additions), Commands: due}
}

// due returns the additions followed by the commands of the current step.
func (s *Sequence) due(additions []control.Command) []control.Command {
	if s.step == Add || s.step == Remove && !s.mayRemove(additions) {
		return additions
	}
	return append(slices.Clone(additions), s.commands(s.step)...)
}

// mayRemove reports whether removals are due: a proxy that still waits for additions or for its move needs its old
// endpoints.
func (s *Sequence) mayRemove(additions []control.Command) bool {
	return len(additions) == 0 && len(s.rebinds) == 0
}

// finished reports whether the current step ends, given the commands that are due in it. Only acks time out (Expire): a step
// that has sent nothing yet because the budget had no capacity does not end.
func (s *Sequence) finished(due []control.Command) bool {
	return len(s.acks) == 0 && (len(due) == 0 || s.stepHasSent)
}

// commands returns all commands of one step.
func (s *Sequence) commands(step Step) []control.Command {
	commands := s.endpointCommands(step)
	if step != Rebind {
		return commands
	}
	for _, proxy := range ordered.Keys(s.rebinds) {
		commands = append(commands, control.Bind{Proxy: proxy, Table: s.rebinds[proxy]})
	}
	return commands
}

// Weights returns the weights that were sent, by endpoint.
func (s *Sequence) Weights() map[Endpoint]float64 { return maps.Clone(s.current) }

// PendingRebinds returns the number of proxies whose move was not sent yet.
func (s *Sequence) PendingRebinds() int { return len(s.rebinds) }
