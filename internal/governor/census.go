package governor

import (
	"fmt"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/channel"
	"lilacbend/settings"
)

const (
	// Sums wait while their counters cannot be reached. What tells of a longer time than any such outage, and than
	// some reports, or of more than any proxy can send in it, was spoilt on the way. No setting bounds counts or rates: these
	// are far over what one machine sends, and under what a sum of thousands could overflow by.
	spanMost, reportsMost = int64(600 * 1e9), 4
	countMost, rateMost   = 1 << 24, 1e6
	// A channel may be slower than stated, and a proxy or a governor may stand still: so many times, for so long.
	slowChannel, stall = 5, int64(2 * 1e9)
	// Good answers come before the client gives up, and sums carry some noise.
	expiriesMost = 4
)

// Census says which proxies, zones and traffic groups there are, and which figures can be. It changes with the settings, as a whole.
type Census struct {
	names   settings.Names
	proxies int
	kinds   int   // of the provision, those that it does not name among them
	answer  int64 // the longest mean time that can be
	span    int64 // the longest time that sums can tell of
	grace   int64 // of drains
	silence int64 // in which who owes an answer gives it, unless it has vanished
	bounds  channel.Bounds

	admission control.Admission
	usual     control.RetryPolicy // what proxies do by themselves
	former    []string            // zones that have left the settings while the governor runs
}

// NewCensus makes a census of what the provision names.
func NewCensus(names settings.Names, p control.Settings) Census {
	c := Census{names: names, proxies: p.Proxies, kinds: p.Kinds, grace: p.DrainGrace,
		span: max(spanMost, reportsMost*p.ReportInterval), bounds: channel.Bounds{Lines: p.ChannelLimit, Rate: p.ChannelRate,
			Head: p.MessageHead, Messages: p.MaxMessages, Span: p.MessageWindow, Transit: p.MaxTransit, Grace: p.DrainGrace},
		admission: p.Admission, usual: p.DefaultRetries}
	c.silence = silenceLeast
	if p.ChannelRate > 0 { // told as left sooner, all of a fleet would join anew by a channel that is full, and fill it again
		full := int64(float64(p.ChannelLimit) / p.ChannelRate * 1e9)
		c.silence = max(c.silence, slowChannel*full+2*p.MaxTransit+stall)
	}
	for _, g := range p.Classes {
		c.answer = max(c.answer, expiriesMost*g.Timeout)
	}
	return c
}

// Collector says what is wrong with a collector of a zone.
func (c Census) Collector(zone string) error {
	if !c.zone(zone) {
		return fmt.Errorf("no zone %.40q", zone)
	}
	return nil
}

// zone says whether there is such a zone. Where the settings name none all are in one, whatever peers call it.
func (c Census) zone(name string) bool {
	return len(c.names.Zones) == 0 || slices.Contains(c.names.Zones, name)
}

// Proxy says what is wrong with a joining.
func (c Census) Proxy(h Joined) error {
	if h.Proxy < 0 || h.Proxy >= c.proxies || h.Rate > rateMost {
		return fmt.Errorf("no proxy %d of rate %v", h.Proxy, h.Rate)
	}
	return c.Collector(h.Zone)
}

func (c Census) met(m Met) bool {
	return (c.zone(m.Zone) || slices.Contains(c.former, m.Zone)) && m.Attempts <= countMost && m.Failures <= m.Attempts &&
		m.ResponseTime <= c.answer && m.Period <= c.span
}

func (c Census) usage(d Demand) bool {
	return d.Requests <= countMost && d.Failures <= countMost && d.Period <= c.span
}
