package controller

import (
	"slices"
	"strings"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// This file turns what the module has learned into a memory by names, and a memory into what a module is told.

// defaultSnapshotInterval is how often the module is asked what it has learned where nothing else is said: a fresh module
// after a panic starts from there, and a few seconds cost it little of what it knows.
const defaultSnapshotInterval = int64(5 * 1e9)

// settleTime is for how long a governor that began from a memory leaves that one in place: until its proxies have
// joined and a span of their requests has come, what it could say instead would know less. One that is killed again and
// again then goes on from the last whole one, at its true age.
const settleTime = int64(10 * 1e9)

// defaultHalfLife is that of what was learned where nothing else is said: most troubles of a replica pass in minutes.
const defaultHalfLife = int64(60 * 1e9)

// SnapshotRestored is an input: what an earlier governor had learned, fitted to this place. It comes before the first list.
type SnapshotRestored struct{ Snapshot *learnedstate.AgedState }

// Installation is what a memory has to fit.
func (c Topology) Installation() learnedstate.Installation {
	return learnedstate.Installation{Classes: c.names.Classes, HardwareClasses: c.names.HardwareClasses, Proxies: c.proxies}
}

// SetSnapshotPolicy has the module asked for what it has learned every so long; halfLife is that of what is learned.
func (c *Core) SetSnapshotPolicy(every, halfLife int64) {
	c.snapshotInterval, c.halfLife = every, halfLife
}

// lastLearned is what a fresh module is told: what its predecessor here had learned, or what was brought.
func (c *Core) lastLearned() *learnedstate.AgedState {
	if c.lastSnapshot != nil {
		return c.lastSnapshot
	}
	return c.restored
}

// restoredReplicas tells what is known of the replicas of a list.
func (c *Core) restoredReplicas(past *learnedstate.AgedState, entries []control.ListedReplica, now int64) (all []control.Event) {
	if past == nil {
		return nil
	}
	for _, e := range entries {
		m := c.replicas.known[e.Replica]
		if m == nil || e.State == control.Gone {
			continue
		}
		r, age, weight := past.Lookup(m.name, m.zone, m.kind, m.upSince, now)
		if weight == 0 {
			continue
		}
		c.Counters.ReplicasRestored++
		all = append(all, control.ReplicaRestored{Weight: weight, Age: age, LearnedReplica: control.LearnedReplica{Replica: e.Replica, Table: r.Table,
			PlacementKey: r.PlacementKey, Speed: r.Speed, SampleCount: r.SampleCount, EjectedFor: r.EjectedFor, Probation: r.Probation, Ejections: r.Ejections, SinceLastSample: r.SinceLastSample}})
	}
	return all
}

// restoredFleet tells what is known of all together.
func (c *Core) restoredFleet(past *learnedstate.AgedState, now int64) []control.Event {
	if past == nil || past.Weight(now) == 0 {
		return nil
	}
	f := control.LearnedFleet{Tables: past.Tables, Bindings: past.Bindings, AdmissionThreshold: past.AdmissionThreshold, MaxSuccessRate: past.MaxSuccessRate, RetriesStopped: past.RetriesStopped,
		BaselineResponseTimes: make([][]float64, c.kinds+1)}
	for _, calm := range past.BaselineResponseTimes {
		if k := c.kindIndex(calm.HardwareClass); k >= 0 {
			f.BaselineResponseTimes[k] = calm.Times
		}
	}
	for _, u := range past.RequestRates {
		if g := slices.Index(c.names.Classes, u.Class); g >= 0 {
			f.RequestRates = append(f.RequestRates, control.ClassRate{Proxy: u.Proxy, Class: g, Rate: u.Rate})
		}
	}
	return []control.Event{control.FleetRestored{LearnedFleet: f, Weight: past.Weight(now)}}
}

// kindIndex is the number of a kind in the order of LearnedFleet.UsualResponseTimes, below 0 where there is no such kind.
func (c Topology) kindIndex(name string) int {
	if name == "" {
		return c.kinds
	}
	return slices.Index(c.names.HardwareClasses, name)
}

// snapshot turns what the module has learned into a memory, adds what was brought of replicas that are not
// listed, and keeps it for a fresh module.
func (c *Core) snapshot(l control.Snapshot, now int64) learnedstate.State {
	m := learnedstate.State{Revision: c.revision, Classes: c.names.Classes, Tables: l.Tables, Bindings: l.Bindings, AdmissionThreshold: l.AdmissionThreshold,
		MaxSuccessRate: l.MaxSuccessRate, RetriesStopped: l.RetriesStopped}
	for _, k := range l.Replicas {
		r := c.replicas.known[k.Replica]
		if r == nil || r.State == control.Gone {
			continue
		}
		m.Replicas = append(m.Replicas, learnedstate.Replica{ID: r.name, Zone: r.zone, HardwareClass: r.kind, UpSince: r.upSince, State: r.State,
			Weight: r.Weight, Speed: k.Speed, SampleCount: k.SampleCount, PlacementKey: k.PlacementKey, Table: k.Table, EjectedFor: k.EjectedFor, Probation: k.Probation,
			Ejections: k.Ejections, SinceLastSample: k.SinceLastSample})
	}
	slices.SortFunc(m.Replicas, func(a, b learnedstate.Replica) int { return strings.Compare(a.ID, b.ID) })
	for k, answers := range l.BaselineResponseTimes {
		if len(answers) > 0 && k == c.kinds {
			m.BaselineResponseTimes = append(m.BaselineResponseTimes, learnedstate.ResponseTimes{Times: answers})
		} else if len(answers) > 0 && k < len(c.names.HardwareClasses) {
			m.BaselineResponseTimes = append(m.BaselineResponseTimes, learnedstate.ResponseTimes{HardwareClass: c.names.HardwareClasses[k], Times: answers})
		}
	}
	for _, u := range l.RequestRates {
		if u.Class >= 0 && u.Class < len(c.names.Classes) {
			m.RequestRates = append(m.RequestRates, learnedstate.RequestRate{Proxy: u.Proxy, Class: c.names.Classes[u.Class], Rate: u.Rate})
		}
	}
	if c.restored != nil {
		m = learnedstate.Merge(m, c.restored.State, c.restored.Age(now), c.halfLife)
	}
	c.lastSnapshot = learnedstate.NewAgedState(m, now, 0, c.halfLife)
	return m
}

// ListFromSnapshot makes a list of the members of a memory, for a start at which discovery may not answer.
func ListFromSnapshot(m learnedstate.State) ReplicaList {
	l := ReplicaList{Revision: m.Revision, Complete: true}
	for _, r := range m.Replicas {
		if r.State != control.Gone {
			l.Members = append(l.Members, Member{ID: r.ID, Zone: r.Zone, HardwareClass: r.HardwareClass, State: r.State, Weight: r.Weight, UpSince: r.UpSince})
		}
	}
	return l
}

// FinalSnapshot is what the module has learned, asked for once more at the end; nil where it fails, or knows less than what
// it began from.
func (c *Core) FinalSnapshot(now int64) *learnedstate.State {
	if now < c.settledAt {
		return nil
	}
	c.snapshotRequestedAt = now - c.snapshotInterval
	return c.Turn(now, nil).Snapshot
}
