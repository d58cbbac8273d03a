package policy

import (
	"reflect"
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/zone"
)

// reconfigure applies changed settings. Learned state is kept, under the new numbers of its traffic classes, hardware
// classes and zones. Tables are kept as well, unless a controller started with the new settings would create another number
// of tables, or a replica or proxy would no longer be in a table of its zone; then all replicas and proxies are reassigned,
// and an update moves the proxies from the old tables to the new ones.
func (p *Policy) reconfigure(changed control.SettingsChanged) {
	previous := p.Settings
	tableCount := p.placement.placer.Tables()
	keepsZones := p.keepsZones(changed, tableCount)
	p.Settings = changed.Settings
	p.placement.baselines.Renumber(changed.HardwareClassNumbers, previous.HardwareClasses, changed.HardwareClasses)
	p.admission.renumberClasses(changed.ClassNumbers)
	p.pacing.sender.RenumberClasses(changed.ClassNumbers)
	p.binding.renumberZones(changed.Proxies)
	p.applyEndpointList(control.ReplicasListed{Entries: slices.DeleteFunc(changed.Replicas, p.isListedAs)})
	p.deliverAll()
	p.placement.planIsCurrent = p.placement.planIsCurrent && sameForPlacement(previous, changed.Settings)
	if tableCount == 0 {
		return
	}
	newTableCount := p.placement.tableCountFor(changed.Settings)
	if keepsZones && p.placement.tableCountFor(previous) == newTableCount {
		return
	}
	p.placement.placer.Reassign()
	p.update.sequence.CancelRebinds()
	p.pacing.sender.CancelBinds()
	p.binding.reassign(tableCount, newTableCount, p.pacing.sender.Bindings())
	p.deliverAll()
}

// isListedAs reports whether a replica is already listed with an identical entry.
func (p *Policy) isListedAs(entry control.ListedReplica) bool {
	r := p.replicas[entry.Replica]
	return r != nil && r.entry == entry
}

// sameForPlacement reports whether two settings are equal in everything that placement reads: all but the traffic classes.
func sameForPlacement(a, b control.Settings) bool {
	a.Classes = nil
	b.Classes = nil
	return reflect.DeepEqual(a, b)
}

// keepsZones reports whether each replica and proxy is still in a table of its zone under the new settings. tableCount is
// the current number of tables.
func (p *Policy) keepsZones(changed control.SettingsChanged, tableCount int) bool {
	if tableCount == 0 {
		return true
	}
	stride := zone.Stride(p.Zones, tableCount)
	if zone.Stride(changed.Zones, tableCount) != stride {
		return false
	}
	for _, entry := range changed.Replicas {
		r := p.replicas[entry.Replica]
		if r != nil && r.entry.Zone%stride != entry.Zone%stride {
			return false
		}
	}
	return p.binding.bindings.KeepsZones(stride, changed.Proxies)
}
