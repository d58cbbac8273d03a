package emulator

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
)

// Fault is one scripted fault. Its effect ends after its duration.
type Fault struct {
	Start    int64 // virtual time, in nanoseconds
	Kind     string
	Target   int   // index of a replica, proxy, zone or controller; too large an index wraps around, except that of a zone
	Duration int64 // nanoseconds
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3fs %s %d for %.3fs", float64(f.Start)/1e9, f.Kind, f.Target, float64(f.Duration)/1e9)
}

// Kinds of faults in scripts.
const (
	kindUnresponsive               = "silent"
	kindSlow                       = "slow"
	kindFailing                    = "failing"
	kindRestart                    = "restart"       // a replica rejects all requests and then restarts
	kindDrain                      = "drain"         // a replica drains, and is then ready again and warming up
	kindReplace                    = "replace"       // a replica is lost with its machine and replaced by a new one
	kindZonePartition              = "cut"           // a zone is partitioned from the others and from the controllers
	kindControllerRestart          = "governor"      // a controller restarts without state
	kindControllerRestartWithState = "governor-kept" // a controller restarts with its learned state
	kindProxyStall                 = "stall"         // a proxy does not apply messages
	kindSecondStream               = "stream"        // a proxy opens a new stream before the end of the old stream is noticed
	kindRelease                    = "release"       // six in ten replicas are replaced within the fault's duration
	kindZoneLoss                   = "zone"          // a zone's replicas and proxies are lost; all replicas return warming up
)

// Limits of random scripts: the number of faults and their durations.
const (
	minFaults        = 2
	faultCountSpread = 6
	minDuration      = 200 * millisecond
	durationSpread   = 8 * second
)

// FaultKinds are the kinds of faults that affect one replica, proxy, zone or controller.
var FaultKinds = []string{
	kindUnresponsive, kindSlow, kindFailing, kindRestart, kindDrain, kindReplace, kindZonePartition,
	kindControllerRestart, kindControllerRestartWithState, kindProxyStall, kindSecondStream,
}

// CorrelatedFaultKinds are the kinds of faults that affect many replicas at once.
var CorrelatedFaultKinds = []string{kindRelease, kindZoneLoss}

// boundaryDurations are durations at which the behaviour of the controller or of the protocol changes. Random scripts use
// times at these boundaries, just before and just after them.
var boundaryDurations = []int64{
	transitTime, 2 * transitTime, batchDelay, second / 4, second / 2, second, 2 * second, 2500 * millisecond, 3 * second, 4 * second, 5 * second, 10 * second,
}

// RandomFaults returns a random script from a seed: faults of the given kinds that start from one time until another. Of
// the faults after the first, half start a boundary duration after the previous fault. Half of all faults last a boundary
// duration.
func RandomFaults(site Site, seed int64, from, until int64, kinds []string) []Fault {
	var script []Fault
	random := rand.New(rand.NewSource(seed))
	for range minFaults + random.Intn(faultCountSpread) {
		fault := Fault{
			Start:    from + random.Int63n(until-from),
			Kind:     kinds[random.Intn(len(kinds))],
			Duration: minDuration + random.Int63n(durationSpread),
		}
		if len(script) > 0 && random.Intn(2) == 0 {
			previous := script[len(script)-1]
			fault.Start = min(until-1, previous.Start+randomBoundary(random))
		}
		if random.Intn(2) == 0 {
			fault.Duration = randomBoundary(random)
		}
		fault.Target = random.Intn(site.targets(fault.Kind))
		script = append(script, fault)
	}
	slices.SortStableFunc(script, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return script
}

// randomBoundary returns a random boundary duration: exact, 1 ns shorter, 1 ns longer or 1 ms longer.
func randomBoundary(random *rand.Rand) int64 {
	boundary := boundaryDurations[random.Intn(len(boundaryDurations))]
	shifts := []int64{-1, 0, 1, millisecond}
	return boundary + shifts[random.Intn(len(shifts))]
}

// targets returns the number of possible targets of a kind of fault.
func (s Site) targets(kind string) int {
	switch kind {
	case kindZonePartition, kindZoneLoss:
		return len(s.zones())
	case kindProxyStall, kindSecondStream:
		return s.Proxies
	}
	return s.Replicas
}
