package controller

import (
	"fmt"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/internal/sendbudget"
	"lilacbend/settings"
)

// Reports whose figures are beyond these bounds are malformed. No setting bounds counts or rates: the bounds are far above
// what one machine sends, and below what a sum of thousands could overflow by.
const (
	// maxReportPeriod is the longest period of a report, in nanoseconds, unless reports come more seldom: sums wait while the
	// controllers cannot be reached, and no outage that they wait for is longer.
	maxReportPeriod = int64(600 * time.Second)
	// maxReportIntervals is how many report intervals a report may cover where that is more.
	maxReportIntervals = 4
	// maxReportCount is the largest count of requests or attempts.
	maxReportCount = 1 << 24
	// maxRequestRate is the largest forecast of a proxy's requests a second.
	maxRequestRate = 1e6
	// maxTimeouts is the longest mean response time in timeouts: successful responses come before the client gives up, and
	// sums carry some noise.
	maxTimeouts = 4
)

const (
	// minSilenceTimeout is the shortest time, in nanoseconds, after which a proxy that owes an ack and is silent is reported as
	// disconnected.
	minSilenceTimeout = int64(10 * time.Second)
	// channelSlowdown is how many times slower than stated the channel may be before proxies count as silent.
	channelSlowdown = 5
	// maxStall is how long a proxy or a controller may stand still, in nanoseconds, before the same.
	maxStall = int64(2 * time.Second)
)

// Topology says which proxies, zones, hardware classes and traffic classes there are, and which figures are possible. It is a
// value: settings that change replace it as a whole.
type Topology struct {
	names           settings.Names
	proxies         int
	hardwareClasses int   // those of the settings, and one for all that they do not name
	maxResponseTime int64 // the longest possible mean
	maxPeriod       int64 // the longest possible period of a report
	drainGrace      int64
	silenceTimeout  int64 // within which a proxy that owes an ack gives it, unless it has vanished
	bounds          sendbudget.Bounds
	admission       control.AdmissionMode
	defaultRetries  control.RetryPolicy // what proxies do unless an admission says otherwise
	formerZones     []string            // that have left the settings since the controller started
}

// NewTopology returns the topology of some settings.
func NewTopology(names settings.Names, s control.Settings) Topology {
	t := Topology{
		names:           names,
		proxies:         s.Proxies,
		hardwareClasses: s.HardwareClasses,
		maxPeriod:       max(maxReportPeriod, maxReportIntervals*s.ReportInterval),
		drainGrace:      s.DrainGrace,
		silenceTimeout:  silenceTimeout(s),
		bounds: sendbudget.Bounds{
			ChannelLimit:    s.ChannelLimit,
			ChannelRate:     s.ChannelRate,
			MessageOverhead: s.MessageOverhead,
			MaxMessages:     s.MaxMessages,
			MessageWindow:   s.MessageWindow,
			MaxTransit:      s.MaxTransit,
			DrainGrace:      s.DrainGrace,
		},
		admission:      s.Admission,
		defaultRetries: s.DefaultRetries,
	}
	for _, class := range s.Classes {
		t.maxResponseTime = max(t.maxResponseTime, maxTimeouts*class.Timeout)
	}
	return t
}

// silenceTimeout returns how long a full and slow channel takes together with a stall, at least minSilenceTimeout. A shorter
// one would report a fleet as disconnected whose updates wait in the channel, and binding it anew would fill that again.
func silenceTimeout(s control.Settings) int64 {
	if s.ChannelRate <= 0 {
		return minSilenceTimeout
	}
	drainTime := int64(float64(s.ChannelLimit) / s.ChannelRate * float64(time.Second))
	return max(minSilenceTimeout, channelSlowdown*drainTime+2*s.MaxTransit+maxStall)
}

// CheckCollector returns an error if a collector cannot be of a zone.
func (t Topology) CheckCollector(zone string) error {
	if !t.hasZone(zone) {
		return fmt.Errorf("no zone %.40q", zone)
	}
	return nil
}

// CheckProxy returns an error if a proxy cannot connect as it says.
func (t Topology) CheckProxy(opened StreamOpened) error {
	if opened.Proxy < 0 || opened.Proxy >= t.proxies || opened.Rate > maxRequestRate {
		return fmt.Errorf("no proxy %d of rate %v", opened.Proxy, opened.Rate)
	}
	return t.CheckCollector(opened.Zone)
}

// hasZone reports whether there is a zone. Where the settings name none, all are in one, whatever peers call it.
func (t Topology) hasZone(name string) bool {
	return len(t.names.Zones) == 0 || slices.Contains(t.names.Zones, name)
}

// validOutcomes reports whether the figures of a report are possible. Proxies of a former zone may still be connected.
func (t Topology) validOutcomes(o Outcomes) bool {
	if !t.hasZone(o.Zone) && !slices.Contains(t.formerZones, o.Zone) {
		return false
	}
	return o.Attempts <= maxReportCount && o.Failures <= o.Attempts && o.ResponseTime <= t.maxResponseTime && o.Period <= t.maxPeriod
}

// validDemand reports whether the figures of a report are possible.
func (t Topology) validDemand(d Demand) bool {
	return d.Requests <= maxReportCount && d.Failures <= maxReportCount && d.Period <= t.maxPeriod
}
