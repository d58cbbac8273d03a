package learnedstate

import "math"

// MinWeight is the least weight of an entry, that after six half-lives. What weighs less changes no decision and is dropped.
const MinWeight = 1.0 / 64

// Weight returns how much an age leaves of what was learned: half after each half-life, and nothing below MinWeight.
func Weight(age, halfLife int64) float64 {
	weight := math.Exp2(-float64(max(0, age)) / float64(max(1, halfLife)))
	if weight < MinWeight {
		return 0
	}
	return weight
}

// Timestamp is a time as a machine shows it. The wall clock may step. Up does not, but says nothing across restarts of the
// machine.
type Timestamp struct {
	Wall int64  // nanoseconds since 1970
	Boot string // identifies the machine's start; empty: not known
	Up   int64  // nanoseconds since that start
}

// Age returns how long before now a timestamp was taken, never less than either clock says. If the wall clock has stepped
// back, how much time has passed is not known by it, and the size of the step counts as age: no step makes anything look
// younger than the other clock says.
func (t Timestamp) Age(now Timestamp) int64 {
	wall := now.Wall - t.Wall
	if wall < 0 {
		wall = -max(wall, -math.MaxInt64)
	}
	if t.Boot != "" && t.Boot == now.Boot {
		return max(wall, now.Up-t.Up)
	}
	return wall
}

// AgedState is a state in use by a running controller: it goes on ageing by that controller's own clock.
type AgedState struct {
	State
	loadedAt    int64 // by the controller's clock
	ageAtLoad   int64
	halfLife    int64
	replicaByID map[string]*Replica
}

// NewAgedState returns a state that was of an age at a time of the controller's clock.
func NewAgedState(state State, loadedAt, age, halfLife int64) *AgedState {
	aged := &AgedState{
		State:       state,
		loadedAt:    loadedAt,
		ageAtLoad:   age,
		halfLife:    halfLife,
		replicaByID: make(map[string]*Replica, len(state.Replicas)),
	}
	for k := range state.Replicas {
		aged.replicaByID[state.Replicas[k].ID] = &state.Replicas[k]
	}
	return aged
}

// Age returns how old the state is now.
func (s *AgedState) Age(now int64) int64 { return addSpans(s.ageAtLoad, now-s.loadedAt) }

// Weight returns how much of what was learned of the fleet counts now.
func (s *AgedState) Weight(now int64) float64 { return Weight(s.Age(now), s.halfLife) }

// Lookup returns what was learned of a replica as it is listed now, the age of its last sample and how much of that counts;
// weight 0: nothing. A process that was started since, or has moved to another zone or hardware class, is another replica.
func (s *AgedState) Lookup(id, zone, hardwareClass string, upSince, now int64) (r Replica, age int64, weight float64) {
	if s == nil || s.replicaByID[id] == nil {
		return Replica{}, 0, 0
	}
	r = *s.replicaByID[id]
	if r.UpSince != upSince || r.Zone != zone || r.HardwareClass != hardwareClass {
		return Replica{}, 0, 0
	}
	elapsed := s.Age(now)
	r.ageEjection(elapsed)
	age = addSpans(r.SinceLastSample, elapsed)
	return r, age, Weight(age, s.halfLife)
}
