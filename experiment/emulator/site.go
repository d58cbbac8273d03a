package emulator

import (
	"lilacbend/control"
	"lilacbend/settings"
)

// Site is the size and load of a simulated installation.
type Site struct {
	Replicas        int
	Proxies         int
	Load            float64 // request rate, as a fraction of the capacity of all replicas
	ReportRateLimit int     // report lines a second that each controller receives, oldest first; 0: no limit
	Overload        Overload
	Names           settings.Names
	Settings        control.Settings
}

// NewSite returns a site of two zones and two hardware classes. One class is half as fast as the other, though replicas of
// both are listed with the same weight.
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
			ControllerQueues:     true,
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

// hardwareClass returns the name of the k-th hardware class, or an empty name if the site has fewer.
func (s Site) hardwareClass(k int) string {
	if k >= len(s.Names.HardwareClasses) {
		return ""
	}
	return s.Names.HardwareClasses[k]
}
