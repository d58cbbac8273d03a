package learnedstate

import "math"

// minWeight is the lowest weight of an entry, reached after six half-lives. Entries of lower weight do not change any
// decision and are dropped.
const minWeight = 1.0 / 64

// Weight returns the weight, from 0 to 1, of learned data of the given age: it halves with each half-life and is 0 once it
// would be below minWeight. A negative age counts as 0.
func Weight(age, halfLife int64) float64 {
	weight := math.Exp2(-float64(max(0, age)) / float64(max(1, halfLife)))
	if weight < minWeight {
		return 0
	}
	return weight
}

// Timestamp is a time read from a machine's clocks. The wall clock may step. Uptime does not step, but it is comparable only
// between timestamps of the same boot.
type Timestamp struct {
	Wall   int64  // Unix time in nanoseconds
	Boot   string // boot ID of the machine; empty: unknown
	Uptime int64  // nanoseconds since boot
}

// Age returns how long before now a timestamp was taken: the larger of the ages by the wall clock and, within one boot, by
// the uptime. If the wall clock shows an earlier time than the timestamp, the elapsed time cannot be derived from it, and
// the size of the difference counts as the age. So a step of the wall clock never makes the result smaller than the age by
// the uptime.
func (t Timestamp) Age(now Timestamp) int64 {
	wallAge := now.Wall - t.Wall
	if wallAge < 0 {
		wallAge = -max(wallAge, -math.MaxInt64)
	}
	if t.Boot != "" && t.Boot == now.Boot {
		return max(wallAge, now.Uptime-t.Uptime)
	}
	return wallAge
}

// AgedState is a state that a running controller has loaded. Its age increases with that controller's own clock.
type AgedState struct {
	State
	loadedAt    int64 // on the controller's clock
	ageAtLoad   int64
	halfLife    int64
	replicaByID map[string]*Replica
}

// NewAgedState returns a state whose age was age when the controller's clock showed loadedAt.
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

// Age returns the age of the state at now, a time of the controller's clock.
func (s *AgedState) Age(now int64) int64 { return addDurations(s.ageAtLoad, now-s.loadedAt) }

// Weight returns the weight, from 0 to 1, that data about the fleet as a whole has at now.
func (s *AgedState) Weight(now int64) float64 { return Weight(s.Age(now), s.halfLife) }

// Lookup returns the data about a replica as the endpoint list has it now, the age of its last sample and the weight of the
// data. Weight 0 means that there is no usable data. A replica whose process has been restarted since the state was taken,
// or that is now in another zone or hardware class, is a different replica and has no data.
func (s *AgedState) Lookup(id, zone, hardwareClass string, startedAt, now int64) (replica Replica, age int64, weight float64) {
	if s == nil || s.replicaByID[id] == nil {
		return Replica{}, 0, 0
	}
	replica = *s.replicaByID[id]
	if replica.StartedAt != startedAt || replica.Zone != zone || replica.HardwareClass != hardwareClass {
		return Replica{}, 0, 0
	}
	elapsed := s.Age(now)
	replica.ageEjection(elapsed)
	age = addDurations(replica.SinceLastSample, elapsed)
	return replica, age, Weight(age, s.halfLife)
}
