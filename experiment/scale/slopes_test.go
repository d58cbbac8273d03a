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

// reportOf is a report whose figures grow by a line, but for what the servers spend if it is off.
func reportOf(governors int, off float64) Report {
	each := Spent{BytesPerSecond: 100, ProcessorPercent: 0.5, ResidentMB: 0.25, MessagesPerSecond: 4}
	one := Spent{BytesPerSecond: 1000 + 20*float64(governors), ProcessorPercent: 3 + 0.1*float64(governors) + off, ResidentMB: 9, MessagesPerSecond: 1}
	return Report{Plan: Plan{Governors: governors}, Phases: []PhaseReport{{Fault: "start"}, {Fault: NoFault,
		Roles:  []RoleReport{{roleHollow, governors, each}, {roleServer, 1, one}, {roleRig, 1, one}},
		Delays: []SubjectDelay{{Subject: "other"}, {Subject: checks.Configuration.String(), AtAll: Delays{P50: 0.5, Max: 1 + float64(governors)/1000}}}}}}
}

func TestSlopesOverTheSizeOfTheFleet(t *testing.T) {
	measurements, err := Measurements([]Report{reportOf(800, 0), reportOf(100, 0), reportOf(400, 7), reportOf(200, 0)})
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]capacity.Fit{}
	for _, m := range measurements {
		found[m.Name] = capacity.FitLine(m.Points)
		if len(m.Points) != 4 || m.Points[0][0] != 100 || m.Points[3][0] != 800 || m.X != "governor" || m.Unit == "" {
			t.Errorf("%+v", m)
		}
	}
	for name, want := range map[string][2]float64{"scale_governors_processor": {0.5, 0}, "scale_governors_messages": {4, 0},
		"scale_servers_bytes": {20, 1000}, "scale_servers_memory": {0, 9 * megabyte}, "scale_in_force_max": {0.001, 1}, "scale_in_force_p50": {0, 0.5}} {
		if got := found[name]; math.Abs(got.Slope-want[0]) > 1e-6 || math.Abs(got.Intercept-want[1]) > 1e-6 || got.Worst > 1e-6 {
			t.Errorf("%s: %+v, want %v", name, got, want)
		}
	}
	if off := found["scale_servers_processor"]; off.Worst < 0.05 {
		t.Errorf("the point that is off does not show: %+v", off)
	}
	var out bytes.Buffer
	if err := PrintSlopes(&out, measurements); err != nil || !strings.Contains(out.String(), "at 800") {
		t.Errorf("%v: %s", err, out.String())
	}
}

func TestSlopesNeedTwoSizes(t *testing.T) {
	for name, reports := range map[string][]Report{"none": nil, "one size": {reportOf(100, 0), reportOf(100, 1)},
		"no quiet phase": {reportOf(100, 0), {Plan: Plan{Governors: 200}}}} {
		if _, err := Measurements(reports); !errors.Is(err, errFewReports) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
