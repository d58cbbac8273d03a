package dispatch

import (
	"slices"

	"lilacbend/control"
)

// Outcome is how a try ended.
type Outcome int

const (
	Good     Outcome = iota // an answer came, whatever it says
	NeverRan                // there is proof that it did not run: no connection, or refused by word
	Broke                   // it may have run: no answer, or half of one
	Late                    // no answer in the time the try had
)

// Step is what is to be done next with a flow: exactly one of Try, Wait or Final.
type Step struct {
	Try     string // make a try at this replica
	Address string // where it listens, by the list that it was picked from: a later one may not name it any more
	Until   int64  // give the try up then; it may be cut shorter by the end of the flow alone

	Wait bool // for a place, until Until at the latest; then ask again

	Final  bool // the flow is over
	Reason Reason
	Good   bool // with the answer of the try that has just ended
}

// Flow is one request on its way. Its steps come one after the other.
type Flow struct {
	group   int
	came    int64
	waits   bool  // for a place
	since   int64 // when it began to
	in      bool  // counted among the flows at once
	tries   []try
	room    [2]try // of tries, mostly
	replay  bool   // its bytes can be sent once more
	spent   bool   // some of them are gone
	headed  int64
	over    bool
	current string
}

type try struct {
	replica string
	zone    string
	cell    string
	began   int64
}

func (f *Flow) tried(id string) bool {
	return slices.ContainsFunc(f.tries, func(t try) bool { return t.replica == id })
}

// Begin takes a flow in. Replay says whether its bytes can be sent once more: a body that is passed on as it comes
// cannot.
func (d *Desk) Begin(now int64, group int, replay bool) (*Flow, Step) {
	d.Count.Flows++
	d.usage[group].Flows++
	f := &Flow{group: group, came: now, replay: replay}
	f.tries = f.room[:0]
	switch {
	case d.draining:
		return f, d.block(f, Draining)
	case !d.admitted(now, group):
		return f, d.block(f, LevelClosed)
	}
	d.repeats.level = min(d.plan.RepeatBurst, d.repeats.level+d.plan.RepeatShare)
	return f, d.enter(now, f)
}

// admitted says whether a level lets one more flow in.
func (d *Desk) admitted(now int64, group int) bool {
	t := &d.tables[group]
	switch {
	case !t.set || d.plan.Admission == control.AdmitAll:
		return true
	case d.plan.Admission == control.AdmitRate:
		return t.bucket.flow(now, t.levels.Share)
	}
	return t.levels.Share >= 1 || t.levels.Share > 0 && d.chance(&d.admits) <= t.levels.Share
}

// enter makes the first try, if there is room among the flows at once, or waits for it.
func (d *Desk) enter(now int64, f *Flow) Step {
	expiry := f.came + d.plan.Groups[f.group].Timeout
	if now >= expiry {
		return d.block(f, Expired)
	}
	if !f.in && d.flows >= d.plan.Flows {
		return d.hold(now, f, TooMany, expiry)
	}
	id, why := d.choose(now, f, nil)
	switch {
	case why == Full:
		return d.hold(now, f, Full, expiry)
	case why != None:
		return d.block(f, why)
	}
	return d.start(now, f, id)
}

// hold lets a flow wait for a place, while few wait and it has time.
func (d *Desk) hold(now int64, f *Flow, why Reason, expiry int64) Step {
	if !f.waits {
		if d.waiting >= d.plan.WaitMost {
			return d.block(f, why)
		}
		d.waiting++
		f.waits, f.since = true, now
	}
	until := min(f.since+d.plan.WaitSpan, expiry)
	if now >= until {
		return d.block(f, Waiting)
	}
	return Step{Wait: true, Until: until}
}

// Again asks once more for a flow that waits: a place may be free, or its time is over.
func (d *Desk) Again(now int64, f *Flow) Step {
	if f.over {
		return Step{Final: true, Reason: Gone}
	}
	return d.enter(now, f)
}

func (d *Desk) start(now int64, f *Flow, id string) Step {
	if f.waits {
		d.waiting, f.waits = d.waiting-1, false
	}
	if !f.in {
		f.in, d.flows = true, d.flows+1
	}
	l, r := d.listed[id], d.place(id)
	if r.flows == 0 {
		r.quiet = now
	}
	r.flows++
	d.Count.Tries++
	f.tries, f.current = append(f.tries, try{id, l.Zone, l.Cell, now}), id
	until := f.came + d.plan.Groups[f.group].Timeout
	if d.mayRepeat(f, Late) { // a further one must have time left
		span := int64(d.plan.TryFactor * float64(d.plan.Groups[f.group].LatencyObjective))
		until = min(until, now+span)
	}
	return Step{Try: id, Address: l.Address, Until: until}
}

// manner is how the group is tried again, by the governor's word or as usual.
func (d *Desk) manner(group int) control.RetryPolicy {
	if t := &d.tables[group]; t.set {
		return t.levels.Tries
	}
	return d.plan.Usual
}

// mayRepeat says whether one more try may follow the tries so far when the last one ends so, by manner, effect
// and bytes; window, budget and time are looked at when it comes to it. A non-retriable flow is tried again after
// proof alone, whatever the manner says.
func (d *Desk) mayRepeat(f *Flow, ended Outcome) bool {
	g, manner := d.plan.Groups[f.group], d.manner(f.group)
	more := 0
	switch manner {
	case control.RetryIfNotExecuted:
		if ended != NeverRan {
			return false
		}
		more = 1
	case control.RetryOnce:
		more = 1
	case control.RetryTwice:
		more = 2
	}
	return (f.replay || ended == NeverRan && !f.spent) && len(f.tries) <= more && (ended == NeverRan || g.Idempotency != control.NotIdempotent)
}

// Ended tells how the try ended, and says what is next.
func (d *Desk) Ended(now int64, f *Flow, ended Outcome) Step {
	if f.over {
		return Step{Final: true, Reason: Gone}
	}
	d.release(now, f, ended)
	g := d.plan.Groups[f.group]
	expiry := f.came + g.Timeout
	switch {
	case ended == Good:
		return d.deliver(now, f)
	case now >= expiry:
		return d.drop(f, Expired)
	case !d.mayRepeat(f, ended):
		if ended != NeverRan && g.Idempotency != control.Idempotent {
			return d.drop(f, Unclear)
		}
		return d.drop(f, Failed)
	}
	allowed, inTime := d.scope(now, f, ended)
	if !inTime {
		return d.drop(f, TooLate)
	}
	id, why := d.choose(now, f, allowed)
	switch {
	case why != None:
		return d.drop(f, why)
	case d.repeats.level < 1:
		return d.drop(f, RepeatsOut)
	}
	d.repeats.level--
	d.Count.Repeats++
	return d.start(now, f, id)
}

// scope says where a repeat may go. While nothing of the flow can have run, anywhere. Else a deduped one stays
// with the replicas that would know it, and ends within the window in which they do: counted from the first try
// that may have run, with the whole wait of the next one.
func (d *Desk) scope(now int64, f *Flow, ended Outcome) (allowed func(Listed) bool, inTime bool) {
	g := d.plan.Groups[f.group]
	ran := slices.IndexFunc(f.tries, func(t try) bool { return !t.never() })
	if g.Idempotency != control.IdempotentByKey || ran < 0 {
		return nil, true
	}
	first := f.tries[ran]
	expiry := f.came + g.Timeout
	if min(expiry, now+int64(d.plan.TryFactor*float64(g.LatencyObjective)))-first.began >= g.DeduplicationWindow {
		return nil, false
	}
	return func(l Listed) bool {
		switch g.DeduplicationScope {
		case control.ScopeAll:
			return true
		case control.ScopeZone:
			return l.Zone == first.zone
		}
		return l.Zone == first.zone && l.Cell == first.cell
	}, true
}

// never says whether there is proof that the try did not run.
func (t try) never() bool { return t.began < 0 }

// release gives back the try's place and remembers how it went.
func (d *Desk) release(now int64, f *Flow, ended Outcome) {
	if f.current == "" {
		return
	}
	r := d.place(f.current)
	r.flows--
	d.met(now, f, ended)
	f.current = ""
	if ended == Good {
		r.failed, r.relapse, r.quiet = 0, 0, now
		return
	}
	if last := &f.tries[len(f.tries)-1]; ended == NeverRan {
		last.began = -1
	}
	if r.failed++; d.plan.Strikes == 0 || r.shunned > now { // flows of before the shunning tell nothing more
		return
	}
	if r.failed >= d.plan.Strikes || r.relapse > 0 {
		r.failed, r.shunned = 0, now+d.plan.Shun<<min(r.relapse, relapsesMost)
		r.relapse++
		d.Count.Shunned++
	}
}

// Spent says that bytes of a flow that cannot be sent once more have been read.
func (d *Desk) Spent(f *Flow) { f.spent = true }

// Headed says that the head of an answer has come and goes to the client: from now on no other try can follow.
func (d *Desk) Headed(now int64, f *Flow) { f.headed, f.replay, f.spent = now, false, true }

// Abandon ends a flow that nobody waits for any more. It says nothing of the replica.
func (d *Desk) Abandon(f *Flow) {
	if f.over {
		return
	}
	if f.current != "" {
		d.place(f.current).flows--
		f.current = ""
	}
	d.drop(f, Gone)
}

func (d *Desk) deliver(now int64, f *Flow) Step {
	d.leave(f)
	if d.Count.Delivered++; now-f.came > d.plan.Groups[f.group].LatencyObjective {
		d.Count.Late++
	}
	return Step{Final: true, Good: true}
}

func (d *Desk) drop(f *Flow, why Reason) Step {
	d.leave(f)
	if why != Gone {
		d.usage[f.group].Missed++
	}
	d.Count.Dropped[why]++
	return Step{Final: true, Reason: why}
}

func (d *Desk) block(f *Flow, why Reason) Step {
	d.leave(f)
	d.Count.Blocked[why]++
	return Step{Final: true, Reason: why}
}

func (d *Desk) leave(f *Flow) {
	f.over = true
	if f.in {
		f.in, d.flows = false, d.flows-1
	}
	if f.waits {
		f.waits, d.waiting = false, d.waiting-1
	}
}
