package controller

import (
	"fmt"
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/settings"
)

// The rates of messages allow what peers report in each interval of the settings, and in each second, whatever the number of
// proxies and traffic classes, and what has collected while a peer or the controller stood still for two seconds.
func TestMessageRatesAllowAllReports(t *testing.T) {
	const (
		acksAndHealthChecks = 10 // per second
		stall               = 2.0
		replicas            = 9500
	)
	for _, c := range []struct {
		interval         time.Duration
		proxies, classes int
	}{{100 * time.Millisecond, 2400, 3}, {500 * time.Millisecond, 2400, 64}, {time.Second, 1, 1}, {10 * time.Second, 9600, 64}} {
		t.Run(fmt.Sprintf("%v, %d proxies, %d classes", c.interval, c.proxies, c.classes), func(t *testing.T) {
			topology := NewTopology(settings.Names{Classes: make([]string, c.classes)}, control.Settings{Proxies: c.proxies, ReportInterval: int64(c.interval)})
			perSecond := 1 / min(c.interval, time.Second).Seconds()
			for name, reports := range map[string]struct{ sent, allowed, burst float64 }{
				"proxy":               {perSecond*float64(c.classes) + acksAndHealthChecks, topology.ProxyRate().PerSecond, topology.ProxyRate().Burst},
				"collector":           {perSecond * replicas, topology.CollectorRate().PerSecond, topology.CollectorRate().Burst},
				"collector's demands": {perSecond * float64(c.classes*c.proxies), topology.CollectorDemandRate().PerSecond, topology.CollectorDemandRate().Burst},
			} {
				if reports.sent > reports.allowed || stall*reports.sent > reports.burst {
					t.Errorf("%s: %.0f messages a second allowed and %.0f at once, want at least %.0f and %.0f", name, reports.allowed, reports.burst, reports.sent, stall*reports.sent)
				}
			}
		})
	}
}
