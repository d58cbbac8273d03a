package scale

import (
	"encoding/json"
	"fmt"
	"slices"

	"lilacbend/control"
	"lilacbend/experiment/scale/checks"
	"lilacbend/settings"
)

// ServiceShape is the size of one service: of its settings file, and of its list of replicas.
type ServiceShape struct {
	Governors int `json:"governors"`
	Replicas  int `json:"replicas"`
	Zones     int `json:"zones"`
	Routes    int `json:"routes"`
	Tenants   int `json:"tenants"`
	Proxies   int `json:"proxies"` // of each governor
}

// The marker of a revision is added to several settings all over a file, so that a mix of two revisions shows.
const (
	latencyBudgetBase = 1000 // ms
	timeoutBase       = 5000
	drainGraceBase    = 2500
	messageSpanBase   = 10000
)

func zoneName(k int) string { return fmt.Sprintf("z%d", k) }

// settingsOf writes a service's settings with a marker. What is not valid has a channel without a rate.
func settingsOf(shape ServiceShape, marker checks.Marker, valid bool) []byte {
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
	proxies := shape.Proxies * shape.Governors
	raw, err := json.Marshal(map[string]any{"balancers": shape.Governors, "kinds": []string{"m1", "m2"}, "zones": zones,
		"domain": map[string]any{"admit": "fraction", "cycle_ms": 1000, "envelope": 4, "pick": "random", "proxy_count": proxies,
			"pending_max": 400 * (1 + proxies), "push_rate": rate, "pushes_allowed": 30, "reload_span_ms": messageSpanBase + marker,
			"shards": 0, "try_factor": 1, "usual_how": 1, "worst_transit_ms": 257.5},
		"invariants": map[string]any{"cold_from": 0.2, "drain_grace_ms": drainGraceBase + marker, "tip_multiple": 3, "warm_after_ms": 10000},
		"lanes":      routes, "accounts": tenants})
	if err != nil {
		panic(err) // it holds nothing that cannot be written
	}
	return raw
}

// serviceSettings are those of a file that was found valid.
type serviceSettings struct {
	names     settings.Names
	provision control.Settings
}

// readSettings checks a settings file by the code that a governor's start runs.
func readSettings(raw []byte, seed uint64) (serviceSettings, error) {
	names, p, err := settings.Load(raw, seed)
	return serviceSettings{names, p}, err
}

// partsOf lists the different markers that settings in force hold.
func partsOf(p control.Settings) []checks.Marker {
	found := []int64{p.DrainGrace/control.NanosPerMilli - drainGraceBase, p.MessageWindow/control.NanosPerMilli - messageSpanBase}
	for _, g := range p.Classes {
		found = append(found, g.LatencyObjective/control.NanosPerMilli-latencyBudgetBase, g.Timeout/control.NanosPerMilli-timeoutBase)
	}
	var parts []checks.Marker
	for _, marker := range found {
		parts = append(parts, checks.Marker(max(0, marker)))
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// markerOf reads the marker of a file that may not be valid; 0: it has none.
func markerOf(raw []byte) checks.Marker {
	var file struct {
		Domain struct {
			Span checks.Marker `json:"reload_span_ms"`
		}
	}
	if json.Unmarshal(raw, &file) != nil || file.Domain.Span < messageSpanBase {
		return 0
	}
	return file.Domain.Span - messageSpanBase
}
