// Package controller is the core of a controller without I/O. A turn takes in what proxies, collectors, discovery and the
// operator have reported since the last one, runs the decision module, and returns one update for each proxy that its
// commands concern. The core maps names to the module's numbers and back, keeps what was delivered to each stream, and holds
// updates back while the channel or a proxy's message cap has no capacity for them. It has no clock and no goroutine and
// makes no routing decision. Times are nanoseconds of the caller's monotonic clock unless stated otherwise.
package controller

import (
	"maps"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/internal/sendbudget"
)

// evictionInterval is how often state that nobody needs any more is evicted, in nanoseconds: a fraction of nameRetention.
const evictionInterval = int64(5 * time.Second)

// Core is the state of a controller between turns. One goroutine drives it.
type Core struct {
	// Counters count since the start; a module's restart does not reset them.
	Counters Counters
	// Topology is the one in force. It is embedded, so c.names, c.drainGrace, c.bounds and the like are its fields; settings that
	// change replace it as a whole.
	Topology
	module        moduleRunner
	routing       routingState // set by the commands of the running module alone
	timers        timerSet     // likewise
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

// turn is one run of the module: when it takes place, and what goes out.
type turn struct {
	now    int64
	result TurnResult
}

// Turn takes in what was reported since the last turn and returns what goes out. After a panic of the module a new one takes
// over within the same turn.
func (c *Core) Turn(now int64, inputs []Input) TurnResult {
	t := &turn{now: now}
	c.Counters.Turns++
	if failure := c.runTurn(t, inputs); failure != "" {
		c.recoverTurn(t, failure)
	}
	t.result.Configured = c.configuration.endTurn()
	t.result.NextTurn = c.nextTurn(now)
	c.countCurrent()
	return t.result
}

// countCurrent sets the counters that state the present rather than a sum.
func (c *Core) countCurrent() {
	c.Counters.KnownReplicas = int64(len(c.replicas.byNumber))
	c.Counters.ConnectedProxies = int64(len(c.streams.byProxy))
	c.Counters.ChannelCost = int64(c.delivery.account.Queued())
	c.Counters.PendingStreams = int64(len(c.delivery.urgent) + len(c.delivery.normal))
}

// nextTurn returns when the next turn is due at the latest; 0: whenever an input arrives.
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

// collectEvents returns the module's events of a turn: what its inputs mean, which proxies have fallen silent and which
// timers are due.
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

// initialEvents reports to a new module what was learned before it, the last endpoint list and the connected proxies.
// What was learned of the fleet precedes the list, what was learned of replicas follows it.
func (c *Core) initialEvents(now int64) []control.Event {
	learned := c.snapshots.lastLearned()
	list := c.replicas.currentList()
	events := c.restoredFleet(learned, now)
	events = append(events, list)
	events = append(events, c.restoredReplicas(learned, list.Entries, now)...)
	for _, proxy := range slices.Sorted(maps.Keys(c.streams.byProxy)) {
		s := c.streams.byProxy[proxy]
		if !s.silent.reported {
			events = append(events, s.opened)
		}
	}
	return events
}

// evict drops what nobody needs any more: old charges, queue entries of streams that have ended, and names.
func (c *Core) evict(now int64) {
	c.delivery.account.Evict(now)
	ended := func(s *stream) bool { return !c.streams.isCurrent(s) }
	c.delivery.urgent = slices.DeleteFunc(c.delivery.urgent, ended)
	c.delivery.normal = slices.DeleteFunc(c.delivery.normal, ended)
	c.evictNames(now)
}

// timerSet holds the due time of each of the module's timers, by the number that the module chose.
type timerSet map[uint64]int64

// set sets a timer. One that is set already fires once, at the earlier of both times.
func (t timerSet) set(timer uint64, due int64) {
	if earlier, isSet := t[timer]; !isSet || due < earlier {
		t[timer] = due
	}
}

// next returns when the first timer is due; false: no timer is set.
func (t timerSet) next() (due int64, set bool) {
	for _, at := range t {
		if !set || at < due {
			due = at
			set = true
		}
	}
	return due, set
}

// takeDue removes the timers that are due and returns them by their numbers.
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
