// Package learnedstate defines the learned state of a controller, which is kept across restarts. Replicas, zones, hardware
// classes and traffic classes are identified by name, since their numbers are assigned anew at each start. The package
// merges states, ages them and restricts them to an installation. The decision module decides how much confidence it places
// in them. The package has no I/O and reads no clock. Durations are in nanoseconds.
package learnedstate

import (
	"cmp"
	"math"
	"slices"

	"lilacbend/control"
)

// Limits on the size of a State: a few times the size of the largest known installation.
const (
	// MaxReplicas is the maximum number of replicas in a State.
	MaxReplicas = 1 << 14
	// MaxRequestRates is the maximum number of request rates in a State, over all proxies and traffic classes.
	MaxRequestRates = 1 << 18
	// MaxNames is the maximum number of traffic classes in a State, and also the maximum number of hardware classes.
	MaxNames = 1 << 10
)

// State is the learned state of one controller at one time.
type State struct {
	Controller            string    // the controller's name
	TakenAt               Timestamp // when the state was taken
	Revision              int64     // revision of the endpoint list
	Classes               []string
	Replicas              []Replica // sorted by ID
	BaselineResponseTimes []ResponseTimes
	RequestRates          []RequestRate
	Bindings              []control.Binding
	TableCount            int     // number of tables
	AdmissionThreshold    float64 // as in control.LearnedFleet, like the fields below
	MaxSuccessRate        float64
	RetriesStopped        bool
}

// Replica is the learned data about one replica, with its entry in the endpoint list from discovery.
type Replica struct {
	ID                string
	Zone              string
	HardwareClass     string
	StartedAt         int64 // start of the replica's process as listed, in Unix time; another value means another process
	State             control.State
	ListedWeight      float64 // as listed
	Speed             float64 // as in control.LearnedReplica, like the fields below
	SampleCount       float64
	PlacementKey      float64
	Table             int
	RemainingEjection int64
	Probation         bool
	EjectionCount     int
	SinceLastSample   int64 // time from the replica's last sample to State.TakenAt
}

// ResponseTimes are the response times of a hardware class at low load, in seconds. The empty class name denotes the whole
// fleet.
type ResponseTimes struct {
	HardwareClass string
	Times         []float64
}

// RequestRate is the rate, in requests per second, at which requests of a traffic class arrived at a proxy.
type RequestRate struct {
	Proxy int
	Class string
	Rate  float64
}

// maxListAge is the age up to which a state's endpoint list may be used, in nanoseconds. The revision of an older list is
// not comparable with that of the configured list, since discovery may have restarted its revision numbers.
const maxListAge = int64(15 * 60 * 1e9)

// HasNewerEndpointList reports whether the state's endpoint list is to be used until discovery answers, in place of a list
// with the given revision. age is the age of the state.
func (s State) HasNewerEndpointList(revision, age int64) bool {
	return s.Revision > revision && age <= maxListAge && len(s.Replicas) > 0
}

// Merge returns the current state with the replicas added that only the earlier state has: replicas that are no longer or
// not yet in the endpoint list. Earlier replicas whose samples are so old that their weight is 0 are left out, and so are
// replicas beyond MaxReplicas. elapsed is the time from the earlier to the current state.
func Merge(current, earlier State, elapsed, halfLife int64) State {
	known := make(map[string]bool, len(current.Replicas))
	for _, r := range current.Replicas {
		known[r.ID] = true
	}
	replicas := slices.Clone(current.Replicas)
	for _, r := range earlier.Replicas {
		r.SinceLastSample = addDurations(r.SinceLastSample, elapsed)
		r.ageEjection(elapsed)
		if !known[r.ID] && len(replicas) < MaxReplicas && Weight(r.SinceLastSample, halfLife) > 0 {
			r.State = control.Gone // not in the current endpoint list
			replicas = append(replicas, r)
		}
	}
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	current.Replicas = replicas
	return current
}

// ageEjection subtracts the elapsed time from the remaining time of an ejection. If the ejection ends within that time, the
// replica enters probation, as it would have at the controller that ejected it.
func (r *Replica) ageEjection(elapsed int64) {
	if r.RemainingEjection > 0 && r.RemainingEjection <= elapsed {
		r.Probation = true
	}
	r.RemainingEjection = max(0, r.RemainingEjection-max(0, elapsed))
}

// addDurations adds two durations. A negative duration counts as 0, and a sum that overflows is math.MaxInt64.
func addDurations(a, b int64) int64 {
	a = max(0, a)
	b = max(0, b)
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
