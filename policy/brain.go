// Package policy decides where forwarders (proxies) send flows: a governor sees no flow and steers by tables.
// Call New with the control.Settings of the deployment, then Turn with each batch of events; it returns the
// orders to carry out. Package control is the whole interface. No clock is kept: same events, same orders.
// The ordinary path is a reverse-order update (docs/design.md). Parts talk only through queues.
package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

	"lilacbend/control"
)

const ( // tuned values: whatever a deployment states or shows is preferred to a figure here
	second, beat                            = int64(1e9), int64(1e9) / 4 // the longest pause between two looks
	proxiesTable, linesTable, turns         = 5, 5.0, 10007              // least of a table; mixes the guests
	entryShare, entrySpan                   = 0.5, 5 * second            // of a new replica's weight, how long
	ordinaryPart, urgentPart, changeWorth   = 0.4, 0.85, 0.15            // of the channel's limit; a change sent
	ordinaryMsgs, addMsgs, urgentMsgs       = 0.5, 0.75, 0.95            // of a proxy's message cap
	stepTimeout, lostSpan, forgetSpan       = 2 * second, 30 * second, 60 * second
	recent, samplesKept                     = 4 * second, 32       // older samples are not judged, more not kept
	settleSpan, firstSteps                  = 4 * second, 8        // a weight follows in this, sooner if new
	kindSpread, shrink, slowest             = 2, 8.0, 1.0 / 16     // calm kinds; prior and least of a weight
	idleFirst, idleLast, firstSamples       = 0.85, 0.6, 15.0      // idle part of the calm, at first and later
	drain, drainMost, lateMost              = 0.1, 5.0, 2.5        // full queues cost weight; overload is late
	coldSpare, coldLost                     = 1.0 / 3, 0.3         // of a fall's multiple; flows lost: no cold
	sickTries, probationTries, sickPart     = 5, 3, 0.5            // for a verdict: tries, part missed more
	lostBad, fewGood, sickMost              = 0.4, 0.2, 0.75       // no verdicts; good left; so many are out
	ejectionSpan, mostEjections, slowAnswer = 3 * second, 2, 2.0   // rests of the sick; so much later is slow
	spareGuest, spareIdler, deadPart        = 1.1, 1.35, 0.65      // over its own, or so few serve: guests come
	strained, missedMost, mostPart          = 0.75, 0.15, 0.75     // overload: answers, misses, of most replicas
	missedOnce, shareSteps, guestSteps      = 0.08, 20, 10         // one try only; steps of levels and guests
	lineFirst, lineDown, lineUp             = 0.9, 0.9, 0.01       // the line: first of the served, later, up
	demandSpan, priorSpan, surge            = 8 * second, 4.0, 1.5 // flows of a proxy; a sudden rise
	confidenceMost, confidenceLeft          = 16.0, 0.5            // tries that a memory counts for; left by a sum
	penaltyPart, penaltyMost                = 0.125, 0.4           // weight of who was sick; of more, none is
	sharedPart, firstPart, restPart         = 0.375, 0.375, 0.25   // of what the channel sends in a drain's grace
	firstLeast, keptLeast                   = 3, 0.5               // lines of a part, of which all are restored; less is renewed
)

var spares = [...]float64{spareGuest, spareGuest, spareIdler} // by control.Pick

func (d *sharedState) pause() int64 { return max(1, min(d.ReportInterval/2, beat)) }

func (d *sharedState) rows(tables int) int { return min(max(1, d.Zones), tables) }

func (d *sharedState) least(zone int, held []float64) int {
	row := d.rows(len(held))
	best := zone % row
	for table := best; table < len(held); table += row {
		if held[table] < held[best] {
			best = table
		}
	}
	return best
}

// ---- replica: health, warmth, speed

func (r *replica) take(n any) {
	switch n := n.(type) {
	case control.ListedReplica:
		if n.Start != r.entry.Start && n.State == control.Ready {
			r.met, r.ejectedUntil, r.trial, r.ejections, r.heard, r.confidence, r.sampleCount, r.penalty = nil, 0, 0, 0, r.now, 0, 0, 0
		}
		r.entry = n
	case control.Outcomes:
		answer := float64(n.ResponseTime) / float64(second)
		r.met = newest(samplesKept, append(r.met, sample{r.now, float64(n.Attempts), float64(n.Failures), answer}))
		r.confidence, r.sampleCount, r.lastSample = r.confidence*confidenceLeft, math.Min(confidenceMost, r.sampleCount+float64(n.Attempts)), r.now
		return
	case control.ReplicaRestored:
		r.recall(n)
	case norm:
		r.fleet = n
		r.judge()
	}
	tries, bad, answer := r.lately()
	size := math.Max(r.entry.Weight, 1e-6) * r.warmth()
	// The cold wait for the first word of the fleet: a line laid before it, in a collapse, draws all repeats.
	sick := r.ejectedUntil > 0 || r.cold() && (r.judged == 0 || r.fleet.lost > coldLost)
	r.post(thePlanner, offer{r.entry, r.box, size * r.speed, size * r.fleet.goal, r.ticket, tries, bad, answer,
		r.prior, r.confidence, r.penalty, r.able(), r.cold(), sick, r.trial > 0 && r.penalty == 0})
}

// recall believes what an earlier governor knew as far as its age leaves it; first sums overrule its speed.
// The sick are on trial with little weight: withdrawn, they harm for longer where they have healed.
func (r *replica) recall(n control.ReplicaRestored) {
	r.ticket, r.sampleCount, r.lastSample = cmp.Or(n.PlacementKey, r.ticket), n.Weight*n.SampleCount, r.now-n.Age
	r.prior, r.confidence = math.Pow(n.Speed, n.Weight), n.Weight*math.Min(n.SampleCount, confidenceMost)
	r.speed, r.fleet.goal = r.prior, r.prior
	r.ejections = int(math.Round(n.Weight * float64(n.Ejections)))
	if n.EjectedFor > 0 || n.Probation {
		r.trial, r.penalty = r.now, 1-math.Pow(penaltyPart, n.Weight) // it was shut out: no sums of before come late
		r.say("replica %d remembered as sick: on trial with %.2f of its weight", r.entry.Replica, 1-r.penalty)
	}
}

// judge moves the replica between well, ejected and on trial. Silent, failing, cut-off ones miss most tries
// and give few good answers; who gives its share is busy. It harms where tries miss by chance.
func (r *replica) judge() {
	tries, bad, answer := r.lately()
	span := min(settleSpan, max(second, (r.now-r.heard)/firstSteps)) // what is new is learned faster
	r.speed *= math.Pow(r.fleet.goal/r.speed, math.Min(1, float64(r.now-r.judged)/float64(span)))
	r.judged = r.now
	switch {
	case r.ejectedUntil > r.now:
	case r.ejectedUntil > 0:
		r.ejectedUntil, r.trial = 0, r.now+r.ReportInterval // sums of before the trial come late
		r.say("replica %d on trial after rest %d", r.entry.Replica, r.ejections)
	case r.fleet.bad > lostBad && r.penalty == 0 || r.trial > 0 && tries < probationTries,
		tries < sickTries && r.trial == 0:
	case bad/math.Max(1, tries) > r.fleet.bad+sickPart*(1-r.fleet.bad) &&
		(r.trial > 0 || tries-bad < fewGood*r.fleet.good && answer < r.fleet.late):
		rest := ejectionSpan << min(r.ejections, mostEjections)
		r.ejectedUntil, r.trial, r.ejections, r.met, r.penalty = r.now+rest, 0, r.ejections+1, nil, 0
		r.say("replica %d sick: %.0f of %.0f missed, fleet %.2f, rests %ds", r.entry.Replica, bad, tries,
			r.fleet.bad, rest/second)
	case r.trial > 0:
		r.trial, r.penalty = 0, 0
		r.say("replica %d well again: %.0f of %.0f missed", r.entry.Replica, bad, tries)
	}
}

func (r *replica) cold() bool { return r.entry.Start > 0 && r.now-r.entry.Start < r.SlowStartTime }

// able is the part of its usual work that a cold replica surely can do: as at the slowest warming.
func (r *replica) able() float64 {
	if r.ejectedUntil > 0 {
		return 0
	}
	return r.SlowStartFraction + (1-r.SlowStartFraction)*float64(max(0, r.now-r.entry.Start))/float64(max(1, r.SlowStartTime))
}

// warmth is the part of its usual work a replica that started not long ago is given: a third of what makes it
// fall at the slowest warming, less the more of all tries miss: repeats push too. It harms who warms faster.
func (r *replica) warmth() float64 {
	if !r.cold() {
		return 1
	}
	w := math.Min(1, r.able()*coldSpare*r.OverloadMultiple) * math.Pow(1-r.fleet.lost, 2)
	if r.now-r.heard < entrySpan {
		w = math.Min(w, entryShare)
	}
	return w
}

// ---- planner: target tables

func (p *planner) take(n any) {
	switch n := n.(type) {
	case tick:
		p.norms()
	case control.StreamClosed:
		p.leave(n.Proxy)
	case offer:
		p.offers[n.Replica] = n
	case demand:
		p.demand = n
	case forget:
		delete(p.offers, n.id)
		delete(p.own, n.id)
		delete(p.laid, n.id)
	case binding:
		p.enter(n)
	case control.ReplicaRestored:
		p.laid[n.Replica] = n.Table
	case control.FleetRestored:
		p.before = n.Tables
		for kind, calm := range n.BaselineResponseTimes {
			if left := int(math.Round(n.Weight * float64(len(calm)))); left > 0 {
				p.calm[kind] = slices.Clone(calm[len(calm)-left:])
			}
		}
	case redraw:
		if !p.same {
			p.redraw()
		}
		p.same = true
		return
	default:
		return
	}
	p.same = false
}

// norms tells each replica how its kind answers, how much all miss, and its worth: the listed size unless
// slow, else the flows it could answer: what it answers, by how busy its answer time of that moment shows it.
func (p *planner) norms() {
	type sum struct{ good, answer, count, able float64 }
	kinds, sizes, ids, all := map[int]sum{}, map[float64]bool{}, sorted(p.offers), p.HardwareClasses
	shares, bears, told := []float64{}, 0.0, 1e-9                                      // missed of each; what the cold could bear, and all tries
	missed, tries, serves, quick, gave, warm := 0.0, 0.0, 0.0, math.Inf(1), 1e-9, 1e-9 // good of the warm
	for _, calm := range p.calm {
		quick = min(quick, slices.Min(calm))
	}
	well := func(o offer) bool {
		return !o.sick && !o.trial && o.State == control.Ready && !o.cold && o.answer > 0
	}
	idle := idleLast + (idleFirst-idleLast)*math.Max(0, 1-float64(len(p.calm[all]))/firstSamples)
	able := func(o offer) float64 {
		base := math.Min(o.answer, quick*kindSpread)
		if calm := p.calm[o.HardwareClass]; len(calm) > 0 {
			base = math.Min(base, slices.Min(calm))
		}
		busy := 1 - idle*base/o.answer + drain*math.Min(drainMost, o.answer/base-1) // a full queue has to drain
		return (o.tries - o.bad + min(1, busy*busy)*math.Min(o.bad, o.tries-o.bad)) / busy
	}
	for _, id := range ids {
		o := p.offers[id]
		if told += o.tries; o.State == control.Ready && o.cold { // what came to the draining comes to the rest
			bears += o.Weight * o.able * p.OverloadMultiple
		} else if o.State == control.Ready {
			gave, warm = gave+o.tries-o.bad, warm+o.Weight
		}
		if sizes[o.Weight] = true; !o.sick && !o.trial && !p.out[id] && o.State == control.Ready {
			missed, tries, serves = missed+o.bad, tries+o.tries, serves+1
			shares = append(shares, o.bad/math.Max(1, o.tries))
		}
		for _, kind := range []int{o.HardwareClass, all} {
			if k, good := kinds[kind], o.tries-o.bad; well(o) {
				kinds[kind] = sum{k.good + good, k.answer + o.answer*good, k.count + 1, k.able + able(o)}
			}
		}
	}
	if p.now-p.judged >= second {
		p.judged = p.now
		for kind, k := range kinds {
			if k.good >= sickTries {
				p.calm[kind] = newest(samplesKept, append(p.calm[kind], k.answer/k.good))
			}
		}
	}
	bad, fleetAble := missed/math.Max(1, tries), kinds[all].able/math.Max(1, kinds[all].count)
	p.spared = bears >= told/gave*warm && max(bad, p.demand.lost) > coldLost
	for _, id := range ids {
		o := p.offers[id]
		k := kinds[o.HardwareClass]
		n := norm{math.Inf(1), k.good / math.Max(1, k.count), 1, bad, 0}
		// Cold ones who together could bear all that is tried hear of no loss: the warm would drown. All or none:
		// those of one table would be guests of every other, and get what comes to the cold that are kept out.
		if bears < told/gave*warm {
			n.lost = max(bad, p.demand.lost)
		}
		good, late := o.tries-o.bad, o.answer/math.Max(1e-9, k.answer/math.Max(1, k.good))
		if len(sizes) > 1 && late > slowAnswer {
			n.goal = math.Max(slowest, 1/late)
		} else if len(sizes) == 1 && k.able > 0 {
			kind := k.able / k.count / fleetAble
			n.late = slowAnswer * k.answer / math.Max(1, k.good)
			n.goal = kind
			if well(o) {
				n.goal = (kind*shrink + able(o)/fleetAble*good) / (shrink + good)
			}
			n.goal = math.Max(slowest*kind, n.goal)
		}
		if o.confidence > 0 { // what is remembered counts beside what is seen
			seen := good
			if k.able > 0 {
				seen += shrink
			}
			n.goal = (n.goal*seen + o.prior*o.confidence) / (seen + o.confidence)
		}
		p.post(o.box, n)
	}
	f := fleet{tries: tries * float64(second) / float64(recent), bad: bad, serves: serves,
		answer: kinds[all].answer / math.Max(1, kinds[all].good), calm: quick}
	slices.Sort(shares) // a few that fail are no overload
	f.most = mean(shares[:int(math.Ceil(mostPart*float64(len(shares))))])
	p.post(theLevels, f)
}

// redraw works out the target tables: each a fixed draw by listed weight among the replicas of its zones,
// none longer than lets all be bound in half the channel's limit, with guests where its own could not carry
// its proxies, no more of each than its own table can spare. One that lost all gives its proxies to a sister.
func (p *planner) redraw() {
	ids := sorted(p.offers)
	tickets := func(a, b uint32) int { return cmp.Compare(p.offers[b].ticket, p.offers[a].ticket) }
	slices.SortStableFunc(ids, func(a, b uint32) int { // each kind is dealt round the tables
		return cmp.Or(cmp.Compare(p.offers[a].HardwareClass, p.offers[b].HardwareClass), tickets(a, b))
	})
	if p.deal(ids); p.tables == 0 {
		return
	}
	slices.SortStableFunc(ids, tickets) // where a table has no room for all of its own
	tables, row, total, all := p.tables, p.rows(p.tables), 1e-9, 1e-9
	t := target{map[line]float64{}, p.shutOut(ids, row)}
	need, home, serves, penalized := make([]float64, tables), make([]float64, tables), make([]float64, tables), 0.0
	for _, id := range ids {
		if o := p.offers[id]; o.State == control.Ready {
			if home[p.own[id]] += o.size; !t.out[id] {
				serves[p.own[id]] += o.size
			}
			if o.penalty > 0 {
				penalized++
			}
		}
	}
	penaltiesHold := penalized < penaltyMost*float64(len(ids)) // that most were sick tells of what has passed, or of us
	for table := range home {                                  // a few sick are their zones' trouble; when most are, guests must come
		if serves[table]*spares[p.Pick] < deadPart*home[table] {
			home[table] = serves[table]
		}
		all += home[table]
	}
	for _, c := range p.crowd {
		if 2*len(p.crowd)*p.Controllers >= p.Proxies { // the first to join do not tell of all
			// Flows move from zone to zone: what came lately counts, more and more.
			span := math.Min(float64(p.now-c.since), float64(demandSpan)) / float64(second)
			rate := (c.Rate*priorSpan + p.demand.flows[c.Proxy]) / (priorSpan + span)
			need[c.table], total = need[c.table]+rate, total+rate
		}
	}
	spare := map[uint32]float64{} // what its own table does not need of each
	size := max(3, p.ChannelLimit/2*max(1, p.Controllers)/max(1, p.Proxies)-p.MessageOverhead-2)
	seats, drawn := make([]int, tables), make([]int, tables) // who serves its proxies; its lines
	lay := func(table int, id uint32, part float64) {
		w := part * p.offers[id].weight
		if penaltiesHold {
			w *= 1 - p.offers[id].penalty
		}
		if p.offers[id].State == control.Ready && w > 0 && drawn[table] < size {
			if drawn[table]++; t.out[id] { // who is withdrawn takes no guest's room
				w, drawn[table] = -1, drawn[table]-1
			}
			t.lines[line{table, id}] = w
		}
	}
	for _, id := range ids {
		lay(p.own[id], id, 1)
		spare[id] = math.Max(0, 1-need[p.own[id]]/total*all/math.Max(1e-9, home[p.own[id]]))
	}
	for table := range tables {
		seats[table] = table
		for sister := table % row; sister < tables && home[table] == 0; sister += row {
			if home[sister] > home[seats[table]] {
				seats[table] = sister
			}
		}
		lacks := math.Max(1e-6, need[table]/total*all/spares[p.Pick]) - home[table] // never bare
		order, turn := []uint32{}, map[uint32]float64{}                             // its zones' first
		for _, id := range ids {
			if lacks > 0 && p.own[id] != table && !t.out[id] && (spare[id] > 0 || home[table] == 0) {
				far := min(1, math.Abs(float64(p.own[id]%row-table%row)))
				order, turn[id] = append(order, id), far+math.Mod(p.offers[id].ticket*float64(turns+table), 1)
			}
		}
		slices.SortFunc(order, func(a, b uint32) int { return cmp.Compare(turn[a], turn[b]) })
		for ; lacks > 0 && len(order) > 0 && drawn[table] < size; order = order[1:] {
			id, weighs := order[0], math.Max(1e-9, p.offers[order[0]].size)
			part := math.Ceil(math.Max(1e-6, math.Min(spare[id], lacks/weighs))*guestSteps) / guestSteps
			lacks, spare[id] = lacks-part*weighs, math.Max(0, spare[id]-part)
			lay(table, id, part)
		}
	}
	p.post(thePacer, p.coldest(ids))
	p.post(theRegistry, seats)
	p.post(theSequence, t)
}

// deal gives each new replica to one table of its zone for good, the one whose own are fewest by listed
// weight. A zone is split over several tables while each keeps lines enough.
func (p *planner) deal(ids []uint32) {
	most := max(1, (p.Proxies/max(1, p.Controllers)-1)/proxiesTable)
	if row := p.rows(most); p.tables == 0 && len(ids) > 0 {
		p.tables = row * max(1, min(most/row, int(math.Round(float64(len(ids)/row)/linesTable))))
	}
	held := make([]float64, p.tables)
	for _, id := range ids { // as an earlier governor dealt, while there are as many tables
		row := p.rows(p.tables)
		table, ok := p.laid[id]
		if ok && p.before == p.tables && table < p.tables && table%row == p.offers[id].Zone%row {
			p.own[id] = table
		}
		delete(p.laid, id)
	}
	for _, id := range ids {
		if table, ok := p.own[id]; ok && p.offers[id].State == control.Ready {
			held[table] += p.offers[id].Weight
		}
	}
	for _, id := range ids {
		if _, ok := p.own[id]; !ok {
			p.own[id] = p.least(p.offers[id].Zone, held)
			held[p.own[id]] += p.offers[id].Weight
		}
	}
}

// shutOut says who is withdrawn: whoever drains or is gone, and the sick while a quarter of the warm is left,
// so that no proxy is bare. The cold go while the flows of their zones surge: proxies soon avoid all others,
// and who has just come gets everything, whatever its weight. It harms where flows rise for good and quickly.
func (p *planner) shutOut(ids []uint32, row int) map[uint32]bool {
	out, warm, usual, newest := map[uint32]bool{}, 0.0, make([]float64, row), make([]float64, row)
	for _, id := range ids {
		if o := p.offers[id]; o.State == control.Ready && !o.cold {
			warm++
		}
	}
	for _, c := range p.crowd {
		zone := c.table % row
		usual[zone], newest[zone] = usual[zone]+p.demand.flows[c.Proxy], newest[zone]+p.demand.fresh[c.Proxy]
	}
	may := warm * sickMost
	for _, id := range ids {
		switch o := p.offers[id]; {
		case o.State != control.Ready,
			o.cold && warm > 0 && (o.sick || newest[p.own[id]%row] > surge*math.Max(1, usual[p.own[id]%row])):
			out[id] = true
		case o.sick && !o.cold && may >= 1:
			out[id] = true
			may--
		}
		if out[id] && !p.out[id] {
			p.post(thePacer, control.SetEjected{Replica: id, Ejected: true})
		}
	}
	p.out = out
	return out
}

// ---- registry: proxies, streams, bindings, marks

func (r *registry) take(n any) {
	switch n := n.(type) {
	case []int:
		if r.loose == 0 && slices.Equal(n, r.boundTo) { // nobody to bind or to move
			return
		}
		load := make([]float64, len(n))
		for _, proxy := range sorted(r.here) {
			if c := r.here[proxy]; c.table >= 0 {
				if load[c.table] += c.Rate; n[c.table] != r.boundTo[c.table] {
					r.post(theSequence, control.Bind{Proxy: proxy, Table: n[c.table]})
				}
			}
		}
		for _, proxy := range sorted(r.here) {
			if c := r.here[proxy]; c.table < 0 {
				c.table = r.least(c.Zone, load)
				if sat, ok := r.formerTables[proxy]; ok && r.past.Tables == len(n) && sat < len(n) &&
					sat%r.rows(len(n)) == c.Zone%r.rows(len(n)) {
					c.table = sat // as its connections are
				}
				delete(r.formerTables, proxy)
				load[c.table] += c.Rate
				r.loose--
				r.post(thePlanner, *c)
				r.post(thePacer, control.Bind{Proxy: proxy, Table: n[c.table]})
			}
		}
		r.boundTo = n
	case control.StreamOpened:
		if came, ok := r.came[n.Proxy]; ok { // a hello tells a rough figure
			n.Rate += (came - n.Rate) * r.past.Weight
		}
		r.drop(n.Proxy)
		r.here[n.Proxy] = &binding{n, r.now, -1}
		r.loose++
	case control.FleetRestored:
		r.remember(n)
	case control.StreamClosed:
		r.drop(n.Proxy)
	case control.Ack:
		mark := r.last - (r.last-n.Nonce)&marksMask // marks go round on the way
		r.post(thePacer, acked{mark: mark})
		r.acknowledge(n.Proxy, mark)
	case marked:
		r.await(n)
	}
}

// ---- levels: admission, further tries

// usual is what proxies do by themselves after a failure, or less where a try that may have run could then be
// repeated with an effect: only what may run again, or is deduped everywhere for twice as long, is safe.
func (l *levels) usual(g control.TrafficClass) control.RetryPolicy {
	last := 2 * l.AttemptTimeoutFactor * float64(g.LatencyObjective) * float64(l.DefaultRetries-control.RetryIfNotExecuted)
	if g.Idempotency == control.Idempotent || g.DeduplicationScope == control.ScopeAll && last < float64(g.DeduplicationWindow) {
		return l.DefaultRetries
	}
	return min(l.DefaultRetries, control.RetryIfNotExecuted)
}

func (l *levels) take(n any) {
	switch n := n.(type) {
	case control.Demand:
		l.came = append(l.came, sums{n, l.now})
	case control.FleetRestored:
		l.past, l.since, l.judged, l.served = n, l.now, l.now, append(l.served, n.Weight*n.MaxSuccessRate)
		l.once, l.turned = n.RetriesStopped && n.Weight >= confidenceLeft, l.now
	case fleet:
		flows, by, fresh, all, missed := l.sums()
		if l.now-l.since < recent { // the first sums tell of few of the flows
			were := map[int]float64{}
			for _, u := range l.past.RequestRates {
				were[u.Class] += u.Rate * l.past.Weight
			}
			for g, rate := range were {
				flows[g] = math.Max(flows[g], rate)
			}
		}
		l.post(thePlanner, demand{float64(missed) / math.Max(1, float64(all)), by, fresh})
		l.judge(n, flows)
	}
}

func (l *levels) ranked() []int {
	return slices.SortedStableFunc(numbers(len(l.Classes)), func(a, b int) int {
		x, y := l.Classes[a], l.Classes[b]
		return cmp.Or(cmp.Compare(y.PriorityWeight, x.PriorityWeight), cmp.Compare(x.LatencyObjective, y.LatencyObjective))
	})
}

// judge moves the line of utility. An overloaded fleet is first let less than the most it served lately, then
// a part less at each look, unless it eases; a calm one a bit more. It harms if answers are late for the way.
func (l *levels) judge(f fleet, flows map[int]float64) {
	if l.groups == nil {
		l.groups = l.ranked()
		l.line = float64(len(l.groups)) * (1 - l.past.Weight*(1-l.past.AdmissionThreshold))
	}
	press := f.answer * float64(second) / strained / float64(l.Classes[l.groups[0]].LatencyObjective)
	if f.answer > lateMost*f.calm { // else misses are connections refused, silence, errors: no overload
		press = math.Max(press, f.most/missedMost)
	}
	answers := f.tries * (1 - f.bad) * float64(recent) / float64(second) // too few tell of no queue
	over := press > 1 && answers >= sickTries && l.Admission == control.AdmitFraction
	// Full queues hold work whose clients have left, and only fewer tries let them drain.
	if once := f.bad > missedOnce || l.once && f.bad > missedOnce/2; once != l.once && l.now-l.turned > recent {
		l.once, l.turned = once, l.now
		l.say("one try only %v: %.2f missed", once, f.bad)
	}
	l.served = newest(2*samplesKept, append(l.served, f.tries*(1-f.bad)/math.Max(1e-9, f.serves)))
	if !over {
		l.eased = l.now
	}
	switch all := float64(len(l.groups)); {
	case l.now-l.fell < recent, // the samples still tell of the time before the last move
		over && l.now-l.eased < l.age: // or of what may have passed before they came
	case over && l.line < all:
		if press > l.press { // what eases by itself needs no further fall
			l.line *= lineDown
		}
		l.press, l.fell = press, l.now
	case over:
		// All that came was tried: where fewer tries are told of than flows, fewer answers are as well.
		left := lineFirst * slices.Max(l.served) * f.serves * math.Max(1, total(flows)/math.Max(1, f.tries))
		l.line, l.press, l.fell = 0, press, l.now
		for _, g := range l.groups {
			l.line += math.Min(1, math.Max(0, left)/math.Max(1, flows[g]))
			left -= flows[g]
		}
	default:
		calm := math.Max(1, float64(l.now-l.fell)/float64(demandSpan)) // the longer, the quicker
		l.line = math.Min(all, l.line+lineUp*calm*all*float64(l.now-l.judged)/float64(second))
	}
	l.judged = l.now
	if over != l.strain {
		l.strain = over
		l.say("overload %v: %.2f missed, answers %.3fs, line at %.2f groups", over, f.most, f.answer, l.line)
	}
	for rank, g := range l.groups { // those over the line get all, those under it what is left
		share := math.Min(1, math.Max(0, math.Ceil(shareSteps*(l.line-float64(rank)))/shareSteps))
		o := control.SetAdmission{Table: control.AllTables, Class: g, Fraction: share, Retries: l.usual(l.Classes[g])}
		if l.once {
			o.Retries = control.NoRetry
		}
		if last, ok := l.set[g]; ok && last != o || !ok && (share < 1 || o.Retries != l.DefaultRetries) {
			l.set[g] = o
			l.post(thePacer, o)
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

func (s *sequence) take(n any) {
	switch n := n.(type) {
	case target:
		s.want = n
		maps.Copy(s.out, n.out)
	case forget: // stays withdrawn: no lift is ordered for who is forgotten
		delete(s.out, n.id)
	case control.Bind:
		s.moves[n.Proxy] = n.Table
	case marked:
		s.note(n)
		return
	case acked:
		delete(s.open, n.mark)
	case tick:
		maps.DeleteFunc(s.open, func(_ uint64, since int64) bool { return s.now-since > stepTimeout })
	default:
		return
	}
	s.proceed()
}

// proceed hands the pacer what the open step has to send. A new target folds in: additions go at once. A step
// whose marks are answered is over though more of its kind has come, or removals would be kept back for ever.
func (s *sequence) proceed() {
	first, orders := s.orders(add), []control.Command(nil)
	for range steps {
		if orders = first; s.at != add && (s.at != remove || len(first)+len(s.moves) == 0) { // removals wait for additions and moves
			orders = append(slices.Clone(first), s.orders(s.at)...)
		}
		if len(s.open) > 0 || len(orders) > 0 && !s.sent {
			break
		}
		s.at, s.sent = (s.at+1)%steps, false
	}
	s.post(thePacer, step{len(first), orders})
}

func (s *sequence) orders(at int) []control.Command {
	var ls []line
	sums := map[int]float64{} // whole tables, as a message's head costs more than a line
	size := func(l line) float64 {
		return math.Abs(s.want.lines[l]-s.laid[l]) / math.Max(s.laid[l], s.want.lines[l])
	}
	lines := maps.Clone(s.laid)
	maps.Copy(lines, s.want.lines)
	for l := range lines {
		want, has, kind := s.want.lines[l], s.laid[l], overwrite
		switch {
		case has == 0 || s.out[l.id] && !s.want.out[l.id]: // who is let in is picked by its lines as they stand
			kind = add
		case want == 0:
			kind = remove
		}
		if kind == at && want >= 0 && want != has && (kind == add || size(l) >= changeWorth) {
			ls = append(ls, l)
			sums[l.table] = math.Max(sums[l.table], size(l))
		}
	}
	slices.SortFunc(ls, func(a, b line) int {
		return cmp.Or(cmp.Compare(sums[b.table], sums[a.table]), cmp.Compare(a.table, b.table),
			cmp.Compare(size(b), size(a)), cmp.Compare(a.id, b.id))
	})
	var orders, raised []control.Command
	for _, l := range ls {
		o := control.SetEndpoint{Table: l.table, Replica: l.id, Weight: s.want.lines[l]}
		if has := s.laid[l]; has > 0 && s.out[l.id] && o.Weight > has { // let in by less is safe, and needs no line first
			raised = append(raised, o)
		} else {
			orders = append(orders, o)
		}
	}
	for _, id := range sorted(s.out) {
		if at == add && s.out[id] && !s.want.out[id] {
			orders = append(orders, control.SetEjected{Replica: id})
		}
	}
	orders = append(orders, raised...)
	for _, proxy := range sorted(s.moves) {
		if at == rebind {
			orders = append(orders, control.Bind{Proxy: proxy, Table: s.moves[proxy]})
		}
	}
	return orders
}

// ---- pacer: the only sender

func (p *pacer) take(n any) {
	switch n := n.(type) {
	case control.SetEjected:
		p.urgent = slices.Insert(p.urgent, 0, control.Command(n))
	case control.Bind:
		p.urgent = append(p.urgent, n)
	case control.SetAdmission:
		p.urgent = append(p.urgent, n)
	case control.StreamOpened:
		p.join(n) // its cap knows nothing of streams
	case control.StreamClosed:
		p.leave(n.Proxy)
	case forget:
		delete(p.ejected, n.id)
	case coldSet:
		p.cold = n
	case step:
		p.step = n
	case acked: // messages leave in order: an answer clears all that was written before its own
		p.orphan(n)
		p.clear(n)
	case closing:
		p.send()
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
	m := marked{orders: p.sendStep()}
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
	if m.proxies = sorted(p.reached); len(m.proxies) > 0 {
		p.mark++
		m.mark = p.mark
		p.out = append(p.out, control.RequestAck{Nonce: m.mark & marksMask})
		due := p.now + beat + p.MaxTransit + int64((p.waits+p.cost)/p.ChannelRate*float64(second))
		p.under = append(p.under, batch{mark: m.mark, lines: p.cost, at: p.now, due: due})
		p.count(m.proxies)
		p.post(theRegistry, m)
	}
	p.post(theSequence, m)
}
