package policy

import (
	"cmp"
	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/internal/sample"
	"lilacbend/policy/internal/zone"
	"maps"
	"math"
	"slices"
)

// Tuned values of tables and baselines.
const (
	proxiesTable = 5        // least of a table
	linesTable   = 5.0      // least of a table
	turns        = 10007    // mixes the guests
	kindSpread   = 2        // calm kinds
	shrink       = 8.0      // prior of a weight
	slowest      = 1.0 / 16 // least of a weight
	idleFirst    = 0.85     // idle part of the calm, at first
	idleLast     = 0.6      // and later
	firstSamples = 15.0
	drain        = 0.1 // full queues cost weight
	drainMost    = 5.0
	sickMost     = 0.75 // so many are out
	slowAnswer   = 2.0  // so much later is slow
	spareGuest   = 1.1  // over its own: guests come
	spareIdler   = 1.35 // likewise, of proxies that pick the less loaded
	deadPart     = 0.65 // so few serve: guests come
	mostPart     = 0.75 // of most replicas
	guestSteps   = 10   // steps of guests
	priorSpan    = 4.0  // seconds for which the rate of a hello counts
	surge        = 1.5  // a sudden rise
	penaltyMost  = 0.4  // of more, none is
)

var spares = [...]float64{spareGuest, spareGuest, spareIdler} // by control.Pick

type planner struct {
	*sharedState
	offers map[uint32]replicaStatus
	crowd  []*connectedProxy // by proxy
	calm   map[int][]float64 // the last answer times of each kind
	judged int64
	out    map[uint32]bool
	own    map[uint32]int // the table of each replica
	same   bool           // nothing has changed since the last draw
	tables int            // how many, once the first list has come
	demand demandSummary  // of the last few seconds
	spared bool           // the cold stay in though much is lost, as all of them together can bear it
	laid   map[uint32]int // tables of an earlier governor, of so many
	before int
}

func (p *planner) handle(m message) {
	switch n := m.(type) {
	case tickStarted:
		p.norms()
	case streamClosed:
		p.leave(n.Proxy)
	case replicaStatus:
		p.offers[n.Replica] = n
	case demandSummary:
		p.demand = n
	case replicaEvicted:
		delete(p.offers, n.replica)
		delete(p.own, n.replica)
		delete(p.laid, n.replica)
	case proxyBound:
		p.enter(n.connectedProxy)
	case replicaRestored:
		p.laid[n.Replica] = n.Table
	case fleetRestored:
		p.before = n.Tables
		for kind, calm := range n.BaselineResponseTimes {
			if left := int(math.Round(n.Weight * float64(len(calm)))); left > 0 {
				p.calm[kind] = slices.Clone(calm[len(calm)-left:])
			}
		}
	case placementDue:
		if !p.same {
			p.redraw()
		}
		p.same = true
		return
	default:
		unexpected(p, m)
	}
	p.same = false
}

// norms tells each replica how its kind answers, how much all miss, and its worth: the listed size unless
// slow, else the flows it could answer: what it answers, by how busy its answer time of that moment shows it.
func (p *planner) norms() {
	type sum struct{ good, answer, count, able float64 }
	kinds, sizes, ids, all := map[int]sum{}, map[float64]bool{}, ordered.Keys(p.offers), p.HardwareClasses
	shares, bears, told := []float64{}, 0.0, 1e-9                                      // missed of each; what the cold could bear, and all tries
	missed, tries, serves, quick, gave, warm := 0.0, 0.0, 0.0, math.Inf(1), 1e-9, 1e-9 // good of the warm
	for _, calm := range p.calm {
		quick = min(quick, slices.Min(calm))
	}
	well := func(o replicaStatus) bool {
		return !o.sick && !o.trial && o.State == control.Ready && !o.cold && o.answer > 0
	}
	idle := idleLast + (idleFirst-idleLast)*math.Max(0, 1-float64(len(p.calm[all]))/firstSamples)
	able := func(o replicaStatus) float64 {
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
				p.calm[kind] = sample.Newest(sample.Kept, append(p.calm[kind], k.answer/k.good))
			}
		}
	}
	bad, fleetAble := missed/math.Max(1, tries), kinds[all].able/math.Max(1, kinds[all].count)
	p.spared = bears >= told/gave*warm && max(bad, p.demand.failedFraction) > coldLost
	for _, id := range ids {
		o := p.offers[id]
		k := kinds[o.HardwareClass]
		n := fleetBaseline{math.Inf(1), k.good / math.Max(1, k.count), 1, bad, 0}
		// Cold ones who together could bear all that is tried hear of no loss: the warm would drown. All or none:
		// those of one table would be guests of every other, and get what comes to the cold that are kept out.
		if bears < told/gave*warm {
			n.lost = max(bad, p.demand.failedFraction)
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
		p.enqueue(o.box, n)
	}
	f := fleetLoad{attemptRate: tries * float64(second) / float64(recent), failureRate: bad, inService: serves,
		responseTime: kinds[all].answer / math.Max(1, kinds[all].good), baselineResponseTime: quick}
	slices.Sort(shares) // a few that fail are no overload
	f.typicalFailureRate = sample.Mean(shares[:int(math.Ceil(mostPart*float64(len(shares))))])
	p.enqueue(admissionComponent, f)
}

// redraw works out the target tables: each a fixed draw by listed weight among the replicas of its zones,
// none longer than lets all be bound in half the channel's limit, with guests where its own could not carry
// its proxies, no more of each than its own table can spare. One that lost all gives its proxies to a sister.
func (p *planner) redraw() {
	ids := ordered.Keys(p.offers)
	tickets := func(a, b uint32) int { return cmp.Compare(p.offers[b].ticket, p.offers[a].ticket) }
	slices.SortStableFunc(ids, func(a, b uint32) int { // each kind is dealt round the tables
		return cmp.Or(cmp.Compare(p.offers[a].HardwareClass, p.offers[b].HardwareClass), tickets(a, b))
	})
	if p.deal(ids); p.tables == 0 {
		return
	}
	slices.SortStableFunc(ids, tickets) // where a table has no room for all of its own
	tables, row, total, all := p.tables, zone.Rows(p.Zones, p.tables), 1e-9, 1e-9
	t := targetTables{map[tableEndpoint]float64{}, p.shutOut(ids, row)}
	need, home, serves, penalized := make([]float64, tables), make([]float64, tables), make([]float64, tables), 0.0
	for _, id := range ids {
		if o := p.offers[id]; o.State == control.Ready {
			if home[p.own[id]] += o.size; !t.ejected[id] {
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
			rate := (c.Rate*priorSpan + p.demand.requests[c.Proxy]) / (priorSpan + span)
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
			if drawn[table]++; t.ejected[id] { // who is withdrawn takes no guest's room
				w, drawn[table] = -1, drawn[table]-1
			}
			t.weights[tableEndpoint{table, id}] = w
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
			if lacks > 0 && p.own[id] != table && !t.ejected[id] && (spare[id] > 0 || home[table] == 0) {
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
	p.enqueue(pacingComponent, p.coldest(ids))
	p.enqueue(bindingComponent, tablesAssigned{seats})
	p.enqueue(updateComponent, t)
}

// deal gives each new replica to one table of its zone for good, the one whose own are fewest by listed
// weight. A zone is split over several tables while each keeps lines enough.
func (p *planner) deal(ids []uint32) {
	most := max(1, (p.Proxies/max(1, p.Controllers)-1)/proxiesTable)
	if row := zone.Rows(p.Zones, most); p.tables == 0 && len(ids) > 0 {
		p.tables = row * max(1, min(most/row, int(math.Round(float64(len(ids)/row)/linesTable))))
	}
	held := make([]float64, p.tables)
	for _, id := range ids { // as an earlier governor dealt, while there are as many tables
		row := zone.Rows(p.Zones, p.tables)
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
			p.own[id] = zone.LeastLoaded(p.offers[id].Zone, p.Zones, held)
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
		usual[zone], newest[zone] = usual[zone]+p.demand.requests[c.Proxy], newest[zone]+p.demand.latestRequests[c.Proxy]
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
			p.enqueue(pacingComponent, ejectionDue{id})
		}
	}
	p.out = out
	return out
}

// find is where a proxy is, or would be, in the crowd.
func (p *planner) find(proxy int) (int, bool) {
	return slices.BinarySearchFunc(p.crowd, proxy, func(c *connectedProxy, proxy int) int { return cmp.Compare(c.Proxy, proxy) })
}

func (p *planner) enter(c connectedProxy) {
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

// coldest are the replicas that are cold.
func (p *planner) coldest(ids []uint32) warmingReplicas {
	all := warmingReplicas{map[uint32]bool{}, p.spared}
	for _, id := range ids {
		if p.offers[id].cold {
			all.replicas[id] = true
		}
	}
	return all
}

// tablesUnder is how many tables a start with some settings would deal.
func (p *planner) tablesUnder(settings control.Settings) int {
	fresh := &planner{sharedState: &sharedState{Settings: settings}, offers: p.offers, own: map[uint32]int{}, laid: map[uint32]int{}}
	fresh.deal(ordered.Keys(p.offers))
	return fresh.tables
}

// redeal has the tables dealt anew with the next draw. Replicas stay where they are as far as their number allows, as
// after a restart.
func (p *planner) redeal(tables int) {
	maps.Copy(p.laid, p.own)
	p.before = tables
	p.own, p.tables = map[uint32]int{}, 0
}

// renumberKinds keeps the calm answer times of each kind, of those that are not named and of all together.
func (p *planner) renumberKinds(numbers []int, all int) {
	calm := map[int][]float64{}
	for kind, answers := range p.calm {
		switch {
		case kind == all:
			calm[p.HardwareClasses] = answers
		case kind < len(numbers) && numbers[kind] >= 0:
			calm[numbers[kind]] = answers
		}
	}
	p.calm = calm
}
