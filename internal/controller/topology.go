package controller

import (
	"fmt"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/internal/sendbudget"
	"lilacbend/settings"
)

// Reports with values beyond these limits are malformed. No setting limits counts or rates. The limits are far above the
// values that one machine sends, and low enough that a sum of thousands of reports does not overflow.
const (
	// maxReportPeriod is the longest period of a report, in nanoseconds, if maxReportIntervals does not allow a longer one.
	// Proxies and collectors accumulate reports while no controller is reachable, and they do so for no longer than this.
	maxReportPeriod = int64(600 * time.Second)
	// maxReportIntervals is the number of report intervals that a report may cover, if that is longer than maxReportPeriod.
	maxReportIntervals = 4
	// maxReportCount is the largest count of requests or attempts.
	maxReportCount = 1 << 24
	// maxRequestRate is the largest forecast of a proxy's request rate, in requests per second.
	maxRequestRate = 1e6
	// maxResponseTimeouts is the longest mean response time as a multiple of the timeout. Successful responses arrive before
	// the client times out, and the sums of response times carry some noise.
	maxResponseTimeouts = 4
)

const (
	// minSilenceTimeout is the lower limit of the silence timeout, in nanoseconds: the time after which a proxy that owes an
	// ack and from which nothing has arrived is reported as disconnected.
	minSilenceTimeout = int64(10 * time.Second)
	// channelSlowdown is the factor by which the channel may be slower than its stated rate before the silence timeout ends.
	channelSlowdown = 5
	// maxStall is how long a proxy or a controller may stall, in nanoseconds, before the silence timeout ends.
	maxStall = int64(2 * time.Second)
)

// Topology describes the proxies, zones, hardware classes and traffic classes, and the valid ranges of reported values. It
// is a value: a change of the settings replaces it as a whole.
type Topology struct {
	names           settings.Names
	proxies         int
	hardwareClasses int   // number of classes in the settings, plus one for all classes that they do not name
	maxResponseTime int64 // upper limit of a reported mean response time
	maxPeriod       int64 // upper limit of the period of a report
	reportInterval  int64 // time between two reports of a peer, in nanoseconds
	drainGrace      int64
	silenceTimeout  int64 // time within which a proxy that owes an ack sends something, unless it has failed
	bounds          sendbudget.Bounds
	admission       control.AdmissionMode
	defaultRetries  control.RetryPolicy // applies where no admission is set
	formerZones     []string            // zones removed from the settings since the controller started
}

// NewTopology returns the topology that follows from settings.
func NewTopology(names settings.Names, s control.Settings) Topology {
	t := Topology{
		names:           names,
		proxies:         s.Proxies,
		hardwareClasses: s.HardwareClasses,
		maxPeriod:       max(maxReportPeriod, maxReportIntervals*s.ReportInterval),
		reportInterval:  s.ReportInterval,
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
		t.maxResponseTime = max(t.maxResponseTime, maxResponseTimeouts*class.Timeout)
	}
	return t
}

// silenceTimeout returns how long it takes to drain a full and slow channel, plus a stall, and at least minSilenceTimeout.
// With a shorter timeout, a fleet whose updates wait in the channel would be reported as disconnected, and binding it again
// would refill the channel.
func silenceTimeout(s control.Settings) int64 {
	if s.ChannelRate <= 0 {
		return minSilenceTimeout
	}
	drainTime := int64(float64(s.ChannelLimit) / s.ChannelRate * float64(time.Second))
	return max(minSilenceTimeout, channelSlowdown*drainTime+2*s.MaxTransit+maxStall)
}

// CheckCollector returns an error if a collector names a zone that is not in the settings.
func (t Topology) CheckCollector(zone string) error {
	if !t.hasZone(zone) {
		return fmt.Errorf("no zone %.40q", zone)
	}
	return nil
}

// CheckProxy returns an error if the number, the rate or the zone with which a proxy connects is invalid.
func (t Topology) CheckProxy(opened StreamOpened) error {
	if opened.Proxy < 0 || opened.Proxy >= t.proxies || opened.RequestRate > maxRequestRate {
		return fmt.Errorf("no proxy %d of rate %v", opened.Proxy, opened.RequestRate)
	}
	return t.CheckCollector(opened.Zone)
}

// hasZone reports whether a zone is in the settings. If the settings name no zones, all peers are in one zone, and any zone
// name is accepted.
func (t Topology) hasZone(name string) bool {
	return len(t.names.Zones) == 0 || slices.Contains(t.names.Zones, name)
}

// validOutcomes reports whether the zone and the values of a report are possible. A former zone is valid, since its proxies
// may still be connected.
func (t Topology) validOutcomes(o OutcomeReport) bool {
	if !t.hasZone(o.Zone) && !slices.Contains(t.formerZones, o.Zone) {
		return false
	}
	return o.Attempts <= maxReportCount && o.Failures <= o.Attempts && o.ResponseTime <= t.maxResponseTime && o.Period <= t.maxPeriod
}

// validDemand reports whether the values of a report are possible.
func (t Topology) validDemand(d Demand) bool {
	return d.Requests <= maxReportCount && d.Failures <= maxReportCount && d.Period <= t.maxPeriod
}
