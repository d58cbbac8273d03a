package controller

import (
	"fmt"
	"maps"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/revision"
	"lilacbend/settings"
)

// This file puts changed settings in force while the governor runs: whole or not at all, between two turns of the module,
// with all streams, what they were told, the channel's account and what was learned kept.

// maxFormerZones bounds the zones that are remembered after they have left the settings.
const maxFormerZones = 1 << 10

// Configure is an input: settings to put in force. They have passed the checks of a governor's start; Start makes modules
// by them.
type Configure struct {
	Version  revision.Version
	Names    settings.Names
	Settings control.Settings
	Start    func() Module
}

// ConfigurationResult says what became of a Configure: in force, or refused for a reason.
type ConfigurationResult struct {
	Configure
	Err error
}

// configuration is what settings determine.
type configuration struct {
	version  revision.Version
	topology Topology
	start    func() Module
}

// ConfigurationVersion is the version of the settings in force; zero are those of the start.
func (c *Core) ConfigurationVersion() revision.Version { return c.version }

// CurrentTopology is the topology in force, for those who check streams before they come here.
func (c *Core) CurrentTopology() Topology { return c.Topology }

// configure takes over settings with this turn.
func (c *Core) configure(n Configure) []control.Event {
	census := NewTopology(n.Names, n.Settings)
	if err := c.Accepts(census); err != nil {
		c.Counters.ConfigurationsRefused++
		c.configured = append(c.configured, ConfigurationResult{n, err})
		return nil
	}
	if c.previous == nil {
		c.previous = &configuration{c.version, c.Topology, c.newModule}
	}
	before := c.names
	census.names.Zones = sameOrder(before.Zones, n.Names.Zones)
	census.former = c.formerZones(n.Names.Zones)
	c.adopt(configuration{n.Version, census, n.Start})
	c.Counters.ConfigurationsApplied++
	c.configured = append(c.configured, ConfigurationResult{n, nil})
	classes := renumbered(before.Classes, c.names.Classes)
	c.renumberAdmissions(classes, before.Classes)
	if c.fresh { // nothing was told to it yet
		c.module = c.newModule()
		return nil
	}
	event := control.SettingsChanged{Settings: n.Settings, NewClasses: classes,
		NewHardwareClasses: append(renumbered(before.HardwareClasses, c.names.HardwareClasses), len(c.names.HardwareClasses)), Replicas: c.currentList().Entries}
	for _, proxy := range sortedKeys(c.proxies) {
		event.Proxies = append(event.Proxies, c.proxies[proxy].opened)
	}
	return []control.Event{event}
}

// Accepts names a setting that cannot change while proxies are joined: what they were told before would mean something
// else to them.
func (c Topology) Accepts(next Topology) error {
	if c.admission != next.admission {
		return fmt.Errorf("setting domain.admit cannot change while the governor runs: restart it")
	}
	return nil
}

// adopt makes a configuration the one in force, and gives replicas and proxies its numbers.
func (c *Core) adopt(next configuration) {
	c.version, c.Topology, c.newModule = next.version, next.topology, next.start
	c.account.Bounds = c.bounds
	for _, r := range c.replicas.known {
		r.Zone, r.HardwareClass = indexOrLast(c.names.Zones, r.zone), indexOrLast(c.names.HardwareClasses, r.kind)
	}
	for _, s := range c.proxies {
		s.opened.Zone = indexOrLast(c.names.Zones, s.zone)
	}
}

// renumberAdmissions keeps what was set and told of each traffic class. Of those that are gone proxies are told once more,
// so that nothing is rejected by an admission that nobody will lift.
func (c *Core) renumberAdmissions(numbers []int, names []string) {
	levels := map[tableClass]control.SetAdmission{}
	for at, level := range c.admissions {
		if level.Class = numbers[at.class]; level.Class >= 0 {
			levels[tableClass{at.table, level.Class}] = level
		}
	}
	c.admissions = levels
	for _, proxy := range sortedKeys(c.proxies) {
		s := c.proxies[proxy]
		s.lifted = slices.DeleteFunc(s.lifted, func(l Admission) bool { return slices.Contains(c.names.Classes, l.Class) })
		told := map[int]Admission{}
		for _, class := range sortedKeys(s.toldAdmissions) {
			if to := numbers[class]; to >= 0 {
				told[to] = s.toldAdmissions[class]
				continue
			}
			s.lifted = append(s.lifted, Admission{Class: names[class], Fraction: 1, Retries: c.defaultRetries})
			c.due[proxy] = s
		}
		s.toldAdmissions = told
	}
}

// withdrawConfiguration goes back to the settings of before this turn, as no module runs by the new ones.
func (c *Core) withdrawConfiguration(failed string) {
	c.adopt(*c.previous)
	c.previous = nil
	for k := range c.configured {
		if c.configured[k].Err == nil {
			c.configured[k].Err = fmt.Errorf("the module fails by it: %.200s", failed)
			c.Counters.ConfigurationsApplied--
			c.Counters.ConfigurationsRefused++
		}
	}
}

// formerZones are those that have left the settings while this governor runs: their proxies may still be here, and are
// reported of.
func (c *Core) formerZones(now []string) []string {
	var former []string
	for _, zone := range append(slices.Clone(c.former), c.names.Zones...) {
		if zone != "" && !slices.Contains(now, zone) && !slices.Contains(former, zone) {
			former = append(former, zone)
		}
	}
	return former[max(0, len(former)-maxFormerZones):]
}

// renumbered says for each old name what its number is among the new ones, below 0 where it is gone.
func renumbered(before, after []string) []int {
	numbers := make([]int, 0, len(before)+1)
	for _, name := range before {
		numbers = append(numbers, slices.Index(after, name))
	}
	return numbers
}

// sameOrder leaves names that were there before at their numbers if there are as many as before: tables are dealt by the
// numbers of zones. New ones take the places of those that are gone.
func sameOrder(before, after []string) []string {
	if len(before) != len(after) {
		return after
	}
	var fresh []string
	for _, name := range after {
		if !slices.Contains(before, name) {
			fresh = append(fresh, name)
		}
	}
	order := slices.Clone(before)
	for k, name := range order {
		if !slices.Contains(after, name) {
			order[k], fresh = fresh[0], fresh[1:]
		}
	}
	return order
}

func sortedKeys[V any](m map[int]V) []int { return slices.Sorted(maps.Keys(m)) }
