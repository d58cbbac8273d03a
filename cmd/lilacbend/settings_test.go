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

// This file checks settings of unusual but permitted shapes: a start accepts them, and core and module keep rules 1, 3 and 5 in a
// short script, or it rejects them in one line that names the key.

type object = map[string]any

// shape is the example's configuration, to be changed.
type shape struct{ file, settings, domain, rules object }

func newShape(t interface{ Fatal(...any) }) shape {
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var file object
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	s := shape{file: file, settings: file["settings"].(object)}
	s.domain, s.rules = s.settings["domain"].(object), s.settings["invariants"].(object)
	s.domain["proxy_count"], s.domain["pending_max"] = 8, 400
	return s
}

func (s shape) lanes() []any { return s.settings["lanes"].([]any) }

func (s shape) each(key string, value any) {
	for _, l := range s.lanes() {
		l.(object)[key] = value
	}
}

// groups names traffic classes, each like one of the example's.
func (s shape) groups(names ...string) {
	usual, lanes := s.lanes(), []any{}
	for k, name := range names {
		lane := object{}
		for key, value := range usual[k%len(usual)].(object) {
			lane[key] = value
		}
		lane["name"] = name
		lanes = append(lanes, lane)
	}
	s.settings["lanes"] = lanes
}

func numbered(name string, many int) (all []string) {
	for k := range many {
		all = append(all, fmt.Sprint(name, k))
	}
	return all
}

// start reads a shape as a start of the program does.
func (s shape) start() (configuration, error) {
	raw, err := json.Marshal(s.file)
	if err != nil {
		return configuration{}, err
	}
	return parseConfiguration(raw, options{})
}

// broken simulates core and module: all proxies join, a replica drains, one is replaced, a stream is replaced, the controller
// restarts and a replica becomes silent. It returns which of the rules 1, 3 and 5 were broken.
func broken(c configuration) (said []string) {
	const second = int64(1e9)
	if c.settings.Proxies == 0 { // nobody may join
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
	for _, b := range simulation.Violations {
		if slices.Contains([]int{1, 3, 5}, b.Rule) {
			said = append(said, b.String())
		}
	}
	for k := range c.settings.Controllers {
		if n := simulation.Core(k).Counters; n.ModuleRestarts > 0 || n.Invalid > 0 {
			said = append(said, fmt.Sprintf("governor %d: %d modules failed, %d notes were strange", k, n.ModuleRestarts, n.Invalid))
		}
	}
	return said
}

func TestSettingsOfUnusualSizes(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("n", 2000)
	for name, c := range map[string]struct {
		change  func(s shape)
		refused string // the key; empty: it starts
	}{
		"no zones":         {func(s shape) { s.settings["zones"] = []string{} }, ""},
		"zones unsaid":     {func(s shape) { delete(s.settings, "zones") }, ""},
		"one zone":         {func(s shape) { s.settings["zones"] = []string{"a"} }, ""},
		"five zones":       {func(s shape) { s.settings["zones"] = []string{"a", "a-1", "a-10", "A", "1"} }, ""},
		"no kinds":         {func(s shape) { s.settings["kinds"] = []string{} }, ""},
		"one group":        {func(s shape) { s.groups("only") }, ""},
		"many groups":      {func(s shape) { s.groups(numbered("g-", 70)...); s.domain["pending_max"] = 4000 }, ""},
		"prefixes":         {func(s shape) { s.groups("a", "a-1", "a-10", "1", "a.b/c_d") }, ""},
		"tenants":          {func(s shape) { s.settings["accounts"] = []any{object{"name": "x", "share": 0.5}} }, ""},
		"short times":      {func(s shape) { s.each("slo_ms", 80); s.each("deadline_ms", 400) }, ""},
		"long times":       {func(s shape) { s.each("slo_ms", 30e3); s.each("deadline_ms", 120e3) }, ""},
		"worth nothing":    {func(s shape) { s.each("gain", 0) }, ""},
		"a dozen messages": {func(s shape) { s.domain["pushes_allowed"] = 12 }, ""},
		"no message cap":   {func(s shape) { s.domain["pushes_allowed"] = 0 }, ""},
		"a big head":       {func(s shape) { s.domain["envelope"] = 19.5; s.domain["pending_max"] = 2000 }, ""},
		"a slow channel":   {func(s shape) { s.domain["push_rate"] = 200.5 }, ""},
		"a short grace":    {func(s shape) { s.rules["drain_grace_ms"] = 700 }, ""},
		"no drain rule":    {func(s shape) { delete(s.rules, "drain_grace_ms") }, ""},
		"no cold rule": {func(s shape) {
			for _, key := range []string{"cold_from", "warm_after_ms", "tip_multiple", "fall_ms"} {
				delete(s.rules, key)
			}
		}, ""},
		"never cold":        {func(s shape) { s.rules["warm_after_ms"] = 0 }, ""},
		"rare reports":      {func(s shape) { s.domain["cycle_ms"] = 20e3 }, ""},
		"frequent reports":  {func(s shape) { s.domain["cycle_ms"] = 20 }, ""},
		"levels unheard":    {func(s shape) { s.domain["admit"] = "silent" }, ""},
		"idler picks":       {func(s shape) { s.domain["pick"] = "p2c" }, ""},
		"turns":             {func(s shape) { s.domain["pick"] = "rotate" }, ""},
		"two governors":     {func(s shape) { s.settings["balancers"] = 2 }, ""},
		"one proxy":         {func(s shape) { s.domain["proxy_count"] = 1 }, ""},
		"no proxy":          {func(s shape) { s.domain["proxy_count"] = 0 }, ""},
		"no slices, 0.0":    {func(s shape) { s.domain["shards"] = json.Number("0.0") }, ""},
		"slices":            {func(s shape) { s.domain["shards"] = 12 }, "domain.shards"},
		"no groups":         {func(s shape) { s.settings["lanes"] = []any{} }, "lanes.count"},
		"a group twice":     {func(s shape) { s.groups("a", "b", "a") }, "lanes.name"},
		"a group of two":    {func(s shape) { s.groups("a+b") }, "lanes.name"},
		"a long zone":       {func(s shape) { s.settings["zones"] = []string{long} }, "zones"},
		"no time":           {func(s shape) { s.each("deadline_ms", 0) }, "lanes.0.deadline_ms"},
		"no budget":         {func(s shape) { s.each("slo_ms", -5) }, "lanes.0.slo_ms"},
		"for ever":          {func(s shape) { s.each("deadline_ms", 1e18) }, "lanes.0.deadline_ms"},
		"a tiny channel":    {func(s shape) { s.domain["pending_max"] = 29 }, "domain.pending_max"},
		"an endless one":    {func(s shape) { s.domain["pending_max"] = 1e200 }, "domain.pending_max"},
		"a channel at rest": {func(s shape) { s.domain["push_rate"] = 0 }, "domain.push_rate"},
		"half a message":    {func(s shape) { s.domain["pushes_allowed"] = 2.5 }, "domain.pushes_allowed"},
		"another way":       {func(s shape) { s.domain["usual_how"] = 9 }, "domain.usual_how"},
		"colder than cold":  {func(s shape) { s.rules["cold_from"] = -0.1 }, "invariants.cold_from"},
		"a text":            {func(s shape) { s.domain["push_rate"] = "a\nb" }, "domain.push_rate"},
		"an effect":         {func(s shape) { s.each("effect", "twice\nover") }, "lanes.0.effect"},
		"a seed":            {func(s shape) { s.file["seed"] = "x\ny" }, "seed"},
		"no list":           {func(s shape) { delete(s.file, "known") }, "known"},
		"no memory":         {func(s shape) { s.file["limits"].(object)["memory_mb"] = 0 }, "limits.memory_mb"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newShape(t)
			c.change(s)
			started, err := s.start()
			switch {
			case c.refused == "" && err != nil:
				t.Errorf("refused: %v", err)
			case c.refused == "":
				for _, said := range broken(started) {
					t.Error(said)
				}
			case err == nil:
				t.Errorf("started, though %s cannot be", c.refused)
			case !strings.Contains(err.Error(), c.refused), strings.Contains(err.Error(), "\n"), len(err.Error()) > 300:
				t.Errorf("%q does not name %s in one line", err, c.refused)
			}
		})
	}
}

// Random shapes, all permitted, from a fixed seed.
func TestRandomSettingsKeepRules(t *testing.T) {
	t.Parallel()
	names := []string{"a", "a-1", "a-10", "1", "A", "b_2", "9.9"}
	drawn := rapid.Custom(func(t *rapid.T) shape {
		s := newShape(t)
		some := func(what string, least, most int) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom(names), least, most, rapid.ID[string]).Draw(t, what)
		}
		s.settings["zones"], s.settings["kinds"] = some("zones", 0, 5), some("kinds", 0, 3)
		s.groups(some("groups", 1, len(names))...)
		for _, l := range s.lanes() {
			lane := l.(object)
			lane["slo_ms"] = rapid.Float64Range(50, 5e3).Draw(t, "budget")
			lane["deadline_ms"] = rapid.Float64Range(300, 30e3).Draw(t, "expiry")
			lane["effect"] = rapid.SampledFrom([]string{"read_like", "idempotency_key", "non_idempotent"}).Draw(t, "effect")
			lane["group"] = rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "scope")
			lane["gain"] = rapid.Float64Range(0, 10).Draw(t, "gain")
		}
		proxies, head := rapid.IntRange(1, 12).Draw(t, "proxies"), rapid.IntRange(0, 20).Draw(t, "head")
		s.domain["proxy_count"], s.domain["envelope"] = proxies, head
		s.domain["pending_max"] = (40 + 3*head) * (proxies + rapid.IntRange(0, 12).Draw(t, "room"))
		s.domain["push_rate"] = rapid.Float64Range(300, 5000).Draw(t, "rate")
		s.domain["pushes_allowed"] = rapid.SampledFrom([]int{0, 12, 30, 1000}).Draw(t, "messages")
		s.domain["cycle_ms"] = rapid.Float64Range(50, 10e3).Draw(t, "cycle")
		s.domain["pick"] = rapid.SampledFrom([]string{"random", "rotate", "p2c"}).Draw(t, "pick")
		s.domain["admit"] = rapid.SampledFrom([]string{"silent", "fraction"}).Draw(t, "admit")
		s.domain["usual_how"] = rapid.IntRange(0, 3).Draw(t, "tries")
		s.rules["drain_grace_ms"] = rapid.Float64Range(1000, 5e3).Draw(t, "grace")
		for _, key := range []string{"drain_grace_ms", "cold_from", "warm_after_ms", "tip_multiple"} {
			if rapid.IntRange(0, 3).Draw(t, "lacks") == 0 {
				delete(s.rules, key)
			}
		}
		return s
	})
	for seed := range 12 {
		s := drawn.Example(seed)
		started, err := s.start()
		if err != nil {
			t.Fatal(err)
		}
		if said := broken(started); len(said) > 0 {
			t.Errorf("seed %d, %v: %v", seed, s.settings, said)
		}
	}
}

// One value of the settings is replaced by another of any kind: the start accepts it or says in one line what is wrong.
func FuzzStartWithChangedValue(f *testing.F) {
	for _, value := range []string{"null", "-1", "1e308", "0.5", "[]", "{}", `"a\nb"`, `["a"]`, "true", "12345678901234567890"} {
		for k := range uint(40) {
			f.Add(k, value)
		}
	}
	f.Fuzz(func(t *testing.T, k uint, value string) {
		var v any
		if json.Unmarshal([]byte(value), &v) != nil {
			return
		}
		s := newShape(t)
		var places []func()
		for _, in := range append([]any{s.file, s.settings, s.domain, s.rules}, s.lanes()...) {
			in := in.(object)
			keys := []string{}
			for key := range in {
				keys = append(keys, key)
			}
			slices.Sort(keys)
			for _, key := range keys {
				places = append(places, func() { in[key] = v })
			}
		}
		places[k%uint(len(places))]()
		if _, err := s.start(); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("more than one line: %q", err)
		}
	})
}

// The program prints one line on standard error, and exits with a code other than 0.
func TestInvalidConfigurationEndsProgram(t *testing.T) {
	const asked = "LILACBEND_TEST_START"
	if os.Getenv(asked) != "" {
		os.Args = []string{"lilacbend"}
		main()
		return
	}
	t.Parallel()
	s := newShape(t)
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
	child.Env = append(os.Environ(), asked+"=1", "PROXY_CONFIG="+file, "PROXY_LISTEN=127.0.0.1:0", "PROXY_DISCOVERY=127.0.0.1:1")
	var out, log bytes.Buffer
	child.Stdout, child.Stderr = &out, &log
	var exit *exec.ExitError
	if err := child.Run(); !errors.As(err, &exit) || exit.ExitCode() <= 0 {
		t.Errorf("ended with %v", err)
	}
	if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "invariants.cold_from") || out.Len() > 0 {
		t.Errorf("said %q and %q", text, out.String())
	}
}
