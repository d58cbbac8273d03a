package learnedstate

import (
	"math"
	"slices"

	"lilacbend/control"
)

const (
	// maxResponseTimes is the number of response times kept for a hardware class.
	maxResponseTimes = 32
	// maxNameLength is the maximum length of a replica's ID, in bytes.
	maxNameLength = 128
)

// Bounds of valid values. Values from the decision module are far within them, so a value outside its bounds was not written
// by the module.
const (
	minSpeed        = 1.0 / 1024
	maxSpeed        = 1024.0
	maxSampleCount  = 1e9
	maxRequestRate  = 1e6   // requests per second
	minResponseTime = 1e-9  // seconds
	maxResponseTime = 600.0 // seconds
	maxTables       = 1 << 14
	maxEjections    = 1 << 10
	maxEjectionTime = int64(60 * 1e9) // nanoseconds
)

// Installation is the configuration that a restored state has to match.
type Installation struct {
	Classes         []string // traffic classes, in configured order
	HardwareClasses []string
	ProxyCount      int // number of proxies; they are numbered from 0
}

// Dropped counts the entries of a state that Restrict has dropped, by reason. Dropped bindings and response times are not
// counted.
type Dropped struct {
	InvalidReplicas int  // replicas with a value out of bounds
	ExpiredReplicas int  // replicas whose samples are so old that their weight is 0
	RequestRates    int  // request rates of unknown traffic classes or proxies, out of bounds or too old
	ClassesChanged  bool // the traffic classes or their order differ, so that the admission threshold does not apply
}

// Restrict returns the state without the entries that are invalid, do not match the installation or are too old, and the
// counts of dropped entries. age is the age of the state. Zones and hardware classes of replicas are not checked here:
// AgedState.Lookup compares them with the endpoint list.
func Restrict(state State, installation Installation, age, halfLife int64) (State, Dropped) {
	var dropped Dropped
	state.Replicas = restrictReplicas(state.Replicas, age, halfLife, &dropped)
	state.RequestRates = restrictRequestRates(state.RequestRates, installation, &dropped)
	state.Bindings = restrictBindings(state.Bindings, state.TableCount, installation)
	state.BaselineResponseTimes = restrictResponseTimes(state.BaselineResponseTimes, installation)
	// The threshold refers to the traffic classes in their order.
	dropped.ClassesChanged = !slices.Equal(state.Classes, installation.Classes)
	if dropped.ClassesChanged || !inRange(state.AdmissionThreshold, 0, 1) {
		state.AdmissionThreshold = 1
		state.RetriesStopped = false
	}
	if !inRange(state.MaxSuccessRate, 0, maxRequestRate) {
		state.MaxSuccessRate = 0
	}
	if state.TableCount < 0 || state.TableCount > maxTables {
		state.TableCount = 0
		state.Bindings = nil
	}
	if Weight(age, halfLife) == 0 {
		dropped.RequestRates += len(state.RequestRates)
		state.clearFleetState()
	}
	return state, dropped
}

// clearFleetState resets the data about the fleet as a whole.
func (s *State) clearFleetState() {
	s.RequestRates = nil
	s.Bindings = nil
	s.BaselineResponseTimes = nil
	s.TableCount = 0
	s.AdmissionThreshold = 1
	s.MaxSuccessRate = 0
	s.RetriesStopped = false
}

func restrictReplicas(replicas []Replica, age, halfLife int64, dropped *Dropped) []Replica {
	kept := replicas[:0:0]
	for _, r := range replicas {
		switch {
		case !r.valid():
			dropped.InvalidReplicas++
		case Weight(addDurations(r.SinceLastSample, age), halfLife) == 0:
			dropped.ExpiredReplicas++
		default:
			kept = append(kept, r)
		}
	}
	return kept
}

func restrictRequestRates(rates []RequestRate, installation Installation, dropped *Dropped) []RequestRate {
	kept := rates[:0:0]
	for _, r := range rates {
		knownProxy := r.Proxy >= 0 && r.Proxy < installation.ProxyCount
		if !knownProxy || !slices.Contains(installation.Classes, r.Class) || !inRange(r.Rate, 0, maxRequestRate) {
			dropped.RequestRates++
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

func restrictBindings(bindings []control.Binding, tables int, installation Installation) []control.Binding {
	return slices.DeleteFunc(slices.Clone(bindings), func(b control.Binding) bool {
		return b.Proxy < 0 || b.Proxy >= installation.ProxyCount || b.Table < 0 || b.Table >= tables
	})
}

func restrictResponseTimes(allTimes []ResponseTimes, installation Installation) []ResponseTimes {
	kept := allTimes[:0:0]
	for _, r := range allTimes {
		if r.HardwareClass != "" && !slices.Contains(installation.HardwareClasses, r.HardwareClass) {
			continue
		}
		r.Times = slices.DeleteFunc(slices.Clone(r.Times), func(seconds float64) bool {
			return !inRange(seconds, minResponseTime, maxResponseTime)
		})
		r.Times = r.Times[max(0, len(r.Times)-maxResponseTimes):]
		kept = append(kept, r)
	}
	return kept
}

// inRange reports whether a value is at least low and at most high. It returns false for NaN.
func inRange(value, low, high float64) bool { return value >= low && value <= high }

// valid reports whether all values of a replica are within their bounds.
func (r Replica) valid() bool {
	validID := r.ID != "" && len(r.ID) <= maxNameLength
	validListing := inRange(r.ListedWeight, 0, math.MaxFloat64) && r.StartedAt >= 0 && r.State >= control.Ready && r.State <= control.Gone
	validSamples := inRange(r.Speed, minSpeed, maxSpeed) && inRange(r.SampleCount, 0, maxSampleCount) && r.SinceLastSample >= 0
	validAssignment := inRange(r.PlacementKey, 0, 1) && r.Table >= 0 && r.Table <= maxTables
	validEjections := r.RemainingEjection >= 0 && r.RemainingEjection <= maxEjectionTime && r.EjectionCount >= 0 && r.EjectionCount <= maxEjections
	return validID && validListing && validSamples && validAssignment && validEjections
}
