package controller

import (
	"fmt"
	"runtime/debug"
	"time"

	"lilacbend/control"
)

// restartDelay is how long the core waits after a module that failed at its start as well, in nanoseconds: long enough that
// restarts do not take up the controller, short enough that its proxies are not left alone.
const restartDelay = int64(time.Second)

// Module makes the decisions. Package policy has the one in use.
type Module interface {
	// Turn takes the events since the last turn and returns commands, which take effect in their order.
	Turn(now int64, events []control.Event) []control.Command
}

// moduleRunner holds the running module.
type moduleRunner struct {
	create      func() Module
	current     Module
	isNew       bool  // it has had no turn yet
	pausedUntil int64 // no turns until then
}

// restart replaces the module by a new one.
func (r *moduleRunner) restart() {
	r.current = r.create()
	r.isNew = true
}

// runTurn runs one turn of the module and returns the text of its panic; empty: there was none.
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
		c.evict(t.now)
		c.lastEviction = t.now
	}
	return ""
}

// recoverTurn starts a new module after a panic. If that fails too, what it may fail by is left out, one thing after
// another: first the settings that came with this turn, then the learned state. After that the module is paused.
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
		c.Counters.RestartsWithoutState++
		if c.retryTurn(t, failure) {
			return
		}
	}
	c.restartModule()
	t.fail(failure)
	c.module.pausedUntil = t.now + restartDelay
}

// retryTurn runs the turn of a new module, which is sent everything that stands, and reports whether it succeeded.
func (c *Core) retryTurn(t *turn, failure string) bool {
	t.fail(failure)
	return c.runTurn(t, nil) == ""
}

// fail drops what the failed module has sent in this turn. The streams that are to be closed have been replaced whatever the
// module does.
func (t *turn) fail(failure string) {
	t.result = TurnResult{Panic: failure, CloseStreams: t.result.CloseStreams}
}

// restartModule starts a new module. What the proxies hold is not known any more, as updates of the turn that failed were
// recorded as sent but dropped.
func (c *Core) restartModule() {
	c.module.restart()
	c.routing = newRoutingState()
	c.timers = timerSet{}
	for _, s := range c.streams.byProxy {
		c.bindStream(s, unbound)
		s.binding.needsFull = false
		c.forgetDelivered(s)
		s.unacked.markOwn()
		if s.pending != nil {
			s.pending.wantsAck = false
		}
	}
}
