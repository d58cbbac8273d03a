package controller

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/revision"
)

// maxFormerZones limits how many zones are remembered after their removal from the settings.
const maxFormerZones = 1 << 10

// Errors for refused settings.
var (
	// ErrNeedsRestart means that a setting differs that cannot change while proxies are connected: the change would alter
	// the meaning of updates already sent to them.
	ErrNeedsRestart = errors.New("setting domain.admit cannot change while the controller runs: restart it")
	// ErrModulePanics means that a new module panics with the settings.
	ErrModulePanics = errors.New("the module panics with these settings")
)

// maxFailureText limits the length of a module's panic message in an error, in characters.
const maxFailureText = 200

// ConfigurationResult is the result of a Configure input. Err is nil if the settings are in force, and otherwise the reason
// why they were refused.
type ConfigurationResult struct {
	Configure
	Err error
}

// configuration holds everything that is derived from one version of the settings.
type configuration struct {
	version  revision.Version
	topology Topology
	create   func() Module
}

// configurationState holds the version of the settings in force and the results of the settings that arrived in this turn.
// Settings are applied as a whole or not at all. Streams, the state delivered to them, the channel's account and learned
// state persist across changes.
type configurationState struct {
	version  revision.Version      // zero for the settings that the controller started with
	previous *configuration        // the configuration before this turn; nil if the turn has not changed it
	results  []ConfigurationResult // of this turn
}

// endTurn makes the settings of this turn final and returns their results.
func (s *configurationState) endTurn() []ConfigurationResult {
	results := s.results
	s.results = nil
	s.previous = nil
	return results
}

// record adds the result of settings; err is nil if they are in force.
func (s *configurationState) record(configure Configure, err error) {
	s.results = append(s.results, ConfigurationResult{Configure: configure, Err: err})
}

// ConfigurationVersion returns the version of the settings in force. It is zero for the settings that the controller started
// with.
func (c *Core) ConfigurationVersion() revision.Version { return c.configuration.version }

// CurrentTopology returns the topology in force. Callers use it to check streams before they pass them to Turn.
func (c *Core) CurrentTopology() Topology { return c.Topology }

// CheckChange returns ErrNeedsRestart if next differs in a setting that cannot change while proxies are connected.
func (t Topology) CheckChange(next Topology) error {
	if t.admission != next.admission {
		return ErrNeedsRestart
	}
	return nil
}

// configure puts settings in force. A module that has already had a turn is notified of them; otherwise a new module is
// started with them.
func (c *Core) configure(configure Configure) []control.Event {
	next := NewTopology(configure.Names, configure.Settings)
	if err := c.CheckChange(next); err != nil {
		c.Counters.ConfigurationsRefused++
		c.configuration.record(configure, err)
		return nil
	}
	if c.configuration.previous == nil {
		c.configuration.previous = &configuration{c.configuration.version, c.Topology, c.module.create}
	}
	before := c.names
	next.names.Zones = keepNumbers(before.Zones, configure.Names.Zones)
	next.formerZones = c.updatedFormerZones(configure.Names.Zones)
	c.putInForce(configuration{configure.Version, next, configure.NewModule})
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
		Settings:             configure.Settings,
		ClassNumbers:         classes,
		HardwareClassNumbers: append(hardwareClasses, len(c.names.HardwareClasses)), // last: classes not in the settings
		Replicas:             c.replicas.currentList().Entries,
		Proxies:              c.connectedProxies(),
	}}
}

// connectedProxies returns all proxies that have a stream, sorted by number.
func (c *Core) connectedProxies() []control.StreamOpened {
	var proxies []control.StreamOpened
	for _, proxy := range sortedKeys(c.streams.byProxy) {
		proxies = append(proxies, c.streams.byProxy[proxy].opened)
	}
	return proxies
}

// putInForce puts a configuration in force and updates the zone and hardware class numbers of replicas and proxies.
func (c *Core) putInForce(next configuration) {
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

// renumberDelivered moves the delivered admissions of all streams to the new numbers of their traffic classes. An admission
// of a class that no longer exists is cancelled once, so that no proxy keeps rejecting requests because of an admission that
// will never be updated.
func (c *Core) renumberDelivered(numbers []int, before []string) {
	for _, proxy := range sortedKeys(c.streams.byProxy) {
		s := c.streams.byProxy[proxy]
		if s.delivered.renumberClasses(numbers, before, c.Topology) {
			c.delivery.markDue(s)
		}
	}
}

// renumberClasses moves the admissions to the new numbers of their traffic classes and reports whether any admission has to
// be cancelled.
func (d *deliveredState) renumberClasses(numbers []int, before []string, topology Topology) bool {
	exists := func(a Admission) bool { return slices.Contains(topology.names.Classes, a.Class) }
	d.cancelledAdmissions = slices.DeleteFunc(d.cancelledAdmissions, exists)
	cancels := false
	renumbered := map[int]Admission{}
	for _, class := range sortedKeys(d.admissions) {
		number := numbers[class]
		if number >= 0 {
			renumbered[number] = d.admissions[class]
			continue
		}
		d.cancelledAdmissions = append(d.cancelledAdmissions, Admission{Class: before[class], Fraction: 1, Retries: topology.defaultRetries})
		cancels = true
	}
	d.admissions = renumbered
	return cancels
}

// revertConfiguration restores the settings from before this turn, because the module panics with the new ones.
func (c *Core) revertConfiguration(failure string) {
	c.putInForce(*c.configuration.previous)
	c.configuration.previous = nil
	for k := range c.configuration.results {
		result := &c.configuration.results[k]
		if result.Err == nil {
			result.Err = fmt.Errorf("%w: %.*s", ErrModulePanics, maxFailureText, failure)
			c.Counters.ConfigurationsApplied--
			c.Counters.ConfigurationsRefused++
		}
	}
}

// updatedFormerZones returns the zones that were removed from the settings since the controller started, given the zones of
// the new settings. Proxies of these zones may still be connected, so reports about them are accepted.
func (c *Core) updatedFormerZones(zones []string) []string {
	var former []string
	for _, zone := range append(slices.Clone(c.formerZones), c.names.Zones...) {
		if zone != "" && !slices.Contains(zones, zone) && !slices.Contains(former, zone) {
			former = append(former, zone)
		}
	}
	return former[max(0, len(former)-maxFormerZones):]
}

// newNumbers returns the new number of each old name, or -1 if the name no longer exists.
func newNumbers(before, after []string) []int {
	numbers := make([]int, 0, len(before)+1) // room for the entry that configure appends
	for _, name := range before {
		numbers = append(numbers, slices.Index(after, name))
	}
	return numbers
}

// keepNumbers returns the new names in an order that keeps the numbers of the names that existed before; added names take
// the numbers of removed ones. The numbers matter because the module assigns tables by the numbers of zones. If the number
// of names has changed, the new names are returned as they are.
func keepNumbers(before, after []string) []string {
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
