package provision

import (
	"reflect"
	"strings"
	"testing"

	"lilacbend/control"
)

const sheetText = `balancers=1
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

func TestProvision(t *testing.T) {
	p, err := FromLines(sheetText).Provision(9)
	if err != nil || p.Zones != 3 || p.Kinds != 2 || p.WorstTransit != 257500000 || p.MessagesMost != 30 {
		t.Errorf("%v %+v", err, p)
	}
	if g := p.Groups[0]; g.Scope != control.ScopeZone || g.Effect != control.Deduped || g.Window != 2500e6 {
		t.Errorf("%+v", g)
	}
	for _, c := range [][3]string{
		{"domain.push_rate=1200.0\n", "", "setting domain.push_rate is missing"},
		{"usual_how=1", "usual_how=x", `domain.usual_how="x" is not a number`},
		{"admit=fraction", "admit=odd", `domain.admit="odd" is not known`},
		{"shards=0", "shards=12", "slices are not served"},
		{"cycle_ms=500.0", "cycle_ms=0", "domain.cycle_ms=0 is not above 0"},
		{"lanes.count=1", "lanes.count=0", "lanes.count=0 is not above 0"},
	} {
		if _, err := FromLines(strings.Replace(sheetText, c[0], c[1], 1)).Provision(9); err == nil ||
			!strings.Contains(err.Error(), c[2]) {
			t.Errorf("got %v, want %q", err, c[2])
		}
	}
}

func TestJSONReadsLikeLines(t *testing.T) {
	f, err := FromJSON([]byte(`{"zones":["a, b","c"],"kinds":[],"domain":{"cycle_ms":500.0,"by_class":[true,false]},
		"lanes":[{"name":"x"},{"name":"y"}],"absent":null}`))
	want := Facts{"zones": {"a, b", "c"}, "zones.count": {"2"}, "kinds": nil, "kinds.count": {"0"}, "domain.cycle_ms": {"500.0"},
		"domain.by_class": {"true", "false"}, "domain.by_class.count": {"2"}, "lanes": nil, "lanes.count": {"2"},
		"lanes.0.name": {"x"}, "lanes.1.name": {"y"}}
	if err != nil || !reflect.DeepEqual(f, want) {
		t.Errorf("%v %v", f, err)
	}
	n, err := f.Names()
	if want := (Names{Groups: []string{"x", "y"}, Zones: []string{"a, b", "c"}}); err != nil || !reflect.DeepEqual(n, want) {
		t.Errorf("%+v %v", n, err)
	}
	if lines := FromLines("zones=a,c\r\nkinds=\nnothing\n"); !reflect.DeepEqual(lines, Facts{"zones": {"a", "c"}, "kinds": nil}) {
		t.Errorf("%v", lines)
	}
	for _, bad := range []string{"", "[]", "null 4", `{"a":1} {}`, `{"a":`} {
		if f, err := FromJSON([]byte(bad)); err == nil {
			t.Errorf("%q is read as %v", bad, f)
		}
	}
}
