// Package learnedstate is what a governor has learned, as a value that outlives it: by the names of replicas, zones,
// kinds and traffic groups, since their numbers are new with each start. Here it is merged, aged and judged for
// fitness; whether and how far a remembered thing is believed the decision module says. No I/O, no clock.
package learnedstate

import (
	"cmp"
	"math"
	"slices"

	"lilacbend/control"
)

const (
	// What is left of an entry after six half-lives changes no decision and is dropped.
	MinWeight = 1.0 / 64
	// Bounds of one memory: four times the largest site we know of.
	MaxReplicas, MaxRequestRates, MaxNames = 1 << 14, 1 << 18, 1 << 10
	// Response times kept of a kind, and the length of the longest name of anything.
	MaxResponseTimes, MaxNameLength = 32, 128
	// The module's own figures lie far within these; what lies outside was not written by it.
	minSpeed, maxSpeed, maxRate, maxResponseSeconds = 1.0 / 1024, 1024.0, 1e6, 600.0
	maxEjections, maxEjection                       = 1 << 10, int64(60 * 1e9)
	maxTables, maxSampleCount                       = 1 << 14, 1e9
	// A list that is older is no better than the one in the configuration, whatever its revision says:
	// discovery may have begun to count anew since.
	maxListAge = int64(15 * 60 * 1e9)
)

// Timestamp is a time as a machine shows it. The wall clock may step; Up, the time since the machine's start Boot,
// does not, but says nothing to another start.
type Timestamp struct {
	Wall int64
	Boot string // empty: not known
	Up   int64
}

// Age is how long then lies before now, never less than either clock shows. Where the wall clock lies behind
// then, it has stepped back, and how much time has passed is not known: the step itself counts as age, so that
// no step makes anything look younger than the clock that did not step says.
func (then Timestamp) Age(now Timestamp) int64 {
	wall := now.Wall - then.Wall
	if wall < 0 {
		wall = -max(wall, -math.MaxInt64)
	}
	if then.Boot != "" && then.Boot == now.Boot {
		return max(wall, now.Up-then.Up)
	}
	return wall
}

// Weight is what an age leaves of what was learned: half after each half-life, nothing under MinWeight.
func Weight(age, halfLife int64) float64 {
	w := math.Exp2(-float64(max(0, age)) / float64(max(1, halfLife)))
	if w < MinWeight {
		return 0
	}
	return w
}

// Replica is what was learned of one replica, and how discovery listed it.
type Replica struct {
	ID, Zone, HardwareClass string
	UpSince                 int64 // by the wall clock, as listed: one that started since is another
	State                   control.State
	Weight                  float64 // as listed
	Speed                   float64 // as control.LearnedReplica
	SampleCount             float64
	PlacementKey            float64
	Table                   int
	EjectedFor              int64
	Probation               bool
	Ejections               int
	SinceLastSample         int64 // between its last evidence and Taken
}

// ResponseTimes is the answer times of a kind when it was not busy, in seconds. The empty name is all kinds together.
type ResponseTimes struct {
	HardwareClass string
	Times         []float64
}

// RequestRate is the flows a second of a traffic group that came to a proxy.
type RequestRate struct {
	Proxy int
	Class string
	Rate  float64
}

// State is all that one governor had learned at a moment.
type State struct {
	Controller            string
	Taken                 Timestamp
	Revision              int64 // of the list
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

// Merge adds to what was learned now what was learned earlier of replicas that now says nothing of: those that
// are not listed just now, or not yet. Earlier ones of less than MinWeight are left out. Since is the time
// from earlier to now.
func Merge(now, earlier State, since, halfLife int64) State {
	has := make(map[string]bool, len(now.Replicas))
	for _, r := range now.Replicas {
		has[r.ID] = true
	}
	all := slices.Clone(now.Replicas)
	for _, r := range earlier.Replicas {
		r.SinceLastSample = addSpans(r.SinceLastSample, since)
		if r.EjectedFor > 0 && r.EjectedFor <= since {
			r.Probation = true
		}
		r.EjectedFor = max(0, r.EjectedFor-max(0, since))
		if !has[r.ID] && len(all) < MaxReplicas && Weight(r.SinceLastSample, halfLife) > 0 {
			r.State = control.Gone // it is no member of the list
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	now.Replicas = all
	return now
}

func addSpans(a, b int64) int64 {
	if a, b = max(0, a), max(0, b); a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// Installation is the installation that a memory is to serve in.
type Installation struct {
	Classes, HardwareClasses []string
	Proxies                  int
}

// Dropped counts what a memory held that does not fit, by reason.
type Dropped struct {
	Replicas       int // whose figures cannot be
	Expired        int // replicas whose evidence counts for nothing any more
	RequestRates   int // of traffic groups or proxies that there are not
	ClassesChanged bool
}

// Fit keeps of a memory what fits the place and is not too old, and says what it has dropped. Levels are by the
// order of the traffic groups: where these have changed they are dropped as a whole.
func Fit(m State, p Installation, age, halfLife int64) (State, Dropped) {
	var d Dropped
	whole := Weight(age, halfLife) > 0
	keep := m.Replicas[:0:0]
	for _, r := range m.Replicas {
		switch {
		case !sound(r): // zone and kind are held to the list when it names the replica
			d.Replicas++
		case Weight(addSpans(r.SinceLastSample, age), halfLife) == 0:
			d.Expired++
		default:
			keep = append(keep, r)
		}
	}
	m.Replicas = keep
	usage := m.RequestRates[:0:0]
	for _, u := range m.RequestRates {
		if u.Proxy >= 0 && u.Proxy < p.Proxies && slices.Contains(p.Classes, u.Class) && within(u.Rate, 0, maxRate) {
			usage = append(usage, u)
		} else {
			d.RequestRates++
		}
	}
	m.RequestRates = usage
	m.Bindings = slices.DeleteFunc(slices.Clone(m.Bindings), func(s control.Binding) bool {
		return s.Proxy < 0 || s.Proxy >= p.Proxies || s.Table < 0 || s.Table >= m.Tables
	})
	calm := m.BaselineResponseTimes[:0:0]
	for _, c := range m.BaselineResponseTimes {
		if slices.Contains(p.HardwareClasses, c.HardwareClass) || c.HardwareClass == "" {
			c.Times = slices.DeleteFunc(slices.Clone(c.Times), func(a float64) bool {
				return !within(a, 1e-9, maxResponseSeconds)
			})
			c.Times = c.Times[max(0, len(c.Times)-MaxResponseTimes):]
			calm = append(calm, c)
		}
	}
	m.BaselineResponseTimes = calm
	if d.ClassesChanged = !slices.Equal(m.Classes, p.Classes); d.ClassesChanged || !within(m.AdmissionThreshold, 0, 1) {
		m.AdmissionThreshold, m.RetriesStopped = 1, false
	}
	if !within(m.MaxSuccessRate, 0, maxRate) {
		m.MaxSuccessRate = 0
	}
	if m.Tables < 0 || m.Tables > maxTables {
		m.Tables, m.Bindings = 0, nil
	}
	if !whole { // nothing of the fleet is left
		d.RequestRates += len(m.RequestRates)
		m.RequestRates, m.Bindings, m.BaselineResponseTimes, m.Tables, m.AdmissionThreshold, m.MaxSuccessRate, m.RetriesStopped = nil, nil, nil, 0, 1, 0, false
	}
	return m, d
}

func within(v, least, most float64) bool { return v >= least && v <= most } // false for what is no number

// sound says whether the figures of a replica can be.
func sound(r Replica) bool {
	return r.ID != "" && len(r.ID) <= MaxNameLength && within(r.Speed, minSpeed, maxSpeed) &&
		within(r.SampleCount, 0, maxSampleCount) && within(r.PlacementKey, 0, 1) && within(r.Weight, 0, math.MaxFloat64) &&
		r.Table >= 0 && r.Table <= maxTables && r.EjectedFor >= 0 && r.EjectedFor <= maxEjection &&
		r.Ejections >= 0 && r.Ejections <= maxEjections && r.SinceLastSample >= 0 && r.UpSince >= 0 &&
		r.State >= control.Ready && r.State <= control.Gone
}

// HasNewerList says whether the memory's list is to serve until discovery answers, instead of one of this revision.
func (m State) HasNewerList(revision, age int64) bool {
	return m.Revision > revision && age <= maxListAge && len(m.Replicas) > 0
}
