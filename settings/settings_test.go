package settings

import (
	"errors"
	"strings"
	"testing"

	"lilacbend/control"
)

const exampleLines = `balancers=1
domain.admit=fraction
domain.blackhole_ms=4100.0
domain.class_own_zone=false
domain.cycle_ms=500.0
domain.envelope=4.0
domain.pending_max=1800.0
domain.pick=random
domain.proxy_count=6
domain.push_rate=1200.0
domain.pushes_allowed=30
domain.reload_span_ms=10000.0
domain.shards=0
domain.transit_ms=103.0
domain.try_factor=1.0
domain.usual_how=1
domain.worst_transit_ms=257.5
invariants.cold_from=0.18
invariants.drain_grace_ms=2500.0
invariants.fall_ms=3000.0
invariants.tip_multiple=4.0
invariants.warm_after_ms=18000.0
kinds=small-2c,wide-4c
lanes.count=1
lanes.0.deadline_ms=4000.0
lanes.0.effect=idempotency_key
lanes.0.gain=3.0
lanes.0.group=zone
lanes.0.slo_ms=1200.0
lanes.0.window_ms=2500.0
some.new_key=skipped
zones=lahore,islamabad,multan
`

func TestDecode(t *testing.T) {
	decoded, err := ParseLines(exampleLines).Decode(9)
	if err != nil || decoded.Zones != 3 || decoded.HardwareClasses != 2 || decoded.MaxTransit != 257500000 || decoded.MaxMessages != 30 {
		t.Errorf("example settings: error %v, decoded %+v", err, decoded)
	}
	if class := decoded.Classes[0]; class.DeduplicationScope != control.ScopeZone || class.Idempotency != control.IdempotentByKey || class.DeduplicationWindow != 2500e6 {
		t.Errorf("traffic class of the example settings: %+v", class)
	}
	for _, c := range [][3]string{
		{"domain.push_rate=1200.0\n", "", "setting domain.push_rate is missing"},
		{"usual_how=1", "usual_how=x", `domain.usual_how="x" is not a number`},
		{"admit=fraction", "admit=odd", `domain.admit="odd" is not known`},
		{"shards=0", "shards=12", "shards are not supported"},
		{"cycle_ms=500.0", "cycle_ms=0", "domain.cycle_ms=0 is not above 0"},
		{"lanes.count=1", "lanes.count=0", "lanes.count=0 is not above 0"},
	} {
		if _, err := ParseLines(strings.Replace(exampleLines, c[0], c[1], 1)).Decode(9); err == nil ||
			!strings.Contains(err.Error(), c[2]) {
			t.Errorf("error %v, want one that contains %q", err, c[2])
		}
	}
}

// Settings may lack optional rules, zones and hardware classes, and may write a whole number with a fraction of 0.
func TestDecodeWithoutOptionalSettings(t *testing.T) {
	lines := strings.NewReplacer("invariants.cold_from=0.18\n", "", "invariants.drain_grace_ms=2500.0\n", "",
		"invariants.tip_multiple=4.0\n", "", "invariants.warm_after_ms=18000.0\n", "", "kinds=small-2c,wide-4c\n", "kinds=\n",
		"zones=lahore,islamabad,multan\n", "", "domain.shards=0\n", "domain.shards=0.0\n").Replace(exampleLines)
	decoded, err := ParseLines(lines).Decode(9)
	if err != nil || decoded.Zones+decoded.HardwareClasses != 0 || decoded.DrainGrace+decoded.SlowStartTime != 0 || decoded.OverloadMultiple != 1 || decoded.SlowStartFraction != 0 {
		t.Errorf("settings without optional values: error %v, decoded %+v", err, decoded)
	}
	if names, err := ParseLines(lines + "lanes.0.name=a-1\n").Names(); err != nil || len(names.Zones) != 0 || len(names.HardwareClasses) != 0 {
		t.Errorf("names without zones and hardware classes: error %v, decoded %+v", err, names)
	}
}

func TestDecodeErrorsNameTheInvalidSetting(t *testing.T) {
	for _, c := range [][3]string{
		{"slo_ms=1200.0", "slo_ms=0", "lanes.0.slo_ms=0 is not above 0"},
		{"deadline_ms=4000.0", "deadline_ms=-1", "lanes.0.deadline_ms=-1 is not above 0"},
		{"deadline_ms=4000.0", "deadline_ms=1e15", "lanes.0.deadline_ms=1e+15 is not a time"},
		{"window_ms=2500.0", "window_ms=-1", "lanes.0.window_ms=-1 is not a time"},
		{"usual_how=1", "usual_how=4", "domain.usual_how=4 is not a retry policy"},
		{"pending_max=1800.0", "pending_max=1e300", "domain.pending_max=1e+300 is not a number of cost units"},
		{"pending_max=1800.0", "pending_max=25.9", "domain.pending_max=25 is too small"},
		{"envelope=4.0", "envelope=-1", "domain.envelope=-1 is not a number of cost units"},
		{"cold_from=0.18", "cold_from=1.1", "invariants.cold_from=1.1 is not a fraction"},
		{"tip_multiple=4.0", "tip_multiple=0", "invariants.tip_multiple=0 is not above 0"},
		{"shards=0", "shards=", "domain.shards=\"\" is not a number"},
	} {
		if !strings.Contains(exampleLines, c[0]) {
			t.Fatalf("the example settings do not contain %q", c[0])
		}
		_, err := ParseLines(strings.Replace(exampleLines, c[0], c[1], 1)).Decode(9)
		if err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("error %v, want one that contains %q", err, c[2])
		}
	}
	if _, err := ParseLines(strings.Replace(exampleLines, "pending_max=1800.0", "pending_max=26.9", 1)).Decode(9); err != nil {
		t.Errorf("smallest valid channel limit: %v", err)
	}
	for _, c := range [][2]string{
		{"zones=a,b,a\nlanes.count=0\n", `setting zones: name "a" is listed twice`},
		{"zones=a," + strings.Repeat("z", 1025) + "\nlanes.count=0\n", "setting zones: name "},
		{"lanes.count=2\nlanes.0.name=a\nlanes.1.name=a\n", `setting lanes.name: name "a" is listed twice`},
		{"lanes.count=1\nlanes.0.name=a+b\n", `setting lanes.name: name "a+b" is empty or contains the separator +`},
		{"lanes.count=1\nlanes.0.name=\n", `setting lanes.name: name "" is empty or contains the separator +`},
	} {
		if _, err := ParseLines(c[0]).Names(); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("error %v, want one that contains %q", err, c[1])
		}
	}
}

func TestErrorNamesThePathOfTheSetting(t *testing.T) {
	for path, lines := range map[string]string{
		"domain.push_rate": strings.Replace(exampleLines, "push_rate=1200.0", "push_rate=fast", 1),
		"domain.shards":    strings.Replace(exampleLines, "shards=0", "shards=12", 1),
		"lanes.0.slo_ms":   strings.Replace(exampleLines, "lanes.0.slo_ms=1200.0\n", "", 1),
	} {
		var settingError *Error
		if _, err := ParseLines(lines).Decode(9); !errors.As(err, &settingError) || settingError.Path != path || err.Error() != "setting "+path+settingError.Problem {
			t.Errorf("error %v, want an *Error with path %s", err, path)
		}
	}
}
