// Package binding decides which table serves each proxy, and tracks the acknowledgements that proxies have not sent yet.
//
// Each connected proxy is assigned to one table of its zone and keeps it: its connections to the table's replicas are
// already open, and each change of table costs a complete table on the channel. Four events change which table a proxy is
// bound to.
//
//   - A proxy connects (FirstBind): it is assigned to the table of its zone with the fewest requests per second, or to the
//     table that it had at an earlier controller if the number of tables is the same and that table is in its zone.
//   - Another table starts to serve the proxies of a table because all of the table's own replicas are gone, or stops
//     serving them (Move).
//   - The settings have changed and replicas have been assigned to tables again (Reassign): a proxy keeps its table if the
//     number of tables is the same as before and its table is still in its zone; otherwise it is assigned like a new proxy.
//   - A proxy disconnects: its state is dropped. A new stream starts without a binding, whatever the proxy was bound to
//     before.
//
// A FirstBind is sent at once, as the proxy has no table yet. A Move is sent in the third step of an update, after the
// endpoints of the new table have been sent.
package binding

import (
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/internal/zone"
)

// noTable is the table number of a proxy that is not assigned to a table yet.
const noTable = -1

// Proxy is a connected proxy.
type Proxy struct {
	control.StreamOpened
	ConnectedAt time.Duration
	Table       int // table that the proxy is assigned to; negative: none yet
}

// ChangeKind is the kind of change of a proxy's binding, which determines how the change is sent.
type ChangeKind int

// The kinds of changes.
const (
	Unchanged ChangeKind = iota // the proxy stays bound to its table
	FirstBind                   // the proxy was not bound to a table
	Move                        // the proxy was bound to another table
)

// Change is the decision on the binding of one proxy.
type Change struct {
	Proxy Proxy
	Kind  ChangeKind
	Table int // table that serves the proxy after the change: its own, or the sibling table that replaces it
}

// earlierController holds what an earlier controller had learned about proxies. The zero value holds no learned state.
type earlierController struct {
	confidence float64         // confidence in the learned state, from 0 to 1; lower the older that state is
	tables     int             // number of tables at the earlier controller
	bindings   map[int]int     // by proxy: its table there; removed once the proxy is assigned
	rates      map[int]float64 // by proxy: requests per second
}

// Bindings holds the table of each connected proxy. Proxies are always assigned in the order of their numbers, as each
// assignment depends on the previous ones.
type Bindings struct {
	settings        *control.Settings
	proxies         map[int]*Proxy
	unassignedCount int   // number of proxies without a table
	serving         []int // by table: the table that serves its proxies; nil before the first assignment
	earlier         earlierController
}

// New returns Bindings without proxies. The settings are read at each call, so that changes take effect at once.
func New(settings *control.Settings) *Bindings {
	return &Bindings{settings: settings, proxies: map[int]*Proxy{}}
}

// Restore adopts what an earlier controller had learned about proxies.
func (b *Bindings) Restore(fleet control.FleetRestored) {
	b.earlier = earlierController{
		confidence: fleet.Confidence,
		tables:     fleet.TableCount,
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

// Connect adds a proxy that has opened a stream. If an earlier controller measured the proxy's request rate, the proxy's own
// forecast is corrected towards it by the confidence in that controller's state.
func (b *Bindings) Connect(now time.Duration, opened control.StreamOpened) {
	if counted, ok := b.earlier.rates[opened.Proxy]; ok {
		opened.ForecastRate += (counted - opened.ForecastRate) * b.earlier.confidence
	}
	b.Disconnect(opened.Proxy)
	b.proxies[opened.Proxy] = &Proxy{opened, now, noTable}
	b.unassignedCount++
}

// Disconnect removes a proxy.
func (b *Bindings) Disconnect(proxy int) {
	p := b.proxies[proxy]
	if p != nil && p.Table < 0 {
		b.unassignedCount--
	}
	delete(b.proxies, proxy)
}

// Assign assigns each proxy that has no table, and returns the proxies that are to be bound: first the proxies of tables
// whose serving table has changed, then those that were assigned by this call. serving has an element for each table: the
// table that serves its proxies.
func (b *Bindings) Assign(serving []int) []Change {
	if b.unassignedCount == 0 && slices.Equal(serving, b.serving) {
		return nil
	}
	var changes []Change
	load := make([]float64, len(serving)) // by table: requests per second
	for _, number := range ordered.Keys(b.proxies) {
		proxy := b.proxies[number]
		if proxy.Table < 0 {
			continue
		}
		load[proxy.Table] += proxy.ForecastRate
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
		load[proxy.Table] += proxy.ForecastRate
		b.unassignedCount--
		changes = append(changes, Change{*proxy, FirstBind, serving[proxy.Table]})
	}
	b.serving = serving
	return changes
}

// firstTable returns the table for a proxy that has just connected: the one that it had at an earlier controller, as its
// connections to that table's replicas are open, or else the least loaded table of its zone. The earlier table is used only
// if the number of tables is the same and the table is in the proxy's zone.
func (b *Bindings) firstTable(proxy *Proxy, load []float64) int {
	tables := len(load)
	earlier, known := b.earlier.bindings[proxy.Proxy]
	delete(b.earlier.bindings, proxy.Proxy)
	if known && b.earlier.tables == tables && earlier < tables && b.isInZone(earlier, proxy, tables) {
		return earlier
	}
	return zone.LeastLoaded(proxy.Zone, b.settings.Zones, load)
}

// isInZone reports whether a table belongs to the proxy's zone, given the number of tables.
func (b *Bindings) isInZone(table int, proxy *Proxy, tables int) bool {
	stride := zone.Stride(b.settings.Zones, tables)
	return table%stride == proxy.Zone%stride
}

// Reassign adapts to replicas that were assigned to tables again under changed settings, and returns a decision for each
// proxy that had a table. After the change each table serves its own proxies. tablesBefore and tables are the numbers of
// tables before and after the change; bound is the table that each proxy is currently bound to, negative for none.
func (b *Bindings) Reassign(tablesBefore, tables int, bound map[int]int) []Change {
	b.serving = make([]int, tables)
	for table := range b.serving {
		b.serving[table] = table
	}
	stays := func(proxy *Proxy) bool { return tablesBefore == tables && b.isInZone(proxy.Table, proxy, tables) }
	assigned := slices.DeleteFunc(ordered.Keys(b.proxies), func(number int) bool { return b.proxies[number].Table < 0 })
	load := make([]float64, tables) // by table: requests per second
	for _, number := range assigned {
		proxy := b.proxies[number]
		if stays(proxy) {
			load[proxy.Table] += proxy.ForecastRate
		}
	}
	var changes []Change
	for _, number := range assigned {
		proxy := b.proxies[number]
		if !stays(proxy) {
			proxy.Table = zone.LeastLoaded(proxy.Zone, b.settings.Zones, load)
			load[proxy.Table] += proxy.ForecastRate
		}
		changes = append(changes, Change{*proxy, changeKind(bound[number], proxy.Table), proxy.Table})
	}
	return changes
}

// changeKind returns the kind of change for a proxy, given the table that it is bound to and the table that it is assigned
// to.
func changeKind(bound, assigned int) ChangeKind {
	switch {
	case bound < 0:
		return FirstBind
	case bound != assigned:
		return Move
	default:
		return Unchanged
	}
}

// RenumberZones replaces the zone number of each given proxy that is connected, and returns the connected ones that have a
// table.
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

// KeepsZones reports whether each proxy's zone still has the same tables under new zone numbers. A table belongs to a zone
// if both numbers have the same remainder when divided by stride (see zone.Stride).
func (b *Bindings) KeepsZones(stride int, proxies []control.StreamOpened) bool {
	for _, renumbered := range proxies {
		proxy := b.proxies[renumbered.Proxy]
		if proxy != nil && proxy.Zone%stride != renumbered.Zone%stride {
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

// ServingTables returns, for each table, the table that serves its proxies.
func (b *Bindings) ServingTables() []int { return slices.Clone(b.serving) }

// LearnedBindings returns the table of each proxy that has one, sorted by proxy.
func (b *Bindings) LearnedBindings() []control.Binding {
	var bindings []control.Binding
	for _, number := range ordered.Keys(b.proxies) {
		proxy := b.proxies[number]
		if proxy.Table >= 0 {
			bindings = append(bindings, control.Binding{Proxy: number, Table: proxy.Table})
		}
	}
	return bindings
}
