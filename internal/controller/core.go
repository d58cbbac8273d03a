// Package controller is the core of a controller without I/O. A turn processes the inputs that proxies, collectors,
// discovery and the operator have sent since the last turn, runs the decision module, and returns one update for each proxy
// that the module's commands affect. The core maps names to the module's numbers and back, records what was delivered on
// each stream, and holds updates back while the channel or a proxy's message cap has no capacity for them. It has no clock,
// starts no goroutines and makes no routing decisions. Times are nanoseconds of the caller's monotonic clock unless stated
// otherwise.
package controller

import (
	"maps"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/internal/sendbudget"
)

// evictionInterval is the time between evictions of unused state, in nanoseconds: a fraction of nameRetention.
const evictionInterval = int64(5 * time.Second)

// Core is the state of a controller between turns. It must be used by one goroutine at a time.
type Core struct {
	// Counters count since the start of the core; a module restart does not reset them.
	Counters Counters
	// Topology is the topology in force. A change of the settings replaces it as a whole. It is embedded: c.names,
	// c.drainGrace and c.bounds, for example, are its fields.
	Topology
	module        moduleRunner
	routing       routingState // set only by commands of the running module
	timers        timerSet     // set only by commands of the running module
	streams       streamSet
	replicas      replicaSet
	delivery      deliveryState
	snapshots     snapshotState
	configuration configurationState
	lastEviction  int64
}

// New returns a core whose modules are created by start.
func New(start func() Module, topology Topology) *Core {
	c := &Core{
		Topology:  topology,
		module:    moduleRunner{create: start},
		streams:   newStreamSet(),
		replicas:  newReplicaSet(),
		delivery:  newDeliveryState(sendbudget.New(topology.bounds)),
		snapshots: newSnapshotState(),
	}
	c.restartModule()
	return c
}

// turn is one turn in progress: its time and its result so far.
type turn struct {
	now    int64
	result TurnResult
}

// Turn processes the inputs since the last turn and returns the updates and other actions for the caller to carry out. If
// the module panics, a new module replaces it within the same turn.
func (c *Core) Turn(now int64, inputs []Input) TurnResult {
	t := &turn{now: now}
	c.Counters.Turns++
	if failure := c.runTurn(t, inputs); failure != "" {
		c.recoverTurn(t, failure)
	}
	t.result.ConfigurationResults = c.configuration.endTurn()
	t.result.NextTurn = c.nextTurn(now)
	c.updateGauges()
	return t.result
}

// updateGauges sets the gauges among the counters: those that hold current values instead of sums.
func (c *Core) updateGauges() {
	c.Counters.KnownReplicas = int64(len(c.replicas.byNumber))
	c.Counters.ConnectedProxies = int64(len(c.streams.byProxy))
	c.Counters.ChannelCost = int64(c.delivery.account.Queued())
	c.Counters.PendingStreams = int64(len(c.delivery.urgent) + len(c.delivery.normal))
}

// nextTurn returns the latest time at which the next turn is due, or 0 if no turn is due before the next input.
func (c *Core) nextTurn(now int64) int64 {
	var next int64
	if c.module.pausedUntil > now {
		next = c.module.pausedUntil
	}
	if due, set := c.timers.next(); set && (next == 0 || due < next) {
		next = due
	}
	return next
}

// collectEvents returns the module's events of a turn: the events of the inputs, of proxies whose acks are overdue, and of
// due timers.
func (c *Core) collectEvents(t *turn, inputs []Input) []control.Event {
	var events []control.Event
	for _, input := range inputs {
		events = append(events, c.handleInput(t, input)...)
	}
	events = append(events, c.expireSilentProxies(t.now)...)
	for _, timer := range c.timers.takeDue(t.now) {
		events = append(events, control.TimerFired{Timer: timer})
	}
	return events
}

// initialEvents returns the first events of a new module, in order: the learned state of the fleet, the current endpoint
// list, the learned state of the listed replicas, and the connected proxies.
func (c *Core) initialEvents(now int64) []control.Event {
	learned := c.snapshots.lastLearned()
	list := c.replicas.currentList()
	events := c.restoredFleet(learned, now)
	events = append(events, list)
	events = append(events, c.restoredReplicas(learned, list.Entries, now)...)
	for _, proxy := range slices.Sorted(maps.Keys(c.streams.byProxy)) {
		s := c.streams.byProxy[proxy]
		if !s.ackWait.reportedDisconnected {
			events = append(events, s.opened)
		}
	}
	return events
}

// evictUnused drops state that is no longer needed: expired charges, queue entries of closed streams, and names of replicas
// that are gone.
func (c *Core) evictUnused(now int64) {
	c.delivery.account.Evict(now)
	ended := func(s *stream) bool { return !c.streams.isCurrent(s) }
	c.delivery.urgent = slices.DeleteFunc(c.delivery.urgent, ended)
	c.delivery.normal = slices.DeleteFunc(c.delivery.normal, ended)
	c.evictNames(now)
}

// timerSet holds the due times of the module's timers, by the numbers that the module gave them.
type timerSet map[uint64]int64

// set sets a timer. A timer that is already set fires once, at the earlier of the two times.
func (t timerSet) set(timer uint64, due int64) {
	if earlier, isSet := t[timer]; !isSet || due < earlier {
		t[timer] = due
	}
}

// next returns the time at which the first timer is due, or false if no timer is set.
func (t timerSet) next() (due int64, set bool) {
	for _, at := range t {
		if !set || at < due {
			due = at
			set = true
		}
	}
	return due, set
}

// takeDue removes the due timers and returns their numbers in ascending order.
func (t timerSet) takeDue(now int64) []uint64 {
	var due []uint64
	for timer, at := range t {
		if at <= now {
			due = append(due, timer)
			delete(t, timer)
		}
	}
	slices.Sort(due)
	return due
}
