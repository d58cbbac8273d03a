package scale

import (
	"encoding/json"
	"fmt"
	"slices"

	"lilacbend/control"
	"lilacbend/experiment/scale/checks"
	"lilacbend/settings"
)

// ServiceShape is the size of one service, which determines the size of its settings file and of its replica list.
type ServiceShape struct {
	Controllers int `json:"governors"`
	Replicas    int `json:"replicas"`
	Zones       int `json:"zones"`
	Routes      int `json:"routes"`
	Tenants     int `json:"tenants"`
	Proxies     int `json:"proxies"` // proxies of each controller
}

// The marker of a revision is added to several settings in different parts of the file, so that a mix of two revisions is
// detected. These are the values to which it is added, in milliseconds.
const (
	latencyBudgetBase = 1000
	timeoutBase       = 5000
	drainGraceBase    = 2500
	messageWindowBase = 10000
)

func zoneName(k int) string { return fmt.Sprintf("z%d", k) }

// encodeSettings returns the settings file of a service with a marker. Settings that are not valid have a push rate of 0.
func encodeSettings(shape ServiceShape, marker checks.Marker, valid bool) []byte {
	rate := 1200.0
	if !valid {
		rate = 0
	}
	var zones []string
	for k := range shape.Zones {
		zones = append(zones, zoneName(k))
	}
	var routes, tenants []map[string]any
	for k := range shape.Routes {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("route-%d", k), "effect": "read_like", "gain": 1 + float64(k%3),
			"slo_ms": latencyBudgetBase + marker, "deadline_ms": timeoutBase + marker, "late_worth": 0.1, "window_ms": 2500})
	}
	for k := range shape.Tenants {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%08d.%032x", k, k*7919), "share": 1 / float64(shape.Tenants),
			"weight": 1, "burst": 40, "note_revision": marker})
	}
	proxies := shape.Proxies * shape.Controllers
	raw, err := json.Marshal(map[string]any{"balancers": shape.Controllers, "kinds": []string{"m1", "m2"}, "zones": zones,
		"domain": map[string]any{"admit": "fraction", "cycle_ms": 1000, "envelope": 4, "pick": "random", "proxy_count": proxies,
			"pending_max": 400 * (1 + proxies), "push_rate": rate, "pushes_allowed": 30, "reload_span_ms": messageWindowBase + marker,
			"shards": 0, "try_factor": 1, "usual_how": 1, "worst_transit_ms": 257.5},
		"invariants": map[string]any{"cold_from": 0.2, "drain_grace_ms": drainGraceBase + marker, "tip_multiple": 3, "warm_after_ms": 10000},
		"lanes":      routes, "accounts": tenants})
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return raw
}

// serviceSettings are the contents of a valid settings file.
type serviceSettings struct {
	names  settings.Names
	values control.Settings
}

// loadSettings validates a settings file with the code that a controller runs at its start.
func loadSettings(raw []byte, seed uint64) (serviceSettings, error) {
	names, values, err := settings.Load(raw, seed)
	return serviceSettings{names, values}, err
}

// markersOf returns the distinct markers that the active settings contain.
func markersOf(active control.Settings) []checks.Marker {
	encoded := []int64{active.DrainGrace/control.NanosPerMilli - drainGraceBase, active.MessageWindow/control.NanosPerMilli - messageWindowBase}
	for _, class := range active.Classes {
		encoded = append(encoded, class.LatencyObjective/control.NanosPerMilli-latencyBudgetBase, class.Timeout/control.NanosPerMilli-timeoutBase)
	}
	var markers []checks.Marker
	for _, marker := range encoded {
		markers = append(markers, checks.Marker(max(0, marker)))
	}
	slices.Sort(markers)
	return slices.Compact(markers)
}

// markerOf returns the marker of a settings file, which need not be valid, or 0 if the file has none.
func markerOf(raw []byte) checks.Marker {
	var file struct {
		Domain struct {
			ReloadSpanMillis checks.Marker `json:"reload_span_ms"`
		}
	}
	if json.Unmarshal(raw, &file) != nil || file.Domain.ReloadSpanMillis < messageWindowBase {
		return 0
	}
	return file.Domain.ReloadSpanMillis - messageWindowBase
}
