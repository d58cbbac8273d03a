package controller

import (
	"testing"

	"lilacbend/control"
	"lilacbend/settings"
)

const second = int64(1e9)

// If the settings name no zones, all peers are in one zone, and any zone name is accepted.
func TestTopologyWithoutZonesTakesAnyZone(t *testing.T) {
	p := control.Settings{Proxies: 2, Classes: []control.TrafficClass{{Timeout: second}}}
	none := NewTopology(settings.Names{}, p)
	some := NewTopology(settings.Names{Zones: []string{"a", "a-1"}}, p)
	for _, zone := range []string{"", "a", "a-"} {
		report := Outcomes{Zone: zone, Replica: "x", Outcomes: control.Outcomes{Attempts: 1, Period: second}}
		if none.CheckCollector(zone) != nil || none.CheckProxy(StreamOpened{Proxy: 1, Zone: zone}) != nil || !none.validOutcomes(report) {
			t.Errorf("zone %q is refused though the settings name no zones", zone)
		}
		known := zone == "a"
		joins := some.CheckProxy(StreamOpened{Proxy: 1, Zone: zone}) == nil
		if (some.CheckCollector(zone) == nil) != known || joins != known || some.validOutcomes(report) != known {
			t.Errorf("zone %q: accepted must be %v for settings with zones a and a-1", zone, known)
		}
	}
}

// If the report interval is longer than maxReportPeriod, a report may cover several intervals.
func TestTopologyTakesReportsOfSeveralIntervals(t *testing.T) {
	const cycle = 900 * second
	p := control.Settings{Proxies: 2, ReportInterval: cycle, Classes: []control.TrafficClass{{Timeout: second}}}
	c := NewTopology(settings.Names{}, p)
	for span, usable := range map[int64]bool{cycle: true, 2 * cycle: true, 5 * cycle: false} {
		report := Outcomes{Replica: "x", Outcomes: control.Outcomes{Attempts: 1, Period: span}}
		if c.validOutcomes(report) != usable || c.validDemand(Demand{Demand: control.Demand{Period: span}}) != usable {
			t.Errorf("report over %d s: valid must be %v", span/second, usable)
		}
	}
}
