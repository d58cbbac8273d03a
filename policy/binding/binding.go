// Package binding decides which table serves a proxy, and counts the acknowledgements that proxies owe.
//
// Each connected proxy is assigned to one table of its zone and stays with it: connections to the table's replicas are open
// already, and each change of table costs a complete table on the channel. Four events change what a proxy is bound to.
//
//   - A proxy has connected (FirstBind): it is assigned to the table of its zone with the least requests a second, or to the one
//     that it had at an earlier controller if the tables are still as many and that one is in its zone.
//   - Another table serves the proxies of a table (Move), as its own replicas are all gone, or does so no longer.
//   - The settings have changed and the tables were assigned anew (Reassign): a proxy stays where it is if there are as many
//     tables as before and its table is still in its zone, else it is assigned as a new one.
//   - A proxy has disconnected: it is forgotten. Whatever it was bound to, a new stream begins without a binding.
//
// A FirstBind is sent at once, as the proxy has no table yet. A Move is the third step of an update, once the endpoints of the
// new table are sent.
package binding

import (
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/internal/zone"
)

// unassigned is the table of a proxy that has none yet.
const unassigned = -1

// Proxy is a connected proxy.
type Proxy struct {
	control.StreamOpened
	ConnectedAt time.Duration
	Table       int // that it is assigned to; below 0: none yet
}

// Kind says how a changed binding reaches the proxy.
type Kind int

// The kinds of changes.
const (
	Unchanged Kind = iota // the proxy stays bound to its table
	FirstBind             // the proxy is bound to no table yet
	Move                  // the proxy is bound to another table
)

// Change is the decision on one proxy.
type Change struct {
	Proxy Proxy
	Kind  Kind
	Table int // that serves the proxy from now on: its own, or the sibling table that stands in for it
}

// earlierController is what an earlier controller knew of proxies. The zero value knows nothing.
type earlierController struct {
	confidence float64 // left by the age of this knowledge, 0 to 1
	tables     int
	bindings   map[int]int     // the table of each proxy; a proxy that has connected since is removed
	rates      map[int]float64 // requests a second of each proxy
}

// Bindings holds the table of each connected proxy. Proxies are always visited in the order of their numbers, as each
// assignment depends on those before it.
type Bindings struct {
	settings   *control.Settings
	proxies    map[int]*Proxy
	unassigned int   // how many of them have no table
	serving    []int // for each table, the one that serves its proxies; nil before the first assignment
	earlier    earlierController
}

// New returns Bindings without proxies. It reads the settings at each call, so that changed settings hold at once.
func New(settings *control.Settings) *Bindings {
	return &Bindings{settings: settings, proxies: map[int]*Proxy{}}
}

// Restore takes what an earlier controller knew of proxies.
func (b *Bindings) Restore(fleet control.FleetRestored) {
	b.earlier = earlierController{
		confidence: fleet.Weight,
		tables:     fleet.Tables,
		bindings:   map[int]int{},
		rates:      map[int]float64{},
	}
	for _, binding := range fleet.Bindings {
		b.earlier.bindings[binding.Proxy] = binding.Table
	}
	for _, rate := range fleet.RequestRates {
		b.earlier.rates[rate.Proxy] += rate.Rate
	}
}

// Connect adds a proxy with a new stream. What an earlier controller counted of its requests corrects its own forecast.
func (b *Bindings) Connect(now time.Duration, opened control.StreamOpened) {
	if counted, ok := b.earlier.rates[opened.Proxy]; ok {
		opened.Rate += (counted - opened.Rate) * b.earlier.confidence
	}
	b.Disconnect(opened.Proxy)
	b.proxies[opened.Proxy] = &Proxy{opened, now, unassigned}
	b.unassigned++
}

// Disconnect forgets a proxy.
func (b *Bindings) Disconnect(proxy int) {
	p := b.proxies[proxy]
	if p != nil && p.Table < 0 {
		b.unassigned--
	}
	delete(b.proxies, proxy)
}

// Assign assigns each proxy that has no table, and returns the proxies that are to be bound: first those whose table another
// one serves from now on, then those that were assigned. Serving has an element for each table: the table that serves its
// proxies.
func (b *Bindings) Assign(serving []int) []Change {
	if b.unassigned == 0 && slices.Equal(serving, b.serving) {
		return nil
	}
	var changes []Change
	load := make([]float64, len(serving)) // requests a second of each table
	for _, number := range ordered.Keys(b.proxies) {
		proxy := b.proxies[number]
		if proxy.Table < 0 {
			continue
		}
		load[proxy.Table] += proxy.Rate
		if serving[proxy.Table] != b.serving[proxy.Table] {
			changes = append(changes, Change{*proxy, Move, serving[proxy.Table]})
		}
	}
	for _, number := range ordered.Keys(b.proxies) {
		proxy := b.proxies[number]
		if proxy.Table >= 0 {
			continue
		}
		proxy.Table = b.firstTable(proxy, load)
		load[proxy.Table] += proxy.Rate
		b.unassigned--
		changes = append(changes, Change{*proxy, FirstBind, serving[proxy.Table]})
	}
	b.serving = serving
	return changes
}

// firstTable returns the table of a proxy that has just connected: its earlier one, to which its connections are open, or else
// the least loaded one of its zone.
func (b *Bindings) firstTable(proxy *Proxy, load []float64) int {
	tables := len(load)
	earlier, known := b.earlier.bindings[proxy.Proxy]
	delete(b.earlier.bindings, proxy.Proxy)
	if known && b.earlier.tables == tables && earlier < tables && b.isInZone(earlier, proxy, tables) {
		return earlier
	}
	return zone.LeastLoaded(proxy.Zone, b.settings.Zones, load)
}

// isInZone reports whether a table, of so many, belongs to the proxy's zone.
func (b *Bindings) isInZone(table int, proxy *Proxy, tables int) bool {
	rows := zone.Rows(b.settings.Zones, tables)
	return table%rows == proxy.Zone%rows
}

// Reassign follows tables that were assigned anew under changed settings, and returns a decision for each proxy that had a
// table. From now on each table serves its own proxies. Before and tables are the numbers of tables; bound is the table that
// each proxy is bound to at the moment, below 0 for none.
func (b *Bindings) Reassign(before, tables int, bound map[int]int) []Change {
	b.serving = make([]int, tables)
	for table := range b.serving {
		b.serving[table] = table
	}
	stays := func(proxy *Proxy) bool { return before == tables && b.isInZone(proxy.Table, proxy, tables) }
	assigned := slices.DeleteFunc(ordered.Keys(b.proxies), func(number int) bool { return b.proxies[number].Table < 0 })
	load := make([]float64, tables) // requests a second of each table
	for _, number := range assigned {
		proxy := b.proxies[number]
		if stays(proxy) {
			load[proxy.Table] += proxy.Rate
		}
	}
	var changes []Change
	for _, number := range assigned {
		proxy := b.proxies[number]
		if !stays(proxy) {
			proxy.Table = zone.LeastLoaded(proxy.Zone, b.settings.Zones, load)
			load[proxy.Table] += proxy.Rate
		}
		changes = append(changes, Change{*proxy, kindOf(bound[number], proxy.Table), proxy.Table})
	}
	return changes
}

// kindOf returns the kind of the change of a proxy that is bound to one table and assigned to another.
func kindOf(bound, assigned int) Kind {
	switch {
	case bound < 0:
		return FirstBind
	case bound != assigned:
		return Move
	default:
		return Unchanged
	}
}

// RenumberZones takes over the new zone of each proxy, and returns those of them that have a table.
func (b *Bindings) RenumberZones(proxies []control.StreamOpened) []Proxy {
	var assigned []Proxy
	for _, renumbered := range proxies {
		proxy := b.proxies[renumbered.Proxy]
		if proxy == nil {
			continue
		}
		proxy.Zone = renumbered.Zone
		if proxy.Table >= 0 {
			assigned = append(assigned, *proxy)
		}
	}
	return assigned
}

// KeepsZones reports whether each proxy keeps its zone's tables under new zone numbers. The tables of a zone are those with the
// same remainder when divided by rows.
func (b *Bindings) KeepsZones(rows int, proxies []control.StreamOpened) bool {
	for _, renumbered := range proxies {
		proxy := b.proxies[renumbered.Proxy]
		if proxy != nil && proxy.Zone%rows != renumbered.Zone%rows {
			return false
		}
	}
	return true
}

// Proxies returns all connected proxies by number.
func (b *Bindings) Proxies() map[int]Proxy {
	proxies := map[int]Proxy{}
	for number, proxy := range b.proxies {
		proxies[number] = *proxy
	}
	return proxies
}

// Serving returns, for each table, the one that serves its proxies.
func (b *Bindings) Serving() []int { return slices.Clone(b.serving) }

// Learned returns the table of each proxy that has one, sorted by proxy.
func (b *Bindings) Learned() []control.Binding {
	var bindings []control.Binding
	for _, number := range ordered.Keys(b.proxies) {
		proxy := b.proxies[number]
		if proxy.Table >= 0 {
			bindings = append(bindings, control.Binding{Proxy: number, Table: proxy.Table})
		}
	}
	return bindings
}
