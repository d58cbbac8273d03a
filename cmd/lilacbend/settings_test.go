package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/experiment/emulator"
)

// The tests in this file use settings with unusual values. A configuration with such settings is either rejected with an
// error of one line that names the key, or it is accepted. If it is accepted, the controllers keep three rules of the
// protocol in a short simulation with faults: 1 (a joined proxy has an endpoint), 3 (no requests to a draining replica after
// its grace period) and 5 (limits of the queued cost units and of the messages to a proxy). Package emulator checks them.

type object = map[string]any

// editedConfiguration is the example's configuration file as decoded JSON, which tests change. The other fields are objects
// within file: rules is settings.invariants.
type editedConfiguration struct{ file, settings, domain, rules object }

func newEditedConfiguration(t interface{ Fatal(...any) }) editedConfiguration {
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var file object
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	s := editedConfiguration{file: file, settings: file["settings"].(object)}
	s.domain, s.rules = s.settings["domain"].(object), s.settings["invariants"].(object)
	s.domain["proxy_count"], s.domain["pending_max"] = 8, 400
	return s
}

// classes returns the settings of the traffic classes.
func (s editedConfiguration) classes() []any { return s.settings["lanes"].([]any) }

// setInEachClass sets a key in the settings of each traffic class.
func (s editedConfiguration) setInEachClass(key string, value any) {
	for _, l := range s.classes() {
		l.(object)[key] = value
	}
}

// setClasses replaces the traffic classes by ones with the given names. Their other settings are copied from the example's
// classes in turn.
func (s editedConfiguration) setClasses(names ...string) {
	originals, classes := s.classes(), []any{}
	for k, name := range names {
		class := object{}
		for key, value := range originals[k%len(originals)].(object) {
			class[key] = value
		}
		class["name"] = name
		classes = append(classes, class)
	}
	s.settings["lanes"] = classes
}

// numberedNames returns count names that consist of name and a number.
func numberedNames(name string, count int) (names []string) {
	for k := range count {
		names = append(names, fmt.Sprint(name, k))
	}
	return names
}

// parse parses the configuration in the same way as the program does at its start.
func (s editedConfiguration) parse() (configuration, error) {
	raw, err := json.Marshal(s.file)
	if err != nil {
		return configuration{}, err
	}
	return parseConfiguration(raw, options{})
}

// simulateViolations simulates controllers, that is, core and routing module: all proxies join, a replica drains, another is
// replaced, a stream is replaced, a controller restarts and a replica becomes silent. It returns the violations of rules 1,
// 3 and 5, and the controllers whose routing module was restarted or whose core received invalid inputs.
func simulateViolations(c configuration) (violations []string) {
	const second = int64(1e9)
	if c.settings.Proxies == 0 { // no proxy may join
		return nil
	}
	site := emulator.Site{Replicas: 10, Proxies: c.settings.Proxies, Load: 0.3, Names: c.names, Settings: c.settings}
	simulation := emulator.New(site, 1)
	simulation.CheckRules()
	simulation.Start(nil)
	simulation.Inject([]emulator.Fault{{Start: 6 * second, Kind: "drain", Target: 0, Duration: 6 * second},
		{Start: 7 * second, Kind: "replace", Target: 1, Duration: second}, {Start: 8 * second, Kind: "stream", Target: 0, Duration: second / 2},
		{Start: 9 * second, Kind: "governor", Target: 0, Duration: second}, {Start: 12 * second, Kind: "silent", Target: 3, Duration: 2 * second}})
	simulation.Run(18 * second)
	for _, violation := range simulation.Violations {
		if slices.Contains([]int{1, 3, 5}, violation.Rule) {
			violations = append(violations, violation.String())
		}
	}
	for k := range c.settings.Controllers {
		if counters := simulation.Core(k).Counters; counters.ModuleRestarts > 0 || counters.InvalidInputs > 0 {
			violations = append(violations, fmt.Sprintf("controller %d: %d module restarts, %d invalid inputs, want none", k, counters.ModuleRestarts, counters.InvalidInputs))
		}
	}
	return violations
}

func TestUnusualSettings(t *testing.T) {
	t.Parallel()
	longName := strings.Repeat("n", 2000)
	for name, c := range map[string]struct {
		change      func(s editedConfiguration)
		rejectedKey string // the key that the error names; empty: the configuration is accepted
	}{
		"no zones":            {func(s editedConfiguration) { s.settings["zones"] = []string{} }, ""},
		"zones missing":       {func(s editedConfiguration) { delete(s.settings, "zones") }, ""},
		"one zone":            {func(s editedConfiguration) { s.settings["zones"] = []string{"a"} }, ""},
		"five zones":          {func(s editedConfiguration) { s.settings["zones"] = []string{"a", "a-1", "a-10", "A", "1"} }, ""},
		"no hardware classes": {func(s editedConfiguration) { s.settings["kinds"] = []string{} }, ""},
		"one class":           {func(s editedConfiguration) { s.setClasses("only") }, ""},
		"many classes":        {func(s editedConfiguration) { s.setClasses(numberedNames("g-", 70)...); s.domain["pending_max"] = 4000 }, ""},
		"class names that are prefixes of others": {func(s editedConfiguration) { s.setClasses("a", "a-1", "a-10", "1", "a.b/c_d") }, ""},
		"tenants":                {func(s editedConfiguration) { s.settings["accounts"] = []any{object{"name": "x", "share": 0.5}} }, ""},
		"short deadlines":        {func(s editedConfiguration) { s.setInEachClass("slo_ms", 80); s.setInEachClass("deadline_ms", 400) }, ""},
		"long deadlines":         {func(s editedConfiguration) { s.setInEachClass("slo_ms", 30e3); s.setInEachClass("deadline_ms", 120e3) }, ""},
		"priority weight of 0":   {func(s editedConfiguration) { s.setInEachClass("gain", 0) }, ""},
		"message cap of 12":      {func(s editedConfiguration) { s.domain["pushes_allowed"] = 12 }, ""},
		"no message cap":         {func(s editedConfiguration) { s.domain["pushes_allowed"] = 0 }, ""},
		"large message overhead": {func(s editedConfiguration) { s.domain["envelope"] = 19.5; s.domain["pending_max"] = 2000 }, ""},
		"slow channel":           {func(s editedConfiguration) { s.domain["push_rate"] = 200.5 }, ""},
		"short drain grace":      {func(s editedConfiguration) { s.rules["drain_grace_ms"] = 700 }, ""},
		"no drain rule":          {func(s editedConfiguration) { delete(s.rules, "drain_grace_ms") }, ""},
		"no cold rule": {func(s editedConfiguration) {
			for _, key := range []string{"cold_from", "warm_after_ms", "tip_multiple", "fall_ms"} {
				delete(s.rules, key)
			}
		}, ""},
		"warm-up time of 0":           {func(s editedConfiguration) { s.rules["warm_after_ms"] = 0 }, ""},
		"rare reports":                {func(s editedConfiguration) { s.domain["cycle_ms"] = 20e3 }, ""},
		"frequent reports":            {func(s editedConfiguration) { s.domain["cycle_ms"] = 20 }, ""},
		"silent admission":            {func(s editedConfiguration) { s.domain["admit"] = "silent" }, ""},
		"picks by two choices":        {func(s editedConfiguration) { s.domain["pick"] = "p2c" }, ""},
		"picks in rotation":           {func(s editedConfiguration) { s.domain["pick"] = "rotate" }, ""},
		"two controllers":             {func(s editedConfiguration) { s.settings["balancers"] = 2 }, ""},
		"one proxy":                   {func(s editedConfiguration) { s.domain["proxy_count"] = 1 }, ""},
		"no proxy":                    {func(s editedConfiguration) { s.domain["proxy_count"] = 0 }, ""},
		"0.0 shards":                  {func(s editedConfiguration) { s.domain["shards"] = json.Number("0.0") }, ""},
		"12 shards":                   {func(s editedConfiguration) { s.domain["shards"] = 12 }, "domain.shards"},
		"no classes":                  {func(s editedConfiguration) { s.settings["lanes"] = []any{} }, "lanes.count"},
		"two classes of one name":     {func(s editedConfiguration) { s.setClasses("a", "b", "a") }, "lanes.name"},
		"class name with a plus sign": {func(s editedConfiguration) { s.setClasses("a+b") }, "lanes.name"},
		"long zone name":              {func(s editedConfiguration) { s.settings["zones"] = []string{longName} }, "zones"},
		"deadline of 0":               {func(s editedConfiguration) { s.setInEachClass("deadline_ms", 0) }, "lanes.0.deadline_ms"},
		"negative latency objective":  {func(s editedConfiguration) { s.setInEachClass("slo_ms", -5) }, "lanes.0.slo_ms"},
		"deadline out of range":       {func(s editedConfiguration) { s.setInEachClass("deadline_ms", 1e18) }, "lanes.0.deadline_ms"},
		"channel limit too small":     {func(s editedConfiguration) { s.domain["pending_max"] = 29 }, "domain.pending_max"},
		"channel limit out of range":  {func(s editedConfiguration) { s.domain["pending_max"] = 1e200 }, "domain.pending_max"},
		"channel rate of 0":           {func(s editedConfiguration) { s.domain["push_rate"] = 0 }, "domain.push_rate"},
		"message cap of 2.5":          {func(s editedConfiguration) { s.domain["pushes_allowed"] = 2.5 }, "domain.pushes_allowed"},
		"unknown retry policy":        {func(s editedConfiguration) { s.domain["usual_how"] = 9 }, "domain.usual_how"},
		"negative cold threshold":     {func(s editedConfiguration) { s.rules["cold_from"] = -0.1 }, "invariants.cold_from"},
		"text as a rate":              {func(s editedConfiguration) { s.domain["push_rate"] = "a\nb" }, "domain.push_rate"},
		"unknown effect":              {func(s editedConfiguration) { s.setInEachClass("effect", "twice\nover") }, "lanes.0.effect"},
		"invalid seed":                {func(s editedConfiguration) { s.file["seed"] = "x\ny" }, "seed"},
		"no list of replicas":         {func(s editedConfiguration) { delete(s.file, "known") }, "known"},
		"no memory":                   {func(s editedConfiguration) { s.file["limits"].(object)["memory_mb"] = 0 }, "limits.memory_mb"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEditedConfiguration(t)
			c.change(s)
			parsed, err := s.parse()
			switch {
			case c.rejectedKey == "" && err != nil:
				t.Errorf("configuration rejected: %v", err)
			case c.rejectedKey == "":
				for _, violation := range simulateViolations(parsed) {
					t.Error(violation)
				}
			case err == nil:
				t.Errorf("configuration accepted with an invalid value of %s", c.rejectedKey)
			case !strings.Contains(err.Error(), c.rejectedKey), strings.Contains(err.Error(), "\n"), len(err.Error()) > 300:
				t.Errorf("error %q does not name %s in one line of at most 300 bytes", err, c.rejectedKey)
			}
		})
	}
}

// Random settings within the valid ranges, generated from fixed seeds, are accepted, and the controllers keep the rules.
func TestRandomSettingsKeepRules(t *testing.T) {
	t.Parallel()
	names := []string{"a", "a-1", "a-10", "1", "A", "b_2", "9.9"}
	generator := rapid.Custom(func(t *rapid.T) editedConfiguration {
		s := newEditedConfiguration(t)
		someNames := func(label string, minimum, maximum int) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom(names), minimum, maximum, rapid.ID[string]).Draw(t, label)
		}
		s.settings["zones"], s.settings["kinds"] = someNames("zones", 0, 5), someNames("kinds", 0, 3)
		s.setClasses(someNames("groups", 1, len(names))...)
		for _, settingsOfClass := range s.classes() {
			class := settingsOfClass.(object)
			class["slo_ms"] = rapid.Float64Range(50, 5e3).Draw(t, "budget")
			class["deadline_ms"] = rapid.Float64Range(300, 30e3).Draw(t, "expiry")
			class["effect"] = rapid.SampledFrom([]string{"read_like", "idempotency_key", "non_idempotent"}).Draw(t, "effect")
			class["group"] = rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "scope")
			class["gain"] = rapid.Float64Range(0, 10).Draw(t, "gain")
		}
		proxies, messageOverhead := rapid.IntRange(1, 12).Draw(t, "proxies"), rapid.IntRange(0, 20).Draw(t, "message overhead")
		s.domain["proxy_count"], s.domain["envelope"] = proxies, messageOverhead
		s.domain["pending_max"] = (40 + 3*messageOverhead) * (proxies + rapid.IntRange(0, 12).Draw(t, "spare proxies"))
		s.domain["push_rate"] = rapid.Float64Range(300, 5000).Draw(t, "rate")
		s.domain["pushes_allowed"] = rapid.SampledFrom([]int{0, 12, 30, 1000}).Draw(t, "messages")
		s.domain["cycle_ms"] = rapid.Float64Range(50, 10e3).Draw(t, "cycle")
		s.domain["pick"] = rapid.SampledFrom([]string{"random", "rotate", "p2c"}).Draw(t, "pick")
		s.domain["admit"] = rapid.SampledFrom([]string{"silent", "fraction"}).Draw(t, "admit")
		s.domain["usual_how"] = rapid.IntRange(0, 3).Draw(t, "tries")
		s.rules["drain_grace_ms"] = rapid.Float64Range(1000, 5e3).Draw(t, "grace")
		for _, key := range []string{"drain_grace_ms", "cold_from", "warm_after_ms", "tip_multiple"} {
			if rapid.IntRange(0, 3).Draw(t, "missing if 0") == 0 {
				delete(s.rules, key)
			}
		}
		return s
	})
	for seed := range 12 {
		s := generator.Example(seed)
		parsed, err := s.parse()
		if err != nil {
			t.Fatal(err)
		}
		if violations := simulateViolations(parsed); len(violations) > 0 {
			t.Errorf("seed %d, %v: %v", seed, s.settings, violations)
		}
	}
}

// One value of the configuration is replaced by any JSON value: the configuration is accepted, or rejected with an error of
// one line.
func FuzzStartWithChangedValue(f *testing.F) {
	for _, value := range []string{"null", "-1", "1e308", "0.5", "[]", "{}", `"a\nb"`, `["a"]`, "true", "12345678901234567890"} {
		for k := range uint(40) {
			f.Add(k, value)
		}
	}
	f.Fuzz(func(t *testing.T, k uint, value string) {
		var decoded any
		if json.Unmarshal([]byte(value), &decoded) != nil {
			return
		}
		s := newEditedConfiguration(t)
		var replacements []func()
		for _, in := range append([]any{s.file, s.settings, s.domain, s.rules}, s.classes()...) {
			in := in.(object)
			keys := []string{}
			for key := range in {
				keys = append(keys, key)
			}
			slices.Sort(keys)
			for _, key := range keys {
				replacements = append(replacements, func() { in[key] = decoded })
			}
		}
		replacements[k%uint(len(replacements))]()
		if _, err := s.parse(); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error has more than one line: %q", err)
		}
	})
}

// With an invalid configuration the program prints one line to standard error and exits with a code other than 0.
func TestInvalidConfigurationEndsProgram(t *testing.T) {
	const runMainEnv = "LILACBEND_TEST_START"
	if os.Getenv(runMainEnv) != "" {
		os.Args = []string{"lilacbend"}
		main()
		return
	}
	t.Parallel()
	s := newEditedConfiguration(t)
	s.rules["cold_from"] = "a\nb"
	raw, err := json.Marshal(s.file)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run=^TestInvalidConfigurationEndsProgram$")
	child.Env = append(os.Environ(), runMainEnv+"=1", "PROXY_CONFIG="+file, "PROXY_LISTEN=127.0.0.1:0", "PROXY_DISCOVERY=127.0.0.1:1")
	var out, log bytes.Buffer
	child.Stdout, child.Stderr = &out, &log
	var exit *exec.ExitError
	if err := child.Run(); !errors.As(err, &exit) || exit.ExitCode() <= 0 {
		t.Errorf("program ended with %v, want an exit code above 0", err)
	}
	if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "invariants.cold_from") || out.Len() > 0 {
		t.Errorf("standard error is %q, want one line that names the key; standard output is %q, want none", text, out.String())
	}
}
