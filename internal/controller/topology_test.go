package controller

import (
	"testing"

	"lilacbend/control"
	"lilacbend/settings"
)

const second = int64(1e9)

// If the settings name no zones, all peers are in one zone, and any zone name is accepted.
func TestTopologyWithoutZonesAcceptsAnyZone(t *testing.T) {
	base := control.Settings{Proxies: 2, Classes: []control.TrafficClass{{Timeout: second}}}
	none := NewTopology(settings.Names{}, base)
	some := NewTopology(settings.Names{Zones: []string{"a", "a-1"}}, base)
	for _, zone := range []string{"", "a", "a-"} {
		report := OutcomeReport{Zone: zone, Replica: "x", OutcomeReport: control.OutcomeReport{Attempts: 1, Period: second}}
		if none.CheckCollector(zone) != nil || none.CheckProxy(StreamOpened{Proxy: 1, Zone: zone}) != nil || !none.validOutcomes(report) {
			t.Errorf("zone %q is refused though the settings name no zones", zone)
		}
		known := zone == "a"
		accepted := some.CheckProxy(StreamOpened{Proxy: 1, Zone: zone}) == nil
		if (some.CheckCollector(zone) == nil) != known || accepted != known || some.validOutcomes(report) != known {
			t.Errorf("zone %q: accepted must be %v for settings with zones a and a-1", zone, known)
		}
	}
}

// If the report interval is longer than maxReportPeriod, a report may cover several intervals.
func TestTopologyAcceptsReportsOverSeveralIntervals(t *testing.T) {
	const reportInterval = 900 * second
	base := control.Settings{Proxies: 2, ReportInterval: reportInterval, Classes: []control.TrafficClass{{Timeout: second}}}
	topology := NewTopology(settings.Names{}, base)
	for period, valid := range map[int64]bool{reportInterval: true, 2 * reportInterval: true, 5 * reportInterval: false} {
		report := OutcomeReport{Replica: "x", OutcomeReport: control.OutcomeReport{Attempts: 1, Period: period}}
		if topology.validOutcomes(report) != valid || topology.validDemand(Demand{DemandReport: control.DemandReport{Period: period}}) != valid {
			t.Errorf("report over %d s: valid must be %v", period/second, valid)
		}
	}
}
