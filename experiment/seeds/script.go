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

// Script is the content of a script file: faults, the profile whose installation they affect, and the seed of the run.
type Script struct {
	Profile string
	Seed    int64
	Faults  []emulator.Fault
}

// ReadScript parses a script file. The error names the file, line and key of each invalid value.
func ReadScript(file string, raw []byte) (Script, error) {
	f, top, err := strictyaml.Parse(file, raw)
	if err != nil {
		return Script{}, err
	}
	script, seed := Script{Profile: "rules"}, 1
	profiles, kinds := map[string]string{}, map[string]string{}
	for name := range Profiles {
		profiles[name] = name
	}
	for _, kind := range slices.Concat(emulator.FaultKinds, emulator.CorrelatedFaultKinds) {
		kinds[kind] = kind
	}
	strictyaml.Choice(top, "profile", &script.Profile, profiles)
	top.Integer("seed", &seed, 0, math.MaxInt32)
	for _, section := range top.Sections("faults") {
		var start, duration time.Duration
		var fault emulator.Fault
		if !section.Has("kind") {
			section.AddFault("", "lacks kind: one of %s", strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
		}
		strictyaml.Choice(section, "kind", &fault.Kind, kinds)
		section.Duration("at", &start, 0, time.Hour)
		section.Duration("span", &duration, 0, time.Hour)
		section.Integer("who", &fault.Target, 0, math.MaxInt32)
		if zones := len(Profiles[script.Profile].Site().Names.Zones); (fault.Kind == "cut" || fault.Kind == "zone") && fault.Target >= zones {
			section.AddFault("who", "must be below the number of zones: zone %d of %d", fault.Target, zones)
		}
		section.Done()
		fault.Start, fault.Duration = start.Nanoseconds(), duration.Nanoseconds()
		script.Faults = append(script.Faults, fault)
	}
	top.Done()
	script.Seed = int64(seed)
	return script, f.Err()
}

// String returns the script in the format that ReadScript parses, with times in nanosecond precision.
func (s Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "profile: %s\nseed: %d\nfaults:\n", s.Profile, s.Seed)
	for _, f := range s.Faults {
		fmt.Fprintf(&b, "  - kind: %s\n    at: %v\n    who: %d\n    span: %v\n", f.Kind, time.Duration(f.Start), f.Target, time.Duration(f.Duration))
	}
	return b.String()
}
