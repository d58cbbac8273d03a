package emulator

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
)

// Fault is one scripted fault. It undoes itself after its span.
type Fault struct {
	Start    int64
	Kind     string
	Target   int // index of a replica, a proxy or a zone
	Duration int64
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3fs %s %d for %.3fs", float64(f.Start)/1e9, f.Kind, f.Target, float64(f.Duration)/1e9)
}

// Kinds of faults in scripts.
const (
	kindSilent         = "silent"
	kindSlow           = "slow"
	kindFailing        = "failing"
	kindRestart        = "restart"       // a replica restarts; its requests are lost
	kindDrain          = "drain"         // a replica drains and starts again
	kindReplace        = "replace"       // a replica is removed with its machine; a new one takes its place
	kindCut            = "cut"           // a zone is cut off
	kindController     = "governor"      // a controller restarts without state
	kindControllerKept = "governor-kept" // a controller restarts with its learned state
	kindStall          = "stall"         // a proxy applies no messages
	kindStream         = "stream"        // a proxy opens a new stream before the end of the old one is noticed
	kindRelease        = "release"       // six in ten replicas are replaced within the span
	kindZone           = "zone"          // replicas and proxies of a zone are lost, and return with all replicas warming up
)

// Sizes of drawn scripts.
const (
	minFaults        = 2
	faultCountSpread = 6
	minSpan          = 200 * milli
	spanSpread       = 8 * second
)

// FaultKinds are the kinds of faults that concern one replica, proxy, zone or controller.
var FaultKinds = []string{
	kindSilent, kindSlow, kindFailing, kindRestart, kindDrain, kindReplace, kindCut, kindController, kindControllerKept, kindStall, kindStream,
}

// CorrelatedFaultKinds are the kinds of faults that concern many replicas at once.
var CorrelatedFaultKinds = []string{kindRelease, kindZone}

// edgeSpans are spans at which the behaviour of the controller or the protocol changes. Drawn times are at an edge, just before or
// just after it.
var edgeSpans = []int64{
	transit, 2 * transit, batchDelay, second / 4, second / 2, second, 2 * second, 2500 * milli, 3 * second, 4 * second, 5 * second, 10 * second,
}

// RandomFaults draws a script from a seed: some faults of some kinds, many of them at an edge after an earlier one.
func RandomFaults(site Site, seed int64, from, until int64, kinds []string) []Fault {
	var script []Fault
	random := rand.New(rand.NewSource(seed))
	for range minFaults + random.Intn(faultCountSpread) {
		fault := Fault{
			Start:    from + random.Int63n(until-from),
			Kind:     kinds[random.Intn(len(kinds))],
			Duration: minSpan + random.Int63n(spanSpread),
		}
		if len(script) > 0 && random.Intn(2) == 0 {
			previous := script[len(script)-1]
			fault.Start = min(until-1, previous.Start+drawEdge(random))
		}
		if random.Intn(2) == 0 {
			fault.Duration = drawEdge(random)
		}
		fault.Target = random.Intn(site.targets(fault.Kind))
		script = append(script, fault)
	}
	slices.SortStableFunc(script, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return script
}

// drawEdge draws a span at an edge, just before or just after it.
func drawEdge(random *rand.Rand) int64 {
	edge := edgeSpans[random.Intn(len(edgeSpans))]
	shifts := []int64{-1, 0, 1, milli}
	return edge + shifts[random.Intn(len(shifts))]
}

// targets returns how many targets a kind of fault has.
func (s Site) targets(kind string) int {
	switch kind {
	case kindCut, kindZone:
		return len(s.zones())
	case kindStall, kindStream:
		return s.Proxies
	}
	return s.Replicas
}
