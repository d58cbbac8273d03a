package governor

import (
	"testing"

	"lilacbend/control"
	"lilacbend/settings"
)

const second = int64(1e9)

// Where the settings name no zones all peers are in one, whatever they call it.
func TestADeploymentWithoutZones(t *testing.T) {
	p := control.Settings{Proxies: 2, Classes: []control.TrafficClass{{Timeout: second}}}
	none := NewCensus(settings.Names{}, p)
	some := NewCensus(settings.Names{Zones: []string{"a", "a-1"}}, p)
	for _, zone := range []string{"", "a", "a-"} {
		met := Met{Zone: zone, Replica: "x", Outcomes: control.Outcomes{Attempts: 1, Period: second}}
		if none.Collector(zone) != nil || none.Proxy(Joined{Proxy: 1, Zone: zone}) != nil || !none.met(met) {
			t.Errorf("%q is refused where there are no zones", zone)
		}
		known := zone == "a"
		joins := some.Proxy(Joined{Proxy: 1, Zone: zone}) == nil
		if (some.Collector(zone) == nil) != known || joins != known || some.met(met) != known {
			t.Errorf("%q, where there are zones", zone)
		}
	}
}

// Reports that come once in a quarter of an hour tell of that long.
func TestReportsThatComeSeldom(t *testing.T) {
	const cycle = 900 * second
	p := control.Settings{Proxies: 2, ReportInterval: cycle, Classes: []control.TrafficClass{{Timeout: second}}}
	c := NewCensus(settings.Names{}, p)
	for span, usable := range map[int64]bool{cycle: true, 2 * cycle: true, 5 * cycle: false} {
		met := Met{Replica: "x", Outcomes: control.Outcomes{Attempts: 1, Period: span}}
		if c.met(met) != usable || c.usage(Demand{Demand: control.Demand{Period: span}}) != usable {
			t.Errorf("a sum of %d s: not %v", span/second, usable)
		}
	}
}
