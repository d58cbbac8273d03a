package policy

import "lilacbend/control"

// This file holds the notes that the parts of brain.go send each other, and what each part remembers.

// Notes between the parts; events and orders go from part to part as they are.
type (
	tick    struct{}
	forget  struct{ id uint32 } // a replica is long gone
	redraw  struct{}            // the planner has heard from all replicas
	closing struct{}            // the turn ends: the pacer sends
	norm    struct {            // planner to replica: of its kind, its own goal, of all: missed, lost
		late, good, goal, bad, lost float64
	}
	offer struct { // replica to planner: what it can bear and what it was met with lately
		control.ListedReplica
		box                                      int
		weight, size, ticket, tries, bad, answer float64
		prior, confidence                        float64 // remembered speed, and how many tries it counts for
		penalty                                  float64 // part of its weight that it lacks as it was sick by memory alone
		able                                     float64 // part of its usual work that it can do, if it is cold
		cold, sick, trial                        bool
	}
	fleet struct { // planner to levels: tries a second, parts missed, of all and of most, answer times
		tries, bad, most, answer, serves, calm float64
	}
	target struct { // planner to sequence: weights, below 0: stays as it is
		lines map[line]float64
		out   map[uint32]bool
	}
	demand struct { // levels to planner: part of the flows that got no answer; flows that came, by proxy
		lost         float64
		flows, fresh map[int]float64 // in the last few seconds; the newest, as of so long
	}
	coldSet struct { // planner to pacer: the replicas that are cold, and whether they must be let in together
		replicas map[uint32]bool
		together bool
	}
	step struct { // sequence to pacer: what the open step still has to send
		adds   int // the first so many are additions
		orders []control.Command
	}
	marked struct { // pacer to registry and sequence: what went out, to whom, under which mark
		mark    uint64
		proxies []int
		orders  []control.Command
	}
	acked struct { // registry to pacer and sequence: somebody applied all up to the mark, or all have, or have left
		mark      uint64
		all, gone bool
	}
	line struct {
		table int
		id    uint32
	}
)

type sample struct {
	at                 int64
	tries, bad, answer float64
}

type replica struct {
	*sharedState
	box          int
	entry        control.ListedReplica
	heard        int64 // when its start became known
	ticket       float64
	met          []sample
	speed        float64
	fleet        norm
	ejectedUntil int64 // out until then
	trial        int64 // on trial since
	ejections    int
	judged       int64
	changed      int64 // when it was last seen not to be gone

	prior, confidence float64 // as offer
	penalty           float64
	sampleCount       float64 // tries behind its speed
	lastSample        int64   // when the last of them was told
}

// binding is a proxy that is here, since when, and its table; below 0: none yet.
type binding struct {
	control.StreamOpened
	since int64
	table int
}

type planner struct {
	*sharedState
	offers map[uint32]offer
	crowd  []*binding        // by proxy
	calm   map[int][]float64 // the last answer times of each kind
	judged int64
	out    map[uint32]bool
	own    map[uint32]int // the table of each replica
	same   bool           // nothing has changed since the last draw
	tables int            // how many, once the first list has come
	demand demand         // of the last few seconds
	spared bool           // the cold stay in though much is lost, as all of them together can bear it
	laid   map[uint32]int // tables of an earlier governor, of so many
	before int
}

type registry struct {
	*sharedState
	here         map[int]*binding
	loose        int   // of them, without a table
	boundTo      []int // where each table's proxies are bound
	past         control.FleetRestored
	formerTables map[int]int     // tables of proxies at an earlier governor
	came         map[int]float64 // flows a second of each there
	wait         map[uint64]map[int]bool
	last         uint64
}

type sums struct {
	control.Demand
	at int64
}

type levels struct {
	*sharedState
	came         []sums    // the last demand
	served       []float64 // the last flows a second that the fleet gave good answers to
	groups       []int     // by utility, the cheaper first where it is equal
	line, press  float64   // how many of them are let in; how overloaded the fleet last was
	judged, fell int64
	eased, age   int64 // when it last was not overloaded; by how much sums tell of longer than they should
	set          map[int]control.SetAdmission
	strain, once bool
	turned       int64 // when further tries were last stopped or let on
	past         control.FleetRestored
	since        int64 // when it was told
}

type sequence struct {
	*sharedState
	want  target
	laid  map[line]float64
	out   map[uint32]bool // withdrawn, not lifted yet
	moves map[int]int     // proxies to rebind
	at    int
	sent  bool             // the open step has sent something
	open  map[uint64]int64 // marks of the open step and when they were set
}

type batch struct {
	mark  uint64
	lines float64
	at    int64
	due   int64 // answered by then if the channel keeps its pace

	orphan bool // nobody is left to answer
}

type pacer struct {
	*sharedState
	urgent    []control.Command // withdrawals, binds and levels wait here
	step      step
	bound     map[int]int                // joined proxies; -1 holds its standing table
	members   map[int][]int              // the same by table, in order
	laid      map[int]map[uint32]float64 // the weights of each table
	sendTimes map[int][]int64
	under     []batch // sent, and no answer tells that it has left the channel
	mark      uint64
	late      float64 // how many times its time the last one took

	partial map[int]*partial // proxies that hold a part of their table
	dealt   map[int]*dealing // the parts of each table, of this turn
	each    float64          // lines that a proxy may get first, in this turn
	rates   map[int]float64  // requests a second of each joined proxy
	ejected map[uint32]bool
	cold    coldSet
	leveled map[int]bool // traffic classes with a level

	waits   float64 // in the channel as this turn's messages are written
	cost    float64 // of this turn's messages
	reached map[int]bool
}

// Governor is one instance of the module.
type Governor struct {
	sharedState
	replicas map[uint32]*replica
	born     int64
	free     []int // queues of replicas that were forgotten
	started  bool
}
