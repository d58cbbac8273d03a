package policy

import (
	"iter"
	"maps"
	"math"
	"reflect"
	"slices"

	"lilacbend/control"
)

// This file takes over changed settings while a governor runs. It keeps what was learned and laid out, under the new
// numbers of traffic groups, kinds and zones; tables are dealt anew, and their proxies moved by the ordinary steps, only
// where the new settings would have dealt them otherwise. It decides nothing: how tables are dealt, proxies put on them and
// groups ranked is said in brain.go.

// reconfigure puts changed settings in force.
func (g *Governor) reconfigure(e control.SettingsChanged) {
	p, r, l := g.queues[thePlanner].part.(*planner), g.queues[theRegistry].part.(*registry), g.queues[theLevels].part.(*levels)
	before, tables := g.Settings, p.tables
	fits := g.keepsRows(e, tables)
	g.Settings = e.Settings
	p.renumberKinds(e.NewHardwareClasses, before.HardwareClasses)
	l.renumberGroups(e.NewClasses)
	g.queues[thePacer].part.(*pacer).renumberGroups(e.NewClasses)
	r.renumberZones(e.Proxies)
	g.listed(control.ReplicasListed{Entries: slices.DeleteFunc(e.Replicas, g.asKnown)})
	g.settle()
	p.same = p.same && drawsAlike(before, e.Settings)
	if tables > 0 && (!fits || p.tablesUnder(before) != p.tablesUnder(e.Settings)) {
		p.redeal(tables)
		r.rebind(tables, p.tablesUnder(e.Settings), g.recallBinds())
		g.settle()
	}
}

// asKnown says whether a replica is listed as it was.
func (g *Governor) asKnown(e control.ListedReplica) bool {
	r := g.replicas[e.Replica]
	return r != nil && r.entry == e
}

// drawsAlike says whether settings differ in nothing that the draw of tables reads.
func drawsAlike(a, b control.Settings) bool {
	a.Classes, b.Classes = nil, nil
	return reflect.DeepEqual(a, b)
}

// keepsRows says whether every replica and proxy stays in the row of tables of its zone.
func (g *Governor) keepsRows(e control.SettingsChanged, tables int) bool {
	if tables == 0 {
		return true
	}
	after := sharedState{Settings: e.Settings}
	row := g.rows(tables)
	if after.rows(tables) != row {
		return false
	}
	for _, entry := range e.Replicas {
		if r := g.replicas[entry.Replica]; r != nil && r.entry.Zone%row != entry.Zone%row {
			return false
		}
	}
	here := g.queues[theRegistry].part.(*registry).here
	for _, joined := range e.Proxies {
		if c := here[joined.Proxy]; c != nil && c.Zone%row != joined.Zone%row {
			return false
		}
	}
	return true
}

// tablesUnder is how many tables a start with some settings would deal.
func (p *planner) tablesUnder(settings control.Settings) int {
	fresh := &planner{sharedState: &sharedState{Settings: settings}, offers: p.offers, own: map[uint32]int{}, laid: map[uint32]int{}}
	fresh.deal(sorted(p.offers))
	return fresh.tables
}

// redeal has the tables dealt anew with the next draw. Replicas stay where they are as far as their number allows, as
// after a restart.
func (p *planner) redeal(tables int) {
	maps.Copy(p.laid, p.own)
	p.before = tables
	p.own, p.tables = map[uint32]int{}, 0
}

// recallBinds drops the bindings that wait, and says where each proxy is bound; below 0: nowhere yet.
func (g *Governor) recallBinds() map[int]int {
	s, p := g.queues[theSequence].part.(*sequence), g.queues[thePacer].part.(*pacer)
	clear(s.moves)
	waits := func(o control.Command) bool {
		_, is := o.(control.Bind)
		return is
	}
	p.urgent = slices.DeleteFunc(p.urgent, waits)
	p.step.orders = slices.DeleteFunc(p.step.orders, waits)
	return p.bound
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

// renumberZones takes over the zones of the proxies.
func (r *registry) renumberZones(proxies []control.StreamOpened) {
	for _, joined := range proxies {
		c := r.here[joined.Proxy]
		if c == nil {
			continue
		}
		if c.Zone = joined.Zone; c.table >= 0 {
			r.post(thePlanner, *c)
		}
	}
}

// rebind puts the proxies on tables that were dealt anew. Where there are as many as before who is still in its row stays;
// all others move as in any update, once their new table is laid out. Bound says where each is bound now.
func (r *registry) rebind(before, tables int, bound map[int]int) {
	load, row := make([]float64, tables), r.rows(tables)
	r.boundTo = slices.Collect(numbers(tables))
	stays := func(c *binding) bool {
		return before == tables && c.table%row == c.Zone%row
	}
	members := slices.DeleteFunc(sorted(r.here), func(proxy int) bool { return r.here[proxy].table < 0 })
	for _, proxy := range members {
		if c := r.here[proxy]; stays(c) {
			load[c.table] += c.Rate
		}
	}
	for _, proxy := range members {
		c := r.here[proxy]
		if !stays(c) {
			c.table = r.least(c.Zone, load)
			load[c.table] += c.Rate
		}
		switch bind := (control.Bind{Proxy: proxy, Table: c.table}); {
		case bound[proxy] < 0:
			r.post(thePacer, bind)
		case bound[proxy] != c.table:
			r.post(theSequence, bind)
		}
		r.post(thePlanner, *c)
	}
}

// renumberGroups keeps sums, usage, orders and the line. The line stays with the groups: who was let in is, where none
// of more worth is kept out.
func (l *levels) renumberGroups(numbers []int) {
	l.came = slices.DeleteFunc(l.came, func(d sums) bool { return number(numbers, d.Class) < 0 })
	for k := range l.came {
		l.came[k].Class = number(numbers, l.came[k].Class)
	}
	var usage []control.ClassRate
	for _, u := range l.past.RequestRates {
		if u.Class = number(numbers, u.Class); u.Class >= 0 {
			usage = append(usage, u)
		}
	}
	l.past.RequestRates = usage
	set := map[int]control.SetAdmission{}
	for group, o := range l.set {
		if o.Class = number(numbers, group); o.Class >= 0 {
			set[o.Class] = o
		}
	}
	l.set = set
	if l.groups == nil {
		return
	}
	shares := map[int]float64{}
	for rank, group := range l.groups {
		shares[number(numbers, group)] = math.Min(1, math.Max(0, l.line-float64(rank)))
	}
	l.groups = l.ranked()
	l.line = float64(len(l.groups))
	for rank, group := range l.groups {
		if share, kept := shares[group]; kept && share < 1 {
			l.line = float64(rank) + share
			break
		}
	}
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

// number is the new number of an old one, below 0 where there is none.
func number(numbers []int, old int) int {
	if old < 0 || old >= len(numbers) {
		return -1
	}
	return numbers[old]
}

// numbers counts from 0.
func numbers(count int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for k := range count {
			if !yield(k) {
				return
			}
		}
	}
}
