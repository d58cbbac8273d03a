package controller

import (
	"slices"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// Installation returns the traffic classes, hardware classes and number of proxies to which restored learned state is
// restricted.
func (t Topology) Installation() learnedstate.Installation {
	return learnedstate.Installation{Classes: t.names.Classes, HardwareClasses: t.names.HardwareClasses, ProxyCount: t.proxies}
}

// restoredReplicas returns events with the learned state of the replicas in a list.
func (c *Core) restoredReplicas(learned *learnedstate.AgedState, entries []control.ListedReplica, now int64) []control.Event {
	if learned == nil {
		return nil
	}
	var events []control.Event
	for _, entry := range entries {
		r := c.replicas.byNumber[entry.Replica]
		if r == nil || entry.State == control.Gone {
			continue
		}
		last, age, weight := learned.Lookup(r.name, r.zone, r.hardwareClass, r.listedStart, now)
		if weight == 0 {
			continue
		}
		c.Counters.ReplicasRestored++
		events = append(events, control.ReplicaRestored{
			LearnedReplica: learnedReplica(entry.Replica, last),
			Confidence:     weight,
			Age:            age,
		})
	}
	return events
}

// learnedReplica converts the learned state of a replica, which now has the given number.
func learnedReplica(number uint32, r learnedstate.Replica) control.LearnedReplica {
	return control.LearnedReplica{
		Replica:           number,
		Table:             r.Table,
		PlacementKey:      r.PlacementKey,
		Speed:             r.Speed,
		SampleCount:       r.SampleCount,
		RemainingEjection: r.RemainingEjection,
		Probation:         r.Probation,
		EjectionCount:     r.EjectionCount,
		SinceLastSample:   r.SinceLastSample,
	}
}

// restoredFleet returns an event with the learned state of the whole fleet, or no event if the state is so old that its
// weight is 0.
func (c *Core) restoredFleet(learned *learnedstate.AgedState, now int64) []control.Event {
	if learned == nil {
		return nil
	}
	weight := learned.Weight(now)
	if weight == 0 {
		return nil
	}
	fleet := control.LearnedFleet{
		TableCount:            learned.TableCount,
		Bindings:              learned.Bindings,
		BaselineResponseTimes: c.restoredResponseTimes(learned.BaselineResponseTimes),
		RequestRates:          c.restoredRequestRates(learned.RequestRates),
		AdmissionThreshold:    learned.AdmissionThreshold,
		MaxSuccessRate:        learned.MaxSuccessRate,
		RetriesStopped:        learned.RetriesStopped,
	}
	return []control.Event{control.FleetRestored{LearnedFleet: fleet, Confidence: weight}}
}

func (c *Core) restoredResponseTimes(learned []learnedstate.ResponseTimes) [][]float64 {
	baselines := make([][]float64, c.hardwareClasses+1)
	for _, r := range learned {
		class := c.baselineIndex(r.HardwareClass)
		if class >= 0 {
			baselines[class] = r.Times
		}
	}
	return baselines
}

func (c *Core) restoredRequestRates(learned []learnedstate.RequestRate) []control.ClassRate {
	var rates []control.ClassRate
	for _, r := range learned {
		class := slices.Index(c.names.Classes, r.Class)
		if class >= 0 {
			rates = append(rates, control.ClassRate{Proxy: r.Proxy, Class: class, Rate: r.Rate})
		}
	}
	return rates
}

// baselineIndex returns the index of a hardware class in control.LearnedFleet.BaselineResponseTimes, or -1 if no class has
// this name. The last index, with an empty name, is that of the baseline over all hardware classes.
func (t Topology) baselineIndex(name string) int {
	if name == "" {
		return t.hardwareClasses
	}
	return slices.Index(t.names.HardwareClasses, name)
}
