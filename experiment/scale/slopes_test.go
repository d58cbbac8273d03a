package scale

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	"lilacbend/experiment/scale/checks"
	"lilacbend/internal/capacity"
)

// reportOf returns a report whose figures are linear in the number of controllers, except for the CPU usage of the servers
// if the offset is not 0.
func reportOf(controllers int, serverCPUOffset float64) Report {
	simulated := ResourceUsage{BytesPerSecond: 100, CPUPercent: 0.5, ResidentMB: 0.25, MessagesPerSecond: 4}
	server := ResourceUsage{BytesPerSecond: 1000 + 20*float64(controllers), CPUPercent: 3 + 0.1*float64(controllers) + serverCPUOffset, ResidentMB: 9, MessagesPerSecond: 1}
	return Report{Plan: Plan{Controllers: controllers}, Phases: []PhaseReport{{Fault: "start"}, {Fault: NoFault,
		Roles:  []RoleReport{{roleSimulated, controllers, simulated}, {roleServer, 1, server}, {roleHarness, 1, server}},
		Delays: []SubjectDelay{{Subject: "other"}, {Subject: checks.Configuration.String(), AllControllers: Delays{P50: 0.5, Max: 1 + float64(controllers)/1000}}}}}}
}

func TestSlopesPerController(t *testing.T) {
	measurements, err := Measurements([]Report{reportOf(800, 0), reportOf(100, 0), reportOf(400, 7), reportOf(200, 0)})
	if err != nil {
		t.Fatal(err)
	}
	fits := map[string]capacity.Fit{}
	for _, m := range measurements {
		fits[m.Name] = capacity.FitLine(m.Points)
		if len(m.Points) != 4 || m.Points[0][0] != 100 || m.Points[3][0] != 800 || m.X != "governor" || m.Unit == "" {
			t.Errorf("%+v", m)
		}
	}
	for name, want := range map[string][2]float64{"scale_governors_processor": {0.5, 0}, "scale_governors_messages": {4, 0},
		"scale_servers_bytes": {20, 1000}, "scale_servers_memory": {0, 9 * megabytesPerMebibyte}, "scale_in_force_max": {0.001, 1}, "scale_in_force_p50": {0, 0.5}} {
		if got := fits[name]; math.Abs(got.Slope-want[0]) > 1e-6 || math.Abs(got.Intercept-want[1]) > 1e-6 || got.Worst > 1e-6 {
			t.Errorf("%s: %+v, want %v", name, got, want)
		}
	}
	if fit := fits["scale_servers_processor"]; fit.Worst < 0.05 {
		t.Errorf("worst residual does not show the point with an offset: %+v", fit)
	}
	var out bytes.Buffer
	if err := PrintSlopes(&out, measurements); err != nil || !strings.Contains(out.String(), "at 800") {
		t.Errorf("%v: %s", err, out.String())
	}
}

func TestSlopesNeedTwoFleetSizes(t *testing.T) {
	for name, reports := range map[string][]Report{"none": nil, "one size": {reportOf(100, 0), reportOf(100, 1)},
		"no phase without a fault": {reportOf(100, 0), {Plan: Plan{Controllers: 200}}}} {
		if _, err := Measurements(reports); !errors.Is(err, errFewReports) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
