package controller

import (
	"slices"
	"strings"
	"time"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

const (
	// defaultSnapshotInterval is the time between snapshot requests to the module, in nanoseconds. After a panic, a new
	// module starts from the last snapshot, and the loss of a few seconds of learned state matters little.
	defaultSnapshotInterval = int64(5 * time.Second)
	// defaultHalfLife is the age, in nanoseconds, at which learned state has half its weight: most faults of a replica pass
	// within minutes.
	defaultHalfLife = int64(time.Minute)
	// settleTime is how long a controller that started from a snapshot takes no snapshot itself, in nanoseconds. Until its
	// proxies have connected and have sent reports for a while, a new snapshot would contain less than the restored one. A
	// controller that restarts repeatedly thus continues from the last complete snapshot, at its true age.
	settleTime = int64(10 * time.Second)
)

// snapshotState determines when the module is asked for a snapshot, and holds the learned state that a new module starts
// from.
type snapshotState struct {
	interval    int64
	halfLife    int64
	restored    *learnedstate.AgedState // state of an earlier controller; nil if there is none
	last        *learnedstate.AgedState // last snapshot that a module of this core returned
	requestedAt int64                   // time of the last request; 0 if there was none
	settledAt   int64                   // before this time a snapshot would contain less than the restored state
}

func newSnapshotState() snapshotState {
	return snapshotState{interval: defaultSnapshotInterval, halfLife: defaultHalfLife}
}

// due reports whether the module is to be asked for a snapshot in this turn, and records the request.
func (s *snapshotState) due(now int64) bool {
	if s.requestedAt == 0 {
		s.requestedAt = now
		if s.restored != nil {
			s.requestedAt = now + max(0, settleTime-s.interval)
			s.settledAt = now + settleTime
		}
	}
	if now-s.requestedAt < s.interval {
		return false
	}
	s.requestedAt = now
	return true
}

// lastLearned returns the state that a new module starts from: the last snapshot of this core, or else the restored one of
// an earlier controller.
func (s *snapshotState) lastLearned() *learnedstate.AgedState {
	if s.last != nil {
		return s.last
	}
	return s.restored
}

// discard drops all learned state.
func (s *snapshotState) discard() {
	s.last = nil
	s.restored = nil
}

// SetSnapshotPolicy sets how often the module is asked for a snapshot and the half-life of learned state, both in
// nanoseconds.
func (c *Core) SetSnapshotPolicy(interval, halfLife int64) {
	c.snapshots.interval = interval
	c.snapshots.halfLife = halfLife
}

// FinalSnapshot asks the module for a snapshot before the controller stops. It returns nil if the module fails, or if the
// snapshot would contain less than the one that the controller started from.
func (c *Core) FinalSnapshot(now int64) *learnedstate.State {
	if now < c.snapshots.settledAt {
		return nil
	}
	c.snapshots.requestedAt = now - c.snapshots.interval
	return c.Turn(now, nil).Snapshot
}

// ListFromSnapshot returns the listed replicas of a snapshot as a complete replica list, for a start while discovery may be
// unavailable.
func ListFromSnapshot(state learnedstate.State) ReplicaList {
	list := ReplicaList{Revision: state.Revision, Complete: true}
	for _, r := range state.Replicas {
		if r.State == control.Gone {
			continue
		}
		list.Members = append(list.Members, Member{
			ID:            r.ID,
			Zone:          r.Zone,
			HardwareClass: r.HardwareClass,
			State:         r.State,
			Weight:        r.ListedWeight,
			StartedAt:     r.StartedAt,
		})
	}
	return list
}

// snapshot converts the module's learned state from numbers to names, merges in the state that an earlier controller had
// learned of replicas that are not listed now, and keeps the result for a new module.
func (c *Core) snapshot(learned control.Snapshot, now int64) learnedstate.State {
	state := learnedstate.State{
		Revision:              c.replicas.revision,
		Classes:               c.names.Classes,
		Replicas:              c.snapshotReplicas(learned.Replicas),
		BaselineResponseTimes: c.snapshotResponseTimes(learned.BaselineResponseTimes),
		RequestRates:          c.snapshotRequestRates(learned.RequestRates),
		Bindings:              learned.Bindings,
		TableCount:            learned.TableCount,
		AdmissionThreshold:    learned.AdmissionThreshold,
		MaxSuccessRate:        learned.MaxSuccessRate,
		RetriesStopped:        learned.RetriesStopped,
	}
	if c.snapshots.restored != nil {
		state = learnedstate.Merge(state, c.snapshots.restored.State, c.snapshots.restored.Age(now), c.snapshots.halfLife)
	}
	c.snapshots.last = learnedstate.NewAgedState(state, now, 0, c.snapshots.halfLife)
	return state
}

// snapshotReplicas returns the learned state of the listed replicas, sorted by name.
func (c *Core) snapshotReplicas(learned []control.LearnedReplica) []learnedstate.Replica {
	var replicas []learnedstate.Replica
	for _, l := range learned {
		r := c.replicas.byNumber[l.Replica]
		if r == nil || r.State == control.Gone {
			continue
		}
		replicas = append(replicas, learnedstate.Replica{
			ID:                r.name,
			Zone:              r.zone,
			HardwareClass:     r.hardwareClass,
			StartedAt:         r.listedStart,
			State:             r.State,
			ListedWeight:      r.Weight,
			Speed:             l.Speed,
			SampleCount:       l.SampleCount,
			PlacementKey:      l.PlacementKey,
			Table:             l.Table,
			RemainingEjection: l.RemainingEjection,
			Probation:         l.Probation,
			EjectionCount:     l.EjectionCount,
			SinceLastSample:   l.SinceLastSample,
		})
	}
	slices.SortFunc(replicas, func(a, b learnedstate.Replica) int { return strings.Compare(a.ID, b.ID) })
	return replicas
}

// snapshotResponseTimes returns the baselines with the names of their hardware classes. The last baseline is that over all
// hardware classes and has no name.
func (c *Core) snapshotResponseTimes(baselines [][]float64) []learnedstate.ResponseTimes {
	var responseTimes []learnedstate.ResponseTimes
	for class, times := range baselines {
		switch {
		case len(times) == 0:
		case class == c.hardwareClasses:
			responseTimes = append(responseTimes, learnedstate.ResponseTimes{Times: times})
		case class < len(c.names.HardwareClasses):
			name := c.names.HardwareClasses[class]
			responseTimes = append(responseTimes, learnedstate.ResponseTimes{HardwareClass: name, Times: times})
		}
	}
	return responseTimes
}

func (c *Core) snapshotRequestRates(learned []control.ClassRate) []learnedstate.RequestRate {
	var rates []learnedstate.RequestRate
	for _, r := range learned {
		if r.Class >= 0 && r.Class < len(c.names.Classes) {
			rates = append(rates, learnedstate.RequestRate{Proxy: r.Proxy, Class: c.names.Classes[r.Class], Rate: r.Rate})
		}
	}
	return rates
}
