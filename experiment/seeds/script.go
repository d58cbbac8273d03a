package seeds

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lilacbend/experiment/emulator"
	"lilacbend/internal/strictyaml"
)

// Script is what a file tells to play: faults of its own, at a profile's size, with a seed's chance.
type Script struct {
	Profile string
	Seed    int64
	Faults  []emulator.Fault
}

// ReadScript reads a script. The error names file, line and key of all that is wrong.
func ReadScript(file string, raw []byte) (Script, error) {
	f, top, err := strictyaml.Parse(file, raw)
	if err != nil {
		return Script{}, err
	}
	s, seed := Script{Profile: "rules"}, 1
	profiles, kinds := map[string]string{}, map[string]string{}
	for name := range Profiles {
		profiles[name] = name
	}
	for _, kind := range slices.Concat(emulator.FaultKinds, emulator.CorrelatedFaultKinds) {
		kinds[kind] = kind
	}
	strictyaml.Choice(top, "profile", &s.Profile, profiles)
	top.Whole("seed", &seed, 0, math.MaxInt32)
	for _, one := range top.Sections("faults") {
		var at, span time.Duration
		var fault emulator.Fault
		if !one.Has("kind") {
			one.Fault("", "lacks kind: one of %s", strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
		}
		strictyaml.Choice(one, "kind", &fault.Kind, kinds)
		one.Duration("at", &at, 0, time.Hour)
		one.Duration("span", &span, 0, time.Hour)
		one.Whole("who", &fault.Target, 0, math.MaxInt32)
		if zones := len(Profiles[s.Profile].Site().Names.Zones); (fault.Kind == "cut" || fault.Kind == "zone") && fault.Target >= zones {
			one.Fault("who", "is zone %d of %d", fault.Target, zones)
		}
		one.Done()
		fault.Start, fault.Duration = at.Nanoseconds(), span.Nanoseconds()
		s.Faults = append(s.Faults, fault)
	}
	top.Done()
	s.Seed = int64(seed)
	return s, f.Err()
}

// String writes a script as ReadScript reads it, to the nanosecond.
func (s Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "profile: %s\nseed: %d\nfaults:\n", s.Profile, s.Seed)
	for _, f := range s.Faults {
		fmt.Fprintf(&b, "  - kind: %s\n    at: %v\n    who: %d\n    span: %v\n", f.Kind, time.Duration(f.Start), f.Target, time.Duration(f.Duration))
	}
	return b.String()
}
