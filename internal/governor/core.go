// Package governor is the core of the program: at a time, with what came in, it says what goes out. It turns
// names into numbers and back, messages into the module's events, and the module's orders into one message
// for each proxy that they concern. It has no I/O, no clock and no goroutine, and it decides nothing.
package governor

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/channel"
	"lilacbend/internal/memory"
	"lilacbend/internal/revision"
)

const (
	// A module that panics at its start as well is tried again after this: not at once, as it would
	// take the whole core, and soon, as the proxies have nobody else.
	renewPause = int64(1e9)
	sweepPause = int64(5 * 1e9) // names are kept for some times as long
	// A machine that vanishes says nothing, and its stream stays open. A proxy that has been silent for so
	// long though it owes an answer is told to the module as having left, until it speaks again: no sooner than
	// a full channel at a fifth of its pace and a stall take together, see Census. Its stream is neither ended nor left
	// out of what goes to it, so one that was only slow has missed nothing.
	silenceLeast = int64(10 * 1e9)
)

// Module decides. It is brain.Governor.
type Module interface {
	Turn(now int64, events []control.Event) []control.Command
}

// Core is driven by one goroutine.
type Core struct {
	Count Count
	start func() Module
	Census
	module  Module
	account *channel.Account // outlives modules and streams
	roster  roster
	seats   map[int]*stream // by proxy
	streams map[Stream]*stream
	seated  map[int]map[int]*stream // by table, below 0 those bound to nothing, and by proxy
	due     map[int]*stream         // to be looked at with the next messages, whatever is new
	owing   []debt                  // the longest first
	urgents []*stream               // held, the longest first; what keeps proxies away from replicas
	others  []*stream
	asks    uint64 // marks of the core's own
	briefed int64  // when those who are bound to nothing were last looked at
	tables  map[int]map[uint32]float64
	out     map[uint32]bool // withdrawn
	levels  map[tableGroup]control.SetAdmission
	wakes   map[uint64]int64
	fresh   bool  // the module has had no turn yet
	rest    int64 // no turns until then
	swept   int64

	revision int64        // of the list
	brought  *memory.Past // by an earlier governor
	last     *memory.Past // what the module here had learned when it was last asked
	every    int64        // that it is asked, with a half-life for what it says
	halfLife int64
	asked    int64
	settled  int64 // before that it knows less than what was brought

	version    revision.Version // of the settings in force
	previous   *configuration   // before this turn, if it changed them
	configured []Configured     // in this turn
}

// debt is an answer that a stream owes since then; void if it has spoken after.
type debt struct {
	stream *stream
	since  int64
}

type tableGroup struct{ table, group int }

// stream is what the core knows of one proxy: its table and what it has been told by this stream.
type stream struct {
	id      Stream
	joined  control.StreamOpened
	zone    string          // as it was told
	blank   bool            // holds no ordered table, so it shuts nobody out that told does not name
	table   int             // below 0: what it brought with it
	whole   bool            // a whole table is due
	part    map[uint32]bool // the replicas of its table that it has been given; nil: all of them
	first   []uint32        // the part as it was ordered, the first sure of which are told not to be ejected
	sure    int
	rest    bool // the rest of the table is due
	anew    bool // as messages were lost
	told    map[uint32]bool
	level   map[int]Level
	lifted  []Level // of traffic groups that are gone, to be told once more
	marks   []sent  // sent, not answered
	since   int64   // when it was last bound to nothing
	briefed bool    // since then it was told of all that is withdrawn
	held    *held   // what did not fit into the channel yet; nil: nothing
	owes    int64   // since when it has been silent though it owes an answer; 0: it does not
	away    bool    // told to the module as having left, as it is silent
}

// sent is a message with a mark, and its number in the channel's account; asked: the mark is the core's own, or that of a
// module which has failed.
type sent struct {
	mark, number uint64
	asked        bool
}

// held is what news meant to a stream that was not told of them, as the channel or the proxy's message cap had no room.
type held struct {
	lines, turned map[uint32]bool
	urgent        bool
	marked        bool
	mark          uint64
}

// New makes a core whose modules are started by start.
func New(start func() Module, census Census) *Core {
	c := &Core{start: start, Census: census, account: channel.New(census.bounds), roster: newRoster(),
		seats: map[int]*stream{}, streams: map[Stream]*stream{}, seated: map[int]map[int]*stream{}, due: map[int]*stream{}, every: keepEvery, halfLife: halfLifeUsual}
	c.renew()
	return c
}

// renew starts a fresh module, which is told of the list and the proxies with the next turn. What a turn that
// failed has said to whom is not known.
func (c *Core) renew() {
	c.module, c.fresh = c.start(), true
	c.tables, c.out = map[int]map[uint32]float64{}, map[uint32]bool{}
	c.levels, c.wakes = map[tableGroup]control.SetAdmission{}, map[uint64]int64{}
	for _, s := range c.seats {
		c.sit(s, -1)
		s.whole = false
		c.unsure(s)
		for k := range s.marks { // a fresh module counts anew: an answer to these is none to its own
			s.marks[k].asked = true
		}
		if s.held != nil {
			s.held.marked = false
		}
	}
}

// sit puts a stream on a table.
func (c *Core) sit(s *stream, table int) {
	c.rise(s)
	s.part, s.rest = nil, false
	if s.held != nil { // a table's changes are not for another table
		s.held.lines = map[uint32]bool{}
	}
	if s.table = table; c.seated[table] == nil {
		c.seated[table] = map[int]*stream{}
	}
	c.seated[table][s.joined.Proxy] = s
	c.due[s.joined.Proxy] = s
}

// rise takes a stream off its table.
func (c *Core) rise(s *stream) {
	if at := c.seated[s.table]; at[s.joined.Proxy] == s {
		delete(at, s.joined.Proxy)
	}
	if c.due[s.joined.Proxy] == s {
		delete(c.due, s.joined.Proxy)
	}
}

// brief tells who has been bound to nothing for half a drain's grace of all that is withdrawn: what it brought may name
// replicas that were withdrawn before it came, and where hundreds come at once, or nobody is left to fill its table,
// its own table may come too late to say so.
func (c *Core) brief(now int64) {
	if c.grace <= 0 || len(c.out) == 0 || now-c.briefed < c.grace/8 {
		return
	}
	c.briefed = now
	all := &news{turned: c.out}
	for _, proxy := range slices.Sorted(maps.Keys(c.seated[-1])) {
		if s := c.seated[-1][proxy]; !s.briefed && now-s.since > c.grace/2 {
			s.briefed = true
			c.hold(s, all)
		}
	}
}

// unsure forgets what the stream has been told.
func (c *Core) unsure(s *stream) {
	s.briefed, s.blank, s.told, s.level = false, false, map[uint32]bool{}, map[int]Level{}
	c.due[s.joined.Proxy] = s
}

// Turn takes in what came together and says what goes out. After a panic a fresh module takes over at once.
func (c *Core) Turn(now int64, notes []any) Outcome {
	var o Outcome
	c.Count.Turns++
	if failed := c.turn(now, notes, &o); failed != "" {
		c.renew()
		c.Count.Renewed++
		o = Outcome{Failed: failed, End: o.End}
		again := c.turn(now, nil, &o) != ""
		if again && c.previous != nil {
			c.withdrawConfiguration(failed)
			c.renew()
			o = Outcome{Failed: failed, End: o.End}
			again = c.turn(now, nil, &o) != ""
		}
		if again && c.past() != nil { // what was learned may be what it fails by
			c.last, c.brought = nil, nil
			c.renew()
			c.Count.Bare++
			o = Outcome{Failed: failed, End: o.End}
			again = c.turn(now, nil, &o) != ""
		}
		if again {
			c.renew()
			o, c.rest = Outcome{Failed: failed, End: o.End}, now+renewPause
		}
	}
	o.Configured, c.configured, c.previous = c.configured, nil, nil
	if c.rest > now {
		o.Wake = c.rest
	}
	for _, at := range c.wakes {
		if o.Wake == 0 || at < o.Wake {
			o.Wake = at
		}
	}
	c.Count.Names, c.Count.Seats = int64(len(c.roster.known)), int64(len(c.seats))
	c.Count.Channel, c.Count.Waiting = int64(c.account.Waits()), int64(len(c.urgents)+len(c.others))
	return o
}

func (c *Core) turn(now int64, notes []any, o *Outcome) (failed string) {
	defer func() {
		if p := recover(); p != nil {
			failed = fmt.Sprintf("%v at %s", p, debug.Stack())
		}
	}()
	var events []control.Event
	for _, n := range notes {
		events = append(events, c.events(n, now, o)...)
	}
	events = append(events, c.silent(now)...)
	for _, label := range slices.Sorted(maps.Keys(c.wakes)) {
		if c.wakes[label] <= now {
			delete(c.wakes, label)
			events = append(events, control.TimerFired{Timer: label})
		}
	}
	if now < c.rest {
		return ""
	}
	if c.fresh {
		events = c.present(now)
	}
	if c.asked == 0 {
		if c.asked = now; c.brought != nil {
			c.asked, c.settled = now+max(0, settleSpan-c.every), now+settleSpan
		}
	}
	if now-c.asked >= c.every {
		c.asked, events = now, append(events, control.SnapshotRequested{})
	}
	orders := c.module.Turn(now, events)
	c.fresh = false
	c.send(c.carry(orders, now, o), now, o)
	if now-c.swept > sweepPause {
		c.sweep(now)
		c.swept = now
	}
	return ""
}

// present tells a fresh module of the last list, of who is joined, and of what was learned before it.
func (c *Core) present(now int64) []control.Event {
	list := c.standing()
	events := append(append(c.fleet(c.past(), now), list), c.recalled(c.past(), list.Entries, now)...)
	for _, proxy := range slices.Sorted(maps.Keys(c.seats)) {
		if s := c.seats[proxy]; !s.away {
			events = append(events, s.joined)
		}
	}
	return events
}

// silent says who owes an answer for too long.
func (c *Core) silent(now int64) (left []control.Event) {
	var gone []int
	for ; len(c.owing) > 0 && now-c.owing[0].since > c.silence; c.owing = c.owing[1:] {
		if d := c.owing[0]; d.stream.owes == d.since && !d.stream.away && c.seats[d.stream.joined.Proxy] == d.stream {
			d.stream.away = true
			c.Count.Silent++
			gone = append(gone, d.stream.joined.Proxy)
		}
	}
	slices.Sort(gone)
	for _, proxy := range gone {
		left = append(left, control.StreamClosed{Proxy: proxy})
	}
	return left
}

// heard says that a stream spoke; one that was silent joins anew.
func (c *Core) heard(s *stream, now int64) (back []control.Event) {
	if s.owes = 0; s.away {
		s.away, s.since, s.briefed = false, now, false
		c.sit(s, -1)
		back = []control.Event{s.joined}
	}
	return back
}

// events are what a note means to the module.
func (c *Core) events(note any, now int64, o *Outcome) []control.Event {
	switch n := note.(type) {
	case Joined:
		c.Count.Joins++
		return c.seat(n, now, o)
	case Left:
		c.Count.Leaves++
		if s := c.streams[n.Stream]; s != nil {
			delete(c.streams, n.Stream)
			delete(c.seats, s.joined.Proxy)
			c.rise(s)
			c.account.Left(s.joined.Proxy, now)
			if !s.away {
				return []control.Event{control.StreamClosed{Proxy: s.joined.Proxy}}
			}
		}
	case Answered:
		c.Count.Answers++
		s := c.streams[n.Stream]
		if s == nil {
			c.Count.Stale++
			return nil
		}
		back := c.heard(s, now)
		k := slices.IndexFunc(s.marks, func(m sent) bool { return m.mark == n.Mark })
		if k >= 0 {
			c.account.Answered(s.joined.Proxy, s.marks[k].number, now)
		}
		if k < 0 || back != nil || n.Took > spanMost { // what was waited for before it left is waited for no more
			c.Count.Stale++
			return back
		}
		last := k
		for last >= 0 && s.marks[last].asked { // an answer speaks for the marks before it
			last--
		}
		mark := s.marks[max(0, last)].mark
		if s.marks = s.marks[k+1:]; last < 0 {
			return back
		}
		return []control.Event{control.Ack{Proxy: s.joined.Proxy, Nonce: mark, Delay: n.Took}}
	case Met:
		c.Count.Met++
		id, ok := c.roster.numbers[n.Replica]
		if !ok || !c.met(n) {
			c.Count.Strange++
			return nil
		}
		n.Outcomes.Replica, n.Outcomes.Zone = id, index(c.names.Zones, n.Zone)
		return []control.Event{n.Outcomes}
	case Demand:
		c.Count.Demands++
		s := c.seats[n.Proxy]
		if s == nil || n.Stream != 0 && s.id != n.Stream {
			c.Count.Stale++
			return nil
		}
		var back []control.Event
		if n.Stream != 0 {
			back = c.heard(s, now)
		}
		if n.Demand.Class = slices.Index(c.names.Classes, n.Group); n.Demand.Class < 0 || !c.usage(n) {
			c.Count.Strange++
			return back
		}
		return append(back, n.Demand)
	case Listing:
		c.Count.Listings++
		ev, fresh, odd := c.listed(n, now)
		c.Count.Strange += int64(odd)
		return append([]control.Event{ev}, c.recalled(c.brought, fresh, now)...)
	case Recall:
		c.brought = n.Past
	case Configure:
		return c.configure(n)
	case Spoke:
		if s := c.streams[n.Stream]; s != nil {
			return c.heard(s, now)
		}
	case Written:
		c.account.Written(n.Number, now)
	case Room:
		if s := c.streams[n.Stream]; s != nil {
			s.whole, s.anew = true, true
			c.unsure(s)
		}
	default:
		c.Count.Strange++
	}
	return nil
}

// seat takes a proxy in. A stream that was taken in later replaces an earlier one, whichever spoke first.
func (c *Core) seat(h Joined, now int64, o *Outcome) []control.Event {
	old := c.seats[h.Proxy]
	switch {
	case c.Proxy(h) != nil:
		c.Count.Strange++
		o.End = append(o.End, h.Stream)
		return nil
	case old != nil && old.id == h.Stream:
		c.Count.Strange++
		return nil
	case old != nil && old.id > h.Stream:
		c.Count.Replaced++
		o.End = append(o.End, h.Stream)
		return nil
	case old != nil:
		c.Count.Replaced++
		o.End = append(o.End, old.id)
		delete(c.streams, old.id)
		c.rise(old)
		c.account.Left(h.Proxy, now)
	}
	s := &stream{id: h.Stream, blank: h.Blank, table: -1, zone: h.Zone, told: map[uint32]bool{}, level: map[int]Level{},
		joined: control.StreamOpened{Proxy: h.Proxy, Zone: index(c.names.Zones, h.Zone), Rate: h.Rate}}
	c.seats[h.Proxy], c.streams[h.Stream], s.since = s, s, now
	c.sit(s, -1)
	return []control.Event{s.joined}
}
