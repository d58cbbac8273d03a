package policy

import (
	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"math"
	"slices"
	"sync"
)

// Tuned values of the channel and of message caps.
const (
	ordinaryPart = 0.4         // of the channel's limit
	urgentPart   = 0.85        // of the channel's limit
	ordinaryMsgs = 0.5         // of a proxy's message cap
	addMsgs      = 0.75        // of a proxy's message cap
	urgentMsgs   = 0.95        // of a proxy's message cap
	lostSpan     = 30 * second // past its time, after which a message is taken for lost
)

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
	step      updateStep
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
	cold    warmingReplicas
	leveled map[int]bool // traffic classes with a level

	waits   float64 // in the channel as this turn's messages are written
	cost    float64 // of this turn's messages
	reached map[int]bool
}

const marksMask = 1<<16 - 1 // marks on the way are told apart up to here

func (p *pacer) handle(m message) {
	switch n := m.(type) {
	case ejectionDue:
		p.urgent = slices.Insert(p.urgent, 0, control.Command(control.SetEjected{Replica: n.replica, Ejected: true}))
	case bindRequested:
		p.urgent = append(p.urgent, n.Bind)
	case admissionChanged:
		p.urgent = append(p.urgent, n.SetAdmission)
	case streamOpened:
		p.join(n.StreamOpened) // its cap knows nothing of streams
	case streamClosed:
		p.leave(n.Proxy)
	case replicaEvicted:
		delete(p.ejected, n.replica)
	case warmingReplicas:
		p.cold = n
	case updateStep:
		p.step = n
	case acknowledged: // messages leave in order: an answer clears all that was written before its own
		p.orphan(n)
		p.clear(n)
	case turnEnding:
		p.send()
	default:
		unexpected(p, m)
	}
}

// write orders something if the queue and each reached proxy's message cap keep room for what can't wait.
func (p *pacer) write(o control.Command, part, messages float64) bool {
	to, more := p.price(o, nil)
	for _, proxy := range to {
		if !p.reached[proxy] && p.MaxMessages > 0 && float64(p.written(proxy)+1) > messages*float64(p.MaxMessages) {
			return false
		}
	}
	if len(to) > 0 && p.waits+p.cost+more > part*float64(p.ChannelLimit) {
		return false
	}
	switch o := o.(type) {
	case control.Bind:
		if _, joined := p.bound[o.Proxy]; len(p.laid[o.Table]) == 0 || !joined { // not before its table is laid
			return !joined
		}
		p.bind(o.Proxy, o.Table)
	case control.BindSubset:
		p.bindPart(o)
	case control.SetEndpoint:
		p.lay(o)
	case control.SetAdmission:
		p.leveled[o.Class] = true
	case control.SetEjected:
		p.eject(o)
		if late := (control.SetEjected{Replica: o.Replica, Ejected: true}); !o.Ejected { // must not undo this lift
			p.urgent = slices.DeleteFunc(p.urgent, func(u control.Command) bool { return u == control.Command(late) })
		}
	}
	p.touch(to)
	p.cost, p.out = p.cost+more, append(p.out, o)
	return true
}

// share is how many lines a proxy may get first. All that may come get theirs within three eighths of a drain's grace, and
// those who come at once share as much again; withdrawals have the rest. Whole tables for a crowd would hold them up.
func (p *pacer) share() float64 {
	grace := p.graceLines() * float64(p.ChannelLimit)
	settled := len(p.bound) - len(p.members[-1]) - len(p.partial)
	return firstPart*grace/float64(max(1, p.Proxies-settled)) + math.Max(0, sharedPart*grace-p.waits)/float64(1+len(p.urgent))
}

// part is what a proxy gets first: its table, or a part of it if that is over its share. The parts of a table weigh
// alike and go where least is sent: all together load a table evenly, but for the cold while the warm are half of it.
func (p *pacer) part(b control.Bind) control.Command {
	_, whole := p.reach(b)
	d := p.deal(b.Table, max(firstLeast, int(p.each)-p.MessageOverhead-2-len(p.leveled)-firstLeast))
	if len(d.parts) == 0 || p.each > float64(whole+p.MessageOverhead+1) {
		return b
	}
	return control.BindSubset{Proxy: b.Proxy, Table: b.Table, Replicas: d.next(p.rate(b.Proxy)), Unejected: firstLeast}
}

// sendStep writes what the open step has to send. Late answers tell of a slow channel: withdrawals must not wait behind
// weights. It harms if proxies stall.
func (p *pacer) sendStep() (done []control.Command) {
	stale, overdue, adds := map[uint32]bool{}, len(p.under) > 0 && p.now > p.under[0].due, p.step.adds
	lifts := p.coldLifts()
	// The cold are let in together: one alone would get what is meant for all of them.
	together := sync.OnceValue(func() bool {
		return !p.liftsAny(lifts, stale) && (p.waits+p.cost == 0 || p.fit(lifts, ordinaryPart))
	})
	p.step.orders = slices.DeleteFunc(p.step.orders, func(o control.Command) bool { // one held up stops no other
		messages, room := addMsgs, ordinaryPart // who lacks lines comes before who has stale ones
		if adds--; adds < 0 {
			messages, room = ordinaryMsgs, ordinaryPart/math.Max(1, p.late)
		}
		if p.cold.together && p.raises(o) { // not before its replica is let in: what grows at each look would leave no room for that
			return false
		}
		lift, is := o.(control.SetEjected)
		held := is && (stale[lift.Replica] || p.cold.together && p.cold.replicas[lift.Replica] && !together())
		sent := (adds >= 0 || !overdue) && !held && p.write(o, room, messages)
		if l, is := o.(control.SetEndpoint); sent {
			done = append(done, o)
		} else if is { // nobody is let in by lines of an earlier weight: it may have been warm then
			stale[l.Replica] = true
		}
		return sent
	})
	p.step.adds = 0
	return done
}

// send writes the turn's messages: the step's lines, then all that is urgent in the room kept for it.
func (p *pacer) send() {
	p.begin()
	for _, proxy := range p.incomplete() { // who lacks lines comes first, and of them who has lost most of a part
		b := control.Bind{Proxy: proxy, Table: p.bound[proxy]}
		if p.partial[proxy].kept() < keptLeast {
			p.write(p.part(b), math.Inf(1), math.Inf(1))
		} else if len(p.urgent) > 0 || !p.write(b, restPart*p.graceLines(), addMsgs) {
			break
		}
	}
	m := messagesSent{orders: p.sendStep()}
	p.urgent = slices.DeleteFunc(p.urgent, func(o control.Command) bool {
		if w, is := o.(control.SetEjected); is && w.Ejected && p.HostQueues { // one capped proxy holds up no other
			return p.write(o, math.Inf(1), math.Inf(1))
		}
		if b, is := o.(control.Bind); is {
			if p.graceLines() > 0 {
				return p.write(p.part(b), math.Inf(1), math.Inf(1))
			}
			return p.write(o, p.bindRoom(), urgentMsgs)
		}
		return p.write(o, urgentPart, urgentMsgs)
	})
	if m.proxies = ordered.Keys(p.reached); len(m.proxies) > 0 {
		p.mark++
		m.mark = p.mark
		p.out = append(p.out, control.RequestAck{Nonce: m.mark & marksMask})
		due := p.now + beat + p.MaxTransit + int64((p.waits+p.cost)/p.ChannelRate*float64(second))
		p.under = append(p.under, batch{mark: m.mark, lines: p.cost, at: p.now, due: due})
		p.count(m.proxies)
		p.enqueue(bindingComponent, m)
	}
	p.enqueue(updateComponent, m)
}

// orphan notes that nobody is left to answer for what was written under a mark.
func (p *pacer) orphan(n acknowledged) {
	for k := range p.under {
		if n.disconnected && p.under[k].mark == n.nonce {
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
func (p *pacer) clear(n acknowledged) {
	for len(p.under) > 0 && !n.disconnected && (p.under[0].mark < n.nonce || n.complete && p.under[0].mark == n.nonce) {
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

// queue is what may still wait in the channel: all that no answer has cleared, so a slow one holds us back.
func (p *pacer) queue() (sum float64) {
	lost := func(b batch) bool { return p.now > b.due+lostSpan || b.orphan && p.now > b.due }
	p.under = slices.DeleteFunc(p.under, lost)
	for _, b := range p.under {
		sum += b.lines
	}
	return sum
}

// lay sets a line of a table; a line that is removed leaves the parts it is in.
func (p *pacer) lay(o control.SetEndpoint) {
	if p.laid[o.Table] == nil {
		p.laid[o.Table] = map[uint32]float64{}
	}
	p.laid[o.Table][o.Replica] = o.Weight
	if o.Weight == 0 {
		delete(p.laid[o.Table], o.Replica)
		p.loseFromParts(o.Replica, o.Table)
	}
}

// eject notes a withdrawal, or its end.
func (p *pacer) eject(o control.SetEjected) {
	if !o.Ejected {
		delete(p.ejected, o.Replica)
		return
	}
	p.ejected[o.Replica] = true
	for table := range p.laid {
		p.loseFromParts(o.Replica, table)
	}
}

// reach says whom an order reaches and how many lines it costs at each. A withdrawal reaches who holds a line
// of the replica: an answer awaited from others would never come, and hold the channel's room for ever.
func (p *pacer) reach(o control.Command) (to []int, lines int) {
	switch o := o.(type) {
	case control.Bind:
		return []int{o.Proxy}, 2*len(p.laid[o.Table]) + len(p.Classes) + 1 // all of its lines may be withdrawn
	case control.BindSubset:
		return []int{o.Proxy}, len(o.Replicas) + o.Unejected + len(p.Classes) + 1
	case control.SetEndpoint:
		return p.holders(o.Table, o.Replica), 1
	case control.SetEjected:
		for table, lines := range p.laid {
			if lines[o.Replica] > 0 {
				to = append(to, p.holders(table, o.Replica)...)
			}
		}
		slices.Sort(to)
		return to, 1
	}
	return ordered.Keys(p.bound), 1
}

// coldLifts are the commands of the open step that let cold replicas in.
func (p *pacer) coldLifts() (lifts []control.Command) {
	for _, o := range p.step.orders {
		if lift, is := o.(control.SetEjected); is && !lift.Ejected && p.cold.replicas[lift.Replica] {
			lifts = append(lifts, o)
		}
	}
	return lifts
}

// raises says whether a command raises the weight that a replica, which is ejected, has in a table.
func (p *pacer) raises(o control.Command) bool {
	l, is := o.(control.SetEndpoint)
	laid := p.laid[l.Table][l.Replica]
	return is && p.ejected[l.Replica] && laid > 0 && l.Weight > laid
}

// liftsAny says whether commands let any of some replicas in.
func (p *pacer) liftsAny(lifts []control.Command, replicas map[uint32]bool) bool {
	return slices.ContainsFunc(lifts, func(o control.Command) bool { return replicas[o.(control.SetEjected).Replica] })
}

// price returns whom a command reaches, and what it takes of the channel: its lines, and the heads of messages that were not
// begun in this turn. It notes those in begun, if that is given.
func (p *pacer) price(o control.Command, begun map[int]bool) (to []int, cost float64) {
	to, lines := p.reach(o)
	cost = float64(lines * len(to))
	for _, proxy := range to {
		if p.reached[proxy] || begun[proxy] {
			continue
		}
		cost += float64(p.MessageOverhead + 1)
		if begun != nil {
			begun[proxy] = true
		}
	}
	return to, cost
}

// fit says whether there is room for all of some commands in a part of the channel's limit.
func (p *pacer) fit(commands []control.Command, part float64) bool {
	sum, begun := 0.0, map[int]bool{}
	for _, o := range commands {
		_, cost := p.price(o, begun)
		sum += cost
	}
	return p.waits+p.cost+sum <= part*float64(p.ChannelLimit)
}

// renumberGroups keeps the levels that wait, and those that are in force.
func (p *pacer) renumberGroups(numbers []int) {
	leveled := map[int]bool{}
	for group := range p.leveled {
		if group = number(numbers, group); group >= 0 {
			leveled[group] = true
		}
	}
	p.leveled = leveled
	var urgent []control.Command
	for _, o := range p.urgent {
		if level, is := o.(control.SetAdmission); is {
			if level.Class = number(numbers, level.Class); level.Class < 0 {
				continue
			}
			o = level
		}
		urgent = append(urgent, o)
	}
	p.urgent = urgent
}
