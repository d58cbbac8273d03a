// Package brain decides where forwarders (proxies) send flows: it is a governor that sees no flow and steers
// by tables. To use it call New with the control.Provision of the deployment, then Turn with each batch of
// events; Turn returns the orders to carry out, in order. Package control is the whole interface. A governor
// asks for its own Wake and keeps no clock, no goroutine and nothing outside itself: same events, same orders.
//
// The ordinary path is a reverse-order update (docs/design.md): few shared tables, a proxy bound once its table
// is laid, and each change a sequence of add, overwrite, rebind, remove, every step closed by its mark's answers.
// Replicas are actors; parts talk only through inboxes that Turn's one loop empties.
package brain

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"sort"

	"lilacbend/control"
)

// Tuned values. Whatever a deployment states or shows is preferred to a figure here.
const (
	second       = int64(1e9)
	proxiesTable = 5          // a table for each so many proxies, less than one
	stepTimeout  = 2 * second // a step ends without the answers still missing
	entryShare   = 0.5        // weight of a new replica ...
	entrySpan    = 5 * second // ... for this long
	ordinaryPart = 0.4        // of the channel's limit for ordinary lines, under half
	urgentPart   = 0.85       // of it for withdrawals and binds as well
	ordinaryMsgs = 0.5        // of a proxy's message cap for ordinary lines
	changeWorth  = 0.15       // relative change of a weight worth a line
	recent       = 4 * second // samples older than this are not judged
	samplesKept  = 32
	speedSpan    = 3 * second // time in which a weight follows answer times
	kindPower    = 1.3        // how strongly a kind's answer time moves its weight
	ownPower     = 1.0        // how strongly a replica's does, against its kind's
	slowest      = 1.0 / 16
	fastest      = 2.0
	sickTries    = 5   // tries needed for a verdict
	sickPart     = 0.5 // missed part that condemns, above the fleet's own
	trialPart    = 0.1 // weight of a replica on trial
	trialTries   = 3
	restSpan     = 4 * second // first rest of a sick replica, doubled at each relapse
	longestRest  = 32 * second
	spareGuest   = 1.1 // a table short of its need by less than this takes no guests
	leastLeft    = 0.5 // of the listed weight stays in, unless what goes serves nothing
	hopeless     = 0.9 // missed part of what serves nothing
)

type inbox struct{ notes []any }

func (b *inbox) put(n any)       { b.notes = append(b.notes, n) }
func (b *inbox) letters() *inbox { return b }

type part interface {
	letters() *inbox
	take(note any)
}

// desk is what the parts may see beside their inboxes: the clock, the provision, each other's addresses.
type desk struct {
	control.Provision
	now                                    int64
	draws                                  uint64
	out                                    []control.Order
	roll, planner, sequence, pacer, levels *inbox
}

func (d *desk) say(format string, args ...any) {
	d.out = append(d.out, control.Log{Text: fmt.Sprintf(format, args...)})
}

// chance draws from 0 to 1, the same for the same seed and the same count of draws.
func (d *desk) chance() float64 {
	d.draws++
	b := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, d.Seed), d.draws)
	return (float64(crc32.ChecksumIEEE(b)) + 1) / (1 << 32)
}

// Notes between the parts.
type (
	tick    struct{}
	redraw  struct{}
	closing struct{} // the turn ends: the pacer sends
	figures struct { // replica to planner: what it was met with lately
		id           uint32
		kind         int
		tries, bad   int
		answer       float64 // seconds, 0 if unknown
		listed       float64
		warm, unwell bool
	}
	norm struct { // planner to replica: its kind's answer time, the kind's weight, the fleet's missed part
		answer, kind, bad float64
	}
	offer struct { // replica to planner: the weight it can bear
		id           uint32
		zone         int
		weight       float64
		ticket       float64
		listed, bad  float64
		closed, sick bool // closed: draining or gone
	}
	crowd struct { // roll to planner: usual flows of a joined proxy, 0 when it left
		proxy, zone int
		rate        float64
	}
	target struct { // planner to sequence
		lines map[line]float64
		out   map[uint32]bool
	}
	seats struct { // planner to roll and sequence: the table of each zone
		table []int
	}
	joined struct{ proxy, table int }
	left   struct{ proxy int }
	step   struct{ changes []change } // sequence to pacer: what the open step still has to send
	sent   struct {                   // pacer to sequence: what went out, under which mark
		changes []change
		mark    uint64
	}
	marked struct { // pacer to roll
		mark    uint64
		proxies []int
	}
	caught struct { // roll to pacer: a proxy applied all up to the mark
		mark uint64
		left float64
	}
	closed struct{ mark uint64 } // roll to sequence: all answered or left
	shut   struct {              // planner to pacer: out at once
		id  uint32
		out bool
	}
)

type line struct {
	table int
	id    uint32
}

// change is one line to set, one withdrawal to lift or one proxy to rebind.
type change struct {
	line
	weight, size float64
	lift, rebind bool
	proxy        int
}

// ---- replica: health, warmth, speed

type sample struct {
	at         int64
	tries, bad int
	answer     float64
}

type replica struct {
	*desk
	inbox
	entry   control.Entry
	heard   int64 // when its start became known
	ticket  float64
	met     []sample
	speed   float64
	kind    float64
	resting int64 // out until then; 0 when in
	trial   int64 // on trial since; 0 when not
	relapse int
	judged  int64
}

func (r *replica) take(n any) {
	switch n := n.(type) {
	case control.Entry:
		restarted := n.Start != r.entry.Start
		if restarted && n.State == control.Ready {
			r.met, r.resting, r.trial, r.relapse, r.heard = nil, 0, 0, 0, r.now
		}
		r.entry = n
		r.offer()
	case control.Met:
		r.met = append(r.met, sample{r.now, n.Tries, n.Missed, float64(n.Answer) / float64(second)})
		if len(r.met) > samplesKept {
			r.met = r.met[1:]
		}
	case tick:
		tries, bad, answer := r.lately()
		r.planner.put(figures{r.entry.Replica, r.entry.Kind, tries, bad, answer, r.entry.Weight,
			r.warmth() == 1, r.resting > 0 || r.trial > 0 || r.entry.State != control.Ready})
	case norm:
		r.judge(n)
		r.offer()
	}
}

// lately sums the samples still worth judging.
func (r *replica) lately() (tries, bad int, answer float64) {
	since := max(r.now-recent, r.trial)
	good := 0
	for _, s := range r.met {
		if s.at > since {
			tries, bad = tries+s.tries, bad+s.bad
			if s.answer > 0 {
				answer += s.answer * float64(s.tries-s.bad)
				good += s.tries - s.bad
			}
		}
	}
	if good > 0 {
		answer /= float64(good)
	}
	return tries, bad, answer
}

// judge moves the replica between well, resting and on trial, and its speed towards what its answers show.
// A silent, failing or cut-off replica misses most tries while the fleet does not; a trouble of the whole
// fleet or of the reports condemns nobody. It could harm when a few tries miss by chance: sickTries.
func (r *replica) judge(n norm) {
	tries, bad, answer := r.lately()
	part := float64(bad) / math.Max(1, float64(tries))
	r.kind = n.kind
	dt := math.Min(1, float64(r.now-r.judged)/float64(speedSpan))
	r.judged = r.now
	if answer > 0 && n.answer > 0 && tries-bad >= 3 {
		goal := math.Pow(n.answer/answer, ownPower)
		r.speed *= math.Pow(math.Min(fastest, math.Max(slowest, goal))/r.speed, dt)
	}
	switch {
	case r.resting > 0 && r.now >= r.resting:
		r.resting, r.trial = 0, r.now
		r.say("replica %d on trial after rest %d", r.entry.Replica, r.relapse)
	case r.resting > 0:
	case r.trial > 0 && tries >= trialTries && part < sickPart:
		r.trial = 0
		r.say("replica %d well again: %d of %d missed", r.entry.Replica, bad, tries)
	case (tries >= sickTries || r.trial > 0 && tries >= trialTries) && part > n.bad+sickPart*(1-n.bad):
		rest := min(longestRest, restSpan<<min(r.relapse, 4))
		r.resting, r.trial, r.relapse, r.met = r.now+rest, 0, r.relapse+1, nil
		r.say("replica %d sick: %d of %d missed, fleet %.2f, rests %.1fs", r.entry.Replica, bad, tries, n.bad,
			float64(rest)/float64(second))
	}
}

// warmth is the part of its usual work a replica that started not long ago is given. It stays under what the
// replica can bear at the slowest warming, so that all proxies together never push it over; a replica that warms
// faster is used a little less than it could be.
func (r *replica) warmth() float64 {
	age := r.now - r.entry.Start
	if r.entry.Start == 0 || age >= r.WarmAfter {
		return 1
	}
	w := r.ColdShare + (1-r.ColdShare)*float64(max(0, age))/float64(max(1, r.WarmAfter))
	if r.now-r.heard < entrySpan {
		w = math.Min(w, entryShare)
	}
	return w
}

func (r *replica) offer() {
	w := math.Max(r.entry.Weight, 1e-6) * r.kind * r.speed * r.warmth()
	if r.trial > 0 {
		w *= trialPart
	}
	tries, bad, _ := r.lately()
	r.planner.put(offer{r.entry.Replica, r.entry.Zone, w, r.ticket, r.entry.Weight,
		float64(bad) / math.Max(1, float64(tries)), r.entry.State != control.Ready, r.resting > 0})
}

// ---- planner: target tables

type planner struct {
	*desk
	inbox
	boxes   map[uint32]*inbox
	figures map[uint32]figures
	offers  map[uint32]offer
	crowd   map[int]crowd
	kinds   map[int]float64 // weight learned for each kind
	judged  int64
	seat    []int
	asked   bool
	out     map[uint32]bool
}

func (p *planner) take(n any) {
	switch n := n.(type) {
	case figures:
		p.figures[n.id] = n
	case tick:
		p.norms()
	case crowd:
		p.crowd[n.proxy] = n
	case offer:
		p.offers[n.id] = n
		if !p.asked {
			p.asked = true
			p.put(redraw{})
		}
	case redraw:
		p.asked = false
		p.redraw()
	}
}

func sortedIDs[V any](m map[uint32]V) []uint32 {
	ids := make([]uint32, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// norms tells each replica how its kind answers and how much the whole fleet misses. Where the list gives no
// sizes, a kind that answers faster than the fleet is given more.
func (p *planner) norms() {
	answers, tries := map[int]float64{}, map[int]float64{}
	var all, allTries, missed, sum, least, most float64
	for _, id := range sortedIDs(p.figures) {
		f := p.figures[id]
		if least == 0 || f.listed < least {
			least = f.listed
		}
		most = math.Max(most, f.listed)
		if f.unwell {
			continue
		}
		missed, sum = missed+float64(f.bad), sum+float64(f.tries)
		if good := float64(f.tries - f.bad); f.answer > 0 && f.warm {
			answers[f.kind] += f.answer * good
			tries[f.kind] += good
			all, allTries = all+f.answer*good, allTries+good
		}
	}
	dt := math.Min(1, float64(p.now-p.judged)/float64(speedSpan))
	p.judged = p.now
	for kind := 0; kind < p.Kinds; kind++ {
		if p.kinds[kind] == 0 {
			p.kinds[kind] = 1
		}
		if n := tries[kind]; n >= sickTries && least == most {
			goal := math.Pow((all/allTries)/(answers[kind]/n), kindPower)
			p.kinds[kind] *= math.Pow(math.Min(1/slowest, math.Max(slowest, goal))/p.kinds[kind], dt)
		}
	}
	for _, id := range sortedIDs(p.boxes) {
		kind := p.figures[id].kind
		n := norm{kind: p.kinds[kind], bad: missed / math.Max(1, sum)}
		if tries[kind] > 0 {
			n.answer = answers[kind] / tries[kind]
		}
		p.boxes[id].put(n)
	}
}

// seating gives each zone a table at the start: a zone of its own to the largest, the rest share.
func (p *planner) seating() {
	count := make([]int, p.Zones)
	for _, o := range p.offers {
		if o.zone < p.Zones {
			count[o.zone]++
		}
	}
	zones := make([]int, p.Zones)
	for z := range zones {
		zones[z] = z
	}
	sort.SliceStable(zones, func(i, j int) bool { return count[zones[i]] > count[zones[j]] })
	tables := max(1, (p.Proxies/max(1, p.Governors)-1)/proxiesTable)
	p.seat = make([]int, p.Zones)
	for rank, z := range zones {
		p.seat[z] = min(rank, tables-1)
	}
	p.roll.put(seats{p.seat})
	p.sequence.put(seats{p.seat})
}

// redraw works out the target tables: each a fixed draw by listed weight among the replicas of its zones, with
// guests from other zones where its own could not carry its proxies.
func (p *planner) redraw() {
	if p.seat == nil {
		p.seating()
	}
	ids := sortedIDs(p.offers)
	sort.SliceStable(ids, func(i, j int) bool { return p.offers[ids[i]].ticket > p.offers[ids[j]].ticket })
	out := p.shutOut(ids)
	tables := 1
	for _, t := range p.seat {
		tables = max(tables, t+1)
	}
	need, total, home, all := make([]float64, tables), 0.0, make([]float64, tables), 0.0
	for _, proxy := range sortedInts(p.crowd) {
		if c := p.crowd[proxy]; c.rate > 0 && c.zone < p.Zones {
			need[p.seat[c.zone]] += c.rate
			total += c.rate
		}
	}
	for _, id := range ids {
		if o := p.offers[id]; !out[id] && !o.closed && o.zone < p.Zones {
			home[p.seat[o.zone]] += o.weight
			all += o.weight
		}
	}
	t := target{map[line]float64{}, out}
	size := int(float64(p.ChannelLimit)/2/math.Max(1, float64(p.Proxies))) - p.MessageHead - 2
	for table := 0; table < tables; table++ {
		guests := 0.0
		if want := need[table] / math.Max(1, total) * all; want > home[table]*spareGuest && all > home[table] {
			guests = math.Min(1, math.Ceil((want-home[table])/(all-home[table])*4)/4)
		}
		if home[table] == 0 {
			guests = 1
		}
		drawn := 0
		for _, id := range ids {
			o := p.offers[id]
			w := o.weight
			if o.zone >= p.Zones || p.seat[o.zone] != table {
				w *= guests
			}
			if o.closed || w == 0 || drawn >= max(3, size) {
				continue
			}
			drawn++
			if out[id] {
				w = -1 // resting: its line stays as it is
			}
			t.lines[line{table, id}] = w
		}
	}
	p.sequence.put(t)
}

func sortedInts[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Ints(keys)
	return keys
}

// shutOut says who is withdrawn: whoever drains or is gone, and the sick as long as those left can carry the
// flows. The guard stops short of leaving the rest overloaded or a proxy bare; what misses nearly all goes anyway
// while any other is left. It could harm when most of a fleet is sick for good: they then stay in.
func (p *planner) shutOut(ids []uint32) map[uint32]bool {
	out := map[uint32]bool{}
	var sick []offer
	listed, stays := 0.0, 0
	for _, id := range ids {
		o := p.offers[id]
		switch {
		case o.closed:
			out[id] = true
		case o.sick:
			sick = append(sick, o)
			listed += o.listed
		default:
			listed += o.listed
			stays++
		}
	}
	gone := 0.0
	for _, o := range sick {
		gone += o.listed
		out[o.id] = stays > 0 && gone <= listed*(1-leastLeft)
	}
	for _, id := range ids {
		if out[id] != p.out[id] {
			p.out[id] = out[id]
			if out[id] {
				p.pacer.put(shut{id, true})
			}
		}
	}
	return out
}

// ---- roll: proxies, streams, bindings, marks

type roll struct {
	*desk
	inbox
	seat  []int
	zone  map[int]int
	wait  map[uint64]map[int]bool
	heads map[uint64]int
}

func (r *roll) take(n any) {
	switch n := n.(type) {
	case seats:
		r.seat = n.table
	case control.Joined:
		r.gone(n.Proxy)
		table := 0
		if n.Zone < len(r.seat) {
			table = r.seat[n.Zone]
		}
		r.zone[n.Proxy] = n.Zone
		r.planner.put(crowd{n.Proxy, n.Zone, math.Max(n.Rate, 1e-3)})
		r.pacer.put(joined{n.Proxy, table})
		r.sequence.put(joined{n.Proxy, table})
	case control.Left:
		r.gone(n.Proxy)
		delete(r.zone, n.Proxy)
		r.planner.put(crowd{proxy: n.Proxy})
		r.pacer.put(left{n.Proxy})
		r.sequence.put(left{n.Proxy})
	case marked:
		r.wait[n.mark] = map[int]bool{}
		r.heads[n.mark] = len(n.proxies)
		for _, proxy := range n.proxies {
			r.wait[n.mark][proxy] = true
		}
	case control.Answered:
		// An answer speaks for all earlier marks of that proxy too.
		for _, mark := range r.open() {
			if mark <= n.Mark && r.wait[mark][n.Proxy] {
				r.strike(mark, n.Proxy, true)
			}
		}
	}
}

func (r *roll) open() []uint64 {
	marks := make([]uint64, 0, len(r.wait))
	for m := range r.wait {
		marks = append(marks, m)
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i] < marks[j] })
	return marks
}

// strike takes a proxy off the list of those a mark waits for.
func (r *roll) strike(mark uint64, proxy int, answered bool) {
	delete(r.wait[mark], proxy)
	if answered {
		r.pacer.put(caught{mark, float64(len(r.wait[mark])) / float64(r.heads[mark])})
	}
	if len(r.wait[mark]) == 0 {
		delete(r.wait, mark)
		delete(r.heads, mark)
		r.sequence.put(closed{mark})
	}
}

// gone: nothing waits for a proxy that has left.
func (r *roll) gone(proxy int) {
	for _, mark := range r.open() {
		if r.wait[mark][proxy] {
			r.strike(mark, proxy, false)
		}
	}
}

// ---- sequence: the four steps

const (
	add = iota
	overwrite
	rebind
	remove
	steps
)

type sequence struct {
	*desk
	inbox
	want  target
	laid  map[line]float64
	out   map[uint32]bool // withdrawn, not lifted yet
	bound map[int]int
	seat  []int
	at    int
	open  map[uint64]int64 // marks of the open step and when they were set
}

func (s *sequence) take(n any) {
	switch n := n.(type) {
	case seats:
		s.seat = n.table
	case target:
		s.want = n
		for id, out := range n.out {
			if out {
				s.out[id] = true
			}
		}
		s.proceed()
	case joined:
		s.bound[n.proxy] = n.table
	case left:
		delete(s.bound, n.proxy)
	case sent:
		for _, c := range n.changes {
			switch {
			case c.lift:
				delete(s.out, c.id)
			case c.rebind:
				s.bound[c.proxy] = c.table
			case c.weight == 0:
				delete(s.laid, c.line)
			default:
				s.laid[c.line] = c.weight
			}
		}
		if n.mark > 0 {
			s.open[n.mark] = s.now
		}
	case closed:
		delete(s.open, n.mark)
		s.proceed()
	case tick:
		for mark, since := range s.open {
			if s.now-since > stepTimeout {
				delete(s.open, mark)
			}
		}
		s.proceed()
	}
}

// proceed hands the pacer what the open step still has to send. A new target folds in: additions start again
// from the first step, all else goes on from where the sequence stands, and what is no longer wanted is dropped
// with it, so that a removal queued for a replica that is back never leaves.
func (s *sequence) proceed() {
	if s.at != add && len(s.changes(add)) > 0 {
		s.at = add
	}
	for tries := 0; tries < steps; tries++ {
		if c := s.changes(s.at); len(c) > 0 || len(s.open) > 0 {
			s.pacer.put(step{c})
			return
		}
		s.at = (s.at + 1) % steps
	}
	s.pacer.put(step{})
}

func (s *sequence) changes(at int) []change {
	var cs []change
	seen := map[line]bool{}
	lines := make([]line, 0, len(s.want.lines)+len(s.laid))
	for l := range s.want.lines {
		lines, seen[l] = append(lines, l), true
	}
	for l := range s.laid {
		if !seen[l] {
			lines = append(lines, l)
		}
	}
	for _, l := range lines {
		want, has := s.want.lines[l], s.laid[l]
		back := s.out[l.id] && !s.want.out[l.id]
		size := math.Abs(want-has) / math.Max(has, math.Max(want, 1e-9))
		kind := overwrite
		switch {
		case want < 0 || want == has:
			continue
		case want == 0:
			kind = remove
		case has == 0 || back:
			kind = add
		case size < changeWorth:
			continue
		}
		if kind == at {
			cs = append(cs, change{line: l, weight: want, size: size})
		}
	}
	sort.Slice(cs, func(i, j int) bool {
		if cs[i].size != cs[j].size {
			return cs[i].size > cs[j].size
		}
		if cs[i].table != cs[j].table {
			return cs[i].table < cs[j].table
		}
		return cs[i].id < cs[j].id
	})
	if at == add { // lifted behind their lines
		for _, id := range sortedIDs(s.out) {
			if !s.want.out[id] {
				cs = append(cs, change{line: line{id: id}, lift: true})
			}
		}
	}
	return cs
}

// ---- pacer: the only sender

type batch struct {
	mark  uint64
	lines float64
	at    int64
}

type pacer struct {
	*desk
	inbox
	shuts []shut
	binds []joined
	step  []change
	bound map[int]int
	laid  map[int]int // lines of each table
	wrote map[int][]int64
	under []batch // sent and not known to have left the channel
	mark  uint64
}

func (p *pacer) take(n any) {
	switch n := n.(type) {
	case shut:
		p.shuts = append(p.shuts, n)
	case joined:
		p.binds = append(p.dropBind(n.proxy), n)
		p.wrote[n.proxy] = nil
		p.bound[n.proxy] = -1
	case left:
		p.binds = p.dropBind(n.proxy)
		delete(p.bound, n.proxy)
		delete(p.wrote, n.proxy)
	case step:
		p.step = n.changes
	case caught:
		// Messages leave in order: an answer clears all that was written before its own.
		for len(p.under) > 0 && p.under[0].mark < n.mark {
			p.under = p.under[1:]
		}
		if len(p.under) > 0 && p.under[0].mark == n.mark {
			p.under[0].lines = math.Min(p.under[0].lines, p.under[0].lines*n.left)
		}
	case closing:
		p.send()
	}
}

func (p *pacer) dropBind(proxy int) []joined {
	var kept []joined
	for _, b := range p.binds {
		if b.proxy != proxy {
			kept = append(kept, b)
		}
	}
	return kept
}

// queue is what may still wait in the channel: all that no answer has cleared. A channel that sends slowly shows
// as answers that stay away, whatever the cause, and holds ordinary lines back. Answers that never come (dead
// proxies) would hold it for ever, so what even a channel of an eighth of its pace had sent is forgotten.
func (p *pacer) queue() float64 {
	sum := 0.0
	for _, b := range p.under {
		sum += b.lines
	}
	for len(p.under) > 0 && float64(p.now-p.under[0].at-2*p.WorstTransit) > sum*8/p.ChannelRate*float64(second) {
		sum -= p.under[0].lines
		p.under = p.under[1:]
	}
	return sum
}

func (p *pacer) messages(proxy int) int {
	w := p.wrote[proxy]
	for len(w) > 0 && p.now-w[0] > p.MessagesSpan {
		w = w[1:]
	}
	p.wrote[proxy] = w
	return len(w)
}

func (p *pacer) send() {
	head := float64(p.MessageHead + 1)
	queue, cost := p.queue(), 0.0
	reached := map[int]bool{}
	allow := func(proxies []int, lines, part, messages float64) bool {
		more := lines * float64(len(proxies))
		for _, proxy := range proxies {
			if !reached[proxy] {
				more += head
				if p.MessagesMost > 0 && float64(p.messages(proxy)+1) > messages*float64(p.MessagesMost) {
					return false
				}
			}
		}
		if len(proxies) > 0 && queue+cost+more > part*float64(p.ChannelLimit) {
			return false
		}
		cost += more
		for _, proxy := range proxies {
			reached[proxy] = true
		}
		return true
	}
	all := sortedInts(p.bound)
	var waiting []shut
	for _, s := range p.shuts {
		if !allow(all, 1, urgentPart, 0.95) {
			waiting = append(waiting, s)
			continue
		}
		p.out = append(p.out, control.Withdraw{Replica: s.id, Out: s.out})
	}
	p.shuts = waiting
	var done []change
	for _, c := range p.step {
		to := all
		if !c.lift && !c.rebind {
			to = nil
			for _, proxy := range all {
				if p.bound[proxy] == c.table {
					to = append(to, proxy)
				}
			}
		}
		if !allow(to, 1, ordinaryPart, ordinaryMsgs) {
			break
		}
		done = append(done, c)
		switch {
		case c.lift:
			p.out = append(p.out, control.Withdraw{Replica: c.id})
		default:
			p.out = append(p.out, control.SetLine{Table: c.table, Replica: c.id, Weight: c.weight})
		}
		if c.weight == 0 && !c.lift {
			p.laid[c.table]--
		} else if c.size == 1 {
			p.laid[c.table]++
		}
	}
	p.step = p.step[len(done):]
	var unbound []joined
	for _, b := range p.binds {
		if p.laid[b.table] == 0 || !allow([]int{b.proxy}, float64(2*p.laid[b.table]+2), urgentPart, 0.95) {
			unbound = append(unbound, b)
			continue
		}
		p.bound[b.proxy] = b.table
		p.out = append(p.out, control.Bind{Proxy: b.proxy, Table: b.table})
	}
	p.binds = unbound
	mark := uint64(0)
	if len(reached) > 0 {
		p.mark = p.mark%65535 + 1
		mark = p.mark
		p.out = append(p.out, control.Mark{Number: mark})
		p.under = append(p.under, batch{mark, cost, p.now})
		to := sortedInts(reached)
		for _, proxy := range to {
			p.wrote[proxy] = append(p.wrote[proxy], p.now)
		}
		p.roll.put(marked{mark, to})
	}
	if len(done) > 0 {
		p.sequence.put(sent{done, mark})
	}
}

// ---- governor

// Governor is one instance of the module.
type Governor struct {
	desk     desk
	replicas map[uint32]*replica
	order    []uint32
	planner  planner
	roll     roll
	sequence sequence
	pacer    pacer
	started  bool
	beat     int64
}

// New makes a governor that knows nothing but its provision.
func New(p control.Provision) *Governor {
	g := &Governor{replicas: map[uint32]*replica{}}
	d := &g.desk
	d.Provision = p
	g.beat = max(1, min(p.ReportEvery/2, second/4))
	g.planner = planner{desk: d, boxes: map[uint32]*inbox{}, figures: map[uint32]figures{}, offers: map[uint32]offer{},
		crowd: map[int]crowd{}, kinds: map[int]float64{}, out: map[uint32]bool{}}
	g.roll = roll{desk: d, zone: map[int]int{}, wait: map[uint64]map[int]bool{}, heads: map[uint64]int{}}
	g.sequence = sequence{desk: d, laid: map[line]float64{}, out: map[uint32]bool{}, bound: map[int]int{},
		open: map[uint64]int64{}}
	g.pacer = pacer{desk: d, bound: map[int]int{}, laid: map[int]int{}, wrote: map[int][]int64{}}
	d.planner, d.roll, d.sequence, d.pacer = &g.planner.inbox, &g.roll.inbox, &g.sequence.inbox, &g.pacer.inbox
	return g
}

// Turn tells the governor what has come in and returns what it orders.
func (g *Governor) Turn(now int64, events []control.Event) []control.Order {
	g.desk.now, g.desk.out = now, nil
	woken := !g.started
	for _, ev := range events {
		switch e := ev.(type) {
		case control.Listed:
			g.listed(e)
		case control.Met:
			if r := g.replicas[e.Replica]; r != nil && e.Tries > 0 {
				r.put(e)
			}
		case control.Joined, control.Left, control.Answered:
			g.roll.put(e)
		case control.Woken:
			woken = true
		}
		g.settle()
	}
	if woken {
		g.started = true
		g.desk.out = append(g.desk.out, control.Wake{Label: 1, After: g.beat})
		for _, id := range g.order {
			g.replicas[id].put(tick{})
		}
		g.settle()
		g.planner.put(tick{})
		g.settle()
		g.sequence.put(tick{})
	}
	g.settle()
	g.pacer.put(closing{})
	g.settle()
	return g.desk.out
}

// settle empties the inboxes until nobody has a note left.
func (g *Governor) settle() {
	for busy := true; busy; {
		busy = false
		for _, id := range g.order {
			busy = empty(g.replicas[id]) || busy
		}
		for _, p := range []part{&g.planner, &g.roll, &g.sequence, &g.pacer} {
			busy = empty(p) || busy
		}
	}
}

func empty(p part) bool {
	box := p.letters()
	had := len(box.notes) > 0
	for len(box.notes) > 0 {
		n := box.notes[0]
		box.notes = box.notes[1:]
		p.take(n)
	}
	return had
}

// listed passes news of the list to its replicas; whoever a whole list leaves out is gone.
func (g *Governor) listed(l control.Listed) {
	if l.Failed {
		return
	}
	named := map[uint32]bool{}
	for _, e := range l.Entries {
		named[e.Replica] = true
		r := g.replicas[e.Replica]
		if r == nil {
			w := math.Max(e.Weight, 1e-6)
			r = &replica{desk: &g.desk, entry: e, heard: g.desk.now, speed: 1, kind: 1, judged: g.desk.now}
			r.ticket = math.Pow(g.desk.chance(), 1/w)
			g.replicas[e.Replica] = r
			g.planner.boxes[e.Replica] = &r.inbox
			g.order = append(g.order, e.Replica)
		}
		r.put(e)
	}
	for _, id := range g.order {
		if l.Full && !named[id] {
			e := g.replicas[id].entry
			e.State = control.Gone
			g.replicas[id].put(e)
		}
	}
	sort.Slice(g.order, func(i, j int) bool { return g.order[i] < g.order[j] })
}
