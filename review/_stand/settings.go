package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

var zones = []string{"lahore", "islamabad", "multan"}

// settings returns the settings of a small deployment, with the figures of the order boxes' deployment.
func settings(proxies int) map[string]any {
	return map[string]any{
		"balancers": 1,
		"domain": map[string]any{
			"admit": "fraction", "blackhole_ms": 4100.0, "class_own_zone": []bool{false, false, false}, "cycle_ms": 500.0,
			"envelope": 4.0, "handover_fee": 0.01, "hold_ms": 300.0, "initial_set": 6, "intake_per_s": 150.0, "line_fee": 0.02,
			"local_first": false, "pending_max": 1800.0, "pick": "random", "proxy_count": proxies, "push_rate": 1200.0,
			"pushes_allowed": 30, "reload_span_ms": 10000.0, "settle_ms": 4020.0, "shards": 0, "single_writer": false,
			"sockets_min": 219.0, "strikes": 8, "tenure_ms": 2500.0, "transit_ms": 103.0, "try_factor": 1.0, "usual_how": 1,
			"warm_keys": true, "worst_transit_ms": 257.5, "write_classes": []bool{false, true, true},
		},
		"invariants": map[string]any{
			"ask_every_ms": 10000.0, "cold_from": 0.18, "drain_grace_ms": 2500.0, "fall_ms": 3000.0, "tip_multiple": 4.0,
			"warm_after_ms": 18000.0,
		},
		"kinds": []string{"small-2c", "wide-4c"},
		"lanes": []map[string]any{
			{"name": "stock-read", "effect": "read_like", "group": "all", "slo_ms": 750.0, "deadline_ms": 2000.0, "window_ms": 5000.0, "gain": 2.0, "late_worth": 0.1},
			{"name": "order-place", "effect": "idempotency_key", "group": "zone", "slo_ms": 1200.0, "deadline_ms": 4000.0, "window_ms": 2500.0, "gain": 3.0, "late_worth": 0.2},
			{"name": "payout-send", "effect": "non_idempotent", "group": "all", "slo_ms": 750.0, "deadline_ms": 2000.0, "window_ms": 5000.0, "gain": 3.0, "late_worth": 0.1},
		},
		"tick_ms": 4.0, "zones": zones, "my_number": 0, "locality": 1, "workload": "control",
	}
}

// governorConfig returns the configuration file of a governor.
func governorConfig(listen, discovery string, known []member, settings map[string]any) string {
	raw, err := json.MarshalIndent(map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    list{Revision: 1, Complete: true, Members: known},
		"settings": settings,
	}, "", " ")
	must(err)
	return string(raw)
}

// startGovernor starts a governor with the run command of the deploy file, as a platform does.
func (s *site) startGovernor(listen, discovery string, known []member, settings map[string]any) *process {
	config := s.write("governor.json", governorConfig(listen, discovery, known, settings))
	p := s.start("governor", deployCommand("run"), "PROXY_CONFIG="+config, "PROXY_LISTEN="+listen, "PROXY_DISCOVERY="+discovery, "PROXY_NAME=n0")
	awaitListener(listen)
	return p
}

// sidecar is a sidecar process and its addresses.
type sidecar struct {
	*process
	http1, http2, local string
}

// startSidecar starts a sidecar by its own command, with a file as the operators' page shows it.
func (s *site) startSidecar(number int, zone, governor, collector, discovery string) *sidecar {
	name := fmt.Sprintf("sidecar-%d", number)
	sc := &sidecar{http1: freeAddress(), http2: freeAddress(), local: freeAddress()}
	file := s.write(name+".yaml", strings.NewReplacer(
		"NAME", name, "NUMBER", fmt.Sprint(number), "ZONE", zone, "HTTP1", sc.http1, "HTTP2", sc.http2, "LOCAL", sc.local,
		"GOVERNOR", governor, "COLLECTOR", collector, "DISCOVERY", discovery).Replace(sidecarFile))
	sc.process = s.start(name, "exec bin/lilacbend sidecar --manifest "+file)
	awaitListener(sc.http1)
	awaitListener(sc.http2)
	return sc
}

const sidecarFile = `name: NAME
proxy: NUMBER
zone: ZONE
listen:
  http1: HTTP1
  http2: HTTP2
  local: LOCAL
governors: [GOVERNOR]
collectors: [COLLECTOR]
discovery: DISCOVERY
groups:
- {name: stock-read, effect: retriable, latency_budget: 750ms, expiry: 2s}
- {name: order-place, effect: deduped, scope: zone, window: 2500ms, latency_budget: 1200ms, expiry: 4s}
- {name: payout-send, effect: non-retriable, latency_budget: 750ms, expiry: 2s}
rules:
- {group: stock-read, method: GET, path: /stock*}
- {group: order-place, method: POST, path: /orders}
- {group: payout-send, method: POST, path: /payouts}
pick: chance
admission: share
tries: {usual: never-ran, factor: 1, strikes: 8, shun: 4s}
log: {every: 0}
`

// startCollector starts the collector of a zone by its own command.
func (s *site) startCollector(zone, governor string) string {
	address := freeAddress()
	s.start("collector-"+zone, fmt.Sprintf("exec bin/lilacbend collector --zone %s --listen %s --governor %s", zone, address, governor))
	awaitListener(address)
	return address
}
