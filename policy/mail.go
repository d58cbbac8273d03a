package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"lilacbend/control"
)

// This file is the plumbing between the parts of brain.go: queues, the notes put into them, the loop that
// empties them, chance. It decides nothing.

const ( // the parts' queues; those of the replicas come after
	theRegistry = iota
	thePlanner
	theLevels
	theSequence
	thePacer
	parts
)

const marksMask = 1<<16 - 1 // marks on the way are told apart up to here

type queue struct {
	part interface{ take(note any) }
	mail []any
}

// sharedState is what the parts share: the clock, the settings, the queues and the commands of this turn.
type sharedState struct {
	control.Settings
	now    int64
	draws  uint64
	out    []control.Command
	queues []*queue
	due    []int // the queue of each note that waits, in turn
}

func (d *sharedState) post(to int, note any) {
	d.queues[to].mail = append(d.queues[to].mail, note)
	d.due = append(d.due, to)
}

func (d *sharedState) say(f string, args ...any) {
	d.out = append(d.out, control.Log{Text: fmt.Sprintf(f, args...)})
}

// chance draws from 0 to 1, the same for the same seed and count of draws.
func (d *sharedState) chance() float64 {
	d.draws++
	return control.Random(d.Seed, d.draws)
}

// draw gives a replica its ticket in the draw of tables, by listed weight: the highest are drawn first.
func (d *sharedState) draw(weight float64) float64 {
	return math.Pow(d.chance(), 1/math.Max(weight, 1e-6))
}

// newest leaves so many of a list, the last.
func newest[T any](most int, all []T) []T { return all[max(0, len(all)-most):] }

// mean of none is 0.
func mean(all []float64) (sum float64) {
	for _, v := range all {
		sum += v / float64(len(all))
	}
	return sum
}

// total adds in the order of the keys: the last digit of a sum goes by its order.
func total[K cmp.Ordered](all map[K]float64) (sum float64) {
	for _, k := range sorted(all) {
		sum += all[k]
	}
	return sum
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// settle empties the queues until no message is left, in the order in which the messages came.
func (d *sharedState) settle() {
	for ; len(d.due) > 0; d.due = d.due[1:] {
		box := d.queues[d.due[0]]
		n := box.mail[0]
		box.mail = box.mail[1:]
		box.part.take(n)
	}
}

func (g *Governor) toAll(note any) {
	for to := range parts {
		g.post(to, note)
	}
}

// New makes a governor that knows nothing but its provision.
func New(p control.Settings) *Governor {
	g := &Governor{sharedState: sharedState{Settings: p}, replicas: map[uint32]*replica{}}
	d := &g.sharedState
	d.queues = []*queue{
		theRegistry: {part: &registry{sharedState: d, here: map[int]*binding{}, wait: map[uint64]map[int]bool{}}},
		thePlanner: {part: &planner{sharedState: d, calm: map[int][]float64{},
			own: map[uint32]int{}, laid: map[uint32]int{}, offers: map[uint32]offer{}}},
		theLevels: {part: &levels{sharedState: d, set: map[int]control.SetAdmission{}}},
		theSequence: {part: &sequence{sharedState: d, laid: map[line]float64{}, out: map[uint32]bool{},
			moves: map[int]int{}, open: map[uint64]int64{}}},
		thePacer: {part: &pacer{sharedState: d, bound: map[int]int{}, members: map[int][]int{}, laid: map[int]map[uint32]float64{},
			sendTimes: map[int][]int64{}, partial: map[int]*partial{}, rates: map[int]float64{},
			ejected: map[uint32]bool{}, leveled: map[int]bool{}}},
	}
	return g
}

// Turn tells the governor what has come in and returns what it orders.
func (g *Governor) Turn(now int64, events []control.Event) []control.Command {
	g.now, g.out = now, nil
	woken, keep := !g.started, false
	if woken {
		g.born = now
	}
	for _, ev := range events {
		switch e := ev.(type) {
		case control.ReplicasListed:
			g.listed(e)
		case control.Outcomes:
			if r := g.replicas[e.Replica]; r != nil && e.Attempts > 0 {
				g.post(r.box, e)
			}
		case control.ReplicaRestored:
			if r := g.replicas[e.Replica]; r != nil && e.Weight > 0 && e.Speed > 0 {
				g.post(r.box, e)
				g.post(thePlanner, e)
			}
		case control.SettingsChanged:
			g.reconfigure(e)
		case control.SnapshotRequested:
			keep = true
		case control.TimerFired:
			woken = true
		default:
			g.toAll(e)
		}
		g.settle()
	}
	if woken {
		g.started = true
		g.out = append(g.out, control.SetTimer{After: g.pause()})
		g.toAll(tick{})
		g.settle()
		g.tidy()
	}
	g.post(thePlanner, redraw{})
	g.settle()
	g.post(thePacer, closing{})
	g.settle()
	if keep {
		g.out = append(g.out, g.learned())
	}
	return g.out
}

// tidy forgets replicas that are long gone, so that a governor that runs for weeks does not grow.
func (g *Governor) tidy() {
	for _, id := range sorted(g.replicas) {
		if r := g.replicas[id]; r.entry.State != control.Gone {
			r.changed = g.now
		} else if g.now-r.changed > forgetSpan {
			delete(g.replicas, id)
			g.free = append(g.free, r.box)
			g.toAll(forget{id})
		}
	}
}

// listed passes news of the list to its replicas; whoever a whole list leaves out is gone.
func (g *Governor) listed(l control.ReplicasListed) {
	for _, id := range sorted(g.replicas) {
		if e := g.replicas[id].entry; l.Full && !l.Failed {
			e.State = control.Gone
			g.post(g.replicas[id].box, e)
		}
	}
	for _, e := range l.Entries {
		r := g.replicas[e.Replica]
		if r == nil {
			box := len(g.queues)
			if last := len(g.free) - 1; last >= 0 {
				box, g.free = g.free[last], g.free[:last]
			} else {
				g.queues = append(g.queues, &queue{})
			}
			r = &replica{sharedState: &g.sharedState, box: box, entry: e, heard: g.now, lastSample: g.now, speed: 1, fleet: norm{goal: 1}}
			r.ticket = g.draw(e.Weight)
			g.replicas[e.Replica] = r
			g.queues[box].part = r
		}
		g.post(r.box, e)
	}
}

// acknowledge: no mark up to this one waits for the proxy any more. An answer speaks for the proxy's earlier
// marks, and nothing waits for a proxy that has left. Its leaving tells nothing of the channel, though: what was
// written to it, and to all others before, may wait there still, and taken for sent lets a crowd that leaves at
// once fill the channel twice.
func (r *registry) acknowledge(proxy int, upto uint64) {
	for _, mark := range sorted(r.wait) {
		if w := r.wait[mark]; mark <= upto && w[proxy] {
			if delete(w, proxy); len(w) == 0 {
				delete(r.wait, mark)
				r.post(thePacer, acked{mark, true, upto == math.MaxUint64})
				r.post(theSequence, acked{mark: mark, all: true})
			}
		}
	}
}

// find is where a proxy is, or would be, in the crowd.
func (p *planner) find(proxy int) (int, bool) {
	return slices.BinarySearchFunc(p.crowd, proxy, func(c *binding, proxy int) int { return cmp.Compare(c.Proxy, proxy) })
}

func (p *planner) enter(c binding) {
	k, here := p.find(c.Proxy)
	if !here {
		p.crowd = slices.Insert(p.crowd, k, &c)
	}
	p.crowd[k] = &c
}

func (p *planner) leave(proxy int) {
	if k, here := p.find(proxy); here {
		p.crowd = slices.Delete(p.crowd, k, k+1)
	}
}

// remember keeps what an earlier governor knew of proxies.
func (r *registry) remember(n control.FleetRestored) {
	r.past, r.formerTables, r.came = n, map[int]int{}, map[int]float64{}
	for _, s := range n.Bindings {
		r.formerTables[s.Proxy] = s.Table
	}
	for _, u := range n.RequestRates {
		r.came[u.Proxy] += u.Rate
	}
}

// await notes whose answers to a mark are missing.
func (r *registry) await(n marked) {
	r.last, r.wait[n.mark] = n.mark, map[int]bool{}
	for _, proxy := range n.proxies {
		r.wait[n.mark][proxy] = true
	}
}

// drop forgets a proxy that has left: no mark waits for it any more.
func (r *registry) drop(proxy int) {
	r.acknowledge(proxy, math.MaxUint64)
	if c := r.here[proxy]; c != nil && c.table < 0 {
		r.loose--
	}
	delete(r.here, proxy)
}

// orphan notes that nobody is left to answer for what was written under a mark.
func (p *pacer) orphan(n acked) {
	for k := range p.under {
		if n.gone && p.under[k].mark == n.mark {
			p.under[k].orphan = true
		}
	}
}

// begin opens the account of a turn's messages.
func (p *pacer) begin() {
	p.waits, p.cost, p.reached = p.queue(), 0, map[int]bool{}
	p.dealt, p.each = map[int]*dealing{}, p.share()
}

// touch notes whom this turn's messages reach.
func (p *pacer) touch(proxies []int) {
	for _, proxy := range proxies {
		p.reached[proxy] = true
	}
}

// count notes a message to each proxy, for its cap.
func (p *pacer) count(proxies []int) {
	for _, proxy := range proxies {
		p.sendTimes[proxy] = append(p.sendTimes[proxy], p.now)
	}
}

// clear takes what an answer clears off the account of the channel.
func (p *pacer) clear(n acked) {
	for len(p.under) > 0 && !n.gone && (p.under[0].mark < n.mark || n.all && p.under[0].mark == n.mark) {
		p.late = math.Max(1, float64(p.now-p.under[0].at)/float64(p.under[0].due-p.under[0].at))
		p.under = p.under[1:]
	}
}

// written counts the messages to a proxy within the span of its cap.
func (p *pacer) written(proxy int) int {
	past := func(at int64) bool { return p.now-at > p.MessageWindow }
	p.sendTimes[proxy] = slices.DeleteFunc(p.sendTimes[proxy], past)
	return len(p.sendTimes[proxy])
}

func (p *pacer) join(n control.StreamOpened) {
	p.bind(n.Proxy, -1)
	p.rates[n.Proxy] = n.Rate
}

func (p *pacer) leave(proxy int) {
	p.unbind(proxy)
	delete(p.rates, proxy)
}

// bind puts a joined proxy on a table.
func (p *pacer) bind(proxy, table int) {
	p.unbind(proxy)
	p.bound[proxy] = table
	k, _ := slices.BinarySearch(p.members[table], proxy)
	p.members[table] = slices.Insert(p.members[table], k, proxy)
}

func (p *pacer) unbind(proxy int) {
	if table, here := p.bound[proxy]; here {
		k, _ := slices.BinarySearch(p.members[table], proxy)
		p.members[table] = slices.Delete(p.members[table], k, k+1)
		delete(p.bound, proxy)
		delete(p.partial, proxy)
	}
}

// note keeps what has gone out of the step: lines laid, lifts and moves done, marks to wait for.
func (s *sequence) note(m marked) {
	for _, o := range m.orders {
		switch o := o.(type) {
		case control.SetEjected:
			delete(s.out, o.Replica)
		case control.Bind:
			delete(s.moves, o.Proxy)
		case control.SetEndpoint:
			if s.laid[line{o.Table, o.Replica}] = o.Weight; o.Weight == 0 {
				delete(s.laid, line{o.Table, o.Replica})
			}
		}
		if m.mark > 0 {
			s.open[m.mark], s.sent = s.now, true
		}
	}
}

// lately sums the samples still worth judging; answer is a mean in seconds.
func (r *replica) lately() (tries, bad, answer float64) {
	good := 0.0
	for _, s := range r.met {
		if s.at > max(r.now-recent, r.trial) {
			tries, bad = tries+s.tries, bad+s.bad
			if s.answer > 0 {
				answer, good = answer+s.answer*(s.tries-s.bad), good+s.tries-s.bad
			}
		}
	}
	return tries, bad, answer / math.Max(1, good)
}

// queue is what may still wait in the channel: all that no answer has cleared, so a slow one holds us back.
func (p *pacer) queue() (sum float64) {
	lost := func(b batch) bool { return p.now > b.due+lostSpan || b.orphan && p.now > b.due }
	p.under = slices.DeleteFunc(p.under, lost)
	for _, b := range p.under {
		sum += b.lines
	}
	return sum
}

// sums adds up the demand that is kept: requests a second by traffic class, requests by proxy, the newest by proxy as of
// the whole span, and how many came and failed lately. It notes by how much reports tell of more than their period.
func (l *levels) sums() (flows, by, fresh map[int]float64, all, missed int) {
	l.came, l.age = slices.DeleteFunc(l.came, func(d sums) bool { return d.at <= l.now-demandSpan }), 0
	flows, by, fresh = map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, d := range l.came {
		l.age += (d.Period - l.ReportInterval) / int64(len(l.came))
		if by[d.Proxy] += float64(d.Requests); d.at > l.now-l.ReportInterval { // as of so long a time
			fresh[d.Proxy] += float64(d.Requests) * float64(demandSpan) / float64(max(d.Period, l.ReportInterval, 1))
		}
		if d.at > l.now-recent {
			flows[d.Class] += float64(d.Requests) * float64(second) / float64(recent)
			all, missed = all+d.Requests, missed+d.Failures
		}
	}
	return flows, by, fresh, all, missed
}
