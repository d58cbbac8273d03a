package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/renumber"
)

const (
	// DemandWindow is the period over which the requests of each proxy are counted: long enough that a proxy with few
	// requests has a steady count, short enough that tables follow requests that move between zones.
	DemandWindow = 8 * time.Second
	// minRatePeriod is the shortest period by which RatesByProxy divides requests, so that a single report shortly after the
	// controller's start does not result in a high rate.
	minRatePeriod = time.Second
)

// Summary is the demand at one point in time.
type Summary struct {
	// ClassRates are the requests per second of each traffic class, over LoadWindow.
	ClassRates map[int]float64
	// Requests is the number of requests that arrived at each proxy within DemandWindow.
	Requests map[int]float64
	// LatestRequests is the number of requests that arrived at each proxy within the last report interval, extrapolated to
	// DemandWindow.
	LatestRequests map[int]float64
	// FailedFraction is the fraction of the requests within LoadWindow that got no successful response.
	FailedFraction float64
	// ReportDelay is the mean length of the periods that the reports cover, minus the report interval. If it is above 0, the
	// reports arrive late, because they cover more than one interval each.
	ReportDelay time.Duration
}

// demandReport is a report of a proxy's requests, with the time at which it was received.
type demandReport struct {
	control.DemandReport
	receivedAt time.Duration
}

// Demand counts the requests that arrive at proxies. Its reports are no older than DemandWindow. For the first LoadWindow
// after Restore, the rate of each class is at least its restored rate, because the first reports cover few of the proxies.
type Demand struct {
	settings *control.Settings
	reports  []demandReport

	restored   []control.ClassRate // rates that an earlier controller had learned
	confidence float64             // confidence in the restored rates, from 0 to 1
	restoredAt time.Duration
}

// NewDemand returns a Demand without reports. Demand reads the settings at each call, so that changed settings take effect
// at once.
func NewDemand(settings *control.Settings) *Demand { return &Demand{settings: settings} }

// Add adds a report of a proxy's requests.
func (d *Demand) Add(now time.Duration, report control.DemandReport) {
	d.reports = append(d.reports, demandReport{report, now})
}

// Restore takes over the rates that an earlier controller had learned. The confidence in them falls with their age.
func (d *Demand) Restore(now time.Duration, rates []control.ClassRate, confidence float64) {
	d.restored = rates
	d.confidence = confidence
	d.restoredAt = now
}

// Summarize drops reports that are too old and sums the others, in the order in which they were received.
func (d *Demand) Summarize(now time.Duration) Summary {
	d.reports = slices.DeleteFunc(d.reports, func(r demandReport) bool { return r.receivedAt <= now-DemandWindow })
	summary := Summary{ClassRates: map[int]float64{}, Requests: map[int]float64{}, LatestRequests: map[int]float64{}}
	interval := time.Duration(d.settings.ReportInterval)
	requests, failures := 0, 0
	for _, r := range d.reports {
		summary.ReportDelay += (time.Duration(r.Period) - interval) / time.Duration(len(d.reports))
		summary.Requests[r.Proxy] += float64(r.Requests)
		if r.receivedAt > now-interval {
			period := max(time.Duration(r.Period), interval, 1)
			summary.LatestRequests[r.Proxy] += float64(r.Requests) * float64(DemandWindow) / float64(period)
		}
		if r.receivedAt > now-LoadWindow {
			summary.ClassRates[r.Class] += float64(r.Requests) * float64(time.Second) / float64(LoadWindow)
			requests += r.Requests
			failures += r.Failures
		}
	}
	summary.FailedFraction = float64(failures) / math.Max(1, float64(requests))
	if now-d.restoredAt < LoadWindow {
		d.raiseToRestored(summary.ClassRates)
	}
	return summary
}

// raiseToRestored raises the rate of each class to its restored rate, multiplied by the confidence, if that is higher.
func (d *Demand) raiseToRestored(rates map[int]float64) {
	restored := map[int]float64{}
	for _, r := range d.restored {
		restored[r.Class] += r.Rate * d.confidence
	}
	for class, rate := range restored {
		rates[class] = math.Max(rates[class], rate)
	}
}

// RatesByProxy returns the rate of each traffic class at each proxy, over DemandWindow or the controller's uptime if that is
// shorter, sorted by proxy and class.
func (d *Demand) RatesByProxy(uptime time.Duration) []control.ClassRate {
	type key struct{ proxy, class int }
	requests := map[key]int{}
	for _, r := range d.reports {
		requests[key{r.Proxy, r.Class}] += r.Requests
	}
	period := float64(max(minRatePeriod, min(DemandWindow, uptime))) / float64(time.Second)
	var rates []control.ClassRate
	for k, count := range requests {
		rates = append(rates, control.ClassRate{Proxy: k.proxy, Class: k.class, Rate: float64(count) / period})
	}
	slices.SortFunc(rates, func(a, b control.ClassRate) int {
		return cmp.Or(cmp.Compare(a.Proxy, b.Proxy), cmp.Compare(a.Class, b.Class))
	})
	return rates
}

// Renumber gives the reports and the restored rates the new numbers of their classes, and drops the reports and rates of
// classes that no longer exist. newClasses holds the new number of each class by its old number, negative for a class that
// no longer exists.
func (d *Demand) Renumber(newClasses []int) {
	var reports []demandReport
	for _, r := range d.reports {
		class, exists := renumber.Lookup(newClasses, r.Class)
		if !exists {
			continue
		}
		r.Class = class
		reports = append(reports, r)
	}
	d.reports = reports
	var restored []control.ClassRate
	for _, r := range d.restored {
		class, exists := renumber.Lookup(newClasses, r.Class)
		if !exists {
			continue
		}
		r.Class = class
		restored = append(restored, r)
	}
	d.restored = restored
}
