// Package controller is the core of the program: at a time, with what came in, it says what goes out. It turns
// names into numbers and back, messages into the module's events, and the module's commands into one message
// for each proxy that they concern. It has no I/O, no clock and no goroutine, and it decides nothing.
package controller

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/revision"
	"lilacbend/internal/sendbudget"
)

const (
	// A module that panics at its start as well is tried again after this: not at once, as it would
	// take the whole core, and soon, as the proxies have nobody else.
	restartDelay  = int64(1e9)
	sweepInterval = int64(5 * 1e9) // names are kept for some times as long
	// A machine that vanishes says nothing, and its stream stays open. A proxy that has been silent for so
	// long though it owes an answer is told to the module as having left, until it speaks again: no sooner than
	// a full channel at a fifth of its pace and a stall take together, see NewTopology. Its stream is neither ended nor left
	// out of what goes to it, so one that was only slow has missed nothing.
	minSilenceTimeout = int64(10 * 1e9)
)

// Module makes the decisions. policy.Governor implements it.
type Module interface {
	Turn(now int64, events []control.Event) []control.Command
}

// Core is the state of a governor between turns. It is driven by one goroutine.
type Core struct {
	Counters  Counters
	newModule func() Module
	Topology
	module      Module
	account     *sendbudget.Account // outlives modules and streams
	replicas    replicaSet
	proxies     map[int]*stream // by proxy
	streams     map[StreamID]*stream
	bound       map[int]map[int]*stream // by table, below 0 those bound to nothing, and by proxy
	due         map[int]*stream         // to be looked at with the next messages, whatever is new
	awaited     []awaitedAck            // the longest first
	urgentQueue []*stream               // with pending changes, the longest first: those that keep proxies away from replicas
	normalQueue []*stream
	ackRequests uint64 // nonces of the core's own
	lastCatchUp int64  // when those who are bound to nothing were last looked at
	tables      map[int]map[uint32]float64
	ejected     map[uint32]bool
	admissions  map[tableClass]control.SetAdmission
	timers      map[uint64]int64
	fresh       bool  // the module has had no turn yet
	pausedUntil int64 // no turns until then
	lastSweep   int64

	revision            int64                   // of the list
	restored            *learnedstate.AgedState // by an earlier governor
	lastSnapshot        *learnedstate.AgedState // what the module here had learned when it was last asked
	snapshotInterval    int64                   // that it is asked, with a half-life for what it says
	halfLife            int64
	snapshotRequestedAt int64
	settledAt           int64 // before that it knows less than what was brought

	version    revision.Version      // of the settings in force
	previous   *configuration        // before this turn, if it changed them
	configured []ConfigurationResult // in this turn
}

// awaitedAck is an ack that a stream has owed since then; void if it has spoken after.
type awaitedAck struct {
	stream *stream
	since  int64
}

type tableClass struct{ table, class int }

// stream is what the core knows of one proxy: its table and what it has been told by this stream.
type stream struct {
	id             StreamID
	opened         control.StreamOpened
	zone           string          // as it was told
	blank          bool            // holds no assigned table, so it ejects nobody that toldEjected does not name
	table          int             // below 0: what it brought with it
	needsFull      bool            // a whole table is due
	partial        map[uint32]bool // the replicas of its table that it has been given; nil: all of them
	partOrder      []uint32        // the part as the module gave it; the first restoredCount of them are told not to be ejected
	restoredCount  int
	restDue        bool // the rest of the table is due
	needsResync    bool // as messages were lost
	toldEjected    map[uint32]bool
	toldAdmissions map[int]Admission
	lifted         []Admission     // of traffic classes that are gone, to be told once more
	unacked        []sentMessage   // sent, not answered
	unboundSince   int64           // when it was last bound to nothing
	caughtUp       bool            // since then it was told of all that is ejected
	pending        *pendingChanges // what did not fit into the channel yet; nil: nothing
	silentSince    int64           // since when it has been silent though it owes an answer; 0: it does not
	absent         bool            // told to the module as having left, as it is silent
}

// sentMessage is a message with a nonce, and its number in the channel's account; own: the nonce is the core's own, or that of a
// module which has failed.
type sentMessage struct {
	nonce, number uint64
	own           bool
}

// pendingChanges are changes that concern a stream and that it was not told of, as the channel or the proxy's message cap had
// no room.
type pendingChanges struct {
	endpoints, ejections map[uint32]bool
	urgent               bool
	wantsAck             bool
	nonce                uint64
}

// New makes a core whose modules are started by start.
func New(start func() Module, census Topology) *Core {
	c := &Core{newModule: start, Topology: census, account: sendbudget.New(census.bounds), replicas: newReplicaSet(),
		proxies: map[int]*stream{}, streams: map[StreamID]*stream{}, bound: map[int]map[int]*stream{}, due: map[int]*stream{}, snapshotInterval: defaultSnapshotInterval, halfLife: defaultHalfLife}
	c.restartModule()
	return c
}

// restartModule starts a fresh module, which is told of the list and the proxies with the next turn. What a turn that
// failed has said to whom is not known.
func (c *Core) restartModule() {
	c.module, c.fresh = c.newModule(), true
	c.tables, c.ejected = map[int]map[uint32]float64{}, map[uint32]bool{}
	c.admissions, c.timers = map[tableClass]control.SetAdmission{}, map[uint64]int64{}
	for _, s := range c.proxies {
		c.attach(s, -1)
		s.needsFull = false
		c.forgetTold(s)
		for k := range s.unacked { // a fresh module counts anew: an answer to these is none to its own
			s.unacked[k].own = true
		}
		if s.pending != nil {
			s.pending.wantsAck = false
		}
	}
}

// attach binds a stream to a table.
func (c *Core) attach(s *stream, table int) {
	c.detach(s)
	s.partial, s.restDue = nil, false
	if s.pending != nil { // a table's changes are not for another table
		s.pending.endpoints = map[uint32]bool{}
	}
	if s.table = table; c.bound[table] == nil {
		c.bound[table] = map[int]*stream{}
	}
	c.bound[table][s.opened.Proxy] = s
	c.due[s.opened.Proxy] = s
}

// detach unbinds a stream from its table.
func (c *Core) detach(s *stream) {
	if at := c.bound[s.table]; at[s.opened.Proxy] == s {
		delete(at, s.opened.Proxy)
	}
	if c.due[s.opened.Proxy] == s {
		delete(c.due, s.opened.Proxy)
	}
}

// catchUpUnbound tells who has been bound to nothing for half a drain's grace of all that is ejected: what it brought may name
// replicas that were ejected before it came, and where hundreds come at once, or nobody is left to fill its table,
// its own table may come too late to say so.
func (c *Core) catchUpUnbound(now int64) {
	if c.drainGrace <= 0 || len(c.ejected) == 0 || now-c.lastCatchUp < c.drainGrace/8 {
		return
	}
	c.lastCatchUp = now
	all := &turnChanges{ejections: c.ejected}
	for _, proxy := range slices.Sorted(maps.Keys(c.bound[-1])) {
		if s := c.bound[-1][proxy]; !s.caughtUp && now-s.unboundSince > c.drainGrace/2 {
			s.caughtUp = true
			c.enqueue(s, all)
		}
	}
}

// forgetTold forgets what the stream has been told.
func (c *Core) forgetTold(s *stream) {
	s.caughtUp, s.blank, s.toldEjected, s.toldAdmissions = false, false, map[uint32]bool{}, map[int]Admission{}
	c.due[s.opened.Proxy] = s
}

// Turn takes in what came together and says what goes out. After a panic a fresh module takes over at once.
func (c *Core) Turn(now int64, inputs []any) TurnResult {
	var o TurnResult
	c.Counters.Turns++
	if failed := c.runTurn(now, inputs, &o); failed != "" {
		c.recoverTurn(now, failed, &o)
	}
	o.Configured = c.configured
	c.configured = nil
	c.previous = nil
	o.NextTurn = c.nextTurn(now)
	c.Counters.KnownReplicas = int64(len(c.replicas.known))
	c.Counters.ConnectedProxies = int64(len(c.proxies))
	c.Counters.ChannelCost = int64(c.account.Queued())
	c.Counters.PendingStreams = int64(len(c.urgentQueue) + len(c.normalQueue))
	return o
}

// recoverTurn has a fresh module take over after a panic. One that panics too is tried again without what it may fail by: first
// the settings of this turn, then what was learned. After that it is paused.
func (c *Core) recoverTurn(now int64, failed string, o *TurnResult) {
	c.restartModule()
	c.Counters.ModuleRestarts++
	if c.retryTurn(now, failed, o) {
		return
	}
	if c.previous != nil {
		c.withdrawConfiguration(failed)
		c.restartModule()
		if c.retryTurn(now, failed, o) {
			return
		}
	}
	if c.lastLearned() != nil {
		c.lastSnapshot = nil
		c.restored = nil
		c.restartModule()
		c.Counters.RestartsWithoutState++
		if c.retryTurn(now, failed, o) {
			return
		}
	}
	c.restartModule()
	*o = TurnResult{Panic: failed, CloseStreams: o.CloseStreams}
	c.pausedUntil = now + restartDelay
}

// retryTurn runs the turn of a fresh module, which is told everything anew, and returns whether it went well.
func (c *Core) retryTurn(now int64, failed string, o *TurnResult) bool {
	*o = TurnResult{Panic: failed, CloseStreams: o.CloseStreams}
	return c.runTurn(now, nil, o) == ""
}

// nextTurn is when the next turn is due at the latest; 0 if no timer is set.
func (c *Core) nextTurn(now int64) int64 {
	var next int64
	if c.pausedUntil > now {
		next = c.pausedUntil
	}
	for _, at := range c.timers {
		if next == 0 || at < next {
			next = at
		}
	}
	return next
}

// runTurn runs one turn of the module, and returns what a panic of it said.
func (c *Core) runTurn(now int64, inputs []any, o *TurnResult) (failed string) {
	defer func() {
		if p := recover(); p != nil {
			failed = fmt.Sprintf("%v at %s", p, debug.Stack())
		}
	}()
	events := c.collectEvents(now, inputs, o)
	if now < c.pausedUntil {
		return ""
	}
	if c.fresh {
		events = c.initialEvents(now)
	}
	if c.snapshotDue(now) {
		events = append(events, control.SnapshotRequested{})
	}
	commands := c.module.Turn(now, events)
	c.fresh = false
	c.sendUpdates(c.applyCommands(commands, now, o), now, o)
	if now-c.lastSweep > sweepInterval {
		c.sweep(now)
		c.lastSweep = now
	}
	return ""
}

// collectEvents returns the events of a turn: what its inputs mean, whose stream is silent and which timers are due.
func (c *Core) collectEvents(now int64, inputs []any, o *TurnResult) []control.Event {
	var events []control.Event
	for _, input := range inputs {
		events = append(events, c.eventsFor(input, now, o)...)
	}
	events = append(events, c.expireSilent(now)...)
	for _, timer := range slices.Sorted(maps.Keys(c.timers)) {
		if c.timers[timer] <= now {
			delete(c.timers, timer)
			events = append(events, control.TimerFired{Timer: timer})
		}
	}
	return events
}

// snapshotDue says whether the module is to be asked for a snapshot with this turn.
func (c *Core) snapshotDue(now int64) bool {
	if c.snapshotRequestedAt == 0 {
		c.snapshotRequestedAt = now
		if c.restored != nil {
			c.snapshotRequestedAt = now + max(0, settleTime-c.snapshotInterval)
			c.settledAt = now + settleTime
		}
	}
	if now-c.snapshotRequestedAt < c.snapshotInterval {
		return false
	}
	c.snapshotRequestedAt = now
	return true
}

// initialEvents tells a fresh module of the last list, of who is joined, and of what was learned before it.
func (c *Core) initialEvents(now int64) []control.Event {
	list := c.currentList()
	events := append(append(c.restoredFleet(c.lastLearned(), now), list), c.restoredReplicas(c.lastLearned(), list.Entries, now)...)
	for _, proxy := range slices.Sorted(maps.Keys(c.proxies)) {
		if s := c.proxies[proxy]; !s.absent {
			events = append(events, s.opened)
		}
	}
	return events
}

// expireSilent returns the end of the stream for each proxy that has owed an answer for too long.
func (c *Core) expireSilent(now int64) (left []control.Event) {
	var gone []int
	for ; len(c.awaited) > 0 && now-c.awaited[0].since > c.silenceTimeout; c.awaited = c.awaited[1:] {
		if d := c.awaited[0]; d.stream.silentSince == d.since && !d.stream.absent && c.proxies[d.stream.opened.Proxy] == d.stream {
			d.stream.absent = true
			c.Counters.ProxiesSilent++
			gone = append(gone, d.stream.opened.Proxy)
		}
	}
	slices.Sort(gone)
	for _, proxy := range gone {
		left = append(left, control.StreamClosed{Proxy: proxy})
	}
	return left
}
