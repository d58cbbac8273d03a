package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lilacbend/control"
)

// Reason is why a flow was given up or refused, as clients and counters read it.
type Reason string

// Reasons. The first group is refused before any try, the second after one or more.
const (
	None        Reason = ""
	LevelClosed Reason = "level"      // the governor lets in less than comes
	TooMany     Reason = "too-many"   // flows at once
	Waiting     Reason = "waiting"    // waited too long for a place, or too many wait
	NoReplica   Reason = "no-replica" // no line that may be tried
	Full        Reason = "full"       // all that may be tried have as many flows as they may
	Draining    Reason = "draining"   // the sidecar ends

	Expired    Reason = "expired"     // its time was over
	Failed     Reason = "failed"      // the tries that its effect, manner and budget allow have failed
	TooLate    Reason = "too-late"    // a further try could not end in time, or would leave the window
	RepeatsOut Reason = "repeats-out" // the budget of repeats is spent
	Unclear    Reason = "unclear"     // it may have run, and must not run twice
	Gone       Reason = "client-gone" // nobody waits for it
)

// Group is a traffic group with what the governor's provision says of it.
type Group struct {
	Name string
	control.TrafficClass
}

// Plan is what a sidecar is told before its first flow.
type Plan struct {
	Seed      uint64
	Groups    []Group
	Pick      control.PickPolicy
	Admission control.AdmissionMode
	TryFactor float64             // latency budgets that a try waits where a further one may follow
	Usual     control.RetryPolicy // the manner while no level was pushed

	Strikes int   // failures in a row after which a replica is shunned; 0: never
	Shun    int64 // for so long

	RepeatShare float64 // of the flows may be repeats
	RepeatBurst float64 // saved up at the most

	Flows        int // at once
	ReplicaFlows int // at once to one replica; 0: no limit
	WaitMost     int // flows that wait for a place
	WaitSpan     int64
}

// Listed is what discovery says of a replica.
type Listed struct {
	Zone, Cell, Address string
	State               control.State
}

// row is a row of chances.
type row struct{ seed, draws uint64 }

type replica struct {
	flows   int
	failed  int   // in a row
	shunned int64 // until then
	relapse int   // shunned so often, with no good answer between
	quiet   int64 // since when it has had flows and answered none of them
}

// avoided says whether others are to be picked first: it is shunned; or its shunning is over, and one flow is finding
// out whether it is well; or it has as many flows as would have it shunned, and has answered none for as long
// as answers are worth something. The last is a guess, ahead of the failures that would tell.
func (r *replica) avoided(now int64, strikes int, budget int64) bool {
	return r.shunned > now || strikes > 0 && (r.relapse > 0 && r.flows > 0 || r.flows >= strikes && now-r.quiet > budget)
}

const relapsesMost = 3 // a shunning is doubled so often

// Desk is the state of one sidecar.
type Desk struct {
	plan       Plan
	admits     row
	picks      row
	tables     []table
	shut       map[string]bool
	listed     map[string]Listed
	replicas   map[string]*replica
	repeats    bucket
	steered    bool
	draining   bool
	flows      int
	waiting    int
	candidates []open // reused
	sums       map[string]*Sum
	usage      []Usage
	Count      Count
}

// Count is what a desk has counted.
type Count struct {
	Flows, Delivered, Late, Tries, Repeats, Shunned int64
	Blocked, Dropped                                map[Reason]int64
}

// Clone is the count as of now.
func (c Count) Clone() Count {
	c.Blocked, c.Dropped = maps.Clone(c.Blocked), maps.Clone(c.Dropped)
	return c
}

// New makes a desk that has no tables yet.
func New(p Plan) (*Desk, error) {
	if len(p.Groups) == 0 || p.Flows < 1 {
		return nil, fmt.Errorf("a plan of %d traffic groups and %d flows at once serves nobody", len(p.Groups), p.Flows)
	}
	return &Desk{plan: p, tables: make([]table, len(p.Groups)), picks: row{seed: 0x9e3779b97f4a7c15}, usage: make([]Usage, len(p.Groups)), sums: map[string]*Sum{}, shut: map[string]bool{}, listed: map[string]Listed{},
		replicas: map[string]*replica{}, repeats: bucket{level: p.RepeatBurst},
		Count: Count{Blocked: map[Reason]int64{}, Dropped: map[Reason]int64{}}}, nil
}

// Group is the number of a traffic group, below 0 where there is none of the name.
func (d *Desk) Group(name string) int {
	return slices.IndexFunc(d.plan.Groups, func(g Group) bool { return g.Name == name })
}

// List takes over what discovery says, whole or as changes; who is gone is forgotten.
func (d *Desk) List(whole bool, members map[string]Listed) {
	if whole {
		clear(d.listed)
	}
	for id, m := range members {
		if d.listed[id] = m; m.State == control.Gone {
			delete(d.listed, id)
		}
	}
}

// Even gives each listed replica one line in every table, while no governor has pushed any. Levels stay: a governor may
// have told them ahead of its table.
func (d *Desk) Even(now int64) {
	if d.steered {
		return
	}
	for g := range d.tables {
		d.tables[g].lines = nil
		for _, id := range slices.Sorted(maps.Keys(d.listed)) {
			d.tables[g].put(id, 1)
		}
	}
	d.forgetUnnamed(now)
}

// Drain refuses all flows that come from now on.
func (d *Desk) Drain() { d.draining = true }

// InHand is how many flows have no final answer yet.
func (d *Desk) InHand() int { return d.flows + d.waiting }

// bucket fills up by what comes and is emptied by what goes.
type bucket struct {
	level float64
	at    int64
}

// flow says whether a rate a second leaves room for one more, with a second's worth saved up.
func (b *bucket) flow(now int64, rate float64) bool {
	if b.at != 0 {
		b.level += rate * float64(max(0, now-b.at)) / float64(time.Second)
	} else {
		b.level = rate
	}
	b.level, b.at = min(b.level, max(1, rate)), now
	if rate <= 0 || b.level < 1 {
		return false
	}
	b.level--
	return true
}
