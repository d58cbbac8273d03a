// Package update brings the proxies' tables from their current to their target weights by the reverse-order update: add,
// overwrite in place, rebind, remove. See Step for the rule. Which weights are wanted and what the channel has capacity for
// is decided elsewhere: a Sequence says which commands are due, and is told which of them were sent and acknowledged.
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

// Step is one kind of change in the reverse-order update. A request takes the way proxy, binding, table, replica; an update
// changes this way from its end to its beginning, so that no proxy ever uses a table or a replica that is not ready for it
// (docs/design.md names the study that this order comes from):
//
//   - Add comes first, as a table must have its new endpoints before proxies are bound to it and before old ones go.
//   - Overwrite changes the weights of endpoints that stay, in place: no proxy loses an endpoint by it.
//   - Rebind moves proxies once the tables that they move to are complete.
//   - Remove comes last: while a proxy may still use the earlier weights or its earlier table, its endpoints stay.
//
// A step ends when it has nothing to send or has sent something, and everything that was sent is acknowledged. An ack that is
// missing for ackTimeout is waited for no longer. A step whose commands are all unsent has no timeout: package pacing holds them
// back until the budget has capacity, and the next step's commands would need the same budget. A step that has sent something
// ends even if more changes of its kind are due: weights change all the time, and removals would never be due otherwise.
// Additions are due in every step, as no other change depends on their absence. Removals are due only while no addition and no
// rebinding is.
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

// Endpoint is a replica in a table. Each has a weight: the proxies bound to the table pick the replica in proportion to it.
type Endpoint struct {
	Table   int
	Replica uint32
}

// Target is the state that the proxies are to reach.
type Target struct {
	// Weights of the endpoints. An endpoint that is missing, or has weight 0, is to be removed; placement.KeepWeight leaves it
	// as it is.
	Weights map[Endpoint]float64
	// Ejected at the proxies: all replicas that placement excludes. A replica that was in an earlier target's set and is not in this one is to be unejected.
	Ejected map[uint32]bool
}

// Pending is what the open step has to send, in order.
type Pending struct {
	Additions int // so many of the first commands are additions
	Commands  []control.Command
}

// Sequence is the state of the update: the current weights, the target and the open step.
type Sequence struct {
	target  Target
	current map[Endpoint]float64 // weights that were sent; never 0
	ejected map[uint32]bool      // replicas that were ejected and not unejected since
	rebinds map[int]int          // proxies to move, and the table that each moves to

	step     Step
	stepSent bool // the open step has sent something
	acks     pendingAcks
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

// SetTarget replaces the target. What an unfinished update no longer needs is dropped, the rest goes on: a replica that comes
// and goes does not start the sequence anew each time.
func (s *Sequence) SetTarget(target Target) {
	s.target = target
	maps.Copy(s.ejected, target.Ejected)
}

// Rebind moves a proxy to another table. It replaces an earlier move of the proxy that was not sent yet.
func (s *Sequence) Rebind(bind control.Bind) { s.rebinds[bind.Proxy] = bind.Table }

// CancelRebinds drops all moves that were not sent yet.
func (s *Sequence) CancelRebinds() { clear(s.rebinds) }

// Forget drops a replica that no longer exists. It stays ejected at the proxies: no unejection will be due for it.
func (s *Sequence) Forget(replica uint32) { delete(s.ejected, replica) }

// Sent notes commands that were sent. Their step stays open until the nonce is acknowledged; nonce 0 says that no proxy was
// concerned, so there is nothing to wait for.
func (s *Sequence) Sent(now time.Duration, nonce uint64, commands []control.Command) {
	for _, command := range commands {
		s.apply(command)
	}
	if nonce > 0 && len(commands) > 0 {
		s.acks[nonce] = now
		s.stepSent = true
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

// Acknowledged notes that all proxies concerned have acknowledged the nonce, or have disconnected.
func (s *Sequence) Acknowledged(nonce uint64) { delete(s.acks, nonce) }

// Expire stops waiting for acks that are overdue.
func (s *Sequence) Expire(now time.Duration) { s.acks.expire(now) }

// Advance ends the open step if it is finished, and further ones that have nothing to send, and returns what the step that is
// open then has to send. The commands remain due until Sent reports them.
func (s *Sequence) Advance() Pending {
	additions := s.commands(Add)
	var due []control.Command
	for range stepCount {
		due = s.due(additions)
		if !s.finished(due) {
			break
		}
		s.step = s.step.next()
		s.stepSent = false
	}
	return Pending{Additions: len(additions), Commands: due}
}

// due returns the additions followed by the commands of the open step.
func (s *Sequence) due(additions []control.Command) []control.Command {
	if s.step == Add || s.step == Remove && !s.mayRemove(additions) {
		return additions
	}
	return append(slices.Clone(additions), s.commands(s.step)...)
}

// mayRemove says whether removals are due: a proxy that still waits for additions or for its move needs its old endpoints.
func (s *Sequence) mayRemove(additions []control.Command) bool {
	return len(additions) == 0 && len(s.rebinds) == 0
}

// finished says whether the open step is over, given what is due in it. Only acks time out (Expire): a step that the budget has
// let send nothing yet stays open.
func (s *Sequence) finished(due []control.Command) bool {
	return len(s.acks) == 0 && (len(due) == 0 || s.stepSent)
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

// Rebinds returns how many proxies wait to be moved.
func (s *Sequence) Rebinds() int { return len(s.rebinds) }
