package controller

import (
	"fmt"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/sendbudget"
	"lilacbend/settings"
)

const (
	// Sums wait while their counters cannot be reached. What tells of a longer time than any such outage, and than
	// some reports, or of more than any proxy can send in it, was spoilt on the way. No setting bounds counts or rates: these
	// are far over what one machine sends, and under what a sum of thousands could overflow by.
	maxReportPeriod, maxReportIntervals = int64(600 * 1e9), 4
	maxReportCount, maxRequestRate      = 1 << 24, 1e6
	// A channel may be slower than stated, and a proxy or a governor may stand still: so many times, for so long.
	channelSlowdown, maxStall = 5, int64(2 * 1e9)
	// Good answers come before the client gives up, and sums carry some noise.
	maxTimeouts = 4
)

// Topology says which proxies, zones and traffic classes there are, and which figures can be. It changes with the settings, as a whole.
type Topology struct {
	names           settings.Names
	proxies         int
	kinds           int   // of the settings, those that it does not name among them
	maxResponseTime int64 // the longest mean time that can be
	maxPeriod       int64 // the longest time that sums can tell of
	drainGrace      int64
	silenceTimeout  int64 // in which who owes an answer gives it, unless it has vanished
	bounds          sendbudget.Bounds

	admission      control.AdmissionMode
	defaultRetries control.RetryPolicy // what proxies do by themselves
	former         []string            // zones that have left the settings while the governor runs
}

// NewTopology makes a topology of what the settings name.
func NewTopology(names settings.Names, p control.Settings) Topology {
	c := Topology{names: names, proxies: p.Proxies, kinds: p.HardwareClasses, drainGrace: p.DrainGrace,
		maxPeriod: max(maxReportPeriod, maxReportIntervals*p.ReportInterval), bounds: sendbudget.Bounds{ChannelLimit: p.ChannelLimit, ChannelRate: p.ChannelRate,
			MessageOverhead: p.MessageOverhead, MaxMessages: p.MaxMessages, MessageWindow: p.MessageWindow, MaxTransit: p.MaxTransit, DrainGrace: p.DrainGrace},
		admission: p.Admission, defaultRetries: p.DefaultRetries}
	c.silenceTimeout = minSilenceTimeout
	if p.ChannelRate > 0 { // told as left sooner, all of a fleet would join anew by a channel that is full, and fill it again
		full := int64(float64(p.ChannelLimit) / p.ChannelRate * 1e9)
		c.silenceTimeout = max(c.silenceTimeout, channelSlowdown*full+2*p.MaxTransit+maxStall)
	}
	for _, g := range p.Classes {
		c.maxResponseTime = max(c.maxResponseTime, maxTimeouts*g.Timeout)
	}
	return c
}

// CheckCollector says what is wrong with a collector of a zone.
func (c Topology) CheckCollector(zone string) error {
	if !c.hasZone(zone) {
		return fmt.Errorf("no zone %.40q", zone)
	}
	return nil
}

// hasZone says whether there is such a zone. Where the settings name none all are in one, whatever peers call it.
func (c Topology) hasZone(name string) bool {
	return len(c.names.Zones) == 0 || slices.Contains(c.names.Zones, name)
}

// CheckProxy says what is wrong with a joining.
func (c Topology) CheckProxy(h StreamOpened) error {
	if h.Proxy < 0 || h.Proxy >= c.proxies || h.Rate > maxRequestRate {
		return fmt.Errorf("no proxy %d of rate %v", h.Proxy, h.Rate)
	}
	return c.CheckCollector(h.Zone)
}

func (c Topology) validOutcomes(m Outcomes) bool {
	return (c.hasZone(m.Zone) || slices.Contains(c.former, m.Zone)) && m.Attempts <= maxReportCount && m.Failures <= m.Attempts &&
		m.ResponseTime <= c.maxResponseTime && m.Period <= c.maxPeriod
}

func (c Topology) validDemand(d Demand) bool {
	return d.Requests <= maxReportCount && d.Failures <= maxReportCount && d.Period <= c.maxPeriod
}
