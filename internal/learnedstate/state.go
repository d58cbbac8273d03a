// Package learnedstate holds what a controller has learned, as a value that outlives it: by the names of replicas, zones,
// hardware classes and traffic classes, since their numbers are new with each start. Here it is merged, aged and fitted to an
// installation; how far it is trusted the decision module decides. The package has no I/O and no clock. Spans are
// nanoseconds.
package learnedstate

import (
	"cmp"
	"math"
	"slices"

	"lilacbend/control"
)

// Bounds of one state: a few times the largest installation that is known.
const (
	// MaxReplicas is the most replicas.
	MaxReplicas = 1 << 14
	// MaxRequestRates is the most request rates, of all proxies and traffic classes.
	MaxRequestRates = 1 << 18
	// MaxNames is the most traffic classes, and the most hardware classes.
	MaxNames = 1 << 10
)

// State is what one controller had learned at a time.
type State struct {
	Controller            string // its name
	Taken                 Timestamp
	Revision              int64 // of the endpoint list
	Classes               []string
	Replicas              []Replica // by ID
	BaselineResponseTimes []ResponseTimes
	RequestRates          []RequestRate
	Bindings              []control.Binding
	Tables                int
	AdmissionThreshold    float64
	MaxSuccessRate        float64
	RetriesStopped        bool
}

// Replica is what was learned of one replica, and how discovery listed it.
type Replica struct {
	ID              string
	Zone            string
	HardwareClass   string
	UpSince         int64 // by the wall clock, as listed: a process started later is another
	State           control.State
	Weight          float64 // as listed
	Speed           float64 // as control.LearnedReplica has it, like the fields below
	SampleCount     float64
	PlacementKey    float64
	Table           int
	EjectedFor      int64
	Probation       bool
	Ejections       int
	SinceLastSample int64 // from its last sample to State.Taken
}

// ResponseTimes are the response times of a hardware class at low load, in seconds. The class without a name is all together.
type ResponseTimes struct {
	HardwareClass string
	Times         []float64
}

// RequestRate is the requests a second of a traffic class that arrived at a proxy.
type RequestRate struct {
	Proxy int
	Class string
	Rate  float64
}

// maxListAge is the age up to which a state's endpoint list may be used, in nanoseconds. An older one is no better than the
// configured list whatever its revision says: discovery may have begun to count anew since.
const maxListAge = int64(15 * 60 * 1e9)

// HasNewerList reports whether the state's endpoint list is to be used until discovery answers, instead of one of a revision.
func (s State) HasNewerList(revision, age int64) bool {
	return s.Revision > revision && age <= maxListAge && len(s.Replicas) > 0
}

// Merge adds to what has been learned now what was learned earlier of replicas that now says nothing about: those that are not
// listed, or not yet. Earlier ones whose samples count for nothing any more are left out. elapsed is the time from earlier
// to now.
func Merge(now, earlier State, elapsed, halfLife int64) State {
	known := make(map[string]bool, len(now.Replicas))
	for _, r := range now.Replicas {
		known[r.ID] = true
	}
	replicas := slices.Clone(now.Replicas)
	for _, r := range earlier.Replicas {
		r.SinceLastSample = addSpans(r.SinceLastSample, elapsed)
		r.ageEjection(elapsed)
		if !known[r.ID] && len(replicas) < MaxReplicas && Weight(r.SinceLastSample, halfLife) > 0 {
			r.State = control.Gone // it is not in the list of now
			replicas = append(replicas, r)
		}
	}
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	now.Replicas = replicas
	return now
}

// ageEjection takes a span off an ejection. If it ends within the span the replica enters probation, as it would have at the
// controller that ejected it.
func (r *Replica) ageEjection(span int64) {
	if r.EjectedFor > 0 && r.EjectedFor <= span {
		r.Probation = true
	}
	r.EjectedFor = max(0, r.EjectedFor-max(0, span))
}

// addSpans adds two spans, each of them 0 if it is negative; a sum too large is the largest number.
func addSpans(a, b int64) int64 {
	a = max(0, a)
	b = max(0, b)
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
