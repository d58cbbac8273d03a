package scale

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
)

// reportOf is a report whose figures grow by a line, but for one of them.
func reportOf(governors int, off float64) Report {
	each := Spent{BytesPerSecond: 100, ProcessorPercent: 0.5, ResidentMB: 0.25, MessagesPerSecond: 4}
	one := Spent{BytesPerSecond: 1000 + 20*float64(governors), ProcessorPercent: 3 + 0.1*float64(governors) + off}
	return Report{Plan: Plan{Governors: governors}, Phases: []PhaseReport{{Fault: "start"}, {Fault: NoFault,
		Roles:  []RoleReport{{roleHollow, governors, each}, {roleServer, 1, one}, {roleRig, 1, one}},
		Delays: []SubjectDelay{{AtAll: Delays{P50: 0.5, Max: 1 + float64(governors)/1000}}}}}}
}

func TestSlopesWithTheirResiduals(t *testing.T) {
	slopes, err := Slopes([]Report{reportOf(100, 0), reportOf(200, 0), reportOf(400, 0.7), reportOf(800, 0)})
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]Slope{}
	for _, s := range slopes {
		found[s.Figure] = s
	}
	near := func(what string, got, want float64) {
		if math.Abs(got-want) > 1e-6 {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	hollow, server := found[roleHollow+"s: % of a core in all"], found[roleServer+"s: B/s in all"]
	near("a governor's share of a core", hollow.Slope, 0.5)
	near("without governors", hollow.Intercept, 0)
	near("a server's bytes for a governor", server.Slope, 20)
	near("a server's bytes without any", server.Intercept, 1000)
	near("seconds for a governor", found["in force at all, max s"].Slope, 0.001)
	off := found[roleServer+"s: % of a core in all"]
	sum := 0.0
	for _, r := range off.Residuals {
		sum += r
	}
	near("residuals in all", sum, 0)
	if len(off.Residuals) != 4 || off.Residuals[2] < 0.3 {
		t.Errorf("the point that is off does not show: %v", off.Residuals)
	}
	var out bytes.Buffer
	if err := PrintSlopes(&out, slopes); err != nil || !strings.Contains(out.String(), "at 800") {
		t.Errorf("%v: %s", err, out.String())
	}
}

func TestSlopesNeedTwoSizes(t *testing.T) {
	for name, reports := range map[string][]Report{"none": nil, "one size": {reportOf(100, 0), reportOf(100, 1)},
		"no quiet phase": {reportOf(100, 0), {Plan: Plan{Governors: 200}}}} {
		if _, err := Slopes(reports); !errors.Is(err, errFewReports) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
