package emulator

import (
	"lilacbend/control"
	"lilacbend/settings"
)

// Site is the size and load of a simulated installation.
type Site struct {
	Replicas        int
	Proxies         int
	Load            float64 // as a fraction of the capacity of all replicas
	ReportRateLimit int     // lines of reports a second that each controller receives, the oldest first; 0: no limit
	Overload        Overload
	Names           settings.Names
	Settings        control.Settings
}

// NewSite returns an installation of two zones and two hardware classes, one half as fast as the other, though both are listed
// with the same weight.
func NewSite(replicas, proxies int, load float64) Site {
	return Site{
		Replicas: replicas,
		Proxies:  proxies,
		Load:     load,
		Names:    settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1", "m2"}},
		Settings: control.Settings{
			Seed:                 7,
			Controllers:          1,
			Zones:                2,
			HardwareClasses:      3,
			Proxies:              proxies,
			ChannelRate:          20000,
			ChannelLimit:         40 * proxies,
			MessageOverhead:      4,
			MaxTransit:           second / 2,
			MaxMessages:          30,
			MessageWindow:        10 * second,
			HostQueues:           true,
			ReportInterval:       second,
			SlowStartFraction:    0.2,
			SlowStartTime:        20 * second,
			OverloadMultiple:     3,
			Admission:            control.AdmitFraction,
			AttemptTimeoutFactor: 1.5,
			DefaultRetries:       control.RetryIfNotExecuted,
			Classes: []control.TrafficClass{
				{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
				{PriorityWeight: 3, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.NotIdempotent},
			},
		},
	}
}

// zones returns the names of the zones, or one empty name if there are none.
func (s Site) zones() []string {
	if len(s.Names.Zones) == 0 {
		return []string{""}
	}
	return s.Names.Zones
}

// hardwareClass returns the name of a hardware class, which is empty if the site does not name it.
func (s Site) hardwareClass(k int) string {
	if k >= len(s.Names.HardwareClasses) {
		return ""
	}
	return s.Names.HardwareClasses[k]
}
