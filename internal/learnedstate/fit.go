package learnedstate

import (
	"math"
	"slices"

	"lilacbend/control"
)

const (
	// MaxResponseTimes is how many response times are kept of a hardware class.
	MaxResponseTimes = 32
	// MaxNameLength is the longest ID of a replica, in bytes.
	MaxNameLength = 128
)

// The decision module's own figures lie far within these bounds; what lies outside was not written by it.
const (
	minSpeed       = 1.0 / 1024
	maxSpeed       = 1024.0
	maxSampleCount = 1e9
	maxRate        = 1e6   // requests a second
	minResponse    = 1e-9  // seconds
	maxResponse    = 600.0 // seconds
	maxTables      = 1 << 14
	maxEjections   = 1 << 10
	maxEjection    = int64(60 * 1e9) // nanoseconds
)

// Installation is what a state has to fit.
type Installation struct {
	Classes         []string
	HardwareClasses []string
	Proxies         int
}

// Dropped says what of a state does not fit, and why.
type Dropped struct {
	Replicas       int  // whose figures are impossible
	Expired        int  // replicas whose samples count for nothing any more
	RequestRates   int  // of unknown traffic classes or proxies, or too old
	ClassesChanged bool // so that the admission threshold does not apply
}

// Fit returns what of a state fits an installation and is not too old, and what was dropped. Zones and hardware classes of
// replicas are compared with the endpoint list once that names them.
func Fit(state State, installation Installation, age, halfLife int64) (State, Dropped) {
	var dropped Dropped
	state.Replicas = fitReplicas(state.Replicas, age, halfLife, &dropped)
	state.RequestRates = fitRequestRates(state.RequestRates, installation, &dropped)
	state.Bindings = fitBindings(state.Bindings, state.Tables, installation)
	state.BaselineResponseTimes = fitResponseTimes(state.BaselineResponseTimes, installation)
	// The threshold is by the order of the traffic classes.
	dropped.ClassesChanged = !slices.Equal(state.Classes, installation.Classes)
	if dropped.ClassesChanged || !within(state.AdmissionThreshold, 0, 1) {
		state.AdmissionThreshold = 1
		state.RetriesStopped = false
	}
	if !within(state.MaxSuccessRate, 0, maxRate) {
		state.MaxSuccessRate = 0
	}
	if state.Tables < 0 || state.Tables > maxTables {
		state.Tables = 0
		state.Bindings = nil
	}
	if Weight(age, halfLife) == 0 {
		dropped.RequestRates += len(state.RequestRates)
		state.dropFleet()
	}
	return state, dropped
}

// dropFleet drops what was learned of the fleet as a whole.
func (s *State) dropFleet() {
	s.RequestRates = nil
	s.Bindings = nil
	s.BaselineResponseTimes = nil
	s.Tables = 0
	s.AdmissionThreshold = 1
	s.MaxSuccessRate = 0
	s.RetriesStopped = false
}

func fitReplicas(replicas []Replica, age, halfLife int64, dropped *Dropped) []Replica {
	kept := replicas[:0:0]
	for _, r := range replicas {
		switch {
		case !r.valid():
			dropped.Replicas++
		case Weight(addSpans(r.SinceLastSample, age), halfLife) == 0:
			dropped.Expired++
		default:
			kept = append(kept, r)
		}
	}
	return kept
}

func fitRequestRates(rates []RequestRate, installation Installation, dropped *Dropped) []RequestRate {
	kept := rates[:0:0]
	for _, r := range rates {
		knownProxy := r.Proxy >= 0 && r.Proxy < installation.Proxies
		if !knownProxy || !slices.Contains(installation.Classes, r.Class) || !within(r.Rate, 0, maxRate) {
			dropped.RequestRates++
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

func fitBindings(bindings []control.Binding, tables int, installation Installation) []control.Binding {
	return slices.DeleteFunc(slices.Clone(bindings), func(b control.Binding) bool {
		return b.Proxy < 0 || b.Proxy >= installation.Proxies || b.Table < 0 || b.Table >= tables
	})
}

func fitResponseTimes(all []ResponseTimes, installation Installation) []ResponseTimes {
	kept := all[:0:0]
	for _, r := range all {
		if r.HardwareClass != "" && !slices.Contains(installation.HardwareClasses, r.HardwareClass) {
			continue
		}
		r.Times = slices.DeleteFunc(slices.Clone(r.Times), func(seconds float64) bool {
			return !within(seconds, minResponse, maxResponse)
		})
		r.Times = r.Times[max(0, len(r.Times)-MaxResponseTimes):]
		kept = append(kept, r)
	}
	return kept
}

// within reports whether a value lies between two others; false for what is no number.
func within(v, least, most float64) bool { return v >= least && v <= most }

// valid reports whether the figures of a replica are possible.
func (r Replica) valid() bool {
	identified := r.ID != "" && len(r.ID) <= MaxNameLength
	listed := within(r.Weight, 0, math.MaxFloat64) && r.UpSince >= 0 && r.State >= control.Ready && r.State <= control.Gone
	sampled := within(r.Speed, minSpeed, maxSpeed) && within(r.SampleCount, 0, maxSampleCount) && r.SinceLastSample >= 0
	placed := within(r.PlacementKey, 0, 1) && r.Table >= 0 && r.Table <= maxTables
	ejected := r.EjectedFor >= 0 && r.EjectedFor <= maxEjection && r.Ejections >= 0 && r.Ejections <= maxEjections
	return identified && listed && sampled && placed && ejected
}
