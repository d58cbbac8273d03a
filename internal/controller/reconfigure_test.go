package controller_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/revision"
	"lilacbend/policy"
	"lilacbend/settings"
)

// This file tests changes of the settings of core and module while the simulation runs.

// classNamed returns the traffic class with a name.
func classNamed(name string) control.TrafficClass {
	class := control.TrafficClass{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent}
	switch name {
	case "order":
		class.PriorityWeight, class.Idempotency = 3, control.NotIdempotent
	case "browse":
		class.PriorityWeight = 2
	}
	return class
}

// configure adds settings to the inputs of the next turn.
func (sim *simulation) configure(number uint64, next control.Settings, names settings.Names) {
	next.Zones, next.HardwareClasses, next.Classes = len(names.Zones), len(names.HardwareClasses)+1, nil
	for _, name := range names.Classes {
		next.Classes = append(next.Classes, classNamed(name))
	}
	sim.settings = next
	sim.inputs = append(sim.inputs, controller.Configure{Version: revision.Version{Epoch: 1, Revision: number}, Names: names, Settings: next,
		NewModule: func() controller.Module { return failingModule{policy.New(next), sim} }})
}

var simulationNames = settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}

// The limits of the channel and the invariants hold for any sequence of settings changes, combined with reconnect storms,
// releases, faults and occasional module failures. After the last change all proxies are served as before the first change.
func TestInvariantsHoldThroughChangesOfSettings(t *testing.T) {
	t.Parallel()
	zones := [][]string{{"a", "b"}, {"b", "a"}, {"a", "b", "c"}, {"c", "b", "a"}, {"b"}, {"a", "c"}, {}}
	classes := [][]string{{"read", "order"}, {"order", "read"}, {"browse", "read", "order"}, {"order"}, {"read", "browse"}}
	for seed := range int64(60) { // fixed seeds, so that every run is the same
		draw := rand.New(rand.NewSource(seed))
		proxies := 2 + draw.Intn(39)
		limit := (20 + draw.Intn(41)) * proxies
		sim := newSimulation(seed, proxies, 1+draw.Intn(40), []int{1, 2, 5, 350}[draw.Intn(4)], limit, limit/(1+draw.Intn(4)), updateCost)
		original, number := sim.settings, uint64(1)
		for range 1 + draw.Intn(60) {
			if draw.Intn(3) == 0 {
				number++
				changed := original
				changed.Proxies, changed.Controllers = changed.Proxies*(1+draw.Intn(4)), 1+draw.Intn(5)
				changed.DrainGrace, changed.ReportInterval = second*int64(2+draw.Intn(8)), second/int64(1+draw.Intn(2))
				changed.ChannelLimit, changed.MaxMessages = limit+draw.Intn(limit), 12+draw.Intn(4)
				if sim.queuedUnits > 0 || len(sim.unwritten) > 0 { // queued messages may exceed limits that the new settings lower
					changed.ChannelLimit, changed.MaxMessages = sim.settings.ChannelLimit, sim.settings.MaxMessages
				}
				sim.configure(number, changed, settings.Names{Classes: classes[draw.Intn(len(classes))], Zones: zones[draw.Intn(len(zones))], HardwareClasses: [][]string{{"m1"}, {"m2", "m1"}, {}}[draw.Intn(3)]})
			}
			sim.step(draw.Intn(8))
		}
		violation := sim.violation
		sim.configure(number+1, original, simulationNames)
		sim.advance(second)
		for k := range sim.proxies { // including proxies that were refused because of their zone
			sim.connect(k)
		}
		if violation == "" {
			violation = sim.settle(150 * second)
		}
		if version := sim.core.ConfigurationVersion(); violation == "" && version.Revision != number+1 {
			violation = fmt.Sprintf("settings version %s in force, want revision %d", version, number+1)
		}
		if violation != "" {
			t.Fatalf("seed %d, %d proxies, %d replicas, limit %d: %s", seed, proxies, len(sim.replicaNames), limit, violation)
		}
	}
}

// Settings with the same names in another order cause no additional update and leave all proxies with the same tables.
func TestReorderedSettingsChangeNothing(t *testing.T) {
	for seed := range int64(12) {
		var simulations []*simulation
		for k := range 2 {
			sim := newSimulation(seed, 30, 24, 2, 4000, 4000, updateCost)
			for proxy := range sim.proxies {
				sim.connect(proxy)
			}
			for step := range 40 {
				if k == 1 && step%8 == 4 {
					names := settings.Names{Classes: slices.Clone(simulationNames.Classes), Zones: slices.Clone(simulationNames.Zones), HardwareClasses: simulationNames.HardwareClasses}
					if step%16 == 4 {
						slices.Reverse(names.Classes)
						slices.Reverse(names.Zones)
					}
					sim.configure(uint64(step), sim.settings, names)
				}
				sim.step([]int{3, 5, 5, 5}[step%4])
			}
			simulations = append(simulations, sim)
		}
		without, with := simulations[0], simulations[1]
		if without.core.Counters.Updates != with.core.Counters.Updates || without.core.Counters.CostSent != with.core.Counters.CostSent || with.core.Counters.ConfigurationsApplied != 5 {
			t.Fatalf("seed %d: %d updates of %d cost units without the changes, %d of %d with them", seed, without.core.Counters.Updates, without.core.Counters.CostSent, with.core.Counters.Updates, with.core.Counters.CostSent)
		}
		for k := range without.proxies {
			if fmt.Sprint(without.proxies[k].endpoints, without.proxies[k].ejected) != fmt.Sprint(with.proxies[k].endpoints, with.proxies[k].ejected) {
				t.Fatalf("seed %d, proxy %d: endpoints %v without the changes, %v with them", seed, k, without.proxies[k].endpoints, with.proxies[k].endpoints)
			}
		}
	}
}

// settledSimulation returns a simulation in which all proxies are connected and bound and no inputs other than demand
// reports follow.
func settledSimulation(t testing.TB, proxies, replicas int) *simulation {
	sim := newSimulation(1, proxies, replicas, 1, 1<<16, 1<<16, updateCost)
	for k := range sim.proxies {
		sim.connect(k)
	}
	if violation := sim.settle(30 * second); violation != "" {
		t.Fatal(violation)
	}
	return sim
}

// A change of the settings that affects no assignment of tables sends no tables.
func TestChangedLimitsSendNoTables(t *testing.T) {
	sim, unchanged := settledSimulation(t, 40, 24), settledSimulation(t, 40, 24)
	changed := sim.settings
	changed.DrainGrace, changed.ReportInterval, changed.ChannelRate, changed.ChannelLimit, changed.MaxTransit, changed.Proxies = 5*second, second/2, changed.ChannelRate/2, changed.ChannelLimit/2, second/3, changed.Proxies+1
	sim.configure(2, changed, simulationNames)
	if violation := sim.settle(20 * second); violation != "" || sim.core.ConfigurationVersion().Revision != 2 {
		t.Error(violation, sim.core.ConfigurationVersion())
	}
	unchanged.settle(20 * second)
	if got, want := sim.core.Counters, unchanged.core.Counters; got.FullTables != want.FullTables || got.CostSent != want.CostSent {
		t.Errorf("%d full tables and %d cost units with the change, %d and %d without it", got.FullTables, got.CostSent, want.FullTables, want.CostSent)
	}
}

// While a change of the settings reassigns tables, no proxy is ever without endpoints.
func TestReassignedTablesLeaveNoProxyEmpty(t *testing.T) {
	for name, change := range map[string]func(p *control.Settings, names *settings.Names){
		"zone added at the end": func(_ *control.Settings, names *settings.Names) { names.Zones = []string{"a", "b", "c"} },
		"zone added in front":   func(_ *control.Settings, names *settings.Names) { names.Zones = []string{"c", "a", "b"} },
		"zone removed":          func(_ *control.Settings, names *settings.Names) { names.Zones = []string{"b"} },
		"no zones":              func(_ *control.Settings, names *settings.Names) { names.Zones = nil },
		"more proxies":          func(p *control.Settings, _ *settings.Names) { p.Proxies *= 10 },
		"fewer proxies":         func(p *control.Settings, _ *settings.Names) { p.Proxies /= 4 },
		"more controllers":      func(p *control.Settings, _ *settings.Names) { p.Controllers = 4 },
	} {
		t.Run(name, func(t *testing.T) {
			sim := settledSimulation(t, 60, 36)
			for _, m := range sim.members { // replicas of a third zone are listed before the zone is in the settings
				if m.ID >= "s-0024" && m.ID < "s-0030" {
					m.Zone = "c"
					sim.members[m.ID] = m
				}
			}
			sim.listReplicas(sim.replicaNames, true)
			if violation := sim.settle(30 * second); violation != "" {
				t.Fatal(violation)
			}
			changed, names := sim.settings, simulationNames
			change(&changed, &names)
			sim.configure(2, changed, names)
			for range 200 {
				sim.advance(second / 10)
				for k, proxy := range sim.proxies {
					if len(proxy.endpoints) == 0 {
						t.Fatalf("proxy %d has no endpoint", k)
					}
				}
			}
			if violation := sim.settle(30 * second); violation != "" || len(sim.core.Turn(sim.now, nil).CloseStreams) > 0 {
				t.Error(violation)
			}
		})
	}
}
