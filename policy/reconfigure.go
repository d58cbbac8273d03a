package policy

import (
	"reflect"
	"slices"

	"lilacbend/control"
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
	p.pacing.sender.RenumberClasses(changed.NewClasses)
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
	p.update.sequence.CancelRebinds()
	p.pacing.sender.CancelBinds()
	p.binding.reassign(tables, tablesAtStart, p.pacing.sender.Bindings())
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
