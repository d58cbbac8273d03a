// Package control is the interface of the decision module: the events it is
// told, the orders it gives and what it reads at its start. It decides
// nothing. Times are whole nanoseconds; ids are kept as they came.
package control

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Milli is a millisecond: what comes and goes in milliseconds is kept in whole nanoseconds.
const Milli = 1e6

// Finite turns what is not a number into the absent value.
func Finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// Chance draws from above 0 to 1, the same for the same seed and count of draws.
func Chance(seed, draws uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], draws)
	crc := ^uint32(0) // as crc32.ChecksumIEEE, which would have b allocated for each draw
	for _, v := range b {
		crc = crc32.IEEETable[byte(crc)^v] ^ crc>>8
	}
	return (float64(^crc) + 1) / (1 << 32)
}

// Nanos reads milliseconds.
func Nanos(ms float64) int64 {
	return int64(math.Round(math.Max(-9e18, math.Min(9e18, Finite(ms)*Milli))))
}

// Effect says whether a flow may run more than once.
type Effect int

const (
	NonRetriable Effect = iota
	Deduped
	Retriable
)

// Scope names the replicas that drop a repeat of a deduped flow.
type Scope int

const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Admission says how proxies follow levels.
type Admission int

const (
	AdmitAll   Admission = iota // levels are not followed
	AdmitShare                  // a level is a share of what comes
	AdmitRate                   // a level is flows a second at each proxy
)

// Pick is how a proxy picks a line of its table.
type Pick int

const (
	PickChance Pick = iota // at random by weight
	PickRound              // evenly by weight
	PickIdler              // draws two by weight, takes the one with fewer of its own flows out
)

// TrafficGroup is one kind of flow.
type TrafficGroup struct {
	Utility       float64
	LatencyBudget int64
	Expiry        int64
	Effect        Effect
	Scope         Scope
	Window        int64 // how long a repeat of a deduped flow is dropped
}

// Provision is what a governor is told before its first turn.
type Provision struct {
	Seed      uint64
	Governors int
	Zones     int
	Kinds     int
	Proxies   int // over all governors
	Groups    []TrafficGroup

	ChannelRate  float64 // lines a second when all is well
	ChannelLimit int     // lines that may wait
	MessageHead  int     // lines each message costs beside its own
	WorstTransit int64
	MessagesMost int // messages to one proxy within MessagesSpan; 0 is no limit
	MessagesSpan int64
	// HostHolds: what the channel or a proxy's cap has no room for is held outside by the host, for that proxy alone, and
	// withdrawals go first. Else each order goes out as it is given.
	HostHolds   bool
	ReportEvery int64

	DrainGrace   int64   // after the news of its end nobody may send to a replica any more; 0: not known
	ColdShare    float64 // least part of its capacity a replica starts with
	WarmAfter    int64
	FallMultiple float64

	Pick       Pick
	Admission  Admission
	TryFactor  float64 // latency budgets a try waits where a further one may follow
	UsualTries Tries
}

// Tries says when a proxy tries another replica.
type Tries int

const (
	TryOnce       Tries = iota
	TryIfNeverRan       // one more after proof that the first never ran
	TryAgain            // one more after any failure
	TryTwiceMore
)

// AllTables as the table of a Level reaches every joined proxy.
const AllTables = 65535

// State of a replica in the list.
type State int

const (
	Ready State = iota
	Draining
	Gone
)

// Event is anything a governor is told.
type Event interface{}

type (
	// Entry is one replica of the list.
	Entry struct {
		Replica uint32
		Zone    int
		Kind    int
		State   State
		Weight  float64
		Start   int64 // 0: long ago
	}
	// Listed brings the list, whole or as changes. Failed brings nothing.
	Listed struct {
		Full    bool
		Failed  bool
		Entries []Entry
	}
	// Joined: a proxy has a stream to this governor now, bound to nothing.
	Joined struct {
		Proxy int
		Zone  int
		Rate  float64
	}
	// Left: the stream of a proxy broke.
	Left struct{ Proxy int }
	// Met sums what the proxies of a zone met at a replica.
	Met struct {
		Replica uint32
		Zone    int
		Tries   int
		Missed  int // tries with no good answer
		Answer  int64
		Span    int64
		Held    float64 // flows the replica held, below 0 when not told
	}
	// Demand sums the flows of a traffic group that came to a proxy.
	Demand struct {
		Proxy  int
		Group  int
		Flows  int
		Missed int
		Span   int64
	}
	// Answered: the proxy applied all up to the mark.
	Answered struct {
		Proxy int
		Mark  uint64
		Took  int64
	}
	// Probed ends a probe.
	Probed struct {
		Replica uint32
		Good    bool
		Took    int64
	}
	// Woken ends a Wake.
	Woken struct{ Label uint64 }
	// Reconfigured: the settings have changed, and with them the numbers of traffic groups, kinds and zones. All that
	// was learned, laid out and bound stays. Events after this one use the new numbers.
	Reconfigured struct {
		Provision
		NewGroups []int    // the new number of each traffic group, below 0: there is none any more
		NewKinds  []int    // likewise of each kind
		Replicas  []Entry  // all that are listed, by the new numbers
		Proxies   []Joined // all that are joined, by the new numbers
	}
	// Keep asks for Learned with this turn's orders.
	Keep struct{}
	// Recalled tells what an earlier governor knew of a replica that was listed just now, and that has not
	// started since. Weight is what is left of it by its age, above 0 to 1; Age is that of its last evidence.
	Recalled struct {
		Known
		Weight float64
		Age    int64
	}
	// RecalledFleet tells what an earlier governor knew of the fleet as a whole; Weight as for Recalled. It comes
	// before the first list.
	RecalledFleet struct {
		Fleet
		Weight float64
	}
)

// Known is what a governor has learned of one replica.
type Known struct {
	Replica  uint32
	Table    int     // it is dealt to
	Ticket   float64 // in the draw of tables
	Speed    float64 // its worth against the fleet's mean, above 0
	Evidence float64 // tries behind it
	Rest     int64   // out for so much longer, as sick; 0: it is not
	Trial    bool    // was sick; let in again, or about to be, and not judged yet
	Relapses int
	Idle     int64 // since the last evidence
}

// Fleet is what a governor has learned of all together.
type Fleet struct {
	Tables int         // how many there are; 0: none yet
	Calm   [][]float64 // the last answer times of each kind, in seconds; the last kind stands for all
	Usage  []Usage
	Seats  []Seat
	Line   float64 // part of the traffic groups that is let in, by utility: 0 to 1
	Served float64 // most good answers a second of a replica, lately
	Once   bool    // further tries are stopped
}

// Usage is how many flows of a traffic group came to a proxy lately.
type Usage struct {
	Proxy, Group int
	Rate         float64 // a second
}

// Seat is the table that a proxy is bound to.
type Seat struct{ Proxy, Table int }

// Order is anything a governor asks for.
type Order interface{}

type (
	// SetLine sets one line of a table; weight 0 removes it.
	SetLine struct {
		Table   int
		Replica uint32
		Weight  float64
	}
	// Bind puts a proxy on a table for all traffic groups.
	Bind struct {
		Proxy int
		Table int
	}
	// BindPart puts a proxy on a table, of which it gets only some replicas for now. The first Restored of them are told
	// not to be ejected, if the proxy may hold that they are. A Bind to the same table adds the rest. It is for hosts that
	// hold messages (Provision.HostHolds).
	BindPart struct {
		Proxy    int
		Table    int
		Replicas []uint32
		Restored int
	}
	// Withdraw shuts a replica out of all tables, or lets it in again.
	Withdraw struct {
		Replica uint32
		Out     bool
	}
	// Level sets what is let in and when further tries are made.
	Level struct {
		Table int
		Group int
		Share float64
		Tries Tries
	}
	// Mark asks the proxies that this turn reaches for an answer.
	Mark struct{ Number uint64 }
	// Probe asks one replica how it is.
	Probe struct{ Replica uint32 }
	// Wake asks for a Woken after a time.
	Wake struct {
		Label uint64
		After int64
	}
	// Log writes one line for those on call.
	Log struct{ Text string }
	// Learned answers Keep: all that is worth having after a restart.
	Learned struct {
		Replicas []Known
		Fleet
	}
)
