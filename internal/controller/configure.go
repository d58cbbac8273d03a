package controller

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/revision"
)

// maxFormerZones bounds the zones that are remembered after they have left the settings.
const maxFormerZones = 1 << 10

// Reasons why settings are refused.
var (
	// ErrNeedsRestart is a setting that cannot change while proxies are connected: what was sent to them before would mean
	// something else.
	ErrNeedsRestart = errors.New("setting domain.admit cannot change while the controller runs: restart it")
	// ErrModuleFails is settings by which no module runs.
	ErrModuleFails = errors.New("the module panics with these settings")
)

// maxFailureText bounds the text of a module's panic in an error, in bytes.
const maxFailureText = 200

// ConfigurationResult says what became of a Configure: in force, or refused for a reason.
type ConfigurationResult struct {
	Configure
	Err error
}

// configuration is what settings determine.
type configuration struct {
	version  revision.Version
	topology Topology
	create   func() Module
}

// configurationState is the version of the settings in force and what this turn has done with settings that came. Settings
// are put in force as a whole or not at all; streams, what was delivered to them, the channel's account and learned state stay.
type configurationState struct {
	version  revision.Version      // zero: those of the start
	previous *configuration        // before this turn; nil: the turn has changed nothing
	results  []ConfigurationResult // of this turn
}

// endTurn makes the settings of this turn final and returns what became of them.
func (s *configurationState) endTurn() []ConfigurationResult {
	results := s.results
	s.results = nil
	s.previous = nil
	return results
}

// record notes what became of settings; err is nil if they are in force.
func (s *configurationState) record(configure Configure, err error) {
	s.results = append(s.results, ConfigurationResult{Configure: configure, Err: err})
}

// ConfigurationVersion returns the version of the settings in force; zero are those of the start.
func (c *Core) ConfigurationVersion() revision.Version { return c.configuration.version }

// CurrentTopology returns the topology in force, for those who check streams before they come here.
func (c *Core) CurrentTopology() Topology { return c.Topology }

// Accepts returns an error if a setting differs that cannot change while proxies are connected.
func (t Topology) Accepts(next Topology) error {
	if t.admission != next.admission {
		return ErrNeedsRestart
	}
	return nil
}

// configure puts settings in force. A module that has had a turn is notified; another one starts by them.
func (c *Core) configure(configure Configure) []control.Event {
	next := NewTopology(configure.Names, configure.Settings)
	if err := c.Accepts(next); err != nil {
		c.Counters.ConfigurationsRefused++
		c.configuration.record(configure, err)
		return nil
	}
	if c.configuration.previous == nil {
		c.configuration.previous = &configuration{c.configuration.version, c.Topology, c.module.create}
	}
	before := c.names
	next.names.Zones = sameOrder(before.Zones, configure.Names.Zones)
	next.formerZones = c.zonesLeft(configure.Names.Zones)
	c.adopt(configuration{configure.Version, next, configure.Start})
	c.Counters.ConfigurationsApplied++
	c.configuration.record(configure, nil)
	classes := newNumbers(before.Classes, c.names.Classes)
	c.routing.renumberClasses(classes)
	c.renumberDelivered(classes, before.Classes)
	if c.module.isNew {
		c.module.restart()
		return nil
	}
	hardwareClasses := newNumbers(before.HardwareClasses, c.names.HardwareClasses)
	return []control.Event{control.SettingsChanged{
		Settings:           configure.Settings,
		NewClasses:         classes,
		NewHardwareClasses: append(hardwareClasses, len(c.names.HardwareClasses)), // the last for those that have no name
		Replicas:           c.replicas.currentList().Entries,
		Proxies:            c.connectedProxies(),
	}}
}

// connectedProxies returns all proxies that have a stream, in order.
func (c *Core) connectedProxies() []control.StreamOpened {
	var proxies []control.StreamOpened
	for _, proxy := range sortedKeys(c.streams.byProxy) {
		proxies = append(proxies, c.streams.byProxy[proxy].opened)
	}
	return proxies
}

// adopt makes a configuration the one in force, and gives replicas and proxies its numbers.
func (c *Core) adopt(next configuration) {
	c.configuration.version = next.version
	c.Topology = next.topology
	c.module.create = next.create
	c.delivery.account.Bounds = c.bounds
	for _, r := range c.replicas.byNumber {
		r.renumber(c.Topology)
	}
	for _, s := range c.streams.byProxy {
		s.opened.Zone = indexOrLast(c.names.Zones, s.zone)
	}
}

// renumberDelivered keeps what was delivered to streams of each traffic class. An admission of a class that no longer exists is
// cancelled once, so that no proxy goes on rejecting requests by an admission that nobody will change.
func (c *Core) renumberDelivered(numbers []int, before []string) {
	for _, proxy := range sortedKeys(c.streams.byProxy) {
		s := c.streams.byProxy[proxy]
		if s.delivered.renumberClasses(numbers, before, c.Topology) {
			c.delivery.markDue(s)
		}
	}
}

// renumberClasses keeps the admissions under the new numbers of their traffic classes, and reports whether any is to be
// cancelled.
func (d *deliveredState) renumberClasses(numbers []int, before []string, topology Topology) bool {
	exists := func(a Admission) bool { return slices.Contains(topology.names.Classes, a.Class) }
	d.cancelledAdmissions = slices.DeleteFunc(d.cancelledAdmissions, exists)
	lifts := false
	renumbered := map[int]Admission{}
	for _, class := range sortedKeys(d.admissions) {
		number := numbers[class]
		if number >= 0 {
			renumbered[number] = d.admissions[class]
			continue
		}
		d.cancelledAdmissions = append(d.cancelledAdmissions, Admission{Class: before[class], Fraction: 1, Retries: topology.defaultRetries})
		lifts = true
	}
	d.admissions = renumbered
	return lifts
}

// revertConfiguration goes back to the settings from before this turn, as no module runs by the new ones.
func (c *Core) revertConfiguration(failure string) {
	c.adopt(*c.configuration.previous)
	c.configuration.previous = nil
	for k := range c.configuration.results {
		result := &c.configuration.results[k]
		if result.Err == nil {
			result.Err = fmt.Errorf("%w: %.*s", ErrModuleFails, maxFailureText, failure)
			c.Counters.ConfigurationsApplied--
			c.Counters.ConfigurationsRefused++
		}
	}
}

// zonesLeft returns the zones that have left the settings since the controller started. Their proxies may still be connected,
// and reports of them are taken.
func (c *Core) zonesLeft(zones []string) []string {
	var left []string
	for _, zone := range append(slices.Clone(c.formerZones), c.names.Zones...) {
		if zone != "" && !slices.Contains(zones, zone) && !slices.Contains(left, zone) {
			left = append(left, zone)
		}
	}
	return left[max(0, len(left)-maxFormerZones):]
}

// newNumbers returns for each old name its number among the new ones; below 0: it is not among them.
func newNumbers(before, after []string) []int {
	numbers := make([]int, 0, len(before)+1) // one more for a caller that appends
	for _, name := range before {
		numbers = append(numbers, slices.Index(after, name))
	}
	return numbers
}

// sameOrder returns the new names with those that were there before at their old numbers, if there are as many as before: the
// module assigns tables by the numbers of zones. New names take the numbers of those that are gone.
func sameOrder(before, after []string) []string {
	if len(before) != len(after) {
		return after
	}
	var added []string
	for _, name := range after {
		if !slices.Contains(before, name) {
			added = append(added, name)
		}
	}
	order := slices.Clone(before)
	for k, name := range order {
		if !slices.Contains(after, name) {
			order[k] = added[0]
			added = added[1:]
		}
	}
	return order
}

func sortedKeys[V any](m map[int]V) []int { return slices.Sorted(maps.Keys(m)) }
