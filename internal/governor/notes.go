package governor

import (
	"lilacbend/control"
	"lilacbend/internal/memory"
)

// This file holds what comes in and what goes out, with names as the peers write them.

// Stream is one connection of one proxy, numbered by whoever took it in.
type Stream uint64

// Notes: what came in.
type (
	// Joined: a proxy has joined by this stream; Blank: it holds no ordered table.
	Joined struct {
		Stream Stream
		Proxy  int
		Zone   string
		Rate   float64
		Blank  bool
	}
	// Left: the stream has ended.
	Left struct{ Stream Stream }
	// Answered: the proxy of the stream has applied all up to the mark.
	Answered struct {
		Stream Stream
		Mark   uint64
		Took   int64
	}
	// Met sums what the proxies of a zone met at a replica.
	Met struct {
		Zone, Replica string
		control.Outcomes
	}
	// Demand sums the flows that came to a proxy; Stream is 0 when a collector told it.
	Demand struct {
		Stream Stream
		Group  string
		control.Demand
	}
	// Listing is an answer of discovery, read at a time that both clocks showed as At and Wall.
	Listing struct {
		Revision int64
		Whole    bool
		Members  []Member
		At, Wall int64
	}
	// Member is one replica of a listing; Phase is the word that discovery used.
	Member struct {
		ID, Zone, Kind string
		Address, Cell  string // not for the core
		State          control.State
		Odd            bool // its state could not be read
		Weight         float64
		UpSince        int64 // by the wall clock; 0: long ago
	}
	// Spoke: something came on the stream that could not be used.
	Spoke struct{ Stream Stream }
	// Written: all of the message of so many has gone out on the stream.
	Written struct{ Number uint64 }
	// Room: a stream's outbox was full, and has been emptied.
	Room struct{ Stream Stream }
)

// Push is one message to one proxy. A full one replaces the table and all levels.
type Push struct {
	Full   bool
	Anew   bool   // the whole state, as earlier pushes were lost
	Lines  []Line // shared between pushes: not to be changed
	Shut   []string
	Let    []string
	Levels []Level
	Marked bool
	Mark   uint64
}

type Line struct {
	Replica string
	Weight  float64
}

type Level struct {
	Group string
	Share float64
	Tries control.RetryPolicy
}

// Sent is a push, the stream it is for, and its number in the channel's account.
type Sent struct {
	Stream Stream
	Push   Push
	Number uint64
}

// Outcome is what a turn asks for.
type Outcome struct {
	Pushes []Sent
	End    []Stream // replaced by newer streams of the same proxies
	Wake   int64    // when the next turn is due at the latest, if above 0
	Logs   []string
	Failed string // the module panicked: what it said
	// What the module has learned, now and then. Not to be changed; Governor and Taken are for the caller to fill.
	Learned *memory.Memory
	// What became of the settings that came with this turn.
	Configured []Configured
}

// Count is what the core has counted so far.
type Count struct {
	Turns, Joins, Leaves, Answers, Met, Demands, Listings   int64 // taken in
	Pushes, LinesOrdered, LinesSent, Marks, Whole           int64 // sent; Whole: full tables, as binds or once more
	Strange, Stale, Silent, Replaced, Renewed, Names, Seats int64
	Recalled                                                int64 // replicas of which something was remembered
	Asks                                                    int64 // marks of the core's own, as answers were missing
	Held                                                    int64 // messages that waited for room in the channel or under a proxy's cap
	Channel, Waiting                                        int64 // now: lines charged to the channel, streams with something held
	Configurations, ConfigurationsRefused                   int64 // put in force, not
	Bare                                                    int64 // modules renewed once more, without what was learned
}
