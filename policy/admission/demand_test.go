package admission

import (
	"maps"
	"slices"
	"testing"
	"time"

	"lilacbend/control"
)

func newDemand() *Demand {
	return NewDemand(&control.Settings{ReportInterval: int64(time.Second)})
}

func TestSummaryCountsEachWindow(t *testing.T) {
	d := newDemand()
	now := start
	add := func(age time.Duration, report control.DemandReport) {
		report.Period = int64(time.Second)
		d.Add(now-age, report)
	}
	add(DemandWindow, control.DemandReport{Proxy: 1, Class: 0, Requests: 1000, Failures: 1000})
	add(DemandWindow-1, control.DemandReport{Proxy: 1, Class: 0, Requests: 100, Failures: 100})
	add(LoadWindow, control.DemandReport{Proxy: 1, Class: 1, Requests: 10, Failures: 10})
	add(LoadWindow-1, control.DemandReport{Proxy: 2, Class: 1, Requests: 8, Failures: 2})
	add(time.Second, control.DemandReport{Proxy: 2, Class: 1, Requests: 4})
	add(0, control.DemandReport{Proxy: 2, Class: 0, Requests: 4, Failures: 2})
	summary := d.Summarize(now)
	if want := map[int]float64{0: 1, 1: 3}; !maps.Equal(summary.ClassRates, want) {
		t.Errorf("class rates %v, want %v", summary.ClassRates, want)
	}
	if want := map[int]float64{1: 110, 2: 16}; !maps.Equal(summary.Requests, want) {
		t.Errorf("requests %v, want %v", summary.Requests, want)
	}
	if want := map[int]float64{2: 32}; !maps.Equal(summary.LatestRequests, want) {
		t.Errorf("latest requests %v, want %v", summary.LatestRequests, want)
	}
	if summary.FailedFraction != 0.25 || summary.ReportDelay != 0 {
		t.Errorf("failed fraction %v, report delay %v", summary.FailedFraction, summary.ReportDelay)
	}
}

func TestReportDelayIsTheMeanBeyondTheInterval(t *testing.T) {
	d := newDemand()
	for _, period := range []time.Duration{time.Second, 4 * time.Second} {
		d.Add(start, control.DemandReport{Proxy: 1, Requests: 12, Period: int64(period)})
	}
	summary := d.Summarize(start)
	if summary.ReportDelay != 1500*time.Millisecond {
		t.Errorf("report delay %v, want 1.5s", summary.ReportDelay)
	}
	if want := 12*8.0 + 12*2.0; summary.LatestRequests[1] != want {
		t.Errorf("latest requests %v, want %v", summary.LatestRequests[1], want)
	}
}

func TestRestoredRatesApplyForLoadWindow(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		want  map[int]float64
	}{
		{"at the time of Restore", 0, map[int]float64{0: 20, 1: 5}},
		{"within LoadWindow", LoadWindow - 1, map[int]float64{0: 20, 1: 5}},
		{"after LoadWindow", LoadWindow, map[int]float64{0: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDemand()
			d.Restore(start, []control.ClassRate{{Proxy: 1, Class: 0, Rate: 30}, {Proxy: 2, Class: 0, Rate: 10}, {Proxy: 2, Class: 1, Rate: 10}}, 0.5)
			now := start + c.after
			d.Add(now, control.DemandReport{Class: 0, Requests: 8})
			if got := d.Summarize(now).ClassRates; !maps.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestRatesByProxyAreSortedAndCoverUptime(t *testing.T) {
	d := newDemand()
	for _, r := range []control.DemandReport{{Proxy: 2, Class: 1, Requests: 8}, {Proxy: 2, Class: 0, Requests: 4},
		{Proxy: 1, Class: 1, Requests: 8}, {Proxy: 2, Class: 1, Requests: 8}} {
		d.Add(start, r)
	}
	for _, c := range []struct {
		name   string
		uptime time.Duration
		period float64 // seconds
	}{
		{"uptime 0: minimum period", 0, 1},
		{"uptime of half of DemandWindow", DemandWindow / 2, 4},
		{"uptime above DemandWindow", time.Hour, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := []control.ClassRate{{Proxy: 1, Class: 1, Rate: 8 / c.period}, {Proxy: 2, Class: 0, Rate: 4 / c.period},
				{Proxy: 2, Class: 1, Rate: 16 / c.period}}
			if got := d.RatesByProxy(c.uptime); !slices.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

func TestRenumberDropsDemandOfRemovedClasses(t *testing.T) {
	d := newDemand()
	d.Restore(start, []control.ClassRate{{Class: 0, Rate: 6}, {Class: 1, Rate: 10}, {Class: 2, Rate: 7}}, 1)
	for class := range 3 {
		d.Add(start, control.DemandReport{Proxy: class, Class: class, Requests: 4})
	}
	d.Renumber([]int{1, -1, 0})
	summary := d.Summarize(start)
	if want := map[int]float64{0: 7, 1: 6}; !maps.Equal(summary.ClassRates, want) {
		t.Errorf("class rates %v, want %v", summary.ClassRates, want)
	}
	if want := map[int]float64{0: 4, 2: 4}; !maps.Equal(summary.Requests, want) {
		t.Errorf("requests %v, want %v", summary.Requests, want)
	}
}
