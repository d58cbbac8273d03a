package policy

import (
	"lilacbend/control"
	"lilacbend/policy/internal/zone"
	"reflect"
	"slices"
)

// reconfigure puts changed settings in force.
func (g *Policy) reconfigure(e control.SettingsChanged) {
	p, r, l := g.queues[placementComponent].component.(*planner), g.queues[bindingComponent].component.(*binder), g.queues[admissionComponent].component.(*admissionController)
	before, tables := g.Settings, p.tables
	fits := g.keepsRows(e, tables)
	g.Settings = e.Settings
	p.renumberKinds(e.NewHardwareClasses, before.HardwareClasses)
	l.renumberGroups(e.NewClasses)
	g.queues[pacingComponent].component.(*pacer).reconfigure(e.NewClasses)
	r.renumberZones(e.Proxies)
	g.listed(control.ReplicasListed{Entries: slices.DeleteFunc(e.Replicas, g.asKnown)})
	g.deliverAll()
	p.same = p.same && drawsAlike(before, e.Settings)
	if tables > 0 && (!fits || p.tablesUnder(before) != p.tablesUnder(e.Settings)) {
		p.redeal(tables)
		r.rebind(tables, p.tablesUnder(e.Settings), g.recallBinds())
		g.deliverAll()
	}
}

// asKnown says whether a replica is listed as it was.
func (g *Policy) asKnown(e control.ListedReplica) bool {
	r := g.replicas[e.Replica]
	return r != nil && r.entry == e
}

// drawsAlike says whether settings differ in nothing that the draw of tables reads.
func drawsAlike(a, b control.Settings) bool {
	a.Classes, b.Classes = nil, nil
	return reflect.DeepEqual(a, b)
}

// keepsRows says whether every replica and proxy stays in the row of tables of its zone.
func (g *Policy) keepsRows(e control.SettingsChanged, tables int) bool {
	if tables == 0 {
		return true
	}
	after := sharedState{Settings: e.Settings}
	row := zone.Rows(g.Zones, tables)
	if zone.Rows(after.Zones, tables) != row {
		return false
	}
	for _, entry := range e.Replicas {
		if r := g.replicas[entry.Replica]; r != nil && r.entry.Zone%row != entry.Zone%row {
			return false
		}
	}
	here := g.queues[bindingComponent].component.(*binder).here
	for _, joined := range e.Proxies {
		if c := here[joined.Proxy]; c != nil && c.Zone%row != joined.Zone%row {
			return false
		}
	}
	return true
}

// recallBinds drops the bindings that wait, and says where each proxy is bound; below 0: nowhere yet.
func (g *Policy) recallBinds() map[int]int {
	g.queues[updateComponent].component.(*updater).sequence.CancelRebinds()
	sender := g.queues[pacingComponent].component.(*pacer).sender
	sender.CancelBinds()
	return sender.Bindings()
}

// number is the new number of an old one, below 0 where there is none.
func number(numbers []int, old int) int {
	if old < 0 || old >= len(numbers) {
		return -1
	}
	return numbers[old]
}
