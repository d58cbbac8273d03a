package controller

import (
	"slices"
	"strings"
	"time"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

const (
	// defaultSnapshotInterval is how often the module is asked for a snapshot, in nanoseconds. A new module starts from the last
	// one after a panic, and a few seconds cost it little of what was learned.
	defaultSnapshotInterval = int64(5 * time.Second)
	// defaultHalfLife is the time after which learned state counts half, in nanoseconds: most faults of a replica pass within
	// minutes.
	defaultHalfLife = int64(time.Minute)
	// settleTime is for how long a controller that began from a snapshot leaves that one in place, in nanoseconds: until its
	// proxies have connected and have reported for a while, a snapshot of its own would hold less. A controller that is
	// restarted again and again goes on from the last complete one, at its true age.
	settleTime = int64(10 * time.Second)
)

// snapshotState says when the module is asked for what it has learned, and holds what it starts from.
type snapshotState struct {
	interval    int64
	halfLife    int64
	restored    *learnedstate.AgedState // of an earlier controller; nil: there is none
	last        *learnedstate.AgedState // the last that a module here has returned
	requestedAt int64                   // 0: never
	settledAt   int64                   // before that a snapshot would hold less than restored
}

func newSnapshotState() snapshotState {
	return snapshotState{interval: defaultSnapshotInterval, halfLife: defaultHalfLife}
}

// due reports whether the module is to be asked for a snapshot with this turn.
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

// lastLearned returns what a new module starts from: the last snapshot taken here, else the one of an earlier controller.
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

// SetSnapshotPolicy sets how often the module is asked for a snapshot and the half-life of learned state, both in nanoseconds.
func (c *Core) SetSnapshotPolicy(interval, halfLife int64) {
	c.snapshots.interval = interval
	c.snapshots.halfLife = halfLife
}

// FinalSnapshot asks the module for a snapshot before the controller ends; nil: it fails, or would hold less than what the
// controller began from.
func (c *Core) FinalSnapshot(now int64) *learnedstate.State {
	if now < c.snapshots.settledAt {
		return nil
	}
	c.snapshots.requestedAt = now - c.snapshots.interval
	return c.Turn(now, nil).Snapshot
}

// ListFromSnapshot returns the listed replicas of a snapshot as an endpoint list, for a start at which discovery may not
// answer.
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
			Weight:        r.Weight,
			UpSince:       r.UpSince,
		})
	}
	return list
}

// snapshot returns by names what the module has learned, together with what an earlier controller had learned of replicas
// that are not listed now, and keeps it for a new module.
func (c *Core) snapshot(learned control.Snapshot, now int64) learnedstate.State {
	state := learnedstate.State{
		Revision:              c.replicas.revision,
		Classes:               c.names.Classes,
		Replicas:              c.snapshotReplicas(learned.Replicas),
		BaselineResponseTimes: c.snapshotResponseTimes(learned.BaselineResponseTimes),
		RequestRates:          c.snapshotRequestRates(learned.RequestRates),
		Bindings:              learned.Bindings,
		Tables:                learned.Tables,
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

// snapshotReplicas returns what was learned of the listed replicas, in the order of their names.
func (c *Core) snapshotReplicas(learned []control.LearnedReplica) []learnedstate.Replica {
	var replicas []learnedstate.Replica
	for _, l := range learned {
		r := c.replicas.byNumber[l.Replica]
		if r == nil || r.State == control.Gone {
			continue
		}
		replicas = append(replicas, learnedstate.Replica{
			ID:              r.name,
			Zone:            r.zone,
			HardwareClass:   r.hardwareClass,
			UpSince:         r.upSince,
			State:           r.State,
			Weight:          r.Weight,
			Speed:           l.Speed,
			SampleCount:     l.SampleCount,
			PlacementKey:    l.PlacementKey,
			Table:           l.Table,
			EjectedFor:      l.EjectedFor,
			Probation:       l.Probation,
			Ejections:       l.Ejections,
			SinceLastSample: l.SinceLastSample,
		})
	}
	slices.SortFunc(replicas, func(a, b learnedstate.Replica) int { return strings.Compare(a.ID, b.ID) })
	return replicas
}

// snapshotResponseTimes returns the baselines by the names of the hardware classes. The last one is of all together and has
// no name.
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
