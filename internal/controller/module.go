package controller

import (
	"fmt"
	"runtime/debug"
	"time"

	"lilacbend/control"
)

// restartDelay is how long the module is paused, in nanoseconds, after the modules that replaced a failed one have failed in
// their first turns as well. It is long enough that restarts do not occupy the controller, and short enough that the proxies
// are not left without updates for long.
const restartDelay = int64(time.Second)

// Module makes the routing decisions. Package policy has the implementation in use.
type Module interface {
	// Turn processes the events since the last turn and returns commands, which are applied in order.
	Turn(now int64, events []control.Event) []control.Command
}

// moduleRunner holds the running module.
type moduleRunner struct {
	create      func() Module
	current     Module
	isNew       bool  // the current module has not had a turn yet
	pausedUntil int64 // the module has no turns before this time
}

// restart replaces the module by a new one.
func (r *moduleRunner) restart() {
	r.current = r.create()
	r.isNew = true
}

// runTurn runs one turn of the module and returns the message of its panic, or "" if it did not panic.
func (c *Core) runTurn(t *turn, inputs []Input) (failure string) {
	defer func() {
		if p := recover(); p != nil {
			failure = fmt.Sprintf("%v at %s", p, debug.Stack())
		}
	}()
	events := c.collectEvents(t, inputs)
	if t.now < c.module.pausedUntil {
		return ""
	}
	if c.module.isNew {
		events = c.initialEvents(t.now)
	}
	if c.snapshots.due(t.now) {
		events = append(events, control.SnapshotRequested{})
	}
	commands := c.module.current.Turn(t.now, events)
	c.module.isNew = false
	c.sendUpdates(t, c.applyCommands(t, commands))
	if t.now-c.lastEviction > evictionInterval {
		c.evictUnused(t.now)
		c.lastEviction = t.now
	}
	return ""
}

// recoverTurn starts a new module after a panic. If the new module panics as well, the possible causes are dropped one after
// another: first the settings that arrived in this turn, then the learned state. If the module still panics, it is paused.
func (c *Core) recoverTurn(t *turn, failure string) {
	c.restartModule()
	c.Counters.ModuleRestarts++
	if c.retryTurn(t, failure) {
		return
	}
	if c.configuration.previous != nil {
		c.revertConfiguration(failure)
		c.restartModule()
		if c.retryTurn(t, failure) {
			return
		}
	}
	if c.snapshots.lastLearned() != nil {
		c.snapshots.discard()
		c.restartModule()
		c.Counters.RestartsWithoutLearnedState++
		if c.retryTurn(t, failure) {
			return
		}
	}
	c.restartModule()
	t.fail(failure)
	c.module.pausedUntil = t.now + restartDelay
}

// retryTurn runs the first turn of a new module, which receives the current state as its initial events, and reports whether
// the turn succeeded.
func (c *Core) retryTurn(t *turn, failure string) bool {
	t.fail(failure)
	return c.runTurn(t, nil) == ""
}

// fail discards the output of the failed module in this turn. It keeps the streams to close, since closing them does not
// depend on the module.
func (t *turn) fail(failure string) {
	t.result = TurnResult{PanicMessage: failure, CloseStreams: t.result.CloseStreams}
}

// restartModule starts a new module and unbinds all streams. It forgets what was delivered to the proxies, because the
// updates of the failed turn were recorded as delivered but then discarded.
func (c *Core) restartModule() {
	c.module.restart()
	c.routing = newRoutingState()
	c.timers = timerSet{}
	for _, s := range c.streams.byProxy {
		c.bindStream(s, unbound)
		s.binding.needsFull = false
		c.forgetDelivered(s)
		s.unacked.hideFromModule()
		if s.pending != nil {
			s.pending.wantsAck = false
		}
	}
}
