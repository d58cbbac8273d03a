package policy

import (
	"reflect"
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/renumber"
	"lilacbend/policy/internal/zone"
)

// reconfigure puts changed settings in force. What was learned stays, under its new numbers. Tables stay as they are, unless a
// start under the new settings would have another number of tables, or a replica or proxy would no longer be in a table of its
// zone; then all are assigned anew, and an update leads there.
func (p *Policy) reconfigure(changed control.SettingsChanged) {
	before := p.Settings
	tables := p.placement.placer.Tables()
	keepsZones := p.keepsZones(changed, tables)
	p.Settings = changed.Settings
	p.placement.baselines.Renumber(changed.NewHardwareClasses, before.HardwareClasses, changed.HardwareClasses)
	p.admission.renumberClasses(changed.NewClasses)
	p.pacing.renumberGroups(changed.NewClasses)
	p.binding.renumberZones(changed.Proxies)
	p.listReplicas(control.ReplicasListed{Entries: slices.DeleteFunc(changed.Replicas, p.isListedAs)})
	p.deliverAll()
	p.placement.placed = p.placement.placed && sameForPlacement(before, changed.Settings)
	if tables == 0 {
		return
	}
	tablesAtStart := p.placement.tablesUnder(changed.Settings)
	if keepsZones && p.placement.tablesUnder(before) == tablesAtStart {
		return
	}
	p.placement.placer.Reassign()
	p.update.dropMoves()
	p.binding.reassign(tables, tablesAtStart, p.pacing.dropBinds())
	p.deliverAll()
}

// isListedAs reports whether a replica is listed with this very entry.
func (p *Policy) isListedAs(entry control.ListedReplica) bool {
	r := p.replicas[entry.Replica]
	return r != nil && r.entry == entry
}

// sameForPlacement reports whether settings differ in nothing that placement reads.
func sameForPlacement(a, b control.Settings) bool {
	a.Classes = nil
	b.Classes = nil
	return reflect.DeepEqual(a, b)
}

// keepsZones reports whether each replica and proxy is in a table of its zone under the new settings as well.
func (p *Policy) keepsZones(changed control.SettingsChanged, tables int) bool {
	if tables == 0 {
		return true
	}
	rows := zone.Rows(p.Zones, tables)
	if zone.Rows(changed.Zones, tables) != rows {
		return false
	}
	for _, entry := range changed.Replicas {
		r := p.replicas[entry.Replica]
		if r != nil && r.entry.Zone%rows != entry.Zone%rows {
			return false
		}
	}
	return p.binding.bindings.KeepsZones(rows, changed.Proxies)
}

// dropMoves drops the proxies that an update was to bind to another table.
func (s *updater) dropMoves() { clear(s.moves) }

// dropBinds drops the binds that wait, and returns the table that each proxy is bound to, below 0 for none.
func (p *pacer) dropBinds() map[int]int {
	isBind := func(command control.Command) bool {
		_, is := command.(control.Bind)
		return is
	}
	p.urgent = slices.DeleteFunc(p.urgent, isBind)
	p.step.orders = slices.DeleteFunc(p.step.orders, isBind)
	return p.bound
}

// number returns the new number of an old one, below 0 where there is none.
func number(newer []int, old int) int {
	number, exists := renumber.Lookup(newer, old)
	if !exists {
		return -1
	}
	return number
}
